package standin_test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/standin"
)

// Fees are served at site a by f-1 and f-2, at site b by n-1 and n-2, eight places
// each, as the list says.

func startSites(port int, mode string) *system {
	s := startCluster(port, 4, func(cluster *standin.Cluster) {
		cluster.EdgeZones[3], cluster.EdgeZones[4] = "b", "b"
		cluster.Zones["n-1"], cluster.Zones["n-2"] = "b", "b"
		cluster.Capacity = map[string]int{"f-1": 8, "f-2": 8, "n-1": 8, "n-2": 8}
		cluster.Extra = ", branchline: " + mode
		for _, server := range cluster.Servers {
			server.SetDefault(standin.Answer, 40*time.Millisecond)
		}
	})
	s.cluster.List(nil)
	Eventually(func() string { return s.state("/v1/fleet") }).Should(ContainSubstring(`"n-2"`))
	return s
}

// press keeps many clients at each edge busy with keyed requests and reads for a
// while; a refused one comes back after a pause, as it is told.
func (s *system) press(perEdge []int, span time.Duration) (keys []string, served int64) {
	var all sync.WaitGroup
	var lock sync.Mutex
	var count atomic.Int64
	stop := time.Now().Add(span)
	for edge, clients := range perEdge {
		for client := range clients {
			all.Go(func() {
				defer GinkgoRecover()
				for number := 0; time.Now().Before(stop); number++ {
					key := fmt.Sprint("press", s.rushes.Add(1), "-", edge, "-", client, "-", number)
					for range 200 {
						status, _, _ := s.send(edge, "POST", "/fee/x", "x", map[string]string{"Ploverhitch-Operation-Key": key})
						if status == 200 {
							count.Add(1)
							lock.Lock()
							keys = append(keys, key)
							lock.Unlock()
							break
						}
						<-time.After(25 * time.Millisecond)
					}
				}
			})
		}
	}
	all.Wait()
	return keys, count.Load()
}

var _ = Describe("a site that falls away on loopback", func() {
	// fall takes site a's servers away in the middle of the rush, and tells the
	// most that site b's servers had at work at one time from then on.
	fall := func(s *system, seenAfter time.Duration) (peak int, served int64) {
		east, west := &standin.Meter{}, &standin.Meter{}
		for id, meter := range map[string]*standin.Meter{"f-1": east, "f-2": east, "n-1": west, "n-2": west} {
			s.cluster.Servers[id].Meter(meter)
		}
		keys, before := s.press([]int{6, 6, 2, 2}, time.Second)
		var rush sync.WaitGroup
		rush.Go(func() {
			defer GinkgoRecover()
			late, count := s.press([]int{12, 12, 2, 2}, 3*time.Second)
			keys, served = append(keys, late...), count
		})
		Eventually(func() int { return east.Peak() }).Should(BeNumerically(">", 8))
		s.cluster.Servers["f-1"].Crash()
		s.cluster.Servers["f-2"].Crash()
		west.Peak()
		<-time.After(200 * time.Millisecond) // the list is behind
		s.cluster.List(map[string]string{"f-1": "gone", "f-2": "gone"})
		if seenAfter > 0 {
			<-time.After(seenAfter)
			west.Peak()
		}
		rush.Wait()
		Expect(before).To(BeNumerically(">", 0))
		s.eachOnce(keys)
		return west.Peak(), served
	}

	It("passes its callers to the other one, which is never overrun, each key run once", func() {
		s := startSites(18000, "always")
		peak, served := fall(s, 0)
		Expect(peak).To(BeNumerically("<=", 16))
		Expect(served).To(BeNumerically(">", 100))
		text := ""
		for number := 1; number <= 3; number++ {
			if page := s.state("/v1/sites"); strings.Contains(page, `"IsHolder":true`) {
				text = page
			}
			matchSchema("SitePage", s.state("/v1/sites"))
		}
		Expect(text).To(ContainSubstring(`"Site":"b"`))
	})

	It("is not overrun either once the loss is seen, where lots are asked for only then", func() {
		peak, served := fall(startSites(18600, "fallen"), 400*time.Millisecond)
		Expect(peak).To(And(BeNumerically("<=", 16), BeNumerically(">", 4)))
		Expect(served).To(BeNumerically(">", 100))
	})

	It("overruns it without that: the check can fail", func() {
		peak, _ := fall(startSites(18200, "off"), 0)
		Expect(peak).To(BeNumerically(">", 16))
	})

	It("takes sites from the operator, and refuses by name what makes no tree", func() {
		s := startSites(18400, "always")
		status, reason := s.post(2, "/v1/sites/modify", `{"Upsert":[{"Name":"hall","Parent":"nowhere","Revision":"r1"}]}`)
		Expect(status).To(Equal(400))
		Expect(reason).To(ContainSubstring("unknown parent nowhere"))
		status, reason = s.post(2, "/v1/sites/modify", `{"Upsert":[{"Name":"hall","Parent":"a","Servers":["f-1"],"Capacity":{"fees":1},"Revision":"r1"}]}`)
		Expect(status).To(Equal(200), reason)
		Eventually(func() string { return s.state("/v1/sites") }).Should(ContainSubstring(`"Site":"hall"`))
		_, text, _ := s.cluster.Read(1, "/v1/config/read")
		Expect(text).NotTo(ContainSubstring("hall"))
	})
})
