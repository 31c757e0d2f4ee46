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
		clock := &timetable.Hand{Now: time.Hour}
		n := newTestMember(clock, view)
		go n.memberLoop.Run(GinkgoT().Context(), runAll, 0, nil)
		go n.coordinator.loop.Run(GinkgoT().Context(), runAll, 0, nil)
		get := func(path string) *httptest.ResponseRecorder {
			out := httptest.NewRecorder()
			n.control().ServeHTTP(out, httptest.NewRequest(http.MethodGet, path, strings.NewReader("")))
			return out
		}
		local := []string{"/v1/fleet", "/v1/load"}
		for _, path := range append(local, "/v1/mirrors", "/v1/sites") {
			out := get(path)
			Expect(out.Code).To(Equal(http.StatusServiceUnavailable), path)
			Expect(out.Header().Get("Retry-After")).NotTo(BeEmpty())
		}
		Expect(get("/v1/status").Code).To(Equal(http.StatusOK))
		n.contact.record(clock.Steady(), feed.Reading{})
		clock.Now += maxContactAge
		for _, path := range local {
			Expect(get(path).Code).To(Equal(http.StatusOK), path)
		}
		clock.Now += time.Millisecond
		for _, path := range local {
			Expect(get(path).Code).To(Equal(http.StatusServiceUnavailable), path)
		}
		// In contact, but the majority has a fleet that this node hasn't heard of yet.
		clock.Now += time.Millisecond
		n.contact.record(clock.Steady(), feed.Reading{Term: 2, Count: 1})
		Expect(get("/v1/fleet").Code).To(Equal(http.StatusServiceUnavailable))
		n.onFleet(feed.Fleet{Term: 2, Count: 1}, func(messages.Done) {})
		Expect(get("/v1/fleet").Code).To(Equal(http.StatusOK))
	})

	It("isn't enough for the duty while the majority has a newer fleet; a lost member's is waited for no more", func() {
		clock := &timetable.Hand{Now: time.Hour}
		n := newTestMember(clock, view)
		newest := feed.Reading{Term: 2, Count: 5}
		Expect(n.isReadyToLead(newest)).To(BeFalse(), "it has had no contact")
		n.contact.record(clock.Steady(), newest)
		Expect(n.isReadyToLead(feed.Reading{Term: 2, Count: 4})).To(BeFalse())
		Expect(n.isReadyToLead(newest)).To(BeTrue())
		clock.Now += time.Millisecond
		n.contact.record(clock.Steady(), feed.Reading{Term: 2, Count: 4})
		Expect(n.isReadyToLead(feed.Reading{Term: 2, Count: 4})).To(BeTrue())
	})

	It("counts the members that answer in the same epoch, and no others", func() {
		clock := &timetable.Hand{Now: time.Hour}
		n := newTestMember(clock, membership.View{Epoch: 1, Members: []string{"a"}})
		other := httptest.NewUnstartedServer(nil)
		address := other.Listener.Addr().String()
		go rpc.Serve(other.Listener, rpc.Handlers{messages.KindContact: answering(func(in messages.Contact, answer func(messages.ContactTold)) {
			answer(messages.ContactTold{OK: in.Epoch == 2})
		})}, time.Second)
		DeferCleanup(other.Listener.Close)
		n.adopt(membership.View{Epoch: 2, Members: []string{"a", address, "127.0.0.1:1"}})
		n.refreshQuorumContact()
		Expect(n.hasQuorumContact()).To(BeTrue())
		clock.Now += 2 * maxContactAge
		n.adopt(membership.View{Epoch: 3, Members: []string{"a", address, "127.0.0.1:1"}})
		n.refreshQuorumContact()
		Expect(n.hasQuorumContact()).To(BeFalse())
	})
})
