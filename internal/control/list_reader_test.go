package control

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/feed"
)

var _ = Describe("a read of the platform's server list", func() {
	const pages = 4
	// platform serves a list of several pages with one server each. handle gets the number
	// of the call, and may respond to it instead.
	platform := func(handle func(call int64, w http.ResponseWriter, r *http.Request) (isDone bool)) *listReader {
		var calls atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if handle(calls.Add(1), w, r) {
				return
			}
			page, next := 0, "null"
			_, _ = fmt.Sscan(r.URL.Query().Get("PageToken"), &page)
			if page+1 < pages {
				next = fmt.Sprintf("%q", fmt.Sprint(page+1))
			}
			state := []string{"ready", "draining"}[page%2]
			_, _ = fmt.Fprintf(w, `{"Instances":[{"InstanceId":"i-%d","Service":"fees","State":%q,"Capacity":2}],"NextToken":%s}`, page, state, next)
		}))
		DeferCleanup(server.Close)
		return newListReader(clock.Real(), func() string { return strings.TrimPrefix(server.URL, "http://") })
	}
	// expectWhole expects a read of all pages with the given number of calls.
	expectWhole := func(reader *listReader, expectedCalls int) {
		GinkgoHelper()
		read, err := reader.read(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(read.calls).To(Equal(expectedCalls))
		ready := map[string]bool{}
		for _, server := range read.servers {
			ready[server.ID] = server.IsReady
		}
		Expect(ready).To(Equal(map[string]bool{"i-0": true, "i-1": false, "i-2": true, "i-3": false}))
	}
	hang := func(r *http.Request) bool { <-r.Context().Done(); return true }

	It("makes one call per page", func() {
		reader := platform(func(int64, http.ResponseWriter, *http.Request) bool { return false })
		expectWhole(reader, pages)
		expectWhole(reader, pages)
	})

	// Guards against one entry with a field of another kind that makes the whole list unreadable.
	DescribeTable("leaves out an entry that cannot be decoded, and names it", func(entry, named string) {
		reader := platform(func(_ int64, w http.ResponseWriter, r *http.Request) bool {
			if r.URL.Query().Get("PageToken") != "2" {
				return false
			}
			_, _ = fmt.Fprintf(w, `{"Instances":[%s,{"InstanceId":"i-2","Service":"fees","State":"ready","Capacity":2}],"NextToken":"3"}`, entry)
			return true
		})
		expectWhole(reader, pages)
		read, err := reader.read(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(read.unreadable).To(ConsistOf(ContainSubstring(named)))
	},
		Entry("with a text as its capacity", `{"InstanceId":"i-bad","Service":"fees","State":"ready","Capacity":"many"}`, "i-bad: number"),
		Entry("with a number as its address", `{"InstanceId":"i-bad","Address":7}`, "i-bad: json"),
		Entry("that is no object", `[]`, "cannot unmarshal array"),
	)

	It("hedges a call that hangs and does not wait for it", func() {
		reader := platform(func(call int64, _ http.ResponseWriter, r *http.Request) bool { return call == 2 && hang(r) })
		began := time.Now()
		expectWhole(reader, pages+1)
		Expect(time.Since(began)).To(BeNumerically("<", pageTimeout))
	})

	It("retries a rejected page rather than the whole list", func() {
		refuse := func(w http.ResponseWriter) bool { w.WriteHeader(http.StatusTooManyRequests); return true }
		reader := platform(func(call int64, w http.ResponseWriter, _ *http.Request) bool { return call == 3 && refuse(w) })
		expectWhole(reader, pages+1)
	})

	It("limits the number of calls and the time for a page", func() {
		reader := platform(func(_ int64, _ http.ResponseWriter, r *http.Request) bool { return hang(r) })
		began := time.Now()
		read, err := reader.read(context.Background())
		Expect(err).To(HaveOccurred())
		Expect(read.calls).To(Equal(maxPageCalls))
		Expect(time.Since(began)).To(BeNumerically("<", 2*pageTimeout))
	})

	It("resumes once at the page that failed and keeps the pages before it", func() {
		var isFailing atomic.Bool
		isFailing.Store(true)
		reader := platform(func(_ int64, w http.ResponseWriter, r *http.Request) bool {
			if !isFailing.Load() || r.URL.Query().Get("PageToken") != "2" {
				return false
			}
			w.WriteHeader(http.StatusInternalServerError)
			return true
		})
		var received []string
		reader.onPage = func(page []feed.Server) {
			for _, server := range page {
				received = append(received, server.ID)
			}
		}
		_, err := reader.read(context.Background())
		Expect(err).To(HaveOccurred())
		Expect(received).To(Equal([]string{"i-0", "i-1"}), "onPage did not get the pages that were read")
		isFailing.Store(false)
		expectWhole(reader, 2)
		Expect(received).To(Equal([]string{"i-0", "i-1", "i-2", "i-3"}))
		expectWhole(reader, pages)
		isFailing.Store(true)
		for range 2 {
			_, err = reader.read(context.Background())
			Expect(err).To(HaveOccurred())
		}
		isFailing.Store(false)
		// The page failed a second time, so the read starts from the beginning.
		expectWhole(reader, pages)
	})

	It("adapts the hedge delay to a platform that stays slow, and makes no extra calls", func() {
		reader := platform(func(int64, http.ResponseWriter, *http.Request) bool {
			time.Sleep(minHedgeDelay + 30*time.Millisecond)
			return false
		})
		_, err := reader.read(context.Background())
		Expect(err).NotTo(HaveOccurred())
		expectWhole(reader, pages)
	})
})
