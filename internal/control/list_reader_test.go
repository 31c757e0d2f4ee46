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

	"ploverhitch/internal/feed"
	"ploverhitch/internal/timetable"
)

var _ = Describe("a reading of the platform's list", func() {
	const pages = 4
	// platform serves a list of some pages, one server each; act may answer a call,
	// which it knows by its number, otherwise.
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
		return newListReader(timetable.Real(), func() string { return strings.TrimPrefix(server.URL, "http://") })
	}
	// expectWhole expects a reading of every page, made in so many calls.
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

	It("takes one call for a page", func() {
		reader := platform(func(int64, http.ResponseWriter, *http.Request) bool { return false })
		expectWhole(reader, pages)
		expectWhole(reader, pages)
	})

	It("asks for a page again beside a call that hangs, and does not wait for that one", func() {
		reader := platform(func(call int64, _ http.ResponseWriter, r *http.Request) bool { return call == 2 && hang(r) })
		began := time.Now()
		expectWhole(reader, pages+1)
		Expect(time.Since(began)).To(BeNumerically("<", pageTimeout))
	})

	It("asks for a page again after a refusal, rather than for the whole list", func() {
		refuse := func(w http.ResponseWriter) bool { w.WriteHeader(http.StatusTooManyRequests); return true }
		reader := platform(func(call int64, w http.ResponseWriter, _ *http.Request) bool { return call == 3 && refuse(w) })
		expectWhole(reader, pages+1)
	})

	It("gives a page a bounded number of calls and a bounded time", func() {
		reader := platform(func(_ int64, _ http.ResponseWriter, r *http.Request) bool { return hang(r) })
		began := time.Now()
		read, err := reader.read(context.Background())
		Expect(err).To(HaveOccurred())
		Expect(read.calls).To(Equal(maxPageCalls))
		Expect(time.Since(began)).To(BeNumerically("<", 2*pageTimeout))
	})

	It("goes on from the page that failed, once, with the pages before it", func() {
		var isFailing atomic.Bool
		isFailing.Store(true)
		reader := platform(func(_ int64, w http.ResponseWriter, r *http.Request) bool {
			if !isFailing.Load() || r.URL.Query().Get("PageToken") != "2" {
				return false
			}
			w.WriteHeader(http.StatusInternalServerError)
			return true
		})
		var shown []string
		reader.onPage = func(page []feed.Server) {
			for _, server := range page {
				shown = append(shown, server.ID)
			}
		}
		_, err := reader.read(context.Background())
		Expect(err).To(HaveOccurred())
		Expect(shown).To(Equal([]string{"i-0", "i-1"}), "the pages that came are told")
		isFailing.Store(false)
		expectWhole(reader, 2)
		Expect(shown).To(Equal([]string{"i-0", "i-1", "i-2", "i-3"}))
		expectWhole(reader, pages)
		isFailing.Store(true)
		for range 2 {
			_, err = reader.read(context.Background())
			Expect(err).To(HaveOccurred())
		}
		isFailing.Store(false)
		// It failed a second time, so the reading begins anew.
		expectWhole(reader, pages)
	})

	It("makes no more calls than before at a platform that is slow for long", func() {
		reader := platform(func(int64, http.ResponseWriter, *http.Request) bool {
			time.Sleep(minHedgeDelay + 30*time.Millisecond)
			return false
		})
		_, err := reader.read(context.Background())
		Expect(err).NotTo(HaveOccurred())
		expectWhole(reader, pages)
	})
})
