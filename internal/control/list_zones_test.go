package control

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/feed"
)

var _ = Describe("a read of the server list by zone", func() {
	const pages = 2
	zoneNames := []string{"a", "b", "c"}
	// platform serves a list of several pages per zone with one server each. handle may
	// respond to a call instead.
	platform := func(handle func(zone string, w http.ResponseWriter, r *http.Request) (isDone bool)) *listReader {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			zone := r.URL.Query().Get("Zone")
			if handle(zone, w, r) {
				return
			}
			page, next := 0, "null"
			_, _ = fmt.Sscan(r.URL.Query().Get("PageToken"), &page)
			if page+1 < pages {
				next = fmt.Sprintf("%q", fmt.Sprint(page+1))
			}
			_, _ = fmt.Fprintf(w, `{"Instances":[{"InstanceId":"%s-%d","Zone":%q,"State":"ready"}],"NextToken":%s}`, zone, page, zone, next)
		}))
		DeferCleanup(server.Close)
		reader := newListReader(clock.Real(), func() string { return strings.TrimPrefix(server.URL, "http://") })
		reader.zones = func() ([]string, int) { return zoneNames, pages * len(zoneNames) }
		return reader
	}
	ids := func(servers []feed.Server) (out []string) {
		for _, server := range servers {
			out = append(out, server.ID)
		}
		return out
	}
	all := []string{"a-0", "a-1", "b-0", "b-1", "c-0", "c-1"}

	It("reads the zones concurrently and the pages of each zone in sequence", func() {
		var calls atomic.Int64
		reader := platform(func(string, http.ResponseWriter, *http.Request) bool {
			calls.Add(1)
			time.Sleep(50 * time.Millisecond)
			return false
		})
		began := time.Now()
		read, err := reader.read(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond), "reading the zones in sequence takes 300 ms")
		Expect(ids(read.servers)).To(Equal(all))
		Expect(read.calls).To(Equal(pages * len(zoneNames)))
		Expect(calls.Load()).To(BeEquivalentTo(pages * len(zoneNames)))
	})

	It("passes on the pages of other zones while one zone hangs, and rereads only that zone", func() {
		var isHanging atomic.Bool
		isHanging.Store(true)
		reader := platform(func(zone string, _ http.ResponseWriter, r *http.Request) bool {
			if zone == "b" && isHanging.Load() {
				<-r.Context().Done()
				return true
			}
			return false
		})
		var lock sync.Mutex
		var received []string
		reader.onPage = func(servers []feed.Server) {
			lock.Lock()
			defer lock.Unlock()
			received = append(received, ids(servers)...)
		}
		_, err := reader.read(context.Background())
		Expect(err).To(HaveOccurred())
		Expect(received).To(ConsistOf("a-0", "a-1", "c-0", "c-1"))
		isHanging.Store(false)
		read, err := reader.read(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(read.calls).To(Equal(pages))
		Expect(ids(read.servers)).To(Equal(all))
	})

	It("reads all zones as one if the platform does not know the zone names", func() {
		reader := platform(func(zone string, w http.ResponseWriter, _ *http.Request) bool {
			if zone != "" {
				_, _ = fmt.Fprint(w, `{"Instances":[],"NextToken":null}`)
			}
			return zone != ""
		})
		_, err := reader.read(context.Background())
		Expect(err).To(HaveOccurred())
		read, err := reader.read(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(ids(read.servers)).To(Equal([]string{"-0", "-1"}))
	})

	It("is used if the zones are large, for the zones in the settings and those of the known servers", func() {
		configured := map[string]string{"a": "r", "b": "r"}
		var servers []feed.Server
		for range 2*minServersPerZone - 1 {
			servers = append(servers, feed.Server{Zone: "a"})
		}
		Expect(zonesOf(configured, servers)).To(BeEmpty())
		servers = append(servers, feed.Server{Zone: "a"})
		Expect(zonesOf(configured, servers)).To(Equal([]string{"a", "b"}))
		for range minServersPerZone {
			servers = append(servers, feed.Server{Zone: "c"})
		}
		Expect(zonesOf(configured, servers)).To(Equal([]string{"a", "b", "c"}))
		Expect(zonesOf(map[string]string{"a": "r"}, servers[:2*minServersPerZone])).To(BeEmpty(), "a single zone needs no read by zone")
	})
})
