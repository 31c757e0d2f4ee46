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
	tick    = 50 * time.Millisecond
	aim     = 8 * tick
	workFor = 2 // ticks
	slots   = 2
	queue   = 8
)

// The world is a slow plain model of a cluster: nodes that hear late, members
// that vote, servers that count what they run, and clients that come back.
type world struct {
	hand    *clock.Manual
	random  *rand.Rand
	order   *shedding.Order
	nodes   []*node
	members []*member
	servers []*server
	holder  *shedding.Gauge
	// news is what the holder told, and when.
	news []news
	// isCut: the core tells nothing and hears nothing. isAlone: every node goes by
	// its own measure from the start, which is the control.
	isCut, isAlone bool
	waiting        []*client
	numbers        int
	changes        int
	ran            map[string]int
	kept           map[string]bool
	counts         map[string]*count
}

type news struct {
	at      time.Duration
	cutoffs []shedding.Cutoff
}

type count struct{ asked, served, late, refused int }

type node struct {
	counter *shedding.Counter
	floor   *shedding.Gauge
	cutoffs []shedding.Cutoff
	heardAt time.Duration
	delay   time.Duration
}

type member struct {
	voter   *idempotency.Voter
	cutoffs []shedding.Cutoff
	heardAt time.Duration
	delay   time.Duration
}

type server struct {
	id    string
	work  []job
	isIll bool
}

type job struct {
	c    *client
	node *node
	ends int
}

type client struct {
	lane, key string
	born, at  time.Duration
	tries     int
	intent    idempotency.Intent
	winners   []*member
}

var lanes = []shedding.Lane{
	{Name: "release", Host: "h", Priority: 1, Kind: shedding.Keyed},
	{Name: "urgent", Host: "h", Priority: 1, Kind: shedding.Read},
	{Name: "page", Host: "h", Priority: 2, Kind: shedding.Read},
	{Name: "pack", Host: "h", Priority: 2, Kind: shedding.Bulk},
}

func newWorld(seed uint64, nodes int) *world {
	w := &world{
		hand: &clock.Manual{Now: time.Hour}, random: rand.New(rand.NewPCG(seed, 9)), order: shedding.Arrange(shedding.Plan{}, lanes),
		ran: map[string]int{}, kept: map[string]bool{}, counts: map[string]*count{},
	}
	for range nodes {
		w.nodes = append(w.nodes, w.newNode())
	}
	for range 5 {
		w.members = append(w.members, &member{voter: idempotency.NewVoter(idempotency.Policy{KeyWindow: time.Minute}), delay: w.lateness()})
	}
	for number := range 20 {
		w.servers = append(w.servers, &server{id: fmt.Sprint("i-", number)})
	}
	for _, lane := range lanes {
		w.counts[lane.Name] = &count{}
	}
	w.holder = shedding.NewGauge(w.hand, w.random.Uint64)
	return w
}

func (w *world) newNode() *node {
	return &node{
		counter: shedding.NewCounter(), floor: shedding.NewGauge(w.hand, w.random.Uint64), delay: w.lateness(), heardAt: w.hand.Now,
	}
}

func (w *world) lateness() time.Duration { return time.Duration(w.random.IntN(12)) * tick }

// capacity is how many inquiries the servers carry in a tick.
func (w *world) capacity() float64 { return float64(len(w.servers)*slots) / workFor }

// step is one tick of the world under a load that is so many times the capacity.
func (w *world) step(load float64) {
	w.hand.Now += tick
	for _, s := range w.servers {
		w.serve(s)
	}
	mix := []string{"release", "urgent", "urgent", "page", "page", "page", "page", "pack", "pack", "pack"}
	for range int(load*w.capacity() + w.random.Float64()) {
		w.numbers++
		lane := mix[w.random.IntN(len(mix))]
		w.counts[lane].asked++
		w.ask(&client{lane: lane, key: fmt.Sprint("k", w.numbers), born: w.hand.Now})
	}
	waiting := w.waiting
	w.waiting = nil
	for _, c := range waiting {
		if c.at > w.hand.Now {
			w.waiting = append(w.waiting, c)
			continue
		}
		w.ask(c)
	}
	if w.hand.Now%(5*tick) == 0 {
		w.report()
	}
}

// report brings the loads to the holder, and its cutoffs to all, each late.
func (w *world) report() {
	for number, n := range w.nodes {
		loads, _ := n.counter.Take()
		n.floor.Hear("", loads)
		n.floor.Decide(n.counter.Strained)
		if !w.isCut {
			w.holder.Hear(fmt.Sprint(number), loads)
			n.heardAt = w.hand.Now
		}
	}
	strained := func(string) float64 {
		sum := 0.0
		for _, n := range w.nodes {
			sum += n.counter.Strained("s")
		}
		return sum / float64(len(w.nodes))
	}
	if w.isCut || w.isAlone {
		return
	}
	if w.holder.Decide(strained) {
		w.news = append(w.news, news{w.hand.Now, w.holder.Cutoffs()})
		w.changes++
	}
	for _, n := range w.nodes {
		n.cutoffs = w.heard(n.delay)
	}
	for _, m := range w.members {
		m.heardAt, m.cutoffs = w.hand.Now, w.heard(m.delay)
	}
}

// heard is the newest news for somebody who hears so late.
func (w *world) heard(delay time.Duration) []shedding.Cutoff {
	for i := len(w.news) - 1; i >= 0; i-- {
		if w.hand.Now-w.news[i].at >= delay {
			return w.news[i].cutoffs
		}
	}
	return nil
}
