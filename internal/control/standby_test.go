package control

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/control/listing"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
	"ploverhitch/internal/settings"
)

var _ = Describe("a standby read of the server list", func() {
	const leader, self, other, silentAfter = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", 1200 * time.Millisecond
	const next = 800 * time.Millisecond
	var n *node
	var manualClock *clock.Manual
	fleet := func(count uint64, publisher string, isReady bool) *feed.Fleet {
		return &feed.Fleet{Term: 1, Count: count, Leader: publisher, Servers: []feed.Server{{ID: "a", IsReady: isReady}, {ID: "b", IsReady: true}}}
	}
	leaving := func() (out map[string]bool) {
		n.hub.Read(func(replica *feed.Replica) { out = maps.Clone(replica.Leaving) })
		return out
	}
	sendHeartbeat := func() {
		n.runInMemberLoop(func() { n.livenessWatch.Observe(membership.Heartbeat{From: leader, Eligible: true}) })
	}
	// reportRead reports a complete read by the leader.
	reportRead := func() {
		n.onListProgress(messages.ListProgress{From: leader, Complete: true, Age: clock.Duration(100 * time.Millisecond), Next: clock.Duration(next)}, nil)
	}
	// overdue is the time after which a read is overdue for the last member in the order.
	const overdue = next + time.Second

	BeforeEach(func() {
		manualClock = &clock.Manual{Now: time.Hour}
		n = &node{
			self: self, clock: manualClock, hub: feed.NewHub(), log: func(string, string, ...any) {},
			connections: map[string]*rpc.Client{},
			memberLoop:  clock.NewLoop[func()](8), livenessWatch: membership.NewLivenessWatch(manualClock, silentAfter), startedAt: manualClock.Monotonic(),
			listReads: newListTracker(manualClock.Monotonic()), lease: newLeaderLease(testLeaseDuration),
		}
		n.settings.Store(&settings.Settings{Tuning: settings.Tuning{SilenceTimeout: clock.Duration(silentAfter)}})
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go n.memberLoop.Run(ctx, runAll, 0, nil)
		view := membership.View{Epoch: 1, Members: []string{leader, self, other}}
		n.hub.Publish(feed.Update{View: &view, Fleet: fleet(1, leader, true)})
		sendHeartbeat()
		reportRead()
	})

	It("starts when a read is overdue, and ends when the leader reads again", func() {
		manualClock.Sleep(next)
		Expect(n.isStandbyReader()).To(BeFalse())
		manualClock.Sleep(overdue - next)
		Expect(n.isStandbyReader()).To(BeTrue())
		reportRead()
		Expect(n.isStandbyReader()).To(BeFalse())
	})

	It("starts if the leader sends heartbeats but does not read the list", func() {
		for range 10 {
			manualClock.Sleep(overdue / 10)
			sendHeartbeat()
		}
		Expect(n.isStandbyReader()).To(BeTrue())
	})

	It("ends after isolatedReadLimit at a node without quorum contact that is notified of no read", func() {
		manualClock.Sleep(isolatedReadLimit + time.Millisecond)
		Expect(n.isStandbyReader()).To(BeFalse())
		n.contact.record(manualClock.Monotonic(), feed.FleetVersion{})
		Expect(n.isStandbyReader()).To(BeTrue())
	})

	It("is made neither by the leader, nor by a node outside the view, nor by all members at once", func() {
		manualClock.Sleep(next + 250*time.Millisecond)
		n.hub.Publish(feed.Update{Fleet: fleet(2, self, true)})
		Expect(n.isStandbyReader()).To(BeFalse())
		largeView := membership.View{Epoch: 2, Members: []string{leader, self, other, "127.0.0.1:4", "127.0.0.1:5", "127.0.0.1:6"}}
		n.hub.Publish(feed.Update{View: &largeView, Fleet: fleet(3, leader, true)})
		for _, member := range largeView.Members[1:] {
			n.self = member
			Expect(n.isStandbyReader()).To(Equal(listing.StandbyRank(largeView, leader, member) == 0), member)
		}
		n.self = "127.0.0.1:9"
		Expect(n.isStandbyReader()).To(BeFalse())
	})

	It("publishes draining servers though the leader's coordinator is blocked, unless the fleet already shows them", func() {
		platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"Instances":[{"InstanceId":"a","State":"draining"},{"InstanceId":"b","State":"ready"}],"NextToken":null}`)
		}))
		DeferCleanup(platform.Close)
		// The coordinator's loop does not run.
		n.coordinator = newCoordinator(n)
		n.isLeader.Store(true)
		poller := &listPoller{node: n, reader: newListReader(manualClock, func() string { return platform.Listener.Addr().String() })}
		var published []string
		ended := make(chan struct{})
		body, err := cbor.Marshal(feed.FollowRequest{})
		Expect(err).NotTo(HaveOccurred())
		n.hub.Handle(rpc.Call{Body: body, Closed: ended, Reply: func(body any) bool {
			published = append(published, body.(feed.Update).Leaving...)
			return true
		}})
		DeferCleanup(func() { close(ended) })
		poller.poll(context.Background())
		Expect(leaving()).To(Equal(map[string]bool{"a": true}))
		Expect(published).To(Equal([]string{"a"}))
		n.hub.Publish(feed.Update{Fleet: fleet(2, self, false)})
		manualClock.Sleep(time.Second)
		poller.poll(context.Background())
		Expect(published).To(Equal([]string{"a"}), "published again though the fleet already shows the server draining")
	})

	It("is paced by the share of the rate limit for the node's present role", func() {
		n.coordinator = newCoordinator(n)
		set := *n.settings.Load()
		set.Platform.CloudAPI.RatePerS = 50
		n.settings.Store(&set)
		poller := &listPoller{node: n}
		poller.lastRead.started, poller.lastRead.ended, poller.lastRead.calls = manualClock.Monotonic(), manualClock.Monotonic(), 30
		view, _ := n.viewAndLeader()
		// An isolated node leaves part of the rate limit to nodes that it doesn't know of.
		manualClock.Sleep(overdue)
		poller.lastRead.started, poller.lastRead.ended = manualClock.Monotonic(), manualClock.Monotonic()
		Expect(poller.untilNextRead(false)).To(BeNumerically("~", 3*time.Second, time.Millisecond))
		n.contact.record(manualClock.Monotonic(), feed.FleetVersion{})
		Expect(poller.untilNextRead(false)).To(BeNumerically("~", time.Second, time.Millisecond))
		// A leader whose lease has expired may have a successor that reads.
		Expect(poller.untilNextRead(true)).To(BeNumerically("~", 3*time.Second, time.Millisecond))
		n.ownTerm.Store(2)
		round := n.lease.startRound(2, view, manualClock.Monotonic())
		n.lease.acknowledge(round, self)
		Expect(n.lease.acknowledge(round, other)).To(BeTrue())
		Expect(poller.untilNextRead(true)).To(BeNumerically("~", time.Second, time.Millisecond))
	})

	It("counts as a read of the list only when it was complete", func() {
		var isFailing atomic.Bool
		isFailing.Store(true)
		platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if isFailing.Load() {
				w.WriteHeader(http.StatusTooManyRequests)
				return
			}
			_, _ = io.WriteString(w, `{"Instances":[{"InstanceId":"a","State":"ready"}],"NextToken":null}`)
		}))
		DeferCleanup(platform.Close)
		n.coordinator = newCoordinator(n)
		n.isLeader.Store(true)
		manualClock.Sleep(time.Minute)
		poller := &listPoller{node: n, reader: newListReader(manualClock, func() string { return platform.Listener.Addr().String() })}
		poller.poll(context.Background())
		age, _ := n.listReads.age(manualClock.Monotonic())
		Expect(age).To(BeNumerically(">=", time.Minute))
		isFailing.Store(false)
		manualClock.Sleep(time.Second)
		poller.poll(context.Background())
		age, _ = n.listReads.age(manualClock.Monotonic())
		Expect(age).To(BeNumerically("<", time.Second))
	})

	It("publishes the draining servers to this node's followers, and those that another member reports", func() {
		n.publishLeaving([]feed.Server{{ID: "a", IsReady: true}, {ID: "b", IsReady: true}})
		Expect(leaving()).To(BeEmpty())
		n.publishLeaving([]feed.Server{{ID: "a"}, {ID: "b", IsReady: true}})
		Expect(leaving()).To(Equal(map[string]bool{"a": true}))
		n.onLeaving(messages.LeavingServers{IDs: []string{"b"}}, nil)
		Expect(leaving()).To(Equal(map[string]bool{"a": true, "b": true}))
	})
})
