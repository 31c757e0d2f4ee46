package proxy

import (
	"context"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
)

var _ = Describe("a repeat of a key that is in progress", func() {
	// Guards against repeats that stay in the proxy for hours after their clients have gone, because the operator sets no
	// limit for the route's times.
	It("is given up soon after its client has gone, whatever the route's times are", func() {
		p, req := newTestRequest(config.Idempotent)
		req.route.TargetLatency = clock.MaxDuration
		req.deadline = time.Now().Add(clock.MaxDuration.Std())
		ctx, clientLeaves := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() {
			_, err := (&keyedAttempt{proxy: p, request: req}).awaitOutcome(ctx, nil)
			done <- err
		}()
		Consistently(done, "300ms").ShouldNot(Receive())
		clientLeaves()
		var err error
		Eventually(done, "4s").Should(Receive(&err))
		var known *apierror.Error
		Expect(errors.As(err, &known)).To(BeTrue(), "%v", err)
		Expect(known.Kind).To(Equal(apierror.KeyInProgress))
	})
})
