package rollout

import (
	"time"

	"ploverhitch/internal/config"
	"ploverhitch/internal/outlier"
)

// StagedPrefix is the prefix of the subject of a staged change of routes.
const StagedPrefix = "lanes/"

// IsStaged reports whether the rollout is a staged change of routes and not a
// service's version.
func (s State) IsStaged() bool { return len(s.Items) > 0 }

// ReachedNodes returns the nodes of the current and the earlier waves; after the
// canary phase these are all nodes.
func (s State) ReachedNodes() (nodes []string) {
	for i, wave := range s.Waves {
		if i <= s.Wave || s.Phase != Canary {
			nodes = append(nodes, wave...)
		}
	}
	return nodes
}

// PlanWaves divides the nodes into waves: the first node, the other nodes of its
// zone, and then zone by zone.
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

// StagedObservation is what the leader knows of a staged change at one moment.
type StagedObservation struct {
	Elapsed, InWave time.Duration
	Finding         outlier.Evaluation
	// SilentNode is a reached node that has stopped reporting. ReportMissing is
	// set while a reached node has no recent report.
	SilentNode    string
	ReportMissing bool
	// DuplicateRun is set if the idempotency records show a key that was executed
	// twice since the change was started.
	DuplicateRun bool
	// Superseded is set if an ordinary change of one of the items was made
	// meanwhile.
	Superseded bool
	// Committed is set once the configuration contains the change.
	Committed bool
}

// minWaveTime is the minimum time of a wave: late responses show only after a while.
const minWaveTime = 1500 * time.Millisecond

// NextStaged returns the event that follows from an observation of a staged
// change, and its reason, or NoEvent.
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
		return Superseded, "an ordinary change of the same item was made meanwhile"
	case inWaves && observed.DuplicateRun:
		return Failed, "an idempotency key was executed twice"
	case inWaves && observed.Finding.Verdict == outlier.Fail:
		return Failed, observed.Finding.Reason
	case inWaves && observed.SilentNode != "":
		return Failed, "node " + observed.SilentNode + " stopped reporting"
	case inWaves && s.duration()-observed.Elapsed <= 0:
		return TimedOut, "undecided at the end of the rollout: " + observed.Finding.Reason
	case !inWaves || observed.InWave < minWaveTime || observed.ReportMissing || observed.Finding.Suspect || observed.Finding.Verdict != outlier.Pass:
		return NoEvent, ""
	case s.Wave+1 < len(s.Waves):
		return WavePassed, ""
	}
	return Passed, ""
}

// RevertedItem returns the name of an item whose version is not newer than the one
// that this change reverted, or "".
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
