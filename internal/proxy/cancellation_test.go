package proxy

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
	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/standin"
	"ploverhitch/internal/upstream"
)

// newTestRequest returns a request on a route of the given type whose service has the
// given servers, and its proxy.
func newTestRequest(routeType config.RouteType, servers ...*standin.Server) (*proxy, *clientRequest) {
	conf := &settings.Settings{}
	conf.Tuning.BufferBytes = 1 << 20
	conf.Platform.Bounds.RetryBudgetRatio = 1
	conf.Platform.Bounds.RetrySlack = 100
	conf.Platform.Bounds.RetryWindow = clock.Duration(10 * time.Second)
	p := newProxy(conf, clock.Real(), func(string, string, ...any) {})
	serverSet := balancer.NewServerSet(balancer.Locality{Node: "n", SubsetSize: 8})
	fleet := feed.Fleet{Term: 1, Count: 1, Proxies: 1}
	for _, server := range servers {
		fleet.Servers = append(fleet.Servers, feed.Server{ID: server.ID, Service: "s", Address: server.Address(), Capacity: 4, IsReady: true, Revision: "v1"})
	}
	p.snapshot.Store(&snapshot{routingTable: p.snapshot.Load().routingTable, balancer: serverSet.WithFleet(fleet), proxyCount: 1})
	return p, &clientRequest{
		Request: &upstream.Request{Method: "POST", Target: "/a", Host: "h", Header: http.Header{upstream.HeaderAttempt: {"t"}}, Attempt: "t"},
		route:   &config.Route{RouteSpec: config.RouteSpec{Name: "r", RouteType: routeType, MaxAttempts: 3}}, snapshot: p.snapshot.Load(), service: "s",
		arrivedAt: time.Now(), deadline: time.Now().Add(600 * time.Millisecond), releaseLink: func() {},
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
	It("ends when its client disconnects, except for a request with an idempotency key", func() {
		for routeType, canceled := range map[config.RouteType]bool{config.Safe: true, config.Unsafe: true, config.Idempotent: false} {
			server.Next(standin.Silent)
			p, req := newTestRequest(routeType, server)
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(50*time.Millisecond, cancel)
			before, _ := server.Counts()
			start := time.Now()
			_, err := p.forward(ctx, req)
			Expect(errors.Is(err, errClientGone)).To(Equal(canceled), "%v: %v", routeType, err)
			Expect(time.Since(start) < 400*time.Millisecond).To(Equal(canceled), "%v", routeType)
			after, _ := server.Counts()
			Expect(after - before).To(Equal(1))
			server.Free()
		}
	})

	It("does not count a client that disconnects as a failure of the server", func() {
		server.Next(standin.Silent)
		p, req := newTestRequest(config.Safe, server)
		req.deadline = time.Now().Add(10 * time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err := p.forward(ctx, req)
		Expect(errors.Is(err, errClientGone)).To(BeTrue())
		listed, found := p.snapshot.Load().balancer.Find("i-1")
		Expect(found).To(BeTrue())
		Eventually(func() int { return p.snapshot.Load().balancer.InFlight("s") }).Should(BeZero())
		Expect(listed.Healthy()).To(BeTrue())
		outcome, counted := stagedOutcome(req, nil, err, 0)
		Expect(counted).To(BeFalse(), "%v", outcome)
		Expect(mayHaveExecuted(err)).To(BeTrue())
	})

	It("does not pass on a status that implies non-execution without Not-Executed", func() {
		for _, status := range []int{408, 429, 503} {
			_, req := newTestRequest(config.Unsafe, server)
			d := &forwarder{request: req}
			_, err, final := d.handleResult(attemptResult{response: &upstream.Response{Status: status, Header: http.Header{}}})
			var unknown *unresolvedError
			Expect(errors.As(err, &unknown)).To(BeTrue(), "%d: %v", status, err)
			Expect(unknown.kind).To(Equal(apierror.ResponseInterrupted))
			Expect(final).To(BeTrue())
		}
	})

	It("does not record a partial response as complete", func() {
		p, req := newTestRequest(config.Idempotent, server)
		a := &keyedAttempt{proxy: p, request: req, ungranted: map[string]bool{}}
		a.intent = idempotency.Intent{Key: idempotency.Key{Tenant: "h", Key: "k"}, State: idempotency.Reserved}
		a.round = idempotency.NewRound(a.intent.RequestHash, 1, p.clock.Monotonic(), clock.Instant(time.Second))
		partial := &upstream.Response{Status: 200, Header: http.Header{}, Body: []byte("part"), Remainder: io.NopCloser(strings.NewReader("rest"))}
		reply, err := a.execute(context.Background(), func(context.Context, any) (any, error) { return partial, nil })
		Expect(err).NotTo(HaveOccurred())
		Expect(reply).To(BeIdenticalTo(partial))
		Expect(a.intent.State).To(Equal(idempotency.TimeoutUnresolved))
		Expect(a.intent.Response).To(BeNil())
	})
})
