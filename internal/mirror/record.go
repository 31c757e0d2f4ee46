package mirror

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Outcome is what came of one copy beside its original.
type Outcome string

// The outcomes of a copy.
const (
	Same Outcome = "same"
	// Status: the class of the status differs; Body: the body does.
	Status Outcome = "status"
	Body   Outcome = "body"
	// Slow: the same reply, in more than twice the original's time.
	Slow Outcome = "slow"
	// Silent: no whole reply came; Turned: the shadow turned the copy away.
	Silent Outcome = "silent"
	Turned Outcome = "turned"
)

// IsDifferent tells whether the shadow did not do as the live side did.
//
// Example:
//
//	if outcome.IsDifferent() { differing++ }
func (o Outcome) IsDifferent() bool { return o != Same && o != Slow }

// IsSlow tells whether a copy took more than twice as long as its original, and
// long enough for that to say something.
//
// Example:
//
//	if mirror.IsSlow(live, took) { outcome = mirror.Slow }
func IsSlow(live, took time.Duration) bool { return took > max(slowTimes*live, slowLeast) }

// Talk is one conversation as one node saw it in one era.
type Talk struct {
	Hash uint64 `cbor:"1,keyasint"`
	// Draw is where it falls between 0 and 1.
	Draw      float64 `cbor:"2,keyasint"`
	Copies    uint32  `cbor:"3,keyasint"`
	Compared  uint32  `cbor:"4,keyasint,omitempty"`
	Different uint32  `cbor:"5,keyasint,omitempty"`
	// Gaps are originals that were delivered, or may have been, and whose copy the
	// shadow did not get.
	Gaps uint32 `cbor:"6,keyasint,omitempty"`
	// IsPartial: it was met before every node had the order.
	IsPartial bool `cbor:"7,keyasint,omitempty"`
}

// IsWhole tells whether all of the conversation's copies reached the shadow and
// were compared, as far as this node knows.
//
// Example:
//
//	if talk.IsWhole() { whole++ }
func (t Talk) IsWhole() bool { return !t.IsPartial && t.Gaps == 0 && t.Compared == t.Copies }

// Example is a difference for operators to look at, without its bodies.
type Example struct {
	Lane    string  `cbor:"1,keyasint" json:"Route"`
	Attempt string  `cbor:"2,keyasint" json:"Attempt"`
	Outcome Outcome `cbor:"3,keyasint" json:"Outcome"`
	Live    int     `cbor:"4,keyasint" json:"Live"`
	Shadow  int     `cbor:"5,keyasint" json:"Shadow"`
	LiveMs  int64   `cbor:"6,keyasint" json:"LiveMs"`
	TookMs  int64   `cbor:"7,keyasint" json:"TookMs"`
}

// Page is what one node knows of one mirror.
type Page struct {
	Grant Grant `cbor:"1,keyasint"`
	// Counts are the outcomes by lane; Gaps, why copies were not sent.
	Counts   map[string]map[Outcome]uint64 `cbor:"2,keyasint,omitempty"`
	Gaps     map[string]uint64             `cbor:"3,keyasint,omitempty"`
	Talks    []Talk                        `cbor:"4,keyasint,omitempty"`
	Examples []Example                     `cbor:"5,keyasint,omitempty"`
	// Untracked are conversations beyond what the node keeps.
	Untracked uint64 `cbor:"6,keyasint,omitempty"`
}

const (
	talkLimit    = 4096
	exampleLimit = 8
	slowTimes    = 2
	slowLeast    = 20 * time.Millisecond
)

// Record keeps what one node knows of one mirror.
type Record struct {
	lock  sync.Mutex
	page  Page
	talks map[uint64]*Talk
	// number counts the copies, told those that were told as sent or as gaps.
	number           uint64
	copied, lost     uint64
	toldCopied, told uint64
}

// NewRecord makes an empty record.
//
// Example:
//
//	record := mirror.NewRecord()
func NewRecord() *Record { return &Record{talks: map[uint64]*Talk{}} }

