package outlier

import "math"

// Verdict is the result of a comparison.
type Verdict uint8

// The verdicts. Inconclusive means that the counts do not suffice for a decision.
const (
	Inconclusive Verdict = iota
	Pass
	Fail
)

// String returns the verdict's name in reports.
func (v Verdict) String() string { return [...]string{"open", "fit", "unfit"}[v] }

// criterion determines how the rate of one outcome is compared with the side in force.
type criterion struct {
	outcome Outcome
	// The rate may be up to factor times the rate of the side in force, plus margin,
	// before it can fail.
	factor, margin float64
	minCount       uint32
	// suspectProbability is the probability of the counts below which the side does not
	// pass yet, assuming that the rate in force is at least minRate.
	suspectProbability, minRate float64
}

var criteria = []criterion{
	{Failed, 3, 0.08, 4, 0.01, minUsualRate / 2},
	{Slow, 2.5, 0.12, 5, 0.01, minUsualRate / 2},
	// The sudden loss of a single server breaks many responses at first.
	{Broken, 3, 0.40, 8, 0.01, minUsualRate / 2},
	// A single unresolved keyed operation is enough to wait for more requests.
	{Unresolved, 3, 0.04, 3, 0.2, 0.002},
}

const (
	// failProbability is the probability of the counts, assuming that both sides are
	// alike, below which a single test fails. A rollout runs at most some thousand tests.
	failProbability = 1e-5
	// suspectFactor and suspectMargin determine how much higher a rate must be to be
	// suspect.
	suspectFactor = 1.5
	suspectMargin = 0.01
	// minUsualRate is the lowest rate that is assumed to be usual.
	minUsualRate    = 0.02
	compareMinTotal = 6
)

// Compare compares the side on trial with the side in force. It returns Fail only if
// the side on trial fails or is slow far more often and this is unlikely to be chance,
// and Inconclusive while it looks worse and that may be chance.
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
			// Not enough to fail, but too much to pass.
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

// upperTail returns the probability that at least count of n independent events with
// probability p occur.
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
