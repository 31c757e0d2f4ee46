package inspect

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
)

// Exit statuses of the inspector command.
const (
	ExitClean    = 0
	ExitFindings = 1
	ExitError    = 2
)

// Commands holds the parsed flags and the output streams of the inspector's
// subcommands.
type Commands struct {
	control, file, service *string
	add, retire            *[]string
	jsonOutput             *bool
	confirm                *time.Duration
	without, item          *string
	out, errOut            io.Writer
}

// Register adds the inspector command with its subcommands to app.
func Register(app *kingpin.Application, out, errOut io.Writer) *Commands {
	c := &Commands{out: out, errOut: errOut}
	group := app.Command("inspector", "Inspects a running system without changing it.")
	c.control = group.Flag("control", "Control address of a control plane member.").PlaceHolder("HOST:PORT").String()
	c.jsonOutput = group.Flag("json", "Print JSON instead of a table.").Bool()
	check := group.Command("check", "Checks a configuration against the running fleet. Example: ploverhitch inspector --control 10.1.0.42:8382 check --manifest next.json")
	c.file = check.Flag("manifest", "File with a configuration request to check before it is submitted; by default the current configuration is checked.").String()
	moves := group.Command("moves", "Lists the running keyed operations and downloads that a change of servers would move. Example: ploverhitch inspector --control 10.1.0.42:8382 moves --service fees --retire i-7f3a91c2")
	c.service = moves.Flag("service", "The service whose servers change.").Required().String()
	c.add = moves.Flag("add", "An instance to add, as ID or ID@ZONE; may be repeated.").Strings()
	c.retire = moves.Flag("retire", "An instance to retire; may be repeated.").Strings()
	c.confirm = moves.Flag("confirm", "Wait up to this long for the change to take effect, and compare the moves with the forecast.").Duration()
	sites := group.Command("sites", "Shows the site tree, the capacity and load of each site, and the requests forwarded between sites. Example: ploverhitch inspector --control 10.1.0.42:8382 sites --without tvm-a")
	c.without = sites.Flag("without", "Forecast where this site's requests would go if it failed, and whether the capacity suffices.").PlaceHolder("SITE").String()
	group.Command("load", "Shows the order in which routes are shed under overload, what is shed now and why, and the nodes by cutoff. Example: ploverhitch inspector --control 10.1.0.42:8382 load")
	group.Command("mirror", "Shows the outcomes of the requests that a mirror copies to its shadow, and the conclusion they support. Example: ploverhitch inspector --control 10.1.0.42:8382 mirror")
	core := group.Command("control", "Shows the control plane members: view, lease, quorum contact, missing changes, and the accepted versions of an item. Example: ploverhitch inspector --control 10.1.0.42:8382 control --item r-fees")
	c.item = core.Flag("item", "Also show the accepted versions of the items with this name.").PlaceHolder("NAME").String()
	return c
}

// Run runs the subcommand with the given full name and returns the exit status.
func (c *Commands) Run(name string) int {
	run := map[string]func(*Control) (int, error){
		"inspector check": c.check, "inspector moves": c.moves, "inspector sites": c.sites, "inspector load": c.load, "inspector mirror": c.mirror, "inspector control": c.core,
	}[name]
	if run == nil || *c.control == "" {
		return c.fail(fmt.Errorf("--control is required"))
	}
	status, err := run(NewControl(*c.control))
	if err != nil {
		return c.fail(err)
	}
	return status
}

func (c *Commands) fail(err error) int {
	fmt.Fprintln(c.errOut, "ploverhitch inspector:", strings.ReplaceAll(err.Error(), "\n", " "))
	return ExitError
}

func (c *Commands) check(control *Control) (int, error) {
	var sent []config.Item
	var err error
	if *c.file != "" {
		if sent, err = FileItems(*c.file); err != nil {
			return ExitError, err
		}
	}
	itemSet, err := control.ItemSet()
	if err != nil {
		return ExitError, err
	}
	fleet, err := control.Fleet()
	if err != nil {
		return ExitError, err
	}
	findings := Check(itemSet, sent, fleet)
	rows := [][]string{{"FINDING", "WHERE", "DETAIL"}}
	for _, f := range findings {
		rows = append(rows, []string{f.What, f.Where, f.Detail})
	}
	c.print(append([]Finding{}, findings...), rows)
	if len(findings) > 0 {
		return ExitFindings, nil
	}
	return ExitClean, nil
}

func (c *Commands) moves(control *Control) (int, error) {
	forecast, err := control.Forecast(balancer.Change{Service: *c.service, Add: *c.add, Retire: *c.retire})
	if err != nil {
		return ExitError, err
	}
	rows := [][]string{{"NODE", "ROUTE", "OPERATION", "FROM", "TO", "RUNS ON"}}
	for _, node := range forecast.Nodes {
		for _, m := range forecast.Moving()[node.Node] {
			name := "key " + m.Key
			if m.Key == "" {
				name = "download " + m.Target + " (" + m.Attempt + ")"
			}
			rows = append(rows, []string{node.Node, m.Route, name, m.From, m.To, strings.Join(m.RunningOn, ",")})
		}
	}
	c.print(forecast, rows)
	if len(forecast.Unreachable) > 0 {
		return ExitError, fmt.Errorf("no answer from %s", strings.Join(forecast.Unreachable, ", "))
	}
	if *c.confirm > 0 {
		mismatches, err := forecast.Confirm(clock.Real(), *c.confirm)
		if err != nil {
			return ExitError, err
		}
		rows = [][]string{{"NODE", "OPERATION", "FORECAST", "HOME"}}
		for _, s := range mismatches {
			rows = append(rows, []string{s.Node, s.Operation.Key + s.Operation.Target, s.Operation.To, s.Home})
		}
		c.print(append([]Mismatch{}, mismatches...), rows)
		if len(mismatches) > 0 {
			return ExitFindings, nil
		}
		return ExitClean, nil
	}
	if len(rows) > 1 {
		return ExitFindings, nil
	}
	return ExitClean, nil
}

func (c *Commands) print(value any, rows [][]string) {
	if *c.jsonOutput {
		text, _ := json.MarshalIndent(value, "", "  ")
		fmt.Fprintln(c.out, string(text))
		return
	}
	table := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	_ = table.Flush()
}
