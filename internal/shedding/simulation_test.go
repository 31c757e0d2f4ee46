package shedding_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/shedding"
)

const (
	tick          = 50 * time.Millisecond
	targetLatency = 8 * tick
	workTicks     = 2 // ticks
	slots         = 2
	queue         = 8
)

// simulation is a simple model of a cluster: nodes that receive updates late, members
// that vote, servers that count executions, and clients that retry.
type simulation struct {
	clock   *clock.Manual
	random  *rand.Rand
	order   *shedding.Order
	nodes   []*node
	members []*member
	servers []*server
	leader  *shedding.Controller
	// updates are the cutoffs that the leader published, with their times.
	updates []update
	// partitioned disconnects the control plane from all nodes. localOnly makes each
	// node apply the cutoffs of its local controller from the start, as a control experiment.
	partitioned, localOnly bool
	waiting                []*client
	requests               int
	changes                int
	executions             map[string]int
	completed              map[string]bool
	counts                 map[string]*count
}

type update struct {
	at      time.Duration
	cutoffs []shedding.Cutoff
}

type count struct{ requested, served, late, rejected int }

type node struct {
	counter         *shedding.Counter
	localController *shedding.Controller
	cutoffs         []shedding.Cutoff
	updatedAt       time.Duration
	delay           time.Duration
}

type member struct {
	voter     *idempotency.Voter
	cutoffs   []shedding.Cutoff
	updatedAt time.Duration
	delay     time.Duration
}

type server struct {
	id      string
	jobs    []job
	failing bool
}

type job struct {
	client *client
	node   *node
	ticks  int
}

type client struct {
	route, key           string
	createdAt, attemptAt time.Duration
	attempts             int
	intent               idempotency.Intent
	voters               []*member
}

var routes = []shedding.Route{
	{Name: "release", Host: "h", Priority: 1, Kind: shedding.Keyed},
	{Name: "urgent", Host: "h", Priority: 1, Kind: shedding.Read},
	{Name: "page", Host: "h", Priority: 2, Kind: shedding.Read},
	{Name: "pack", Host: "h", Priority: 2, Kind: shedding.Bulk},
}

func newSimulation(seed uint64, nodes int) *simulation {
	sim := &simulation{
		clock: &clock.Manual{Now: time.Hour}, random: rand.New(rand.NewPCG(seed, 9)), order: shedding.NewOrder(shedding.Plan{}, routes),
		executions: map[string]int{}, completed: map[string]bool{}, counts: map[string]*count{},
	}
	for range nodes {
		sim.nodes = append(sim.nodes, sim.newNode())
	}
	for range 5 {
		sim.members = append(sim.members, &member{voter: idempotency.NewVoter(idempotency.Policy{KeyWindow: time.Minute}), delay: sim.randomDelay()})
	}
	for number := range 20 {
		sim.servers = append(sim.servers, &server{id: fmt.Sprint("i-", number)})
	}
	for _, route := range routes {
		sim.counts[route.Name] = &count{}
	}
	sim.leader = shedding.NewController(sim.clock, sim.random.Uint64)
	return sim
}

func (sim *simulation) newNode() *node {
	return &node{
		counter: shedding.NewCounter(), localController: shedding.NewController(sim.clock, sim.random.Uint64), delay: sim.randomDelay(), updatedAt: sim.clock.Now,
	}
}

func (sim *simulation) randomDelay() time.Duration { return time.Duration(sim.random.IntN(12)) * tick }

// capacity returns how many requests the servers complete per tick.
func (sim *simulation) capacity() float64 { return float64(len(sim.servers)*slots) / workTicks }

// step simulates one tick under a load given as a multiple of the capacity.
func (sim *simulation) step(load float64) {
	sim.clock.Now += tick
	for _, s := range sim.servers {
		sim.serve(s)
	}
	mix := []string{"release", "urgent", "urgent", "page", "page", "page", "page", "pack", "pack", "pack"}
	for range int(load*sim.capacity() + sim.random.Float64()) {
		sim.requests++
		route := mix[sim.random.IntN(len(mix))]
		sim.counts[route].requested++
		sim.send(&client{route: route, key: fmt.Sprint("k", sim.requests), createdAt: sim.clock.Now})
	}
	waiting := sim.waiting
	sim.waiting = nil
	for _, c := range waiting {
		if c.attemptAt > sim.clock.Now {
			sim.waiting = append(sim.waiting, c)
			continue
		}
		sim.send(c)
	}
	if sim.clock.Now%(5*tick) == 0 {
		sim.report()
	}
}

// report delivers the loads to the leader, and the leader's cutoffs to all nodes and
// members with their delays.
func (sim *simulation) report() {
	for number, n := range sim.nodes {
		loads, _ := n.counter.Take()
		n.localController.Add("", loads)
		n.localController.Decide(n.counter.OverloadedShare)
		if !sim.partitioned {
			sim.leader.Add(fmt.Sprint(number), loads)
			n.updatedAt = sim.clock.Now
		}
	}
	overloadedShare := func(string) float64 {
		sum := 0.0
		for _, n := range sim.nodes {
			sum += n.counter.OverloadedShare("s")
		}
		return sum / float64(len(sim.nodes))
	}
	if sim.partitioned || sim.localOnly {
		return
	}
	if sim.leader.Decide(overloadedShare) {
		sim.updates = append(sim.updates, update{sim.clock.Now, sim.leader.Cutoffs()})
		sim.changes++
	}
	for _, n := range sim.nodes {
		n.cutoffs = sim.cutoffsAfter(n.delay)
	}
	for _, m := range sim.members {
		m.updatedAt, m.cutoffs = sim.clock.Now, sim.cutoffsAfter(m.delay)
	}
}

// cutoffsAfter returns the newest cutoffs that are at least as old as the delay.
func (sim *simulation) cutoffsAfter(delay time.Duration) []shedding.Cutoff {
	for i := len(sim.updates) - 1; i >= 0; i-- {
		if sim.clock.Now-sim.updates[i].at >= delay {
			return sim.updates[i].cutoffs
		}
	}
	return nil
}
