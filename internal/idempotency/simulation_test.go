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
	return idempotency.Policy{OpenLimit: 1000, Retention: time.Hour, KeyWindow: time.Minute, ClockMargin: time.Second}
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
	// losses is how many nodes may be wiped at once.
	losses int
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
		Route: "lane", Reservation: name, State: idempotency.Reserved, CreatedMs: 1_000_000_000,
	}
	t.round = idempotency.NewRound(t.intent.RequestHash, len(w.nodes), 0, 100)
	return t
}

// advance asks one more node, and acts on what the round comes to.
func (w *world) advance(t *try) {
	if len(t.unasked) > 0 {
		n := w.nodes[t.unasked[0]]
		t.unasked = t.unasked[1:]
		if n.isDown || !n.isTrusted {
			t.round.AddVote(nil)
		} else {
			ballot, entry := n.voter.Reserve(t.intent)
			n.keep(entry)
			if w.random.IntN(8) == 0 {
				t.round.AddVote(nil) // the vote was kept, and its reply was lost
			} else {
				t.round.AddVote(&ballot)
			}
		}
	}
	key := t.intent.Key.Key
	switch t.round.Status(50) {
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
			t.intent.State, t.intent.Response = idempotency.Completed, &idempotency.Response{Status: 200, Seal: answer}
			w.record(t.intent)
		}
	case idempotency.Replayable:
		Expect(t.round.Terminal().Response.Seal).To(Equal(w.first[key]))
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

// trouble restarts a node, or wipes as many as the world bears and rebuilds them
// once every round that could count their old votes is over.
func (w *world) trouble() {
	if w.random.IntN(2) == 0 {
		w.nodes[w.random.IntN(len(w.nodes))].restart()
		return
	}
	for _, n := range w.nodes {
		if n.isDown || !n.isTrusted {
			return
		}
	}
	lost := w.random.Perm(len(w.nodes))[:1+w.random.IntN(w.losses)]
	for _, at := range lost {
		n := w.nodes[at]
		n.kept, n.isTrusted = nil, false
		n.restart()
	}
	for _, t := range w.open {
		for !t.isOver {
			w.advance(t)
		}
	}
	for _, at := range lost {
		w.rebuild(w.nodes[at])
	}
}

// rebuild reads only as many trusted nodes as the read set asks for, and by the way
// some that are not trusted.
func (w *world) rebuild(n *node) {
	read, needed := 0, len(w.nodes)-(len(w.nodes)/2+1)+1
	for _, at := range w.random.Perm(len(w.nodes)) {
		other := w.nodes[at]
		if other == n || read == needed {
			continue
		}
		if other.isTrusted {
			read++
		}
		w.copyAll(n, other)
	}
	Expect(read).To(Equal(needed))
	n.isTrusted = true
}

// copyAll reads what another node holds and this one lacks, as members do.
func (w *world) copyAll(n, other *node) {
	ranges := idempotency.DifferingRanges(n.voter.Digests(idempotency.AllIntents), other.voter.Digests(idempotency.AllIntents))
	wanted := n.voter.MissingKeys(ranges, other.voter.Summaries(ranges), idempotency.AllIntents)
	if len(wanted) == 0 {
		return
	}
	cursor := idempotency.Cursor{Ranges: ranges, KeyHashes: wanted}
	for len(cursor.Ranges) > 0 {
		var entries []idempotency.Entry
		entries, cursor = other.voter.Read(cursor, 1+w.random.IntN(1000))
		for _, entry := range n.voter.Merge(entries) {
			n.keep(&entry)
		}
	}
}

// retell tells the nodes once more how a try ended, as a proxy does that meets one
// of them again.
func (w *world) retell() {
	if t := w.open[w.random.IntN(len(w.open))]; t.isOver && t.intent.State != idempotency.Reserved {
		w.record(t.intent)
	}
}
