package main

import (
	"fmt"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"ploverhitch/internal/emulator/simulation"
)

// simulateCommand holds the flags of `measure simulate`.
type simulateCommand struct {
	seeds    uint64
	first    uint64
	scenario string
	guard    string
	dense    bool
	plot     string
}

const (
	// simulatedSpares is the number of spare nodes outside the view.
	simulatedSpares = 2
	// highestLatency is the upper bound of the histogram, in microseconds.
	highestLatency    = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

// simulatedSizes are the numbers of members.
var simulatedSizes = []int{3, 5}

// summary aggregates the runs of one scenario.
type summary struct {
	scenario     simulation.Scenario
	runs         int
	failed       int
	undetermined int
	changes      int
	latencies    *hdrhistogram.Histogram
}

// addSimulate registers the command `simulate`.
func addSimulate(app *kingpin.Application) (*kingpin.CmdClause, *simulateCommand) {
	command, flags := app.Command("simulate", "Run the control plane's simulation over many seeds."), &simulateCommand{}
	command.Flag("seeds", "Number of seeds for each scenario.").Default("100").Uint64Var(&flags.seeds)
	command.Flag("first", "The first seed.").Default("0").Uint64Var(&flags.first)
	command.Flag("scenario", "Run only this scenario.").StringVar(&flags.scenario)
	command.Flag("without", "Disable this guard.").StringVar(&flags.guard)
	command.Flag("dense", "Run a dense load on slow disks; the order of operations is not checked.").BoolVar(&flags.dense)
	command.Flag("plot", "Write a plot to this file, .svg or .png.").StringVar(&flags.plot)
	return command, flags
}

// run runs the seeds and prints the failures first, then the quantiles of the virtual time
// to acknowledge a change.
func (c simulateCommand) run() error {
	var summaries []*summary
	failed := 0
	for _, scenario := range simulation.Scenarios() {
		if c.scenario != "" && c.scenario != string(scenario) {
			continue
		}
		s := c.runSeeds(scenario)
		summaries = append(summaries, s)
		failed += s.failed
	}
	fmt.Printf("%d failed\n", failed)
	for _, s := range summaries {
		h := s.latencies
		fmt.Printf("%s: %d runs, %d failed, %d undetermined, %d changes; acknowledged %d, p50 %v p90 %v p99 %v most %v\n",
			s.scenario, s.runs, s.failed, s.undetermined, s.changes, h.TotalCount(),
			virtualTime(h.ValueAtQuantile(50)), virtualTime(h.ValueAtQuantile(90)), virtualTime(h.ValueAtQuantile(99)), virtualTime(h.Max()))
	}
	if c.plot != "" {
		if err := drawPlot(summaries, c.plot); err != nil {
			return err
		}
	}
	if failed > 0 {
		return errors.Errorf("%d runs failed", failed)
	}
	return nil
}

func virtualTime(microseconds int64) time.Duration {
	return time.Duration(microseconds) * time.Microsecond
}

func (c simulateCommand) runSeeds(scenario simulation.Scenario) *summary {
	s := &summary{scenario: scenario, latencies: hdrhistogram.New(1, highestLatency, significantDigits)}
	for seed := c.first; seed < c.first+c.seeds; seed++ {
		for _, members := range simulatedSizes {
			result := simulation.Run(simulation.Options{
				Seed: seed, Members: members, Spares: simulatedSpares, Scenario: scenario,
				IsDense: c.dense, Without: simulation.Guard(c.guard),
			})
			s.add(result)
		}
	}
	return s
}

func (s *summary) add(result simulation.Result) {
	s.runs++
	s.changes += result.Changes
	if result.Violation != nil {
		s.failed++
		fmt.Fprintln(os.Stdout, "FAILED", result.Violation)
	}
	if result.IsUndetermined {
		s.undetermined++
		fmt.Fprintln(os.Stdout, "UNDETERMINED", result.Options)
	}
	for _, latency := range result.Latencies {
		_ = s.latencies.RecordValue(max(1, min(highestLatency, latency.Microseconds())))
	}
}

// drawPlot plots the quantiles of each scenario; the file extension selects SVG or PNG.
func drawPlot(summaries []*summary, path string) error {
	p := plot.New()
	p.Title.Text = "Time from a change to its acknowledgement (simulated)"
	p.X.Label.Text = "milliseconds of virtual time"
	p.Y.Label.Text = "percent acknowledged"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	for i, s := range summaries {
		var points plotter.XYs
		for percent := 1.0; percent <= 100; percent++ {
			milliseconds := float64(s.latencies.ValueAtQuantile(percent)) / 1000
			points = append(points, plotter.XY{X: max(0.1, milliseconds), Y: percent})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Trace(err)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(string(s.scenario), line)
	}
	return errors.Trace(p.Save(8*vg.Inch, 5*vg.Inch, path))
}