// Under takes the grant in force. With a new version or era all begins anew: of
// what was before, nothing is claimed.
//
// Example:
//
//	record.Under(grant)
func (r *Record) Under(grant Grant) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if held := r.page.Grant; held.Version != grant.Version || held.Era != grant.Era {
		r.page, r.talks = Page{Counts: map[string]map[Outcome]uint64{}, Gaps: map[string]uint64{}}, map[uint64]*Talk{}
	}
	r.page.Grant = grant
}

// Meet notes an original of a conversation that is copied, and gives the copy its
// number and era.
//
// Example:
//
//	number, era := record.Meet(hash, draw)
func (r *Record) Meet(hash uint64, draw float64) (number, era uint64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.number++
	talk := r.talks[hash]
	switch {
	case talk != nil:
	case len(r.talks) >= talkLimit:
		r.page.Untracked++
		return r.number, r.page.Grant.Era
	default:
		talk = &Talk{Hash: hash, Draw: draw}
		r.talks[hash] = talk
	}
	talk.Copies++
	talk.IsPartial = talk.IsPartial || !r.page.Grant.IsSettled
	return r.number, r.page.Grant.Era
}

// Miss notes that the shadow does not get the copy of an original.
//
// Example:
//
//	record.Miss(hash, era, "inbox full")
func (r *Record) Miss(hash, era uint64, why string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.lost++
	if r.page.Grant.Era != era {
		return
	}
	r.page.Gaps[why]++
	if talk := r.talks[hash]; talk != nil {
		talk.Gaps++
	}
}

// Compare notes what came of a copy.
//
// Example:
//
//	record.Compare(hash, era, example)
func (r *Record) Compare(hash, era uint64, found Example) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.copied++
	if r.page.Grant.Era != era {
		return
	}
	if r.page.Counts[found.Lane] == nil {
		r.page.Counts[found.Lane] = map[Outcome]uint64{}
	}
	r.page.Counts[found.Lane][found.Outcome]++
	if found.Outcome != Same && len(r.page.Examples) < exampleLimit {
		r.page.Examples = append(r.page.Examples, found)
	}
	if talk := r.talks[hash]; talk != nil {
		if talk.Compared++; found.Outcome.IsDifferent() {
			talk.Different++
		}
	}
}

// Page is all that is known, for the inspector.
//
// Example:
//
//	page := record.Page()
func (r *Record) Page() Page {
	r.lock.Lock()
	defer r.lock.Unlock()
	out := r.page
	out.Gaps, out.Counts = map[string]uint64{}, map[string]map[Outcome]uint64{}
	for why, count := range r.page.Gaps {
		out.Gaps[why] = count
	}
	for lane, counts := range r.page.Counts {
		out.Counts[lane] = map[Outcome]uint64{}
		for outcome, count := range counts {
			out.Counts[lane][outcome] = count
		}
	}
	out.Examples = slices.Clone(r.page.Examples)
	for _, talk := range r.talks {
		out.Talks = append(out.Talks, *talk)
	}
	slices.SortFunc(out.Talks, func(a, z Talk) int { return cmp.Compare(a.Hash, z.Hash) })
	return out
}

// Tally is what a node tells the holder of the duty of one mirror since it last
// told.
type Tally struct {
	Name   string `cbor:"1,keyasint"`
	Copied uint64 `cbor:"2,keyasint,omitempty"`
	Lost   uint64 `cbor:"3,keyasint,omitempty"`
}

// Tell is the tally since the last telling.
//
// Example:
//
//	report.Mirrored = append(report.Mirrored, record.Tell(name))
func (r *Record) Tell(name string) Tally {
	r.lock.Lock()
	defer r.lock.Unlock()
	out := Tally{name, r.copied - r.toldCopied, r.lost - r.told}
	r.toldCopied, r.told = r.copied, r.lost
	return out
}
