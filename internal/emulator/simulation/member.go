package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/standin"
	"ploverhitch/internal/storage"
)

const (
	usualSync  = 4 * time.Millisecond
	denseSync  = 60 * time.Millisecond
	retrySync  = 20 * time.Millisecond
	tendPeriod = 250 * time.Millisecond
)

// record is one entry of a member's log.
type record struct {
	Change       *registry.Change       `cbor:"1,keyasint,omitempty"`
	Durable      *registry.DurableState `cbor:"2,keyasint,omitempty"`
	Pages        []registry.Page        `cbor:"3,keyasint,omitempty"`
	View         *membership.View       `cbor:"4,keyasint,omitempty"`
	ViewAcceptor *membership.Acceptor   `cbor:"5,keyasint,omitempty"`
	Entry        *idempotency.Entry     `cbor:"6,keyasint,omitempty"`
	Trusted      *bool                  `cbor:"7,keyasint,omitempty"`
}

// tables are what a member knows; its log makes them again.
type tables struct {
	replica      *registry.Replica
	view         membership.View
	viewAcceptor membership.Acceptor
	voter        *idempotency.Voter
	isTrusted    bool
}

// member is a control node: the tables, their log, and the proposer.
type member struct {
	process
	tables
	random *rand.Rand
	disk   *standin.Disk
	log    *storage.Log
	// unsaved are records on their way to the disk, pending what runs once they
	// and all before them are kept.
	unsaved    [][]byte
	pending    []func()
	isFlushing bool
	isStalled  bool
	wallOffset time.Duration
	proposer   proposer
}

var policy = idempotency.Policy{OpenLimit: 1000, Retention: 24 * time.Hour, KeyWindow: time.Minute, ClockMargin: time.Second}

func newMember(w *world, name string) *member {
	m := &member{process: process{world: w, name: name}, random: w.random}
	m.disk = standin.NewDisk(w.random)
	return m
}

// start reads the log and begins a new life.
func (m *member) start() {
	m.life++
	m.isUp, m.isFrozen, m.backlog = true, false, nil
	m.unsaved, m.pending, m.isFlushing = nil, nil, false
	m.tables = tables{replica: registry.NewReplica(), voter: idempotency.NewVoter(policy)}
	log, err := storage.Open(m.disk, m.replay)
	if err != nil {
		m.isUp = false
		m.world.After(100*time.Millisecond, func() {
			if !m.isUp {
				m.start()
			}
		})
		return
	}
	m.log = log
	m.proposer = newProposer(m)
	m.spawn(m.settle)
	m.after(tendPeriod, m.tend)
	m.world.checks.learned(m)
}

func (m *member) replay(text []byte) error {
	var r record
	if err := cbor.Unmarshal(text, &r); err != nil {
		return err
	}
	m.apply(r)
	return nil
}

func (t *tables) apply(r record) {
	switch {
	case r.Change != nil:
		t.replica.Learn(*r.Change)
	case r.Durable != nil:
		t.replica.Restore(*r.Durable)
	case len(r.Pages) > 0:
		var assembly registry.Assembly
		for _, page := range r.Pages {
			assembly.Add(page)
		}
		if set, isWhole := assembly.Finish(nil); isWhole {
			t.replica.Install(set)
		}
	case r.View != nil:
		t.view, t.viewAcceptor = *r.View, membership.Acceptor{}
	case r.ViewAcceptor != nil:
		t.viewAcceptor = *r.ViewAcceptor
	case r.Entry != nil:
		_ = t.voter.Apply(*r.Entry)
	case r.Trusted != nil:
		t.isTrusted = *r.Trusted
	}
}

// keep writes records to the log and runs done once they, and all that was told
// before them, are synced.
func (m *member) keep(done func(), records ...record) {
	for _, r := range records {
		text, err := cbor.Marshal(r)
		if err != nil {
			panic(err)
		}
		m.unsaved = append(m.unsaved, text)
	}
	if done != nil {
		m.pending = append(m.pending, done)
	}
	if m.isFlushing {
		return
	}
	m.isFlushing = true
	delay := Time(0)
	if len(m.unsaved) > 0 {
		delay = m.syncDelay()
	}
	m.after(delay, m.flush)
}

func (m *member) syncDelay() Time {
	if m.isStalled {
		return Time(m.random.Int64N(int64(800 * time.Millisecond)))
	}
	if m.world.options.IsDense {
		return Time(m.random.Int64N(int64(denseSync)))
	}
	return Time(m.random.Int64N(int64(usualSync)))
}

func (m *member) flush() {
	if len(m.unsaved) > 0 {
		if err := m.log.Append(m.unsaved); err != nil {
			m.after(retrySync, m.flush)
			return
		}
	}
	pending := m.pending
	m.unsaved, m.pending, m.isFlushing = nil, nil, false
	for _, done := range pending {
		done()
	}
}

// tend ends old intents by the wall clock, which may be stepped.
func (m *member) tend() {
	for _, entry := range m.voter.Expire(m.wall()) {
		m.keep(nil, record{Entry: &entry})
	}
	m.after(tendPeriod, m.tend)
}

func (m *member) wall() time.Time {
	return time.UnixMilli(1_700_000_000_000).Add(m.world.Now + m.wallOffset)
}

// kill ends the process; what it was writing may have reached the system.
func (m *member) kill() {
	if !m.isUp {
		return
	}
	if len(m.unsaved) > 0 && m.random.IntN(2) == 0 {
		_ = m.log.Append(m.unsaved)
	}
	m.isUp = false
}

// losePower ends the process and takes what was not synced, or leaves it torn.
func (m *member) losePower() {
	if m.isUp && len(m.unsaved) > 0 {
		isRefusing := m.disk.IsRefusing
		m.disk.IsRefusing = true
		_ = m.log.Append(m.unsaved)
		m.disk.IsRefusing = isRefusing
	}
	m.isUp = false
	m.disk.LosePower()
}

// wipe ends the process and empties its disk.
func (m *member) wipe() {
	m.isUp = false
	m.disk.Wipe()
	m.world.checks.wiped(m)
}
