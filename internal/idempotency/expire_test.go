package idempotency_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/idempotency"
)

var _ = Describe("the key window under clock skew", func() {
	const (
		window = time.Minute
		margin = 10 * time.Second
		step   = 2 * time.Second
	)
	// retainedFor returns how long after its creation a completed key is retained by a
	// voter above its soft limit, with the given clock skews of proxy and voter.
	retainedFor := func(proxySkew, voterSkew time.Duration) time.Duration {
		voter := idempotency.NewVoter(idempotency.Policy{OpenLimit: 10, KeyWindow: window, ClockMargin: margin, Retention: 24 * time.Hour, SoftLimitBytes: 1})
		created := time.Unix(1_000_000, 0)
		key := idempotency.Key{Tenant: "h", Key: "k"}
		intent := idempotency.Intent{Key: key, Attempt: "a", Route: "fee", Reservation: "a", CreatedMs: created.Add(proxySkew).UnixMilli()}
		_, entry := voter.Reserve(intent)
		Expect(entry).NotTo(BeNil())
		intent.State = idempotency.Completed
		_, err := voter.Record(intent)
		Expect(err).NotTo(HaveOccurred())
		for age := time.Duration(0); age < 3*window; age += 100 * time.Millisecond {
			voter.Expire(created.Add(age + voterSkew))
			if voter.Find(key) == nil {
				return age
			}
		}
		return 3 * window
	}

	It("lasts in full when the clocks of proxy and voter step by 2 s in opposite directions", func() {
		for _, proxySkew := range []time.Duration{-step, 0, step} {
			for _, voterSkew := range []time.Duration{-step, 0, step} {
				retained := retainedFor(proxySkew, voterSkew)
				Expect(retained).To(BeNumerically(">", window), "proxy %v, voter %v", proxySkew, voterSkew)
				Expect(retained).To(BeNumerically("<", window+margin+2*step+time.Second), "proxy %v, voter %v", proxySkew, voterSkew)
			}
		}
	})

	It("is shortened when the clocks differ by more than the margin", func() {
		Expect(retainedFor(-margin, 2*time.Second)).To(BeNumerically("<", window))
	})
})
