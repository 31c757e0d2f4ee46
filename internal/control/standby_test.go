package control

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/feed"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/timetable"
)

var _ = Describe("a reading of the list in the holder's stead", func() {
	const holder, self, other, silentAfter = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", 1200 * time.Millisecond
	var b *node
	var hand *timetable.Hand
	fleet := func(count uint64, by string, isReady bool) *feed.Fleet {
		return &feed.Fleet{Term: 1, Count: count, Holder: by, Servers: []feed.Server{{ID: "a", IsReady: isReady}, {ID: "b", IsReady: true}}}
	}
	leaving := func() (out map[string]bool) {
		b.hub.Read(func(board *feed.Board) { out = board.Leaving })
		return out
	}
	hear := func() { b.inMemberLoop(func() { b.watch.Hear(membership.Beat{From: holder, IsFit: true}) }) }

	BeforeEach(func() {
		hand = &timetable.Hand{Now: time.Hour}
		b = &node{
			self: self, clock: hand, hub: feed.NewHub(), note: func(string, string, ...any) {},
			lines:      map[string]*rpc.Line{},
			memberLoop: timetable.NewLoop[func()](8), watch: membership.NewWatch(hand, silentAfter), began: hand.Steady(),
		}
		b.set.Store(&settings.Settings{Tuning: settings.Tuning{SilentAfter: timetable.Span(silentAfter)}})
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go b.memberLoop.Run(ctx, actAll, 0, nil)
		view := membership.View{Epoch: 1, Members: []string{holder, self, other}}
		b.hub.Publish(feed.News{View: &view, Fleet: fleet(1, holder, true)})
		hear()
	})

	It("begins before the duty moves, while the holder that this node watches is silent, and ends", func() {
		Expect(b.standsBy()).To(BeFalse())
		hand.Sleep(silentAfter/2 + time.Millisecond)
		Expect(b.standsBy()).To(BeTrue())
		hear()
		Expect(b.standsBy()).To(BeFalse())
		hand.Sleep(standbyLongest + time.Millisecond)
		Expect(b.standsBy()).To(BeFalse(), "it does not hear of the duty any more")
	})

	It("is not for the holder, for one that does not watch it, or for one outside of the view", func() {
		hand.Sleep(silentAfter/2 + time.Millisecond)
		b.hub.Publish(feed.News{Fleet: fleet(2, self, true)})
		Expect(b.standsBy()).To(BeFalse())
		wide := membership.View{Epoch: 2, Members: []string{holder, self, other, "127.0.0.1:4", "127.0.0.1:5", "127.0.0.1:6"}}
		watchers := membership.Watchers(wide.Members, holder, watcherCount)
		b.hub.Publish(feed.News{View: &wide, Fleet: fleet(3, holder, true)})
		for _, member := range wide.Members[1:] {
			b.self = member
			Expect(b.standsBy()).To(Equal(member == watchers[0] || member == watchers[1]), member)
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
		b.isHolder.Store(true)
		poll := &listPoll{node: b, reader: newListReader(hand, func() string { return platform.Listener.Addr().String() })}
		poll.turn(context.Background())
		Expect(leaving()).To(Equal(map[string]bool{"a": true}))
		b.hub.Publish(feed.News{Fleet: fleet(2, self, false)})
		Expect(leaving()).To(BeEmpty())
		poll.turn(context.Background())
		Expect(leaving()).To(BeEmpty())
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
