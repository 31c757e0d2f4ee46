package outlier

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Evidence holds one route's counts on both sides, for operators.
type Evidence struct {
	Route   string `json:"Route"`
	OnTrial Counts `json:"OnTrial"`
	InForce Counts `json:"InForce"`
	Verdict string `json:"Verdict"`
}

// Evaluation is the result for one rollout.
type Evaluation struct {
	Verdict Verdict
	Reason  string
	// Suspect is set if the version does not fail but looks worse in a way that may be
	// chance.
	Suspect bool
	// Rate is the recent number of attempts per second.
	Rate     float64
	Evidence []Evidence
}

const (
	// minTotal and minRouteTotal are the numbers of attempts on trial that are required
	// in all and per route for a version to pass.
	minTotal      = 40
	minRouteTotal = 8
	// rareRouteShare is the share of all requests below which a route is too rare to
	// wait for.
	rareRouteShare = 0.02
)

// Evaluate evaluates one rollout of a subject (in the wave that it has reached): in total
// and by route, over the whole rollout and over the recent window.
func (a *Aggregator) Evaluate(subject string, number uint64, wave int) (out Evaluation) {
	all := countsByRoute(a.sum(), subject, number, wave)
	recent := map[string][2]Counts{}
	if len(a.samples) > 0 {
		start := countsByRoute(a.samples[0].rows, subject, number, wave)
		for route, sides := range all {
			previous := start[route]
			recent[route] = [2]Counts{sides[0].Subtract(previous[0]), sides[1].Subtract(previous[1])}
		}
		if span := time.Duration(a.clock.Monotonic() - a.samples[0].at); span > 0 {
			totals := sumRoutes(recent)
			out.Rate = float64(totals[0].Total()+totals[1].Total()) / span.Seconds()
		}
	}
	totals := sumRoutes(all)
	out.Verdict = Pass
	compare := func(scope string, sides [2]Counts, reference Counts) Verdict {
		verdict := Compare(sides[1], reference)
		if verdict == Fail && out.Verdict != Fail {
			out.Verdict = Fail
			out.Reason = fmt.Sprintf("%s: on trial %v, in force %v (success, failed, slow, broken, unresolved, duplicated)", scope, sides[1], reference)
		}
		return verdict
	}
	overallVerdict := compare("all routes", totals, totals[0])
	checkSuspicion := func(scope string, verdict Verdict, count uint32) {
		if verdict == Inconclusive && count >= minRouteTotal && out.Verdict == Pass {
			out.Suspect, out.Reason = true, scope+" look worse on trial, which may be due to chance"
		}
	}
	recentSum := sumRoutes(recent)
	compare("all routes recently", recentSum, recentSum[0])
	for _, route := range slices.Sorted(maps.Keys(all)) {
		sides := all[route]
		reference := sides[0]
		if reference.Total() < minTotal {
			reference = reference.Add(totals[0])
		}
		verdict := compare("route "+route, sides, reference)
		compare("route "+route+" recently", recent[route], reference)
		checkSuspicion("responses of route "+route, verdict, sides[1].Total())
		rare := float64(sides[0].Total()) < rareRouteShare*float64(totals[0].Total())
		if out.Verdict == Pass && !rare && sides[1].Total() < minRouteTotal {
			out.Verdict, out.Reason = Inconclusive, "too few requests on trial for route "+route
		}
		out.Evidence = append(out.Evidence, Evidence{route, sides[1], sides[0], verdict.String()})
	}
	checkSuspicion("responses of all routes", overallVerdict, totals[1].Total())
	if out.Verdict == Pass && totals[1].Total() < minTotal {
		out.Verdict, out.Reason = Inconclusive, "too few requests on trial"
	}
	return out
}

// countsByRoute returns a rollout's counts by route: the side in force, then the side on
// trial.
func countsByRoute(rows map[Label]Counts, subject string, number uint64, wave int) map[string][2]Counts {
	out := map[string][2]Counts{}
	for label, counts := range rows {
		if label.Subject != subject || label.Number != number || label.OnTrial && label.Wave != wave {
			continue
		}
		sides, side := out[label.Route], 0
		if label.OnTrial {
			side = 1
		}
		sides[side] = sides[side].Add(counts)
		out[label.Route] = sides
	}
	return out
}

func sumRoutes(routes map[string][2]Counts) (totals [2]Counts) {
	for _, sides := range routes {
		totals[0], totals[1] = totals[0].Add(sides[0]), totals[1].Add(sides[1])
	}
	return totals
}
