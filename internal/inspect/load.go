package inspect

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"ploverhitch/internal/control"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/shedding"
)

// Load is the order of tiers, the requests being shed, and the nodes grouped by the
// number of the cutoff that they apply.
type Load struct {
	control.LoadPage
	Nodes       map[string][]string `json:"Nodes"`
	Unreachable []string            `json:"Unheard"`
}

// Load queries the leader and every proxy.
func (c *Control) Load() (out Load, err error) {
	if err = c.readFromLeader("/v1/load", &out.LoadPage, func() (bool, string) { return out.IsLeader, out.Leader }); err != nil {
		return out, err
	}
	fleet, err := c.Fleet()
	if err != nil {
		return out, err
	}
	out.Nodes, out.Unreachable = map[string][]string{}, append([]string{}, fleet.Unreachable...)
	for _, status := range fleet.Proxies {
		name := cutoffName(status)
		out.Nodes[name] = append(out.Nodes[name], status.Node)
	}
	for _, nodes := range out.Nodes {
		slices.Sort(nodes)
	}
	return out, nil
}

func cutoffName(status messages.ProxyStatus) string {
	switch {
	case status.LocalCutoff && status.Cutoff > 0:
		return "own floor"
	case status.Cutoff == 0:
		return "none"
	}
	return strconv.FormatUint(status.Cutoff, 10)
}

// shedSummary describes the share of a tier that the cutoffs shed, by service.
func shedSummary(tier shedding.Tier, cutoffs []shedding.Cutoff) string {
	var out []string
	for _, cutoff := range cutoffs {
		switch {
		case tier > cutoff.Tier:
			out = append(out, cutoff.Service+" all")
		case tier == cutoff.Tier && cutoff.Fraction > 0:
			out = append(out, fmt.Sprintf("%s %.0f%%", cutoff.Service, 100*cutoff.Fraction))
		}
	}
	return strings.Join(out, ", ")
}

func (c *Commands) load(control *Control) (int, error) {
	load, err := control.Load()
	if err != nil {
		return ExitError, err
	}
	rows := [][]string{{"TIER", "PLAN", "PRIORITY", "KIND", "ROUTES", "TURNED AWAY"}}
	for _, tier := range load.Order {
		rows = append(rows, []string{
			strconv.Itoa(int(tier.Tier)), tier.Plan, strconv.Itoa(tier.Priority), tier.Kind, strings.Join(tier.Routes, ","), shedSummary(tier.Tier, load.Cutoffs),
		})
	}
	rows = append(rows, nil, []string{"SERVICE", "TIER", "OFFERED", "TURNED AWAY", "SENT", "FULL", "LATE"})
	for _, account := range load.Accounts {
		row := []string{account.Service, strconv.Itoa(int(account.Tier))}
		for _, count := range []uint32{account.Offered, account.Shed, account.Sent, account.Rejected, account.Late} {
			row = append(row, strconv.FormatUint(uint64(count), 10))
		}
		rows = append(rows, row)
	}
	rows = append(rows, nil, []string{"CUTOFF", "NODES"})
	for _, number := range sortedKeys(load.Nodes) {
		rows = append(rows, []string{number, strings.Join(load.Nodes[number], ",")})
	}
	c.print(load, rows)
	switch {
	case len(load.Unreachable) > 0:
		return ExitError, fmt.Errorf("no answer from %s", strings.Join(load.Unreachable, ", "))
	case len(load.Cutoffs) > 0:
		return ExitFindings, nil
	}
	return ExitClean, nil
}
