// Command measure measures, on the machine it runs on, how the state and the work
// of each role grow with the number of servers, routes, proxies and keyed operations.
// docs/CAPACITY.md is based on its output.
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

// measurement is one operation that is measured at several sizes.
type measurement struct {
	role, name string
	sizes      []int
	run        func(size int) result
}

// result holds the bytes that are kept or sent at one size, and the time of one operation.
type result struct {
	bytes int
	took  time.Duration
}

// averageTime runs the operation repeatedly for 100 ms and returns the mean duration.
func averageTime(run func()) time.Duration {
	run()
	began, count := time.Now(), 0
	for time.Since(began) < 100*time.Millisecond {
		run()
		count++
	}
	return time.Since(began) / time.Duration(count)
}

// retainedBytes returns the heap memory that the result of create keeps alive, and that result.
func retainedBytes[T any](create func() T) (bytes int, kept T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept = create()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return max(0, int(after.HeapAlloc)-int(before.HeapAlloc)), kept
}

// slope returns the least-squares slope of the figures over the sizes.
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
	slopes := app.Command("slopes", "Measure growth with size, the latency that a proxy adds, or the latency of configuration changes.").Default()
	only := slopes.Flag("only", "Run only measurements whose role and name contain this text.").String()
	through := slopes.Flag("through", "Measure instead the latency that a proxy adds; the client address of the proxy, as printed by localcluster.").PlaceHolder("HOST:PORT").String()
	direct := slopes.Flag("direct", "Address of a server behind the proxy.").PlaceHolder("HOST:PORT").String()
	count := slopes.Flag("count", "Number of requests to send on each path.").Default("5000").Int()
	orders := slopes.Flag("orders", "Measure instead the time until configuration changes sent to this control address are acknowledged; may be repeated.").PlaceHolder("HOST:PORT").Strings()
	operators := slopes.Flag("operators", "Number of operators that send changes concurrently.").Default("1").Int()
	simulate, simulated := addSimulate(app)
	departures, departed := addDepartures(app)
	stalled, stalling := addStalled(app)
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case simulate.FullCommand():
		app.FatalIfError(simulated.run(), "the simulation")
		return
	case departures.FullCommand():
		app.FatalIfError(departed.run(), "the emulation")
		return
	case stalled.FullCommand():
		app.FatalIfError(stalling.run(), "measuring beside clients that don't read")
		return
	}
	if len(*orders) > 0 {
		app.FatalIfError(printChangeLatencies(*orders, max(1, *count), max(1, *operators)), "measuring configuration changes")
		return
	}
	if *through != "" {
		app.FatalIfError(printAddedLatency(*through, *direct, max(100, *count)), "measuring the added latency")
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
