package main

import (
	"fmt"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"ploverhitch/internal/emulator/departure"
)

// departuresCommand holds the flags of `measure departures`.
type departuresCommand struct {
	seeds, first  uint64
	scenario      string
	size          departure.Size
	drain         time.Duration
	withoutGuards bool
	workers       int
}

// addDepartures registers the command `departures`.
func addDepartures(app *kingpin.Application) (*kingpin.CmdClause, *departuresCommand) {
	command, flags := app.Command("departures", "Emulate how long a departing server still receives requests, over many seeds."), &departuresCommand{}
	command.Flag("seeds", "Number of seeds for each scenario.").Default("100").Uint64Var(&flags.seeds)
	command.Flag("first", "The first seed.").Default("0").Uint64Var(&flags.first)
	command.Flag("scenario", "Run only this scenario.").StringVar(&flags.scenario)
	command.Flag("pages", "Number of pages of the platform's instance list.").Default("15").IntVar(&flags.size.Pages)
	command.Flag("zones", "Number of zones that the pages belong to.").Default("6").IntVar(&flags.size.Zones)
	command.Flag("rate", "Requests per second that the platform accepts.").Default("50").Float64Var(&flags.size.Rate)
	command.Flag("members", "Number of members of the view.").Default("5").IntVar(&flags.size.Members)
	command.Flag("proxies", "Number of proxies.").Default("30").IntVar(&flags.size.Proxies)
	command.Flag("drain", "Time after the list shows the departure in which a server may still receive requests.").Default("2500ms").DurationVar(&flags.drain)
	command.Flag("before", "Disable all guards that were introduced after the incident operators-drain.").BoolVar(&flags.withoutGuards)
	command.Flag("workers", "Number of concurrent runs.").Default("2").IntVar(&flags.workers)
	return command, flags
}

// run prints, for each scenario, how the time until the last byte divides into its stages.
func (c departuresCommand) run() error {
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	defer out.Flush()
	_, _ = fmt.Fprintln(out, "scenario\treading\tpage shows\tmember tells\tproxy knows\tlast byte\tlast byte, settled\tof drain left\twent back\tcalls a second")
	for _, scenario := range departure.Scenarios() {
		if c.scenario != "" && c.scenario != string(scenario) {
			continue
		}
		total := c.runSeeds(scenario)
		left := 1 - total.SettledLastByte.Most().Seconds()/c.drain.Seconds()
		_, _ = fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.0f%%\t%d\t%.1f\n", scenario, formatQuantiles(total.Readings), formatQuantiles(total.Read),
			formatQuantiles(total.Told), formatQuantiles(total.Known), formatQuantiles(total.LastByte), formatQuantiles(total.SettledLastByte), 100*left, total.Regressions, float64(total.Calls)/float64(c.seeds)/departure.RunSpan.Seconds())
	}
	return nil
}

// runSeeds runs all seeds of a scenario on the configured number of workers.
func (c departuresCommand) runSeeds(scenario departure.Scenario) departure.Result {
	guards := departure.Present()
	if c.withoutGuards {
		guards = departure.Guards{}
	}
	total, lock := departure.NewResult(), sync.Mutex{}
	seeds, done := make(chan uint64), sync.WaitGroup{}
	for range max(1, c.workers) {
		done.Go(func() {
			for seed := range seeds {
				result := departure.Run(departure.Options{Seed: seed, Size: c.size, Scenario: scenario, Guards: guards})
				lock.Lock()
				total.Merge(result)
				lock.Unlock()
			}
		})
	}
	for seed := range c.seeds {
		seeds <- c.first + seed
	}
	close(seeds)
	done.Wait()
	return total
}

// formatQuantiles returns the median, the 99th and 99.9th percentiles and the maximum, in seconds.
func formatQuantiles(durations departure.Spans) string {
	return fmt.Sprintf("%.2f %.2f %.2f %.2f", durations.Quantile(50).Seconds(), durations.Quantile(99).Seconds(),
		durations.Quantile(99.9).Seconds(), durations.Most().Seconds())
}
