package points

import (
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/config"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/timetable"
	"ploverhitch/internal/upstream"
)

var _ = Describe("a round of calls to the members", func() {
	member := func(address string, handlers rpc.Handlers) net.Listener {
		listener, err := net.Listen("tcp4", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = listener.Close() })
		go rpc.Serve(listener, handlers, time.Second)
		return listener
	}
	// begin is an attempt at a key before such members.
	begin := func(members ...net.Listener) *attempt {
		set := &settings.Settings{}
		set.Tuning.VoteSpan = timetable.Span(150 * time.Millisecond)
		set.Platform.Bounds.Sync = timetable.Span(10 * time.Second)
		p := newProxy(set, timetable.Real(), func(string, string, ...any) {})
		view := membership.View{Epoch: 1}
		for _, listener := range members {
			view.Members = append(view.Members, listener.Addr().String())
		}
		p.sight.Store(&sight{sheet: p.sight.Load().sheet, yard: p.sight.Load().yard, view: view})
		one := &inquiry{
			Request: &upstream.Request{Header: http.Header{}, Attempt: "t"}, lane: &config.Route{}, sight: p.sight.Load(),
			due: time.Now().Add(time.Second), arrived: time.Now(),
		}
		one.key = idempotency.Key{Tenant: "h", Key: "k"}
		a := &attempt{proxy: p, one: one, ungranted: map[string]bool{}}
		a.intent = idempotency.Intent{Key: one.key, Attempt: "a-1", State: idempotency.Reserved}
		return a
	}
	mute := rpc.Handlers{messages.KindReserve: func(rpc.Call) {}, messages.KindRecord: func(rpc.Call) {}, messages.KindLookup: func(rpc.Call) {}}
	answer := func(times int, vote messages.Vote) rpc.Handlers {
		return rpc.Handlers{
			messages.KindReserve: func(call rpc.Call) {
				for range times {
					call.Reply(vote)
				}
			},
			messages.KindRecord: func(rpc.Call) {},
		}
	}
	granted := messages.Vote{Ballot: idempotency.Vote{Verdict: idempotency.Granted}}

	It("is won by a majority, each member counted once", func() {
		a := begin(member("127.0.0.1:0", answer(1, granted)), member("127.0.0.1:0", answer(1, granted)), member("127.0.0.1:0", mute))
		Expect(a.reserve()).To(Equal(idempotency.Won))
		a = begin(member("127.0.0.1:0", answer(5, granted)), member("127.0.0.1:0", mute), member("127.0.0.1:0", mute))
		Expect(a.reserve()).To(Equal(idempotency.NoMajority))
	})

	It("takes no ballot on another key", func() {
		ended := &idempotency.Intent{Key: idempotency.Key{Tenant: "h", Key: "another"}, State: idempotency.Completed, Response: &idempotency.Response{Status: 200}}
		held := messages.Vote{Ballot: idempotency.Vote{Verdict: idempotency.KeyInUse, Existing: ended}}
		a := begin(member("127.0.0.1:0", answer(1, held)), member("127.0.0.1:0", answer(1, held)), member("127.0.0.1:0", answer(1, held)))
		Expect(a.reserve()).To(Equal(idempotency.NoMajority))
		found := rpc.Handlers{messages.KindLookup: func(call rpc.Call) { call.Reply(messages.Found{Intent: ended}) }}
		Expect(begin(member("127.0.0.1:0", found)).lookup()).To(BeNil())
		ended.Key.Key = "k"
		Expect(begin(member("127.0.0.1:0", found)).lookup()).To(Equal(ended))
	})

	It("gives its votes back again to a member whose line broke on the way", func() {
		listener := member("127.0.0.1:0", answer(1, granted))
		a := begin(listener)
		Expect(a.reserve()).To(Equal(idempotency.Won))
		Expect(listener.Close()).To(Succeed())
		address := listener.Addr().String()
		Eventually(func() error { return a.line(address).Ask(messages.KindReserve, nil, nil, time.Second) }).ShouldNot(Succeed())
		a.giveBack()
		told := make(chan idempotency.State, 8)
		member(address, rpc.Handlers{messages.KindRecord: func(call rpc.Call) {
			var record messages.Record
			if rpc.Unpack(call.Body, &record) == nil {
				told <- record.Intent.State
			}
		}, messages.KindLookup: func(rpc.Call) {}})
		Eventually(func() error {
			a.line(address).Send(messages.KindLookup, nil, nil)
			select {
			case state := <-told:
				Expect(state).To(Equal(idempotency.Released))
				return nil
			case <-time.After(100 * time.Millisecond):
				return net.ErrClosed
			}
		}).Should(Succeed())
	})
})
