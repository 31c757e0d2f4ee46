package shedding_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/shedding"
	"ploverhitch/internal/timetable"
)

const (
	tick          = 50 * time.Millisecond
	targetLatency = 8 * tick
	workTicks     = 2 // ticks
	slots         = 2
	queue         = 8
)

// The world is a slow plain model of a cluster: nodes that hear late, members
// that vote, servers that count what they run, and clients that come back.
type cluster struct {
	clock   *timetable.Hand
	random  *rand.Rand
	order   *shedding.Order
	nodes   []*node
	members []*member
	servers []*server
	leader  *shedding.Gauge
	// news is what the holder told, and when.
	updates []update
	// isCut: the core tells nothing and hears nothing. isAlone: every node goes by
	// its own measure from the start, which is the control.
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
	counter    *shedding.Counter
	localGauge *shedding.Gauge
	cutoffs    []shedding.Cutoff
	updatedAt  time.Duration
	delay      time.Duration
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
	route, key        string
	createdAt, sentAt time.Duration
	attempts          int
	intent            idempotency.Intent
	voters            []*member
}

var routes = []shedding.Route{
	{Name: "release", Host: "h", Priority: 1, Kind: shedding.Keyed},
	{Name: "urgent", Host: "h", Priority: 1, Kind: shedding.Read},
	{Name: "page", Host: "h", Priority: 2, Kind: shedding.Read},
	{Name: "pack", Host: "h", Priority: 2, Kind: shedding.Bulk},
}

func newCluster(seed uint64, nodes int) *cluster {
	w := &cluster{
		clock: &timetable.Hand{Now: time.Hour}, random: rand.New(rand.NewPCG(seed, 9)), order: shedding.NewOrder(shedding.Plan{}, routes),
		executions: map[string]int{}, completed: map[string]bool{}, counts: map[string]*count{},
	}
	for range nodes {
		w.nodes = append(w.nodes, w.newNode())
	}
	for range 5 {
		w.members = append(w.members, &member{voter: idempotency.NewVoter(idempotency.Policy{KeyWindow: time.Minute}), delay: w.randomDelay()})
	}
	for number := range 20 {
		w.servers = append(w.servers, &server{id: fmt.Sprint("i-", number)})
	}
	for _, route := range routes {
		w.counts[route.Name] = &count{}
	}
	w.leader = shedding.NewGauge(w.clock, w.random.Uint64)
	return w
}

func (w *cluster) newNode() *node {
	return &node{
		counter: shedding.NewCounter(), localGauge: shedding.NewGauge(w.clock, w.random.Uint64), delay: w.randomDelay(), updatedAt: w.clock.Now,
	}
}

func (w *cluster) randomDelay() time.Duration { return time.Duration(w.random.IntN(12)) * tick }

// capacity is how many inquiries the servers carry in a tick.
func (w *cluster) capacity() float64 { return float64(len(w.servers)*slots) / workTicks }

// step is one tick of the world under a load that is so many times the capacity.
func (w *cluster) step(load float64) {
	w.clock.Now += tick
	for _, s := range w.servers {
		w.serve(s)
	}
	mix := []string{"release", "urgent", "urgent", "page", "page", "page", "page", "pack", "pack", "pack"}
	for range int(load*w.capacity() + w.random.Float64()) {
		w.requests++
		route := mix[w.random.IntN(len(mix))]
		w.counts[route].requested++
		w.send(&client{route: route, key: fmt.Sprint("k", w.requests), createdAt: w.clock.Now})
	}
	waiting := w.waiting
	w.waiting = nil
	for _, c := range waiting {
		if c.sentAt > w.clock.Now {
			w.waiting = append(w.waiting, c)
			continue
		}
		w.send(c)
	}
	if w.clock.Now%(5*tick) == 0 {
		w.report()
	}
}

// report brings the loads to the holder, and its cutoffs to all, each late.
func (w *cluster) report() {
	for number, n := range w.nodes {
		loads, _ := n.counter.Take()
		n.localGauge.Add("", loads)
		n.localGauge.Decide(n.counter.OverloadedShare)
		if !w.partitioned {
			w.leader.Add(fmt.Sprint(number), loads)
			n.updatedAt = w.clock.Now
		}
	}
	overloadedShare := func(string) float64 {
		sum := 0.0
		for _, n := range w.nodes {
			sum += n.counter.OverloadedShare("s")
		}
		return sum / float64(len(w.nodes))
	}
	if w.partitioned || w.localOnly {
		return
	}
	if w.leader.Decide(overloadedShare) {
		w.updates = append(w.updates, update{w.clock.Now, w.leader.Cutoffs()})
		w.changes++
	}
	for _, n := range w.nodes {
		n.cutoffs = w.cutoffsAfter(n.delay)
	}
	for _, m := range w.members {
		m.updatedAt, m.cutoffs = w.clock.Now, w.cutoffsAfter(m.delay)
	}
}

// heard is the newest news for somebody who hears so late.
func (w *cluster) cutoffsAfter(delay time.Duration) []shedding.Cutoff {
	for i := len(w.updates) - 1; i >= 0; i-- {
		if w.clock.Now-w.updates[i].at >= delay {
			return w.updates[i].cutoffs
		}
	}
	return nil
}
