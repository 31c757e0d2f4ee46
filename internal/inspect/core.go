package inspect

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"ploverhitch/internal/control"
)

// Core is the state of the control plane as its members report it.
type Core struct {
	Members     []control.Status `json:"Members"`
	Unreachable []string         `json:"Unheard"`
	// Accepted maps each member to the versions it has accepted of the requested item.
	Accepted map[string]control.AcceptedPage `json:"Accepted,omitempty"`
	Findings []string                        `json:"Findings"`
}

// Core queries every member of the view for its status and, unless item is empty,
// for the accepted versions of the items with that name.
func (c *Control) Core(item string) (core Core, err error) {
	var first control.Status
	if err = c.read("/v1/status", &first); err != nil {
		return core, err
	}
	core.Accepted, core.Unreachable = map[string]control.AcceptedPage{}, []string{}
	for _, member := range sortedKeys(first.Members) {
		memberControl, err := c.memberControl(member)
		if err != nil {
			return core, err
		}
		var status control.Status
		if memberControl.read("/v1/status", &status) != nil {
			core.Unreachable = append(core.Unreachable, member)
			continue
		}
		core.Members = append(core.Members, status)
		var page control.AcceptedPage
		if item != "" && memberControl.read("/v1/config/accepted/"+url.PathEscape(item), &page) == nil {
			core.Accepted[member] = page
		}
	}
	core.Findings = core.findings()
	return core, nil
}

// findings lists the problems in the members' reports.
func (c Core) findings() []string {
	out := []string{}
	newest := control.Status{}
	for _, status := range c.Members {
		newest.Epoch, newest.Index = max(newest.Epoch, status.Epoch), max(newest.Index, status.Index)
	}
	leaseHolders := []string{}
	for _, status := range c.Members {
		if status.Lease.RemainingMs > 0 {
			leaseHolders = append(leaseHolders, status.Node)
		}
		if status.Epoch < newest.Epoch {
			out = append(out, fmt.Sprintf("%s is in epoch %d of %d", status.Node, status.Epoch, newest.Epoch))
		}
		if !status.IsTrusted {
			out = append(out, fmt.Sprintf("%s is not whole: it neither votes nor answers readings; %s", status.Node, formatRecovery(status.Recovery)))
		}
		if status.Index < newest.Index {
			out = append(out, fmt.Sprintf("%s lacks %d changes of the configuration", status.Node, newest.Index-status.Index))
		}
		if status.QuorumAgeMs < 0 || status.QuorumAgeMs > maxQuorumAgeMs {
			out = append(out, fmt.Sprintf("%s reached a majority: %s", status.Node, formatAge(status.QuorumAgeMs)))
		}
		if status.ListAgeMs < 0 || status.ListAgeMs > maxListAgeMs {
			out = append(out, fmt.Sprintf("%s knows of a reading of the platform's list: %s", status.Node, formatAge(status.ListAgeMs)))
		}
	}
	if len(leaseHolders) != 1 {
		out = append(out, fmt.Sprintf("%d members hold the lease of the duty: %s", len(leaseHolders), strings.Join(leaseHolders, ", ")))
	}
	for _, member := range c.Unreachable {
		out = append(out, member+" does not answer")
	}
	return out
}

// maxQuorumAgeMs is the age of a member's last quorum contact above which it is
// reported as a finding.
const maxQuorumAgeMs = 2000

// maxListAgeMs is the age of a member's newest read of the platform's instance list
// above which it is reported as a finding: the departure of a server must be known
// well within two seconds.
const maxListAgeMs = 2000

// formatRecovery tells what a member that does not vote does, and for how long.
func formatRecovery(recovery control.RecoveryStatus) string {
	text := fmt.Sprintf("%s for %d ms", recovery.Phase, recovery.SinceMs)
	if recovery.Detail != "" {
		text += " (" + recovery.Detail + ")"
	}
	return text
}

func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", ms)
}

func (c *Commands) core(control *Control) (int, error) {
	core, err := control.Core(*c.item)
	if err != nil {
		return ExitError, err
	}
	rows := [][]string{{"MEMBER", "EPOCH", "WHOLE", "INDEX", "BEHIND", "QUORUM", "LIST READ", "TERM", "LEASE"}}
	newest := uint64(0)
	for _, status := range core.Members {
		newest = max(newest, status.Index)
	}
	for _, status := range core.Members {
		lease := "-"
		if status.Lease.RemainingMs > 0 {
			lease = fmt.Sprintf("holds, %d ms left", status.Lease.RemainingMs)
		}
		rows = append(rows, []string{
			status.Node, strconv.FormatUint(status.Epoch, 10), strconv.FormatBool(status.IsTrusted), strconv.FormatUint(status.Index, 10),
			strconv.FormatUint(newest-status.Index, 10), formatAge(status.QuorumAgeMs), formatAge(status.ListAgeMs), strconv.FormatUint(status.Term, 10), lease,
		})
	}
	if len(core.Accepted) > 0 {
		rows = append(rows, nil, []string{"MEMBER", "ITEM", "REVISION", "CONTENT"})
	}
	for _, member := range sortedKeys(core.Accepted) {
		for _, item := range core.Accepted[member].Items {
			for _, accepted := range slices.Backward(item.Accepted) {
				text, _ := accepted.Revision.MarshalText()
				rows = append(rows, []string{member, item.Class + " " + item.Name, string(text), accepted.Content})
			}
		}
	}
	for _, finding := range core.Findings {
		rows = append(rows, []string{finding})
	}
	c.print(core, rows)
	switch {
	case len(core.Unreachable) > 0:
		return ExitError, fmt.Errorf("no answer from %s", strings.Join(core.Unreachable, ", "))
	case len(core.Findings) > 0:
		return ExitFindings, nil
	}
	return ExitClean, nil
}
