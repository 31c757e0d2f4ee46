package idempotency_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/gomega"

	"ploverhitch/internal/idempotency"
)

// node is one core node of the simulation: what it tells came from its kept
// entries, so a restart reads those again.
type node struct {
	voter     *idempotency.Voter
	kept      []idempotency.Entry
	isDown    bool
	isTrusted bool
}

func policy() idempotency.Policy {
	return idempotency.Policy{OpenLimit: 1000, Retention: time.Hour, KeyWindow: time.Minute, Margin: time.Second}
}

func (n *node) keep(entry *idempotency.Entry) {
	if entry != nil {
		n.kept = append(n.kept, *entry)
	}
}

func (n *node) restart() {
	n.voter = idempotency.NewVoter(policy())
	for _, entry := range n.kept {
		_ = n.voter.Apply(entry)
	}
}

// world is three nodes and the proxies' tries, with the plain model beside
// them: how often each key ran, and what its first run answered.
type world struct {
	random *rand.Rand
	nodes  []*node
	tries  int
	runs   map[string]int
	first  map[string]string
	open   []*try
}

type try struct {
	intent  idempotency.Intent
	round   *idempotency.Round
	unasked []int
	isOver  bool
}

func (w *world) start() *try {
	w.tries++
	name := fmt.Sprint("try", w.tries)
	t := &try{unasked: w.random.Perm(len(w.nodes))}
	t.intent = idempotency.Intent{
		Key: idempotency.Key{Tenant: "host", Key: fmt.Sprint(w.random.IntN(8))}, Attempt: idempotency.Attempt(name),
		Lane: "lane", Reservation: name, State: idempotency.Reserved, CreatedMs: 1_000_000_000,
	}
	t.round = idempotency.NewRound(t.intent.Hash, len(w.nodes), 0, 100)
	return t
}

// advance asks one more node, and acts on what the round comes to.
func (w *world) advance(t *try) {
	if len(t.unasked) > 0 {
		n := w.nodes[t.unasked[0]]
		t.unasked = t.unasked[1:]
		if n.isDown || !n.isTrusted {
			t.round.On(nil)
		} else {
			ballot, entry := n.voter.Reserve(t.intent)
			n.keep(entry)
			if w.random.IntN(8) == 0 {
				t.round.On(nil) // the vote was kept, and its reply was lost
			} else {
				t.round.On(&ballot)
			}
		}
	}
	key := t.intent.Key.Key
	switch t.round.Standing(50) {
	case idempotency.Undecided:
		return
	case idempotency.Won:
		w.runs[key]++
		answer := fmt.Sprint("answer of ", t.intent.Attempt)
		if w.first[key] == "" {
			w.first[key] = answer
		}
		switch w.random.IntN(4) {
		case 0: // the proxy dies: nothing is recorded
		case 1:
			t.intent.State = idempotency.TimeoutUnresolved
			w.record(t.intent)
		default:
			t.intent.State, t.intent.Reply = idempotency.Completed, &idempotency.Reply{Status: 200, Seal: answer}
			w.record(t.intent)
		}
	case idempotency.Replayable:
		Expect(t.round.Terminal().Reply.Seal).To(Equal(w.first[key]))
		fallthrough
	default:
		t.intent.State = idempotency.Released
		w.record(t.intent)
	}
	t.isOver = true
}

func (w *world) record(intent idempotency.Intent) {
	for _, n := range w.nodes {
		if !n.isDown && w.random.IntN(6) > 0 {
			entry, err := n.voter.Record(intent)
			Expect(err).NotTo(HaveOccurred())
			n.keep(entry)
		}
	}
}

// trouble restarts a node, or wipes one and rebuilds it from all the others
// once every round that could count its old votes is over.
func (w *world) trouble() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	if w.random.IntN(2) == 0 {
		n.restart()
		return
	}
	for _, other := range w.nodes {
		if other.isDown || !other.isTrusted {
			return
		}
	}
	n.kept = nil
	n.restart()
	n.isTrusted = false
	for _, t := range w.open {
		for !t.isOver {
			w.advance(t)
		}
	}
	for _, other := range w.nodes {
		if other != n {
			for _, entry := range n.voter.Union(other.voter.Entries()) {
				n.keep(&entry)
			}
		}
	}
	n.isTrusted = true
}
