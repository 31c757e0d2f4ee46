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

// minConversations is the number of complete conversations without a difference that
// is required to claim that the shadow behaves as the live service.
const minConversations = 30

// MirrorSummary holds the results of one mirror, summed over all nodes.
type MirrorSummary struct {
	Name   string                               `json:"Name"`
	Grant  *mirror.Grant                        `json:"Grant,omitempty"`
	Counts map[string]map[mirror.Outcome]uint64 `json:"Counts"`
	Gaps   map[string]uint64                    `json:"Gaps"`
	// Seen counts the conversations observed since the nodes last changed, Whole those
	// of which every copy reached the shadow, Differing the whole ones with a
	// difference, and Untracked those beyond the number that nodes record.
	Seen      int              `json:"Seen"`
	Whole     int              `json:"Whole"`
	Differing int              `json:"Differing"`
	Untracked uint64           `json:"Untracked"`
	Examples  []mirror.Example `json:"Examples"`
	// Claim is the conclusion that the whole conversations support, or why there is
	// none.
	Claim string `json:"Claim"`
}

// Summarize merges the nodes' results of one mirror. A conversation is whole only if
// no node has a gap in it. Nothing is claimed unless all nodes known to the leader
// have answered, with the incarnations and the era that the leader knows.
func Summarize(name string, grant *mirror.Grant, nodes []messages.MirrorStatus) MirrorSummary {
	out := MirrorSummary{Name: name, Grant: grant, Counts: map[string]map[mirror.Outcome]uint64{}, Gaps: map[string]uint64{}, Examples: []mirror.Example{}}
	conversations, incarnations, sameEra := map[uint64]mirror.Conversation{}, uint64(0), true
	for _, node := range nodes {
		incarnations ^= mirror.IncarnationHash(node.Node, node.Incarnation)
		page, exists := node.Pages[name]
		if !exists {
			continue
		}
		sameEra = sameEra && grant != nil && page.Grant.Era == grant.Era && page.Grant.Version == grant.Version
		for route, counts := range page.Counts {
			if out.Counts[route] == nil {
				out.Counts[route] = map[mirror.Outcome]uint64{}
			}
			for outcome, count := range counts {
				out.Counts[route][outcome] += count
			}
		}
		for reason, count := range page.Gaps {
			out.Gaps[reason] += count
		}
		for _, conversation := range page.Conversations {
			sum := conversations[conversation.Hash]
			sum.SamplePoint, sum.Partial = conversation.SamplePoint, sum.Partial || conversation.Partial
			sum.Copies, sum.Compared = sum.Copies+conversation.Copies, sum.Compared+conversation.Compared
			sum.Differing, sum.Gaps = sum.Differing+conversation.Differing, sum.Gaps+conversation.Gaps
			conversations[conversation.Hash] = sum
		}
		out.Untracked += page.Untracked
		out.Examples = append(out.Examples, page.Examples...)
	}
	for _, conversation := range conversations {
		out.Seen++
		if grant != nil && conversation.Complete() && conversation.SamplePoint < grant.Share {
			out.Whole++
			if conversation.Differing > 0 {
				out.Differing++
			}
		}
	}
	switch {
	case grant == nil:
		out.Whole, out.Differing, out.Claim = 0, 0, "nothing: the mirror is not in force"
	case !grant.Settled || incarnations != grant.Incarnations || !sameEra:
		out.Whole, out.Differing, out.Claim = 0, 0, "nothing: not all nodes have answered under the same grant"
	case out.Differing > 0:
		out.Claim = fmt.Sprintf("%d of %d whole conversations differ", out.Differing, out.Whole)
	case out.Whole < minConversations:
		out.Claim = fmt.Sprintf("nothing yet: %d of %d whole conversations needed", out.Whole, minConversations)
	default:
		out.Claim = fmt.Sprintf("no difference in %d whole conversations (under %.2g%% differ, at 95%%)", out.Whole, 300/float64(out.Whole))
	}
	return out
}

// Mirrors queries the control plane for the mirrors and every proxy for its results,
// and returns their summaries and the nodes that did not answer.
func (c *Control) Mirrors() (out []MirrorSummary, unreachable []string, err error) {
	var page control.MirrorPage
	if err = c.read("/v1/mirrors", &page); err != nil {
		return nil, nil, err
	}
	fleet, err := c.Fleet()
	if err != nil {
		return nil, nil, err
	}
	var nodes []messages.MirrorStatus
	unreachable = append(unreachable, fleet.Unreachable...)
	for _, proxy := range proxyClients(fleet.Members) {
		var node messages.MirrorStatus
		if proxy.client.Call(messages.KindMirrorStatus, struct{}{}, &node, requestTimeout) != nil {
			unreachable = append(unreachable, proxy.name)
			continue
		}
		nodes = append(nodes, node)
	}
	for _, declared := range page.Mirrors {
		index := slices.IndexFunc(page.Grants, func(g mirror.Grant) bool { return g.Name == declared.Name })
		if index < 0 {
			out = append(out, Summarize(declared.Name, nil, nodes))
			continue
		}
		out = append(out, Summarize(declared.Name, &page.Grants[index], nodes))
	}
	return out, unreachable, nil
}

func sortedKeys[V any](from map[string]V) []string { return slices.Sorted(maps.Keys(from)) }

func (c *Commands) mirror(control *Control) (int, error) {
	summaries, unreachable, err := control.Mirrors()
	if err != nil {
		return ExitError, err
	}
	status := ExitClean
	rows := [][]string{{"MIRROR", "SHARE", "SEEN", "WHOLE", "DIFFERING", "CLAIM"}}
	details := [][]string{nil, {"MIRROR", "ROUTE", "OUTCOME", "COUNT"}}
	for _, summary := range summaries {
		share := "ended"
		if summary.Grant != nil {
			share = strconv.FormatFloat(summary.Grant.Share, 'g', 3, 64)
		}
		rows = append(rows, []string{summary.Name, share, strconv.Itoa(summary.Seen), strconv.Itoa(summary.Whole), strconv.Itoa(summary.Differing), summary.Claim})
		if summary.Differing > 0 {
			status = ExitFindings
		}
		for _, route := range sortedKeys(summary.Counts) {
			for _, outcome := range slices.Sorted(maps.Keys(summary.Counts[route])) {
				details = append(details, []string{summary.Name, route, string(outcome), strconv.FormatUint(summary.Counts[route][outcome], 10)})
			}
		}
		for _, reason := range sortedKeys(summary.Gaps) {
			details = append(details, []string{summary.Name, "", "gap: " + reason, strconv.FormatUint(summary.Gaps[reason], 10)})
		}
		for _, example := range summary.Examples {
			details = append(details, []string{summary.Name, example.Route, "example: " + string(example.Outcome), fmt.Sprintf("%s live %d in %d ms, shadow %d in %d ms", example.Attempt, example.LiveStatus, example.LiveMs, example.ShadowStatus, example.ShadowMs)})
		}
	}
	c.print(append([]MirrorSummary{}, summaries...), append(rows, details...))
	if len(unreachable) > 0 {
		return ExitError, fmt.Errorf("no answer from %s", strings.Join(unreachable, ", "))
	}
	return status, nil
}
