package control

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/feed"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
	"ploverhitch/internal/timetable"
)

var _ = Describe("a reading from a node's own state", func() {
	view := membership.View{Epoch: 1, Members: []string{"a", "127.0.0.1:1", "127.0.0.1:2"}}

	It("needs a contact with a majority of the view that is no older than the bound; the status needs none", func() {
		hand := &timetable.Hand{Now: time.Hour}
		b := newMember(hand, view)
		go b.memberLoop.Run(GinkgoT().Context(), actAll, 0, nil)
		go b.coordinator.loop.Run(GinkgoT().Context(), actAll, 0, nil)
		get := func(path string) *httptest.ResponseRecorder {
			out := httptest.NewRecorder()
			b.operatorHandler().ServeHTTP(out, httptest.NewRequest(http.MethodGet, path, strings.NewReader("")))
			return out
		}
		local := []string{"/v1/fleet", "/v1/load"}
		for _, path := range append(local, "/v1/mirrors", "/v1/sites") {
			out := get(path)
			Expect(out.Code).To(Equal(http.StatusServiceUnavailable), path)
			Expect(out.Header().Get("Retry-After")).NotTo(BeEmpty())
		}
		Expect(get("/v1/status").Code).To(Equal(http.StatusOK))
		b.contact.note(hand.Steady(), feed.Reading{})
		hand.Now += contactSpan
		for _, path := range local {
			Expect(get(path).Code).To(Equal(http.StatusOK), path)
		}
		hand.Now += time.Millisecond
		for _, path := range local {
			Expect(get(path).Code).To(Equal(http.StatusServiceUnavailable), path)
		}
		// In contact, but the majority has a fleet that this node hasn't heard of yet.
		hand.Now += time.Millisecond
		b.contact.note(hand.Steady(), feed.Reading{Term: 2, Count: 1})
		Expect(get("/v1/fleet").Code).To(Equal(http.StatusServiceUnavailable))
		b.onFleet(feed.Fleet{Term: 2, Count: 1}, func(messages.Done) {})
		Expect(get("/v1/fleet").Code).To(Equal(http.StatusOK))
	})

	It("isn't enough for the duty while the majority has a newer fleet; a lost member's is waited for no more", func() {
		hand := &timetable.Hand{Now: time.Hour}
		b := newMember(hand, view)
		newest := feed.Reading{Term: 2, Count: 5}
		Expect(b.isReadyForDuty(newest)).To(BeFalse(), "it has had no contact")
		b.contact.note(hand.Steady(), newest)
		Expect(b.isReadyForDuty(feed.Reading{Term: 2, Count: 4})).To(BeFalse())
		Expect(b.isReadyForDuty(newest)).To(BeTrue())
		hand.Now += time.Millisecond
		b.contact.note(hand.Steady(), feed.Reading{Term: 2, Count: 4})
		Expect(b.isReadyForDuty(feed.Reading{Term: 2, Count: 4})).To(BeTrue())
	})

	It("counts the members that answer in the same epoch, and no others", func() {
		hand := &timetable.Hand{Now: time.Hour}
		b := newMember(hand, membership.View{Epoch: 1, Members: []string{"a"}})
		other := httptest.NewUnstartedServer(nil)
		address := other.Listener.Addr().String()
		go rpc.Serve(other.Listener, rpc.Handlers{messages.KindContact: typedHandler(func(in messages.Contact, answer func(messages.ContactTold)) {
			answer(messages.ContactTold{OK: in.Epoch == 2})
		})}, time.Second)
		DeferCleanup(other.Listener.Close)
		b.adoptView(membership.View{Epoch: 2, Members: []string{"a", address, "127.0.0.1:1"}})
		b.touch()
		Expect(b.isInContact()).To(BeTrue())
		hand.Now += 2 * contactSpan
		b.adoptView(membership.View{Epoch: 3, Members: []string{"a", address, "127.0.0.1:1"}})
		b.touch()
		Expect(b.isInContact()).To(BeFalse())
	})
})
