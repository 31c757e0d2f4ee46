package outlier

import "math"

// Verdict is what evidence comes to.
type Verdict uint8

// The verdicts. Open means that there is too little to tell.
const (
	Inconclusive Verdict = iota
	Pass
	Fail
)

// String names the verdict.
func (v Verdict) String() string { return [...]string{"open", "fit", "unfit"}[v] }

// measure is how one outcome is held against the side in force.
type criterion struct {
	outcome Outcome
	// factor and margin: the share may be so many times, and so much above, the
	// share of the side in force before it is looked at at all.
	factor, margin float64
	minCount       uint32
	// suspicion is how unlikely the counts must be for the side not to be found
	// fit yet, where the share in force is rare at least.
	suspectProbability, minRate float64
}

var criteria = []criterion{
	{Failed, 3, 0.08, 4, 0.01, minUsualRate / 2},
	{Slow, 2.5, 0.12, 5, 0.01, minUsualRate / 2},
	// A single server that goes dark breaks many replies at first.
	{Broken, 3, 0.40, 8, 0.01, minUsualRate / 2},
	// One keyed operation without an end is enough to wait for more.
	{Unresolved, 3, 0.04, 3, 0.2, 0.002},
}

const (
	// doubt is how unlikely the counts must be, were the two sides alike, for
	// one test to condemn. A trial makes at most some thousand tests.
	failProbability = 1e-5
	// suspectFactor and suspectMargin say how much more often a side must fail to
	// be suspected.
	suspectFactor = 1.5
	suspectMargin = 0.01
	// floor is the least rate that is taken for usual.
	minUsualRate    = 0.02
	compareMinTotal = 6
)

// Judge holds the side on trial against the one in force: unfit only where it
// fails, or is slow, far more often, and that is hardly chance; open while it
// looks worse and that might be chance.
func Compare(onTrial, inForce Counts) Verdict {
	total := onTrial.Total()
	switch {
	case onTrial[Duplicated] > 0:
		return Fail
	case total < compareMinTotal:
		return Inconclusive
	}
	verdict := Pass
	for _, c := range criteria {
		usualRate := rate(inForce, c.outcome)
		count := onTrial[c.outcome]
		if suspect := float64(count) > float64(total)*(usualRate*suspectFactor+suspectMargin); suspect && upperTail(total, count, max(usualRate, c.minRate)) < c.suspectProbability {
			// Not enough to condemn, and too much to call it fit.
			verdict = Inconclusive
		}
		excessive := float64(count) > float64(total)*(usualRate*c.factor+c.margin)
		if count >= c.minCount && excessive && upperTail(total, count, max(usualRate*1.5, minUsualRate)) < failProbability {
			return Fail
		}
	}
	return verdict
}

func rate(counts Counts, outcome Outcome) float64 {
	total := counts.Total()
	if total == 0 {
		return 0
	}
	return float64(counts[outcome]) / float64(total)
}

// tail is how likely at least count of n are, each with the chance p.
func upperTail(n, count uint32, p float64) float64 {
	if p >= 1 || count == 0 {
		return 1
	}
	logFactorial := func(k uint32) float64 { value, _ := math.Lgamma(float64(k) + 1); return value }
	sum := 0.0
	for k := count; k <= n; k++ {
		log := logFactorial(n) - logFactorial(k) - logFactorial(n-k) + float64(k)*math.Log(p) + float64(n-k)*math.Log1p(-p)
		term := math.Exp(log)
		if sum += term; term < sum*1e-9 {
			break
		}
	}
	return min(1, sum)
}
