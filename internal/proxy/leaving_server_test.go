package proxy

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/settings"
)

var _ = Describe("a proxy that knows a server to be leaving", func() {
	var p *proxy
	var manualClock *clock.Manual
	fleet := func(term, count uint64, isReady bool) *feed.Fleet {
		return &feed.Fleet{Term: term, Count: count, Servers: []feed.Server{
			{ID: "i-1", Service: "s", Address: "127.0.0.1:1", Capacity: 1, IsReady: isReady}, {ID: "i-2", Service: "s", Address: "127.0.0.1:2", Capacity: 1, IsReady: true},
		}}
	}
	applyUpdates := func(updates ...feed.Update) { p.applyUpdates(updates) }
	chosenServers := func() map[string]bool {
		servers := map[string]bool{}
		for range 100 {
			servers[p.snapshot.Load().balancer.Choose(balancer.Criteria{Service: "s"}, manualClock).ID] = true
		}
		return servers
	}
	isServing := func() bool {
		server, isListed := p.snapshot.Load().balancer.Find("i-1")
		return isListed && p.acceptsRequests(server)
	}

	BeforeEach(func() {
		manualClock = &clock.Manual{Now: time.Hour}
		p = newProxy(&settings.Settings{}, manualClock, func(string, string, ...any) {})
		applyUpdates(feed.Update{Fleet: fleet(1, 1, true)})
		Expect(chosenServers()).To(HaveKey("i-1"))
	})

	It("sends it no requests, even if the leader of a new term lists it as ready", func() {
		applyUpdates(feed.Update{Fleet: fleet(1, 2, false)})
		Expect(chosenServers()).To(Equal(map[string]bool{"i-2": true}))
		applyUpdates(feed.Update{Fleet: fleet(2, 1, true)})
		Expect(chosenServers()).To(Equal(map[string]bool{"i-2": true}))
		Expect(isServing()).To(BeFalse())
	})

	It("sends it no requests, however long no fleet state shows it as leaving", func() {
		applyUpdates(feed.Update{Leaving: []string{"i-1"}})
		Expect(chosenServers()).To(Equal(map[string]bool{"i-2": true}))
		manualClock.Sleep(time.Minute)
		Expect(chosenServers()).To(Equal(map[string]bool{"i-2": true}))
		Expect(isServing()).To(BeFalse())
	})

	It("sends it no requests if the notice came before the server was listed", func() {
		applyUpdates(feed.Update{Leaving: []string{"i-3"}})
		late := fleet(1, 2, true)
		late.Servers = append(late.Servers, feed.Server{ID: "i-3", Service: "s", Address: "127.0.0.1:3", Capacity: 1, IsReady: true})
		applyUpdates(feed.Update{Fleet: late})
		Expect(chosenServers()).NotTo(HaveKey("i-3"))
	})

	It("sends it no requests if it is listed again after being absent", func() {
		applyUpdates(feed.Update{Leaving: []string{"i-1"}})
		without := fleet(1, 2, true)
		without.Servers = without.Servers[1:]
		applyUpdates(feed.Update{Fleet: without}, feed.Update{Fleet: fleet(2, 1, true)})
		Expect(chosenServers()).To(Equal(map[string]bool{"i-2": true}))
	})
})
