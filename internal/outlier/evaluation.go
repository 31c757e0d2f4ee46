package outlier

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Evidence is one lane's counts on both sides, for operators to read.
type Evidence struct {
	Route   string `json:"Route"`
	OnTrial Counts `json:"OnTrial"`
	InForce Counts `json:"InForce"`
	Verdict string `json:"Verdict"`
}

// Finding is what the court comes to for one trial.
type Evaluation struct {
	Verdict Verdict
	Reason  string
	// IsSuspect: it is not unfit, but looks worse in a way that may be chance.
	Suspect bool
	// Rate is how many of its deliveries were seen a second, lately.
	Rate     float64
	Evidence []Evidence
}

const (
	// fitSum and fitLane are how much must have been seen of all lanes, and of
	// each, for the version to be found fit.
	fitSum  = 40
	fitLane = 8
	// rareLane is the share of all inquiries under which a lane is too
	// rare to wait for.
	rareLane = 0.02
)

// Hearing judges one trial of a subject (and the wave it has reached): in sum and lane by lane, over
// the whole trial and over the last moments.
func (c *Aggregator) Evaluate(subject string, number uint64, wave int) (out Evaluation) {
	all := split(c.sums(), subject, number, wave)
	lately := map[string][2]Counts{}
	if len(c.moments) > 0 {
		before := split(c.moments[0].rows, subject, number, wave)
		for lane, sides := range all {
			old := before[lane]
			lately[lane] = [2]Counts{sides[0].Subtract(old[0]), sides[1].Subtract(old[1])}
		}
		if span := time.Duration(c.clock.Steady() - c.moments[0].at); span > 0 {
			sum := total(lately)
			out.Rate = float64(sum[0].Total()+sum[1].Total()) / span.Seconds()
		}
	}
	sum := total(all)
	out.Verdict = Pass
	condemn := func(where string, sides [2]Counts, usual Counts) Verdict {
		verdict := Compare(sides[1], usual)
		if verdict == Fail && out.Verdict != Fail {
			out.Verdict = Fail
			out.Reason = fmt.Sprintf("%s: on trial %v, in force %v (good, failed, slow, broken, missing, doubled)", where, sides[1], usual)
		}
		return verdict
	}
	verdictOfAll := condemn("all lanes", sum, sum[0])
	suspect := func(where string, verdict Verdict, seen uint32) {
		if verdict == Inconclusive && seen >= fitLane && out.Verdict == Pass {
			out.Suspect, out.Reason = true, where+" look worse on trial, which may be chance"
		}
	}
	recent := total(lately)
	condemn("all lanes lately", recent, recent[0])
	for _, lane := range slices.Sorted(maps.Keys(all)) {
		sides := all[lane]
		usual := sides[0]
		if usual.Total() < fitSum {
			usual = usual.Add(sum[0])
		}
		verdict := condemn("lane "+lane, sides, usual)
		condemn("lane "+lane+" lately", lately[lane], usual)
		suspect("replies of lane "+lane, verdict, sides[1].Total())
		isRare := float64(sides[0].Total()) < rareLane*float64(sum[0].Total())
		if out.Verdict == Pass && !isRare && sides[1].Total() < fitLane {
			out.Verdict, out.Reason = Inconclusive, "too little is seen of lane "+lane
		}
		out.Evidence = append(out.Evidence, Evidence{lane, sides[1], sides[0], verdict.String()})
	}
	suspect("replies of all lanes", verdictOfAll, sum[1].Total())
	if out.Verdict == Pass && sum[1].Total() < fitSum {
		out.Verdict, out.Reason = Inconclusive, "too little is seen"
	}
	return out
}

// split lays a trial's rows out by lane: in force, then on trial.
func split(rows map[Label]Counts, subject string, number uint64, wave int) map[string][2]Counts {
	out := map[string][2]Counts{}
	for at, tally := range rows {
		if at.Subject != subject || at.Number != number || at.OnTrial && at.Wave != wave {
			continue
		}
		sides, side := out[at.Route], 0
		if at.OnTrial {
			side = 1
		}
		sides[side] = sides[side].Add(tally)
		out[at.Route] = sides
	}
	return out
}

func total(lanes map[string][2]Counts) (sum [2]Counts) {
	for _, sides := range lanes {
		sum[0], sum[1] = sum[0].Add(sides[0]), sum[1].Add(sides[1])
	}
	return sum
}
