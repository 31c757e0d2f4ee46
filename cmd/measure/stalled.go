package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// stalledClients measures ordinary requests beside clients that send requests and don't read the answers.
type stalledClients struct {
	through, path, stallPath *string
	counts                   *[]int
	duration                 *time.Duration
}

func addStalled(app *kingpin.Application) (*kingpin.CmdClause, *stalledClients) {
	command := app.Command("stalled", "Measure ordinary requests beside clients that send requests and don't read the answers. Example: measure stalled --through 127.0.2.1:17208")
	return command, &stalledClients{
		through:   command.Flag("through", "Client address of a proxy, as printed by localcluster.").Required().PlaceHolder("HOST:PORT").String(),
		path:      command.Flag("path", "Path of the ordinary requests.").Default("/read/a").String(),
		stallPath: command.Flag("stall-path", "Path of the requests whose answers are not read.").Default("/file/a").String(),
		counts:    command.Flag("clients", "Number of clients that don't read; may be repeated.").Default("0", "32", "256", "1000").Ints(),
		duration:  command.Flag("duration", "How long each number of clients is measured.").Default("6s").Duration(),
	}
}

// stallPause is how long a client holds a connection before it opens the next one.
const stallPause = 1500 * time.Millisecond

// run prints a row for each number of clients.
func (s *stalledClients) run() error {
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "CLIENTS THAT DON'T READ\tORDINARY REQUESTS\tFAILED\tP50\tP99\tMOST")
	for _, count := range *s.counts {
		took, failed := s.measure(count)
		if len(took) == 0 {
			fmt.Fprintf(table, "%d\t0\t%d\t-\t-\t-\n", count, failed)
			continue
		}
		fmt.Fprintf(table, "%d\t%d\t%d\t%v\t%v\t%v\n", count, len(took), failed, took.quantile(0.5), took.quantile(0.99), took.quantile(1))
	}
	return table.Flush()
}

// measure sends ordinary requests one at a time beside the given number of clients that don't read.
func (s *stalledClients) measure(count int) (took latencies, failed int) {
	ctx, stop := context.WithTimeout(context.Background(), *s.duration)
	defer stop()
	var clients sync.WaitGroup
	defer clients.Wait()
	for number := range count {
		clients.Go(func() { s.stall(ctx, number) })
	}
	ordinary := newSender(*s.through)
	for ctx.Err() == nil {
		latency, err := ordinary.send("GET", *s.path, fmt.Sprint("o", time.Now().UnixNano()), "")
		if err != nil {
			failed++
			time.Sleep(time.Millisecond)
			continue
		}
		took = append(took, latency)
	}
	slices.Sort(took)
	return took, failed
}

// stall opens one connection after the other, sends a request on each and reads nothing.
func (s *stalledClients) stall(ctx context.Context, number int) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if conn, err := net.DialTimeout("tcp4", *s.through, time.Second); err == nil {
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h.example\r\nPloverhitch-Attempt-Id: stalled-%d-%d\r\n\r\n", *s.stallPath, number, attempt)
			pause(ctx, stallPause)
			_ = conn.Close()
			continue
		}
		pause(ctx, stallPause)
	}
}

// pause waits for the duration or until the context ends.
func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
