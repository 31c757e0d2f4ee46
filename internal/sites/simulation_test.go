package sites_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/sites"
)

// simulation is a simple model of sites whose servers count their load, and of nodes
// whose reports and leases arrive late or not at all.
type simulation struct {
	clock     *clock.Manual
	random    *rand.Rand
	tree      *sites.Tree
	allocator *sites.Allocator
	useLeases bool
	capacity  map[string]int
	load      map[string]int
	maxExcess map[string]int
	nodes     []*proxyNode
	requests  []request
	messages  []message
	// served and rejected count requests by whether their priority is high.
	served, rejected map[bool]int
	allocatorDown    bool
}

type proxyNode struct {
	name, site      string
	leases          *sites.NodeLeases
	requestsPerTick float64
}

type request struct {
	site    string
	endsAt  time.Duration
	release func()
}

type message struct {
	arrivesAt time.Duration
	deliver   func()
}

const (
	tick        = 10 * time.Millisecond
	meanLatency = 100 * time.Millisecond
)

func newSimulation(seed uint64, useLeases bool) *simulation {
	s := &simulation{clock: &clock.Manual{Now: time.Hour}, random: rand.New(rand.NewPCG(seed, 7)), useLeases: useLeases}
	s.tree, _ = sites.Build(regions, nil)
	s.capacity = map[string]int{"a": 40, "b": 40, "c": 60}
	s.load, s.maxExcess, s.served, s.rejected = map[string]int{}, map[string]int{}, map[bool]int{}, map[bool]int{}
	s.startAllocator()
	const count = 8
	for _, site := range []string{"a", "b", "c"} {
		for i := range count {
			n := &proxyNode{name: fmt.Sprint(site, i), site: site, leases: sites.NewNodeLeases(s.clock)}
			n.requestsPerTick = 0.4 * float64(s.capacity[site]) * float64(tick) / float64(meanLatency) / float64(count)
			s.nodes = append(s.nodes, n)
		}
	}
	return s
}

func (s *simulation) startAllocator() {
	s.allocator = sites.NewAllocator(s.tree, s.clock)
	s.updateCapacity()
}

func (s *simulation) updateCapacity() {
	declared := map[sites.Key]int{}
	for site, slots := range s.capacity {
		declared[sites.Key{Service: "s", Site: site}] = slots
	}
	s.allocator.Update(s.tree, declared)
}

func (s *simulation) sendRequest(n *proxyNode, highPriority bool) {
	share := 0.7
	if highPriority {
		share = 1
	}
	for _, site := range append([]string{n.site}, s.tree.FailoverOrder(n.site)...) {
		if s.capacity[site] == 0 || site == n.site && s.load[site] >= s.capacity[site] {
			continue
		}
		release, acquired := func() {}, true
		if s.useLeases {
			release, acquired = n.leases.Acquire("s", site, n.site, share)
		}
		if acquired {
			s.load[site]++
			s.maxExcess[site] = max(s.maxExcess[site], s.load[site]-s.capacity[site])
			s.requests = append(s.requests, request{site, s.clock.Now + meanLatency/2 + time.Duration(s.random.Int64N(int64(meanLatency))), release})
			s.served[highPriority]++
			return
		}
	}
	n.leases.RecordRejection("s", meanLatency)
	s.rejected[highPriority]++
}

func (s *simulation) run(span time.Duration) {
	for end := s.clock.Now + span; s.clock.Now < end; s.clock.Sleep(tick) {
		var remaining []request
		for _, request := range s.requests {
			if request.endsAt <= s.clock.Now {
				s.load[request.site]--
				request.release()
				continue
			}
			remaining = append(remaining, request)
		}
		s.requests = remaining
		pending := s.messages
		s.messages = nil
		for _, m := range pending {
			if m.arrivesAt <= s.clock.Now {
				m.deliver()
				continue
			}
			s.messages = append(s.messages, m)
		}
		for _, n := range s.nodes {
			for expected := n.requestsPerTick; expected > 0; expected-- {
				if s.random.Float64() < expected {
					s.sendRequest(n, s.random.IntN(3) == 0)
				}
			}
			if s.random.IntN(25) == 0 && !s.allocatorDown {
				sentAt, usages, allocator := s.clock.Monotonic(), n.leases.Usages(), s.allocator
				if s.random.IntN(10) == 0 {
					continue // the report is lost
				}
				delay := func() time.Duration { return time.Duration(s.random.Int64N(int64(150 * time.Millisecond))) }
				s.messages = append(s.messages, message{s.clock.Now + delay(), func() {
					leases := allocator.HandleReport(n.name, n.site, usages)
					if s.random.IntN(10) > 0 {
						s.messages = append(s.messages, message{s.clock.Now + delay(), func() { n.leases.Apply(leases, sentAt) }})
					}
				}})
			}
		}
	}
}

// failSite makes a site's servers fail; their requests end at once.
func (s *simulation) failSite(site string) {
	s.capacity[site] = 0
	s.updateCapacity()
	for i := range s.requests {
		if s.requests[i].site == site {
			s.requests[i].endsAt = s.clock.Now
		}
	}
}
