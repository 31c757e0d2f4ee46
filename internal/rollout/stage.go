package rollout

import (
	"time"

	"ploverhitch/internal/config"
	"ploverhitch/internal/outlier"
)

// StagePrefix begins the subject of a staged change of lanes.
const StagedPrefix = "lanes/"

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
func (s State) ReachedNodes() (nodes []string) {
	for i, wave := range s.Waves {
		if i <= s.Wave || s.Phase != Canary {
			nodes = append(nodes, wave...)
		}
	}
	return nodes
}

// Waves parts nodes into waves: the first one, the others of its cell, and then
// cell by cell.
//
// Example:
//
//	waves := rollout.Waves("edge-1", []string{"edge-1", "edge-2"}, cellOf)
func PlanWaves(first string, nodes []string, zoneOf func(string) string) (waves [][]string) {
	waves = append(waves, []string{first})
	zoneIndex := map[string]int{}
	zones := []string{zoneOf(first)}
	for _, node := range nodes {
		if zone := zoneOf(node); zone != zones[0] && zoneIndex[zone] == 0 {
			zoneIndex[zone] = len(zones)
			zones = append(zones, zone)
		}
	}
	byZone := make([][]string, len(zones))
	for _, node := range nodes {
		if node != first {
			byZone[zoneIndex[zoneOf(node)]] = append(byZone[zoneIndex[zoneOf(node)]], node)
		}
	}
	for _, wave := range byZone {
		if len(wave) > 0 {
			waves = append(waves, wave)
		}
	}
	return waves
}

// StageFacts are what the holder knows of a staged change at one moment.
type StagedObservation struct {
	Elapsed, InWave time.Duration
	Finding         outlier.Finding
	// Silent is a reached node that reports no more; IsUnheard, that one has not
	// reported just now.
	SilentNode    string
	ReportMissing bool
	// IsDoubled: a key with two runs was seen in the records since the order.
	DuplicateRun bool
	// IsSuperseded: an ordinary change of one of the items came in between.
	Superseded bool
	// IsCommitted: the manifest holds the change.
	Committed bool
}

// leastInWave is how long a wave lasts at least: what turns late takes a while.
const minWaveTime = 1500 * time.Millisecond

// NextWave is the event that the facts of a staged change come to.
//
// Example:
//
//	event, reason := state.NextWave(facts)
func (s State) NextStaged(observed StagedObservation) (event Event, reason string) {
	inWaves := s.Phase == Canary
	switch {
	case !s.Phase.IsActive():
		return NoEvent, ""
	case s.Phase == Shifting && observed.Committed:
		return Shifted, ""
	case s.Phase == Draining:
		return Drained, ""
	case inWaves && observed.Superseded:
		return Superseded, "an ordinary change of the same item came in between"
	case inWaves && observed.DuplicateRun:
		return Failed, "a key with two runs is in the records"
	case inWaves && observed.Finding.Verdict == outlier.Unfit:
		return Failed, observed.Finding.Reason
	case inWaves && observed.SilentNode != "":
		return Failed, "node " + observed.SilentNode + " reports no more"
	case inWaves && s.duration()-observed.Elapsed <= 0:
		return TimedOut, "undecided at the term: " + observed.Finding.Reason
	case !inWaves || observed.InWave < minWaveTime || observed.ReportMissing || observed.Finding.IsSuspect || observed.Finding.Verdict != outlier.Fit:
		return NoEvent, ""
	case s.Wave+1 < len(s.Waves):
		return WavePassed, ""
	}
	return Passed, ""
}

// UsedUp names an item whose version fell back before, or an older one.
//
// Example:
//
//	if name := ended.UsedUp(items); name != "" { refuse(name) }
func (s State) RevertedItem(items []config.Item) string {
	if s.Phase != Reverted {
		return ""
	}
	for _, reverted := range s.Items {
		for _, item := range items {
			if item.ID == reverted.ID && item.Version <= reverted.Version {
				return item.ID.Name
			}
		}
	}
	return ""
}
