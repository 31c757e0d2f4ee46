package idempotency_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/idempotency"
)

var _ = Describe("the key window where times of day step", func() {
	const (
		window = time.Minute
		margin = 10 * time.Second
		step   = 2 * time.Second
	)
	// heldFor is how long after its creation a completed key is held by a voter that
	// is short of memory, with the clocks of proxy and voter off by so much.
	heldFor := func(proxy, voter time.Duration) time.Duration {
		v := idempotency.NewVoter(idempotency.Policy{OpenLimit: 10, KeyWindow: window, ClockMargin: margin, Retention: 24 * time.Hour, SoftLimitBytes: 1})
		created := time.Unix(1_000_000, 0)
		key := idempotency.Key{Tenant: "h", Key: "k"}
		intent := idempotency.Intent{Key: key, Attempt: "a", Route: "fee", Reservation: "a", CreatedMs: created.Add(proxy).UnixMilli()}
		_, entry := v.Reserve(intent)
		Expect(entry).NotTo(BeNil())
		intent.State = idempotency.Completed
		_, err := v.Record(intent)
		Expect(err).NotTo(HaveOccurred())
		for age := time.Duration(0); age < 3*window; age += 100 * time.Millisecond {
			v.Expire(created.Add(age + voter))
			if v.Find(key) == nil {
				return age
			}
		}
		return 3 * window
	}

	It("is kept whole though proxy and voter step by 2 s in opposite directions", func() {
		for _, proxy := range []time.Duration{-step, 0, step} {
			for _, voter := range []time.Duration{-step, 0, step} {
				held := heldFor(proxy, voter)
				Expect(held).To(BeNumerically(">", window), "proxy %v, voter %v", proxy, voter)
				Expect(held).To(BeNumerically("<", window+margin+2*step+time.Second), "proxy %v, voter %v", proxy, voter)
			}
		}
	})

	It("is cut short where the clocks are further apart than the margin", func() {
		Expect(heldFor(-margin, 2*time.Second)).To(BeNumerically("<", window))
	})
})
