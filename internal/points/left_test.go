package points

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/balancer"
	"ploverhitch/internal/config"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/standin"
	"ploverhitch/internal/timetable"
	"ploverhitch/internal/upstream"
)

// inquiryOn is an inquiry on a route of a kind that the servers may get, and its proxy.
func inquiryOn(kind config.RouteKind, servers ...*standin.Server) (*proxy, *inquiry) {
	set := &settings.Settings{}
	set.Tuning.BufferBytes = 1 << 20
	set.Platform.Bounds.RetryBudgetRatio = 1
	set.Platform.Bounds.RetrySlack = 100
	set.Platform.Bounds.RetryWindow = timetable.Span(10 * time.Second)
	p := newProxy(set, timetable.Real(), func(string, string, ...any) {})
	yard := balancer.NewYard(balancer.Home{Node: "n", Set: 8})
	fleet := feed.Fleet{Term: 1, Count: 1, Proxies: 1}
	for _, server := range servers {
		fleet.Servers = append(fleet.Servers, feed.Server{ID: server.ID, Service: "s", Address: server.Address(), Capacity: 4, IsReady: true, Revision: "v1"})
	}
	p.sight.Store(&sight{sheet: p.sight.Load().sheet, yard: yard.Lay(fleet), proxies: 1})
	return p, &inquiry{
		Request: &upstream.Request{Method: "POST", Target: "/a", Host: "h", Header: http.Header{upstream.HeaderAttempt: {"t"}}, Attempt: "t"},
		lane:    &config.Route{RouteSpec: config.RouteSpec{Name: "r", RouteType: kind, MaxAttempts: 3}}, sight: p.sight.Load(), service: "s",
		arrived: time.Now(), due: time.Now().Add(600 * time.Millisecond), leave: func() {},
	}
}

var _ = Describe("a delivery", func() {
	var server *standin.Server
	BeforeEach(func() {
		var err error
		server, err = standin.NewServer("i-1", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
	})
	It("ends with its client, but a keyed one with its operation", func() {
		for routeType, isEnded := range map[config.RouteKind]bool{config.Safe: true, config.Unsafe: true, config.Idempotent: false} {
			server.Next(standin.Silent)
			p, one := inquiryOn(routeType, server)
			ctx, leave := context.WithCancel(context.Background())
			time.AfterFunc(50*time.Millisecond, leave)
			before, _ := server.Counts()
			began := time.Now()
			_, err := p.delivering(ctx, one)
			Expect(errors.Is(err, errLeft)).To(Equal(isEnded), "%v: %v", routeType, err)
			Expect(time.Since(began) < 400*time.Millisecond).To(Equal(isEnded), "%v", routeType)
			after, _ := server.Counts()
			Expect(after - before).To(Equal(1))
			server.Free()
		}
	})

	It("counts a client that left for nothing against the server", func() {
		server.Next(standin.Silent)
		p, one := inquiryOn(config.Safe, server)
		one.due = time.Now().Add(10 * time.Second)
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, leave)
		_, err := p.delivering(ctx, one)
		Expect(errors.Is(err, errLeft)).To(BeTrue())
		siding, isThere := p.sight.Load().yard.Find("i-1")
		Expect(isThere).To(BeTrue())
		Eventually(func() int { return p.sight.Load().yard.AtWork("s") }).Should(BeZero())
		Expect(siding.IsSound()).To(BeTrue())
		outcome, isCounted := stageOutcome(one, nil, err, 0)
		Expect(isCounted).To(BeFalse(), "%v", outcome)
		Expect(mayHaveRun(err)).To(BeTrue())
	})

	It("passes no status on that promises what nobody knows", func() {
		for _, status := range []int{408, 429, 503} {
			_, one := inquiryOn(config.Unsafe, server)
			d := &delivery{one: one}
			_, err, isEnd := d.judge(result{reply: &upstream.Response{Status: status, Header: http.Header{}}})
			var open *openEnd
			Expect(errors.As(err, &open)).To(BeTrue(), "%d: %v", status, err)
			Expect(open.kind).To(Equal(apierror.Broken))
			Expect(isEnd).To(BeTrue())
		}
	})

	It("records no part of a reply as the whole", func() {
		p, one := inquiryOn(config.Idempotent, server)
		a := &attempt{proxy: p, one: one, ungranted: map[string]bool{}}
		a.intent = idempotency.Intent{Key: idempotency.Key{Tenant: "h", Key: "k"}, State: idempotency.Reserved}
		a.round = idempotency.NewRound(a.intent.RequestHash, 1, p.clock.Steady(), timetable.Steady(time.Second))
		long := &upstream.Response{Status: 200, Header: http.Header{}, Body: []byte("part"), Remainder: io.NopCloser(strings.NewReader("rest"))}
		reply, err := a.forward(context.Background(), func(context.Context, any) (any, error) { return long, nil })
		Expect(err).NotTo(HaveOccurred())
		Expect(reply).To(BeIdenticalTo(long))
		Expect(a.intent.State).To(Equal(idempotency.TimeoutUnresolved))
		Expect(a.intent.Response).To(BeNil())
	})
})
