package points

import (
	"context"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/config"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/standin"
	"ploverhitch/internal/timetable"
	"ploverhitch/internal/upstream"
)

var _ = Describe("the last look before a request is sent", func() {
	const service = "fees"
	var p *proxy
	var servers map[string]*standin.Server

	listed := func(id string) feed.Server {
		return feed.Server{ID: id, Service: service, Address: servers[id].Address(), Capacity: 2, IsReady: true}
	}
	// tell brings the proxy a list of servers.
	tell := func(list ...feed.Server) {
		next := *p.sight.Load()
		next.take(feed.Fleet{Term: 1, Count: next.reading.Count + 1, Servers: list}, p.clock.Steady())
		p.sight.Store(&next)
	}
	siding := func(id string) *balancer.Siding {
		known, isListed := p.sight.Load().yard.Find(id)
		Expect(isListed).To(BeTrue())
		return known
	}
	// begin is a delivery of a lane that allows one attempt.
	begin := func(laneType config.RouteKind) *delivery {
		one := &inquiry{
			Request: &upstream.Request{Method: http.MethodGet, Target: "/a", Host: "h", Header: http.Header{upstream.HeaderAttempt: {"try-1"}}, Attempt: "try-1"},
			lane:    &config.Route{RouteSpec: config.RouteSpec{Name: "fee", RouteType: laneType, MaxAttempts: 1}}, service: service,
			sight: p.sight.Load(), due: time.Now().Add(5 * time.Second),
		}
		return &delivery{
			proxy: p, one: one, pace: p.paceOf("fee"), leave: func() {}, places: &sync.Map{}, results: make(chan result, 8), left: context.Background(),
		}
	}

	// next is what the end of the next try leads to, as in the delivery's own loop.
	next := func(d *delivery) (reply any, err error, isEnd bool) {
		got := <-d.results
		d.flying--
		return d.judge(got)
	}

	BeforeEach(func() {
		servers = map[string]*standin.Server{}
		for _, id := range []string{"x-1", "x-2"} {
			server, err := standin.NewServer(id, "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Close)
			servers[id] = server
		}
		p = newProxy(&settings.Settings{Tuning: settings.Tuning{BufferBytes: 1 << 20}}, timetable.Real(), func(string, string, ...any) {})
		tell(listed("x-1"), listed("x-2"))
	})

	leaves := map[string]func(){
		"is listed as draining": func() {
			draining := listed("x-1")
			draining.IsReady = false
			tell(draining, listed("x-2"))
		},
		"is gone from the list": func() { tell(listed("x-2")) },
		"shows a version that was shut": func() {
			shut := listed("x-1")
			shut.Grade = feed.Shut
			tell(shut, listed("x-2"))
		},
		"lost its address to another": func() {
			moved := listed("x-1")
			moved.Address = listed("x-2").Address
			tell(moved, listed("x-2"))
		},
		"is reported to leave": func() { p.sight.Load().yard.Leave([]string{"x-1"}) },
	}
	for how, leave := range leaves {
		for _, laneType := range []config.RouteKind{config.Safe, config.Unsafe, config.Idempotent} {
			It("chooses another server for a "+string(laneType)+" request, at no price, where the first "+how, func() {
				d := begin(laneType)
				chosen := siding("x-1")
				leave()
				d.send(chosen)
				_, _, isEnd := next(d)
				Expect(isEnd).To(BeFalse())
				reply, err, isEnd := next(d)
				Expect(err).NotTo(HaveOccurred())
				Expect(isEnd).To(BeTrue())
				Expect(string(reply.(*upstream.Response).Body)).To(HaveSuffix("by x-2"))
				Expect(servers["x-1"].Runs()).To(BeEmpty())
				Expect(servers["x-2"].Runs()).To(HaveLen(1))
				Expect([]int{d.sent, d.unsent}).To(Equal([]int{1, 0}))
				Expect(chosen.IsSound()).To(BeTrue(), "leaving is no failure")
			})
		}
	}

	It("hears from the news that a server leaves", func() {
		p.learn([]feed.News{{Fleet: &feed.Fleet{Term: 1, Count: 9, Servers: []feed.Server{listed("x-1"), listed("x-2")}}}})
		chosen := siding("x-1")
		Expect(p.isServing(chosen)).To(BeTrue())
		p.learn([]feed.News{{Leaving: []string{"x-1"}}})
		Expect(p.isServing(chosen)).To(BeFalse())
		Expect(p.isServing(siding("x-2"))).To(BeTrue())
	})

	It("promises that nothing ran where no other server is left", func() {
		d := begin(config.Idempotent)
		chosen := siding("x-1")
		tell()
		d.send(chosen)
		_, err, isEnd := next(d)
		Expect(isEnd).To(BeTrue())
		Expect(mayHaveRun(err)).To(BeFalse())
		Expect(servers["x-1"].Runs()).To(BeEmpty())
	})

	It("holds the votes' own look after it: a keyed request whose round is over goes nowhere", func() {
		d := begin(config.Idempotent)
		d.one.maySend = func() bool { return false }
		chosen := siding("x-1")
		tell(listed("x-2"))
		_, err := p.delivering(context.Background(), d.one)
		Expect(mayHaveRun(err)).To(BeFalse())
		d.send(chosen)
		Expect((<-d.results).err).To(MatchError(upstream.ErrNotServing))
		Expect(servers["x-1"].Runs()).To(BeEmpty())
		Expect(servers["x-2"].Runs()).To(BeEmpty())
	})
})
