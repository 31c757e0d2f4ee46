package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/standin"
	"ploverhitch/internal/upstream"
)

var _ = Describe("the eligibility check immediately before a request is sent", func() {
	const service = "fees"
	var p *proxy
	var servers map[string]*standin.Server

	listedServer := func(id string) feed.Server {
		return feed.Server{ID: id, Service: service, Address: servers[id].Address(), Capacity: 2, IsReady: true}
	}
	// updateServers replaces the proxy's list of servers.
	updateServers := func(list ...feed.Server) {
		updated := *p.snapshot.Load()
		updated.applyFleet(feed.Fleet{Term: 1, Count: updated.fleetVersion.Count + 1, Servers: list}, p.clock.Monotonic())
		p.snapshot.Store(&updated)
	}
	findServer := func(id string) *balancer.Endpoint {
		server, found := p.snapshot.Load().balancer.Find(id)
		Expect(found).To(BeTrue())
		return server
	}
	// newForwarder returns a forwarder for a route that allows one attempt.
	newForwarder := func(routeType config.RouteType) *forwarder {
		req := &clientRequest{
			Request: &upstream.Request{Method: http.MethodGet, Target: "/a", Host: "h", Header: http.Header{upstream.HeaderAttempt: {"try-1"}}, Attempt: "try-1"},
			route:   &config.Route{RouteSpec: config.RouteSpec{Name: "fee", RouteType: routeType, MaxAttempts: 1}}, service: service,
			snapshot: p.snapshot.Load(), deadline: time.Now().Add(5 * time.Second),
		}
		return &forwarder{
			proxy: p, request: req, stats: p.responseStatsOf("fee"), untrack: func() {}, siteReservations: &sync.Map{}, results: make(chan attemptResult, 8), clientCtx: context.Background(),
		}
	}

	// handleNext handles the next attempt result as the loop in forward does.
	handleNext := func(fwd *forwarder) (response any, err error, done bool) {
		result := <-fwd.results
		fwd.inFlight--
		return fwd.handleResult(result)
	}

	BeforeEach(func() {
		servers = map[string]*standin.Server{}
		for _, id := range []string{"x-1", "x-2"} {
			server, err := standin.NewServer(id, "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Close)
			servers[id] = server
		}
		p = newProxy(&settings.Settings{Tuning: settings.Tuning{BufferBytes: 1 << 20}}, clock.Real(), func(string, string, ...any) {})
		updateServers(listedServer("x-1"), listedServer("x-2"))
	})

	departures := map[string]func(){
		"is listed as draining": func() {
			draining := listedServer("x-1")
			draining.IsReady = false
			updateServers(draining, listedServer("x-2"))
		},
		"is no longer listed": func() { updateServers(listedServer("x-2")) },
		"runs a version that was blocked": func() {
			blocked := listedServer("x-1")
			blocked.Admission = feed.Blocked
			updateServers(blocked, listedServer("x-2"))
		},
		"has lost its address to another server": func() {
			moved := listedServer("x-1")
			moved.Address = listedServer("x-2").Address
			updateServers(moved, listedServer("x-2"))
		},
		"is reported to be leaving": func() { p.snapshot.Load().balancer.MarkLeaving([]string{"x-1"}) },
	}
	for condition, removeServer := range departures {
		for _, routeType := range []config.RouteType{config.Safe, config.Unsafe, config.Idempotent} {
			It("sends a "+string(routeType)+" request to another server, without charging an attempt, when the first "+condition, func() {
				fwd := newForwarder(routeType)
				server := findServer("x-1")
				removeServer()
				fwd.send(server)
				_, _, done := handleNext(fwd)
				Expect(done).To(BeFalse())
				response, err, done := handleNext(fwd)
				Expect(err).NotTo(HaveOccurred())
				Expect(done).To(BeTrue())
				Expect(string(response.(*upstream.Response).Body)).To(HaveSuffix("by x-2"))
				Expect(servers["x-1"].Runs()).To(BeEmpty())
				Expect(servers["x-2"].Runs()).To(HaveLen(1))
				Expect([]int{fwd.sentCount, fwd.unsentCount}).To(Equal([]int{1, 0}))
				Expect(server.Healthy()).To(BeTrue(), "leaving does not count as a failure")
			})
		}
	}

	It("learns from a feed update that a server is leaving", func() {
		p.applyUpdates([]feed.Update{{Fleet: &feed.Fleet{Term: 1, Count: 9, Servers: []feed.Server{listedServer("x-1"), listedServer("x-2")}}}})
		server := findServer("x-1")
		Expect(p.acceptsRequests(server)).To(BeTrue())
		p.applyUpdates([]feed.Update{{Leaving: []string{"x-1"}}})
		Expect(p.acceptsRequests(server)).To(BeFalse())
		Expect(p.acceptsRequests(findServer("x-2"))).To(BeTrue())
	})

	It("reports that nothing was executed when no other server remains", func() {
		fwd := newForwarder(config.Idempotent)
		server := findServer("x-1")
		updateServers()
		fwd.send(server)
		_, err, done := handleNext(fwd)
		Expect(done).To(BeTrue())
		Expect(mayHaveExecuted(err)).To(BeFalse())
		Expect(servers["x-1"].Runs()).To(BeEmpty())
	})

	It("still checks the votes afterwards: a keyed request whose round has expired is not sent", func() {
		fwd := newForwarder(config.Idempotent)
		fwd.request.maySend = func() bool { return false }
		server := findServer("x-1")
		updateServers(listedServer("x-2"))
		_, err := p.forward(context.Background(), fwd.request)
		Expect(mayHaveExecuted(err)).To(BeFalse())
		fwd.send(server)
		Expect((<-fwd.results).err).To(MatchError(upstream.ErrNotServing))
		Expect(servers["x-1"].Runs()).To(BeEmpty())
		Expect(servers["x-2"].Runs()).To(BeEmpty())
	})
})
