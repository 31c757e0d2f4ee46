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

	"ploverhitch/internal/control/listing"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/timetable"
)

var _ = Describe("a reading of the list in the holder's stead", func() {
	const leader, self, other, silentAfter = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", 1200 * time.Millisecond
	const next = 800 * time.Millisecond
	var n *node
	var clock *timetable.Hand
	fleet := func(count uint64, publisher string, isReady bool) *feed.Fleet {
		return &feed.Fleet{Term: 1, Count: count, Holder: publisher, Servers: []feed.Server{{ID: "a", IsReady: isReady}, {ID: "b", IsReady: true}}}
	}
	leaving := func() (out map[string]bool) {
		n.hub.Read(func(board *feed.Board) { out = maps.Clone(board.Leaving) })
		return out
	}
	hear := func() { n.runInMemberLoop(func() { n.watch.Hear(membership.Beat{From: leader, IsFit: true}) }) }
	// read is what the holder tells once it has read the list.
	read := func() {
		n.onListProgress(messages.ListProgress{From: leader, IsWhole: true, Age: timetable.Span(100 * time.Millisecond), Next: timetable.Span(next)}, nil)
	}
	// overdue is when a reading counts as overdue for the last in the order.
	const overdue = next + time.Second

	BeforeEach(func() {
		clock = &timetable.Hand{Now: time.Hour}
		n = &node{
			self: self, clock: clock, hub: feed.NewHub(), note: func(string, string, ...any) {},
			lines:      map[string]*rpc.Line{},
			memberLoop: timetable.NewLoop[func()](8), watch: membership.NewWatch(clock, silentAfter), began: clock.Steady(),
			listWatch: newListTracker(clock.Steady()), lease: newLeaderLease(testLeaseDuration),
		}
		n.set.Store(&settings.Settings{Tuning: settings.Tuning{SilentAfter: timetable.Span(silentAfter)}})
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go n.memberLoop.Run(ctx, runAll, 0, nil)
		view := membership.View{Epoch: 1, Members: []string{leader, self, other}}
		n.hub.Publish(feed.News{View: &view, Fleet: fleet(1, leader, true)})
		hear()
		read()
	})

	It("begins when a reading is overdue, and ends once the holder reads again", func() {
		clock.Sleep(next)
		Expect(n.isStandbyReader()).To(BeFalse())
		clock.Sleep(overdue - next)
		Expect(n.isStandbyReader()).To(BeTrue())
		read()
		Expect(n.isStandbyReader()).To(BeFalse())
	})

	It("begins while the holder's heartbeats go on but no reading of the list does", func() {
		for range 10 {
			clock.Sleep(overdue / 10)
			hear()
		}
		Expect(n.isStandbyReader()).To(BeTrue())
	})

	It("ends after a while at a node that reaches no majority and hears of no reading", func() {
		clock.Sleep(isolatedReadLimit + time.Millisecond)
		Expect(n.isStandbyReader()).To(BeFalse())
		n.contact.record(clock.Steady(), feed.Reading{})
		Expect(n.isStandbyReader()).To(BeTrue())
	})

	It("is not for the holder, for one outside of the view, or for all at once", func() {
		clock.Sleep(next + 250*time.Millisecond)
		n.hub.Publish(feed.News{Fleet: fleet(2, self, true)})
		Expect(n.isStandbyReader()).To(BeFalse())
		wide := membership.View{Epoch: 2, Members: []string{leader, self, other, "127.0.0.1:4", "127.0.0.1:5", "127.0.0.1:6"}}
		n.hub.Publish(feed.News{View: &wide, Fleet: fleet(3, leader, true)})
		for _, member := range wide.Members[1:] {
			n.self = member
			Expect(n.isStandbyReader()).To(Equal(listing.Rank(wide, leader, member) == 0), member)
		}
		n.self = "127.0.0.1:9"
		Expect(n.isStandbyReader()).To(BeFalse())
	})

	It("is told by a holder whose coordinator is held up, and not beside what was published", func() {
		platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"Instances":[{"InstanceId":"a","State":"draining"},{"InstanceId":"b","State":"ready"}],"NextToken":null}`)
		}))
		DeferCleanup(platform.Close)
		// Nobody runs the coordinator's loop.
		n.coordinator = newCoordinator(n)
		n.isHolder.Store(true)
		poller := &listPoller{node: n, reader: newListReader(clock, func() string { return platform.Listener.Addr().String() })}
		var published []string
		ended := make(chan struct{})
		body, err := cbor.Marshal(feed.Follow{})
		Expect(err).NotTo(HaveOccurred())
		n.hub.Handle(rpc.Call{Body: body, Ended: ended, Reply: func(body any) bool {
			published = append(published, body.(feed.News).Leaving...)
			return true
		}})
		DeferCleanup(func() { close(ended) })
		poller.poll(context.Background())
		Expect(leaving()).To(Equal(map[string]bool{"a": true}))
		Expect(published).To(Equal([]string{"a"}))
		n.hub.Publish(feed.News{Fleet: fleet(2, self, false)})
		clock.Sleep(time.Second)
		poller.poll(context.Background())
		Expect(published).To(Equal([]string{"a"}), "the fleet says so by now")
	})

	It("comes as often as the node's share of the rate allows, as what the node is now", func() {
		n.coordinator = newCoordinator(n)
		set := *n.set.Load()
		set.Platform.CloudApi.RatePerS = 50
		n.set.Store(&set)
		poller := &listPoller{node: n}
		poller.lastRead.started, poller.lastRead.ended, poller.lastRead.calls = clock.Steady(), clock.Steady(), 30
		view, _ := n.viewAndLeader()
		// One that hears of nobody, and reaches no majority, leaves room for others.
		clock.Sleep(overdue)
		poller.lastRead.started, poller.lastRead.ended = clock.Steady(), clock.Steady()
		Expect(poller.untilNextRead(false)).To(BeNumerically("~", 3*time.Second, time.Millisecond))
		n.contact.record(clock.Steady(), feed.Reading{})
		Expect(poller.untilNextRead(false)).To(BeNumerically("~", time.Second, time.Millisecond))
		// A holder that has lost its lease may have a successor that reads.
		Expect(poller.untilNextRead(true)).To(BeNumerically("~", 3*time.Second, time.Millisecond))
		n.myTerm.Store(2)
		round := n.lease.startRound(2, view, clock.Steady())
		n.lease.acknowledge(round, self)
		Expect(n.lease.acknowledge(round, other)).To(BeTrue())
		Expect(poller.untilNextRead(true)).To(BeNumerically("~", time.Second, time.Millisecond))
	})

	It("is told of to the other members only when it was complete", func() {
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
		n.isHolder.Store(true)
		clock.Sleep(time.Minute)
		poller := &listPoller{node: n, reader: newListReader(clock, func() string { return platform.Listener.Addr().String() })}
		poller.poll(context.Background())
		age, _ := n.listWatch.age(clock.Steady())
		Expect(age).To(BeNumerically(">=", time.Minute))
		isFailing.Store(false)
		clock.Sleep(time.Second)
		poller.poll(context.Background())
		age, _ = n.listWatch.age(clock.Steady())
		Expect(age).To(BeNumerically("<", time.Second))
	})

	It("tells this node's followers which servers leave, as another member's does", func() {
		n.publishLeaving([]feed.Server{{ID: "a", IsReady: true}, {ID: "b", IsReady: true}})
		Expect(leaving()).To(BeEmpty())
		n.publishLeaving([]feed.Server{{ID: "a"}, {ID: "b", IsReady: true}})
		Expect(leaving()).To(Equal(map[string]bool{"a": true}))
		n.onLeaving(messages.Leaving{IDs: []string{"b"}}, nil)
		Expect(leaving()).To(Equal(map[string]bool{"a": true, "b": true}))
	})
})
