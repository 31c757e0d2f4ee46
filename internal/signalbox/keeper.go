// Package signalbox is the core program: it keeps manifest items, intents and
// views on disk, votes, agrees on membership, and holds duties.
package signalbox

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"ploverhitch/internal/ballast"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/ledger"
	"ploverhitch/internal/manifest"
	"ploverhitch/internal/roster"
	"ploverhitch/internal/timetable"
)

// record is one kept change; exactly one part is set.
type record struct {
	Entry    *ledger.Entry    `cbor:"1,keyasint,omitempty"`
	Items    []manifest.Item  `cbor:"2,keyasint,omitempty"`
	Acceptor *roster.Acceptor `cbor:"3,keyasint,omitempty"`
	View     *roster.View     `cbor:"4,keyasint,omitempty"`
	Term     *roster.Term     `cbor:"5,keyasint,omitempty"`
	Trusted  *bool            `cbor:"6,keyasint,omitempty"`
	Fleet    *feed.Fleet      `cbor:"7,keyasint,omitempty"`
}

// tables is everything that is kept; the keeper alone touches it.
type tables struct {
	voter    *ledger.Voter
	book     manifest.Book
	acceptor roster.Acceptor
	view     roster.View
	term     roster.Term
	// fleet is kept so that a core that lost its power can tell at once which
	// servers there were.
	fleet     feed.Fleet
	isTrusted bool
	isEmpty   bool
	digest    string
}

func newTables(policy ledger.Policy) *tables {
	return &tables{voter: ledger.NewVoter(policy), book: manifest.Book{}, isEmpty: true}
}

// apply puts one record into the tables, as it is made and at every start.
func (t *tables) apply(r record) {
	t.isEmpty = false
	switch {
	case r.Entry != nil:
		_ = t.voter.Apply(*r.Entry)
	case r.Items != nil:
		t.merge(r.Items)
	case r.Acceptor != nil:
		t.acceptor = *r.Acceptor
	case r.View != nil:
		if r.View.Epoch > t.view.Epoch {
			t.view, t.acceptor = *r.View, roster.Acceptor{}
		}
	case r.Term != nil:
		t.term = *r.Term
	case r.Fleet != nil:
		t.fleet = *r.Fleet
	case r.Trusted != nil:
		t.isTrusted = *r.Trusted
	}
}

func (t *tables) merge(items []manifest.Item) (news []manifest.Item) {
	if news = t.book.Merge(items); len(news) > 0 {
		t.digest = ""
	}
	return news
}

func (t *tables) bookDigest() string {
	if t.digest == "" {
		t.digest = t.book.Digest()
	}
	return t.digest
}

// records is enough to make the tables again.
func (t *tables) records() (out []record) {
	view, term, acceptor, isTrusted := t.view, t.term, t.acceptor, t.isTrusted
	fleet := t.fleet
	out = append(out, record{View: &view}, record{Term: &term}, record{Acceptor: &acceptor}, record{Trusted: &isTrusted}, record{Fleet: &fleet})
	if len(t.book) > 0 {
		out = append(out, record{Items: t.book.Items()})
	}
	for _, entry := range t.voter.Entries() {
		out = append(out, record{Entry: &entry})
	}
	return out
}

// command is a change for the keeper: act reads and changes the tables and
// returns what must be kept; done runs once that, and all before it, is.
type command struct {
	act  func(*tables) []record
	done func()
}

// keeper owns the tables and the log. A batch of commands shares one sync.
type keeper struct {
	loop   *timetable.Loop[command]
	tables *tables
	log    *ballast.Log
	clock  timetable.Clock
	// unsaved is what a failing disk has not taken yet; nothing is told before
	// it is kept.
	unsaved [][]byte
	pending []func()
	fail    func(error)
}

func openKeeper(disk ballast.Disk, policy ledger.Policy, clock timetable.Clock, fail func(error)) (*keeper, error) {
	k := &keeper{loop: timetable.NewLoop[command](4096), tables: newTables(policy), clock: clock, fail: fail}
	log, err := ballast.Open(disk, func(text []byte) error {
		var r record
		if err := cbor.Unmarshal(text, &r); err != nil {
			return errors.Annotate(err, "a record of the log")
		}
		k.tables.apply(r)
		return nil
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	if k.log = log; log.IsDamaged() {
		// What could be read still counts as told, but the node is treated
		// as one whose disk was lost: it votes again once it has rebuilt.
		fail(errors.New("records of the log cannot be read; the node rebuilds from the others"))
		isTrusted := false
		r := record{Trusted: &isTrusted}
		k.tables.apply(r)
		k.note(r)
		k.flush()
		k.checkpoint()
	}
	return k, nil
}

func (k *keeper) put(act func(*tables) []record, done func()) {
	k.loop.Put(command{act, done})
}

// read runs look with the tables and waits for it.
func (k *keeper) read(look func(*tables)) {
	ended := make(chan struct{})
	k.put(func(t *tables) []record { look(t); return nil }, func() { close(ended) })
	<-ended
}

// keep runs act and waits until what it returned is kept, or the span ends.
func (k *keeper) keep(act func(*tables) []record, wait time.Duration) bool {
	ended := make(chan struct{})
	k.put(act, func() { close(ended) })
	alarm := time.NewTimer(wait)
	defer alarm.Stop()
	select {
	case <-ended:
		return true
	case <-alarm.C:
		return false
	}
}

const (
	tendPeriod      = 250 * time.Millisecond
	checkpointBytes = 24 << 20
)

func (k *keeper) run(ctx context.Context) { k.loop.Run(ctx, k.handle, tendPeriod, k.tend) }

func (k *keeper) handle(batch []command) {
	for _, c := range batch {
		for _, r := range c.act(k.tables) {
			k.note(r)
		}
		if c.done != nil {
			k.pending = append(k.pending, c.done)
		}
	}
	k.flush()
}

func (k *keeper) note(r record) {
	text, err := cbor.Marshal(r)
	if err != nil {
		k.fail(err)
		return
	}
	k.unsaved = append(k.unsaved, text)
}

func (k *keeper) flush() {
	if len(k.unsaved) > 0 {
		if err := k.log.Append(k.unsaved); err != nil {
			k.fail(err)
			return
		}
		k.unsaved = nil
	}
	pending := k.pending
	k.pending = nil
	for _, done := range pending {
		done()
	}
}

func (k *keeper) tend() {
	for _, entry := range k.tables.voter.Tend(k.clock.Wall()) {
		k.note(record{Entry: &entry})
	}
	k.flush()
	if k.log.Grown() >= checkpointBytes && len(k.unsaved) == 0 {
		k.checkpoint()
	}
}

// checkpoint begins a new segment and writes, beside the loop, all that came
// before it.
func (k *keeper) checkpoint() {
	write, err := k.log.Roll()
	if err != nil {
		k.fail(err)
		return
	}
	records := k.tables.records()
	go func() {
		texts := make([][]byte, 0, len(records))
		for _, r := range records {
			if text, err := cbor.Marshal(r); err == nil {
				texts = append(texts, text)
			}
		}
		if err := write(texts); err != nil {
			k.fail(err)
		}
	}()
}
