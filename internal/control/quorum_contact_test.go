package control

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
)

var _ = Describe("a read of a node's local state", func() {
	view := membership.View{Epoch: 1, Members: []string{"a", "127.0.0.1:1", "127.0.0.1:2"}}

	It("requires a quorum contact no older than maxContactAge, and the newest fleet; the status requires none", func() {
		manualClock := &clock.Manual{Now: time.Hour}
		n := newTestMember(manualClock, view)
		go n.memberLoop.Run(GinkgoT().Context(), runAll, 0, nil)
		go n.coordinator.loop.Run(GinkgoT().Context(), runAll, 0, nil)
		get := func(path string) *httptest.ResponseRecorder {
			out := httptest.NewRecorder()
			n.operatorHandler().ServeHTTP(out, httptest.NewRequest(http.MethodGet, path, strings.NewReader("")))
			return out
		}
		local := []string{"/v1/fleet", "/v1/load"}
		for _, path := range append(local, "/v1/mirrors", "/v1/sites") {
			out := get(path)
			Expect(out.Code).To(Equal(http.StatusServiceUnavailable), path)
			Expect(out.Header().Get("Retry-After")).NotTo(BeEmpty())
		}
		Expect(get("/v1/status").Code).To(Equal(http.StatusOK))
		n.contact.record(manualClock.Monotonic(), feed.FleetVersion{})
		manualClock.Sleep(maxContactAge)
		for _, path := range local {
			Expect(get(path).Code).To(Equal(http.StatusOK), path)
		}
		manualClock.Sleep(time.Millisecond)
		for _, path := range local {
			Expect(get(path).Code).To(Equal(http.StatusServiceUnavailable), path)
		}
		// The node has quorum contact, but the majority has a fleet that this node lacks.
		manualClock.Sleep(time.Millisecond)
		n.contact.record(manualClock.Monotonic(), feed.FleetVersion{Term: 2, Count: 1})
		Expect(get("/v1/fleet").Code).To(Equal(http.StatusServiceUnavailable))
		n.onFleet(feed.Fleet{Term: 2, Count: 1}, func(messages.Ack) {})
		Expect(get("/v1/fleet").Code).To(Equal(http.StatusOK))
	})

	It("doesn't make a node ready to lead while the majority has a newer fleet; a fleet that only a failed member had is not waited for", func() {
		manualClock := &clock.Manual{Now: time.Hour}
		n := newTestMember(manualClock, view)
		newest := feed.FleetVersion{Term: 2, Count: 5}
		Expect(n.isReadyToLead(newest)).To(BeFalse(), "the node has had no quorum contact")
		n.contact.record(manualClock.Monotonic(), newest)
		Expect(n.isReadyToLead(feed.FleetVersion{Term: 2, Count: 4})).To(BeFalse())
		Expect(n.isReadyToLead(newest)).To(BeTrue())
		manualClock.Sleep(time.Millisecond)
		n.contact.record(manualClock.Monotonic(), feed.FleetVersion{Term: 2, Count: 4})
		Expect(n.isReadyToLead(feed.FleetVersion{Term: 2, Count: 4})).To(BeTrue())
	})

	It("counts only the members that answer in the same epoch", func() {
		manualClock := &clock.Manual{Now: time.Hour}
		n := newTestMember(manualClock, membership.View{Epoch: 1, Members: []string{"a"}})
		other := httptest.NewUnstartedServer(nil)
		address := other.Listener.Addr().String()
		go rpc.Serve(other.Listener, rpc.Handlers{messages.KindContact: typedHandler(n, func(in messages.Contact, answer func(messages.ContactResponse)) {
			answer(messages.ContactResponse{OK: in.Epoch == 2})
		})}, time.Second)
		DeferCleanup(other.Listener.Close)
		n.adoptView(membership.View{Epoch: 2, Members: []string{"a", address, "127.0.0.1:1"}})
		n.refreshQuorumContact()
		Expect(n.hasQuorumContact()).To(BeTrue())
		manualClock.Sleep(2 * maxContactAge)
		n.adoptView(membership.View{Epoch: 3, Members: []string{"a", address, "127.0.0.1:1"}})
		n.refreshQuorumContact()
		Expect(n.hasQuorumContact()).To(BeFalse())
	})
})
