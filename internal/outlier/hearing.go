package outlier

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Evidence is one lane's counts on both sides, for operators to read.
type Evidence struct {
	Lane    string `json:"Route"`
	OnTrial Tally  `json:"OnTrial"`
	InForce Tally  `json:"InForce"`
	Verdict string `json:"Verdict"`
}

// Finding is what the court comes to for one trial.
type Finding struct {
	Verdict Verdict
	Reason  string
	// IsSuspect: it is not unfit, but looks worse in a way that may be chance.
	IsSuspect bool
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
//
// Example:
//
//	finding := court.Hearing(service, number, 0)
func (c *Court) Hearing(subject string, number uint64, wave int) (out Finding) {
	all := split(c.sums(), subject, number, wave)
	lately := map[string][2]Tally{}
	if len(c.moments) > 0 {
		before := split(c.moments[0].rows, subject, number, wave)
		for lane, sides := range all {
			old := before[lane]
			lately[lane] = [2]Tally{sides[0].Less(old[0]), sides[1].Less(old[1])}
		}
		if span := time.Duration(c.clock.Monotonic() - c.moments[0].at); span > 0 {
			sum := total(lately)
			out.Rate = float64(sum[0].Sum()+sum[1].Sum()) / span.Seconds()
		}
	}
	sum := total(all)
	out.Verdict = Fit
	condemn := func(where string, sides [2]Tally, usual Tally) Verdict {
		verdict := Judge(sides[1], usual)
		if verdict == Unfit && out.Verdict != Unfit {
			out.Verdict = Unfit
			out.Reason = fmt.Sprintf("%s: on trial %v, in force %v (good, failed, slow, broken, missing, doubled)", where, sides[1], usual)
		}
		return verdict
	}
	verdictOfAll := condemn("all lanes", sum, sum[0])
	suspect := func(where string, verdict Verdict, seen uint32) {
		if verdict == Open && seen >= fitLane && out.Verdict == Fit {
			out.IsSuspect, out.Reason = true, where+" look worse on trial, which may be chance"
		}
	}
	recent := total(lately)
	condemn("all lanes lately", recent, recent[0])
	for _, lane := range slices.Sorted(maps.Keys(all)) {
		sides := all[lane]
		usual := sides[0]
		if usual.Sum() < fitSum {
			usual = usual.Plus(sum[0])
		}
		verdict := condemn("lane "+lane, sides, usual)
		condemn("lane "+lane+" lately", lately[lane], usual)
		suspect("replies of lane "+lane, verdict, sides[1].Sum())
		isRare := float64(sides[0].Sum()) < rareLane*float64(sum[0].Sum())
		if out.Verdict == Fit && !isRare && sides[1].Sum() < fitLane {
			out.Verdict, out.Reason = Open, "too little is seen of lane "+lane
		}
		out.Evidence = append(out.Evidence, Evidence{lane, sides[1], sides[0], verdict.String()})
	}
	suspect("replies of all lanes", verdictOfAll, sum[1].Sum())
	if out.Verdict == Fit && sum[1].Sum() < fitSum {
		out.Verdict, out.Reason = Open, "too little is seen"
	}
	return out
}

// split lays a trial's rows out by lane: in force, then on trial.
func split(rows map[Mark]Tally, subject string, number uint64, wave int) map[string][2]Tally {
	out := map[string][2]Tally{}
	for at, tally := range rows {
		if at.Subject != subject || at.Number != number || at.IsTrial && at.Wave != wave {
			continue
		}
		sides, side := out[at.Lane], 0
		if at.IsTrial {
			side = 1
		}
		sides[side] = sides[side].Plus(tally)
		out[at.Lane] = sides
	}
	return out
}

func total(lanes map[string][2]Tally) (sum [2]Tally) {
	for _, sides := range lanes {
		sum[0], sum[1] = sum[0].Plus(sides[0]), sum[1].Plus(sides[1])
	}
	return sum
}
