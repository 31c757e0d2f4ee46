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
	const holder, self, other, silentAfter = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", 1200 * time.Millisecond
	const next = 800 * time.Millisecond
	var b *node
	var hand *timetable.Hand
	fleet := func(count uint64, by string, isReady bool) *feed.Fleet {
		return &feed.Fleet{Term: 1, Count: count, Holder: by, Servers: []feed.Server{{ID: "a", IsReady: isReady}, {ID: "b", IsReady: true}}}
	}
	leaving := func() (out map[string]bool) {
		b.hub.Read(func(board *feed.Board) { out = maps.Clone(board.Leaving) })
		return out
	}
	hear := func() { b.inMemberLoop(func() { b.livenessWatch.Hear(membership.Beat{From: holder, IsFit: true}) }) }
	// read is what the holder tells once it has read the list.
	read := func() {
		b.onListProgress(messages.ListProgress{From: holder, IsWhole: true, Age: timetable.Span(100 * time.Millisecond), Next: timetable.Span(next)}, nil)
	}
	// overdue is when a reading counts as overdue for the last in the order.
	const overdue = next + time.Second

	BeforeEach(func() {
		hand = &timetable.Hand{Now: time.Hour}
		b = &node{
			self: self, clock: hand, hub: feed.NewHub(), log: func(string, string, ...any) {},
			connections: map[string]*rpc.Line{},
			memberLoop:  timetable.NewLoop[func()](8), livenessWatch: membership.NewWatch(hand, silentAfter), startedAt: hand.Steady(),
			listWatch: newListWatch(hand.Steady()), lease: newDutyLease(testSpan),
		}
		b.settings.Store(&settings.Settings{Tuning: settings.Tuning{SilentAfter: timetable.Span(silentAfter)}})
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go b.memberLoop.Run(ctx, actAll, 0, nil)
		view := membership.View{Epoch: 1, Members: []string{holder, self, other}}
		b.hub.Publish(feed.News{View: &view, Fleet: fleet(1, holder, true)})
		hear()
		read()
	})

	It("begins when a reading is overdue, and ends once the holder reads again", func() {
		hand.Sleep(next)
		Expect(b.standsBy()).To(BeFalse())
		hand.Sleep(overdue - next)
		Expect(b.standsBy()).To(BeTrue())
		read()
		Expect(b.standsBy()).To(BeFalse())
	})

	It("begins while the holder's heartbeats go on but no reading of the list does", func() {
		for range 10 {
			hand.Sleep(overdue / 10)
			hear()
		}
		Expect(b.standsBy()).To(BeTrue())
	})

	It("ends after a while at a node that reaches no majority and hears of no reading", func() {
		hand.Sleep(aloneLongest + time.Millisecond)
		Expect(b.standsBy()).To(BeFalse())
		b.contact.note(hand.Steady(), feed.Reading{})
		Expect(b.standsBy()).To(BeTrue())
	})

	It("is not for the holder, for one outside of the view, or for all at once", func() {
		hand.Sleep(next + 250*time.Millisecond)
		b.hub.Publish(feed.News{Fleet: fleet(2, self, true)})
		Expect(b.standsBy()).To(BeFalse())
		wide := membership.View{Epoch: 2, Members: []string{holder, self, other, "127.0.0.1:4", "127.0.0.1:5", "127.0.0.1:6"}}
		b.hub.Publish(feed.News{View: &wide, Fleet: fleet(3, holder, true)})
		for _, member := range wide.Members[1:] {
			b.self = member
			Expect(b.standsBy()).To(Equal(listing.Rank(wide, holder, member) == 0), member)
		}
		b.self = "127.0.0.1:9"
		Expect(b.standsBy()).To(BeFalse())
	})

	It("is told by a holder whose coordinator is held up, and not beside what was published", func() {
		platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"Instances":[{"InstanceId":"a","State":"draining"},{"InstanceId":"b","State":"ready"}],"NextToken":null}`)
		}))
		DeferCleanup(platform.Close)
		// Nobody runs the coordinator's loop.
		b.coordinator = newCoordinator(b)
		b.isLeader.Store(true)
		poll := &listPoll{node: b, reader: newListReader(hand, func() string { return platform.Listener.Addr().String() })}
		var told []string
		ended := make(chan struct{})
		body, err := cbor.Marshal(feed.Follow{})
		Expect(err).NotTo(HaveOccurred())
		b.hub.Handle(rpc.Call{Body: body, Ended: ended, Reply: func(body any) bool {
			told = append(told, body.(feed.News).Leaving...)
			return true
		}})
		DeferCleanup(func() { close(ended) })
		poll.turn(context.Background())
		Expect(leaving()).To(Equal(map[string]bool{"a": true}))
		Expect(told).To(Equal([]string{"a"}))
		b.hub.Publish(feed.News{Fleet: fleet(2, self, false)})
		hand.Sleep(time.Second)
		poll.turn(context.Background())
		Expect(told).To(Equal([]string{"a"}), "the fleet says so by now")
	})

	It("comes as often as the node's share of the rate allows, as what the node is now", func() {
		b.coordinator = newCoordinator(b)
		set := *b.settings.Load()
		set.Platform.CloudApi.RatePerS = 50
		b.settings.Store(&set)
		poll := &listPoll{node: b}
		poll.last.began, poll.last.ended, poll.last.calls = hand.Steady(), hand.Steady(), 30
		view, _ := b.viewAndHolder()
		// One that hears of nobody, and reaches no majority, leaves room for others.
		hand.Sleep(overdue)
		poll.last.began, poll.last.ended = hand.Steady(), hand.Steady()
		Expect(poll.rest(false)).To(BeNumerically("~", 3*time.Second, time.Millisecond))
		b.contact.note(hand.Steady(), feed.Reading{})
		Expect(poll.rest(false)).To(BeNumerically("~", time.Second, time.Millisecond))
		// A holder that has lost its lease may have a successor that reads.
		Expect(poll.rest(true)).To(BeNumerically("~", 3*time.Second, time.Millisecond))
		b.ownTerm.Store(2)
		round := b.lease.start(2, view, hand.Steady())
		b.lease.acknowledge(round, self)
		Expect(b.lease.acknowledge(round, other)).To(BeTrue())
		Expect(poll.rest(true)).To(BeNumerically("~", time.Second, time.Millisecond))
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
		b.coordinator = newCoordinator(b)
		b.isLeader.Store(true)
		hand.Sleep(time.Minute)
		poll := &listPoll{node: b, reader: newListReader(hand, func() string { return platform.Listener.Addr().String() })}
		poll.turn(context.Background())
		age, _ := b.listWatch.age(hand.Steady())
		Expect(age).To(BeNumerically(">=", time.Minute))
		isFailing.Store(false)
		hand.Sleep(time.Second)
		poll.turn(context.Background())
		age, _ = b.listWatch.age(hand.Steady())
		Expect(age).To(BeNumerically("<", time.Second))
	})

	It("tells this node's followers which servers leave, as another member's does", func() {
		b.tellLeaving([]feed.Server{{ID: "a", IsReady: true}, {ID: "b", IsReady: true}})
		Expect(leaving()).To(BeEmpty())
		b.tellLeaving([]feed.Server{{ID: "a"}, {ID: "b", IsReady: true}})
		Expect(leaving()).To(Equal(map[string]bool{"a": true}))
		b.onLeaving(messages.Leaving{IDs: []string{"b"}}, nil)
		Expect(leaving()).To(Equal(map[string]bool{"a": true, "b": true}))
	})
})
