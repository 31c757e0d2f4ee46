package inspect

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"ploverhitch/internal/control"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/mirror"
)

// parityLeast is how many whole conversations without a difference it takes to
// claim that the shadow does as the live side does.
const parityLeast = 30

// Mirroring is what came of one mirror, summed over all nodes.
type Mirroring struct {
	Name   string                               `json:"Name"`
	Grant  *mirror.Grant                        `json:"Grant,omitempty"`
	Counts map[string]map[mirror.Outcome]uint64 `json:"Counts"`
	Gaps   map[string]uint64                    `json:"Gaps"`
	// Seen are the conversations met since the nodes last changed, Whole those of
	// which every copy reached the shadow, Differing the whole ones with a
	// difference, Untracked those beyond what nodes keep.
	Seen      int              `json:"Seen"`
	Whole     int              `json:"Whole"`
	Differing int              `json:"Differing"`
	Untracked uint64           `json:"Untracked"`
	Examples  []mirror.Example `json:"Examples"`
	// Claim is what may be said of the whole conversations, and why not more.
	Claim string `json:"Claim"`
}

// Sum joins what the nodes know of one mirror. A conversation is whole only if no
// node misses anything of it; nothing is claimed unless all nodes that the holder
// knows have answered, in the lives and in the era that it knows.
//
// Example:
//
//	sum := inspector.Sum("east", grant, nodes)
func Sum(name string, grant *mirror.Grant, nodes []messages.MirrorStatus) Mirroring {
	out := Mirroring{Name: name, Grant: grant, Counts: map[string]map[mirror.Outcome]uint64{}, Gaps: map[string]uint64{}, Examples: []mirror.Example{}}
	talks, lives, isOneEra := map[uint64]mirror.Conversation{}, uint64(0), true
	for _, node := range nodes {
		lives ^= mirror.IncarnationHash(node.Node, node.Incarnation)
		page, isThere := node.Pages[name]
		if !isThere {
			continue
		}
		isOneEra = isOneEra && grant != nil && page.Grant.Era == grant.Era && page.Grant.Version == grant.Version
		for lane, counts := range page.Counts {
			if out.Counts[lane] == nil {
				out.Counts[lane] = map[mirror.Outcome]uint64{}
			}
			for outcome, count := range counts {
				out.Counts[lane][outcome] += count
			}
		}
		for why, count := range page.Gaps {
			out.Gaps[why] += count
		}
		for _, talk := range page.Conversations {
			sum := talks[talk.Hash]
			sum.SamplePoint, sum.Partial = talk.SamplePoint, sum.Partial || talk.Partial
			sum.Copies, sum.Compared = sum.Copies+talk.Copies, sum.Compared+talk.Compared
			sum.Differing, sum.Gaps = sum.Differing+talk.Differing, sum.Gaps+talk.Gaps
			talks[talk.Hash] = sum
		}
		out.Untracked += page.Untracked
		out.Examples = append(out.Examples, page.Examples...)
	}
	for _, talk := range talks {
		out.Seen++
		if grant != nil && talk.IsWhole() && talk.SamplePoint < grant.Share {
			out.Whole++
			if talk.Differing > 0 {
				out.Differing++
			}
		}
	}
	switch {
	case grant == nil:
		out.Whole, out.Differing, out.Claim = 0, 0, "nothing: the mirror is not in force"
	case !grant.Settled || lives != grant.Incarnations || !isOneEra:
		out.Whole, out.Differing, out.Claim = 0, 0, "nothing: not all nodes have answered by one order"
	case out.Differing > 0:
		out.Claim = fmt.Sprintf("%d of %d whole conversations differ", out.Differing, out.Whole)
	case out.Whole < parityLeast:
		out.Claim = fmt.Sprintf("nothing yet: %d of %d whole conversations needed", out.Whole, parityLeast)
	default:
		out.Claim = fmt.Sprintf("no difference in %d whole conversations (under %.2g%% differ, at 95%%)", out.Whole, 300/float64(out.Whole))
	}
	return out
}

// Mirrors asks the core for the mirrors and every proxy for what it knows of them.
//
// Example:
//
//	sums, err := control.Mirrors()
func (c *Control) Mirrors() (out []Mirroring, unheard []string, err error) {
	var page control.MirrorPage
	if err = c.read("/v1/mirrors", &page); err != nil {
		return nil, nil, err
	}
	fleet, err := c.Fleet()
	if err != nil {
		return nil, nil, err
	}
	var nodes []messages.MirrorStatus
	unheard = append(unheard, fleet.Unreachable...)
	for _, edge := range proxyClients(fleet.Members) {
		var node messages.MirrorStatus
		if edge.client.Call(messages.KindMirrorStatus, struct{}{}, &node, requestTimeout) != nil {
			unheard = append(unheard, edge.name)
			continue
		}
		nodes = append(nodes, node)
	}
	for _, declared := range page.Mirrors {
		at := slices.IndexFunc(page.Grants, func(g mirror.Grant) bool { return g.Name == declared.Name })
		if at < 0 {
			out = append(out, Sum(declared.Name, nil, nodes))
			continue
		}
		out = append(out, Sum(declared.Name, &page.Grants[at], nodes))
	}
	return out, unheard, nil
}

func sortedKeys[V any](from map[string]V) []string { return slices.Sorted(maps.Keys(from)) }

func (c *Commands) mirror(control *Control) (int, error) {
	sums, unheard, err := control.Mirrors()
	if err != nil {
		return ExitError, err
	}
	status := ExitClean
	rows := [][]string{{"MIRROR", "SHARE", "SEEN", "WHOLE", "DIFFERING", "CLAIM"}}
	details := [][]string{nil, {"MIRROR", "LANE", "OUTCOME", "COUNT"}}
	for _, sum := range sums {
		share := "ended"
		if sum.Grant != nil {
			share = strconv.FormatFloat(sum.Grant.Share, 'g', 3, 64)
		}
		rows = append(rows, []string{sum.Name, share, strconv.Itoa(sum.Seen), strconv.Itoa(sum.Whole), strconv.Itoa(sum.Differing), sum.Claim})
		if sum.Differing > 0 {
			status = ExitFindings
		}
		for _, lane := range sortedKeys(sum.Counts) {
			for _, outcome := range slices.Sorted(maps.Keys(sum.Counts[lane])) {
				details = append(details, []string{sum.Name, lane, string(outcome), strconv.FormatUint(sum.Counts[lane][outcome], 10)})
			}
		}
		for _, why := range sortedKeys(sum.Gaps) {
			details = append(details, []string{sum.Name, "", "gap: " + why, strconv.FormatUint(sum.Gaps[why], 10)})
		}
		for _, e := range sum.Examples {
			details = append(details, []string{sum.Name, e.Route, "example: " + string(e.Outcome), fmt.Sprintf("%s live %d in %d ms, shadow %d in %d ms", e.Attempt, e.LiveStatus, e.LiveMs, e.ShadowStatus, e.ShadowMs)})
		}
	}
	c.print(append([]Mirroring{}, sums...), append(rows, details...))
	if len(unheard) > 0 {
		return ExitError, fmt.Errorf("no answer from %s", strings.Join(unheard, ", "))
	}
	return status, nil
}
