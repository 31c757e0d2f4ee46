package rollout

import (
	"time"

	"ploverhitch/internal/config"
	"ploverhitch/internal/outlier"
)

// StagePrefix begins the subject of a staged change of lanes.
const StagePrefix = "lanes/"

// IsStaged tells a staged change of lanes from a service's version.
//
// Example:
//
//	if state.IsStaged() { event, reason = state.NextWave(facts) }
func (s State) IsStaged() bool { return len(s.Items) > 0 }

// Reached names the nodes that the waves have reached so far; once the change
// is proved, it is every node's.
//
// Example:
//
//	isHere := slices.Contains(state.Reached(), node)
func (s State) Reached() (out []string) {
	for i, wave := range s.Waves {
		if i <= s.Wave || s.Phase != Trying {
			out = append(out, wave...)
		}
	}
	return out
}

// Waves parts nodes into waves: the first one, the others of its cell, and then
// cell by cell.
//
// Example:
//
//	waves := rollout.Waves("edge-1", []string{"edge-1", "edge-2"}, cellOf)
func Waves(first string, nodes []string, cellOf func(string) string) (waves [][]string) {
	waves = append(waves, []string{first})
	at := map[string]int{}
	cells := []string{cellOf(first)}
	for _, node := range nodes {
		if cell := cellOf(node); cell != cells[0] && at[cell] == 0 {
			at[cell] = len(cells)
			cells = append(cells, cell)
		}
	}
	rest := make([][]string, len(cells))
	for _, node := range nodes {
		if node != first {
			rest[at[cellOf(node)]] = append(rest[at[cellOf(node)]], node)
		}
	}
	for _, wave := range rest {
		if len(wave) > 0 {
			waves = append(waves, wave)
		}
	}
	return waves
}

// StageFacts are what the holder knows of a staged change at one moment.
type StageFacts struct {
	Elapsed, InWave time.Duration
	Finding         outlier.Finding
	// Silent is a reached node that reports no more; IsUnheard, that one has not
	// reported just now.
	Silent    string
	IsUnheard bool
	// IsDoubled: a key with two runs was seen in the records since the order.
	IsDoubled bool
	// IsSuperseded: an ordinary change of one of the items came in between.
	IsSuperseded bool
	// IsCommitted: the manifest holds the change.
	IsCommitted bool
}

// leastInWave is how long a wave lasts at least: what turns late takes a while.
const leastInWave = 1500 * time.Millisecond

// NextWave is the event that the facts of a staged change come to.
//
// Example:
//
//	event, reason := state.NextWave(facts)
func (s State) NextWave(facts StageFacts) (event Event, reason string) {
	isTrying := s.Phase == Trying
	switch {
	case !s.Phase.IsActive():
		return None, ""
	case s.Phase == Shifting && facts.IsCommitted:
		return Shifted, ""
	case s.Phase == Emptying:
		return Emptied, ""
	case isTrying && facts.IsSuperseded:
		return Superseded, "an ordinary change of the same item came in between"
	case isTrying && facts.IsDoubled:
		return Harmed, "a key with two runs is in the records"
	case isTrying && facts.Finding.Verdict == outlier.Unfit:
		return Harmed, facts.Finding.Reason
	case isTrying && facts.Silent != "":
		return Harmed, "node " + facts.Silent + " reports no more"
	case isTrying && s.term()-facts.Elapsed <= 0:
		return Lapsed, "undecided at the term: " + facts.Finding.Reason
	case !isTrying || facts.InWave < leastInWave || facts.IsUnheard || facts.Finding.IsSuspect || facts.Finding.Verdict != outlier.Fit:
		return None, ""
	case s.Wave+1 < len(s.Waves):
		return WaveHeld, ""
	}
	return Proved, ""
}

// UsedUp names an item whose version fell back before, or an older one.
//
// Example:
//
//	if name := ended.UsedUp(items); name != "" { refuse(name) }
func (s State) UsedUp(items []config.Item) string {
	if s.Phase != Reverted {
		return ""
	}
	for _, used := range s.Items {
		for _, item := range items {
			if item.ID == used.ID && item.Version <= used.Version {
				return item.ID.Name
			}
		}
	}
	return ""
}
