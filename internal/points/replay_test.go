package points

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/config"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/standin"
	"ploverhitch/internal/timetable"
	"ploverhitch/internal/upstream"
)

var _ = Describe("a proxy that its machine froze", func() {
	// try wins a round, stands still for so long after that, and then delivers.
	try := func(frozen time.Duration) (runs int, state idempotency.State, err error) {
		server, err := standin.NewServer("i-1", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer server.Close()
		rack := &upstream.Pool{Address: server.Address(), Instance: "i-1"}
		defer rack.Close()
		hand := &timetable.Hand{Now: time.Hour}
		p := newProxy(&settings.Settings{}, hand, func(string, string, ...any) {})
		one := &inquiry{
			Request: &upstream.Request{Method: "POST", Target: "/fee/", Host: "h", Header: http.Header{upstream.HeaderAttempt: {"t"}}, Attempt: "t"},
			lane:    &config.Route{}, sight: p.sight.Load(),
		}
		a := &attempt{proxy: p, one: one, ungranted: map[string]bool{}}
		a.intent = idempotency.Intent{Key: idempotency.Key{Tenant: "h", Key: "k"}, State: idempotency.Reserved}
		a.round = idempotency.NewRound(a.intent.RequestHash, 3, hand.Steady(), timetable.Steady(250*time.Millisecond))
		for range 2 {
			a.round.AddVote(&idempotency.Vote{Verdict: idempotency.Granted})
		}
		Expect(a.round.Result(hand.Steady())).To(Equal(idempotency.Won))
		_, err = a.forward(context.Background(), func(context.Context, any) (any, error) {
			hand.Now += frozen
			due := time.Now().Add(5 * time.Second)
			reply, err := rack.Deliver(upstream.Delivery{Request: one.Request, Deadline: due, ResponseDeadline: due, ConnectTimeout: time.Second, BufferLimit: 1 << 20, MaySend: one.maySend})
			if errors.Is(err, upstream.ErrNotSent) {
				return nil, apierror.New(apierror.NotExecuted, "")
			}
			return reply, err
		})
		return len(server.Runs()), a.intent.State, err
	}

	It("delivers while its votes hold, and records the reply", func() {
		runs, state, err := try(250 * time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(runs).To(Equal(1))
		Expect(state).To(Equal(idempotency.Completed))
	})

	It("delivers nothing once they lapsed, and gives them back", func() {
		runs, state, err := try(251 * time.Millisecond)
		Expect(err).To(HaveOccurred())
		Expect(runs).To(BeZero())
		Expect(state).To(Equal(idempotency.Released))
	})
})
