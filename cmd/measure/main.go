// Command measure measures, on the machine it runs on, how the state and the work
// of each role grow with the number of servers, lanes, proxies and keyed operations.
// docs/CAPACITY.md is made from what it prints.
//
// Example:
//
//	go run ./cmd/measure
package main

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// measure is one slope: what is done at a size, and what came of it.
type measurement struct {
	role, name string
	sizes      []int
	run        func(size int) result
}

// result is the bytes that a thing takes or sends, and how long one act lasts.
type result struct {
	bytes int
	took  time.Duration
}

// repeated is how long one act lasts, of as many as fit into a short span.
func averageTime(run func()) time.Duration {
	run()
	began, count := time.Now(), 0
	for time.Since(began) < 100*time.Millisecond {
		run()
		count++
	}
	return time.Since(began) / time.Duration(count)
}

// held is how much memory what make returns keeps alive.
func retainedBytes[T any](create func() T) (bytes int, kept T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept = create()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return max(0, int(after.HeapAlloc)-int(before.HeapAlloc)), kept
}

// slope is the least squares slope of figures over sizes.
func slope(sizes []int, figures []float64) float64 {
	n, x, y, xx, xy := float64(len(sizes)), 0.0, 0.0, 0.0, 0.0
	for i, size := range sizes {
		s := float64(size)
		x, y, xx, xy = x+s, y+figures[i], xx+s*s, xy+s*figures[i]
	}
	return (n*xy - x*y) / (n*xx - x*x)
}

func main() {
	app := kingpin.New("measure", "Measures how the state and work of each role grow with size.")
	app.HelpFlag.Short('h')
	slopes := app.Command("slopes", "Measure the slopes, or what a proxy adds.").Default()
	only := slopes.Flag("only", "Measure only what has this in its name.").String()
	through := slopes.Flag("through", "Measure instead what this proxy's client address adds, as localcluster prints it.").PlaceHolder("HOST:PORT").String()
	direct := slopes.Flag("direct", "The address of a server behind it.").PlaceHolder("HOST:PORT").String()
	count := slopes.Flag("count", "How many inquiries to send each way.").Default("5000").Int()
	orders := slopes.Flag("orders", "Measure instead how long orders to this control address take until they are acknowledged; may be repeated.").PlaceHolder("HOST:PORT").Strings()
	operators := slopes.Flag("operators", "How many operators send orders at once.").Default("1").Int()
	simulate, simulated := addSimulate(app)
	departures, departed := addDepartures(app)
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case simulate.FullCommand():
		app.FatalIfError(simulated.run(), "the simulation")
		return
	case departures.FullCommand():
		app.FatalIfError(departed.run(), "the emulation")
		return
	}
	if len(*orders) > 0 {
		app.FatalIfError(printChangeLatencies(*orders, max(1, *count), max(1, *operators)), "orders")
		return
	}
	if *through != "" {
		app.FatalIfError(printAddedLatency(*through, *direct, max(100, *count)), "the added delay")
		return
	}
	runtime.GOMAXPROCS(1)
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "ROLE\tWHAT\tSIZES\tBYTES\tTIME\tBYTES EACH\tTIME EACH")
	for _, m := range measurements() {
		if !strings.Contains(m.role+" "+m.name, *only) {
			continue
		}
		var bytes, times []float64
		var texts, spans []string
		for _, size := range m.sizes {
			r := m.run(size)
			bytes, times = append(bytes, float64(r.bytes)), append(times, float64(r.took))
			texts, spans = append(texts, fmt.Sprint(r.bytes)), append(spans, r.took.Round(time.Microsecond/10).String())
		}
		fmt.Fprintf(table, "%s\t%s\t%v\t%s\t%s\t%.4g\t%v\n", m.role, m.name, m.sizes, strings.Join(texts, " "), strings.Join(spans, " "),
			slope(m.sizes, bytes), time.Duration(slope(m.sizes, times)))
	}
	_ = table.Flush()
}
