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
	StatusDiffers Outcome = "status"
	BodyDiffers   Outcome = "body"
	// Slow: the same reply, in more than twice the original's time.
	Slow Outcome = "slow"
	// Silent: no whole reply came; Turned: the shadow turned the copy away.
	NoReply Outcome = "silent"
	Refused Outcome = "turned"
)

// IsDifferent tells whether the shadow did not do as the live side did.
func (o Outcome) Differs() bool { return o != Same && o != Slow }

// IsSlow tells whether a copy took more than twice as long as its original, and
// long enough for that to say something.
func IsSlow(live, shadow time.Duration) bool { return shadow > max(slowFactor*live, minSlowTime) }

// Talk is one conversation as one node saw it in one era.
type Conversation struct {
	Hash uint64 `cbor:"1,keyasint"`
	// Draw is where it falls between 0 and 1.
	SamplePoint float64 `cbor:"2,keyasint" json:"Draw"`
	Copies      uint32  `cbor:"3,keyasint"`
	Compared    uint32  `cbor:"4,keyasint,omitempty"`
	Differing   uint32  `cbor:"5,keyasint,omitempty" json:"Different"`
	// Gaps are originals that were delivered, or may have been, and whose copy the
	// shadow did not get.
	Gaps uint32 `cbor:"6,keyasint,omitempty"`
	// IsPartial: it was met before every node had the order.
	Partial bool `cbor:"7,keyasint,omitempty" json:"IsPartial"`
}

// IsWhole tells whether all of the conversation's copies reached the shadow and
// were compared, as far as this node knows.
func (c Conversation) IsWhole() bool { return !c.Partial && c.Gaps == 0 && c.Compared == c.Copies }

// Example is a difference for operators to look at, without its bodies.
type Example struct {
	Route        string  `cbor:"1,keyasint" json:"Route"`
	Attempt      string  `cbor:"2,keyasint" json:"Attempt"`
	Outcome      Outcome `cbor:"3,keyasint" json:"Outcome"`
	LiveStatus   int     `cbor:"4,keyasint" json:"Live"`
	ShadowStatus int     `cbor:"5,keyasint" json:"Shadow"`
	LiveMs       int64   `cbor:"6,keyasint" json:"LiveMs"`
	ShadowMs     int64   `cbor:"7,keyasint" json:"TookMs"`
}

// Page is what one node knows of one mirror.
type Results struct {
	Grant Grant `cbor:"1,keyasint"`
	// Counts are the outcomes by lane; Gaps, why copies were not sent.
	Counts        map[string]map[Outcome]uint64 `cbor:"2,keyasint,omitempty"`
	Gaps          map[string]uint64             `cbor:"3,keyasint,omitempty"`
	Conversations []Conversation                `cbor:"4,keyasint,omitempty" json:"Talks"`
	Examples      []Example                     `cbor:"5,keyasint,omitempty"`
	// Untracked are conversations beyond what the node keeps.
	Untracked uint64 `cbor:"6,keyasint,omitempty"`
}

const (
	maxConversations = 4096
	maxExamples      = 8
	slowFactor       = 2
	minSlowTime      = 20 * time.Millisecond
)

// Record keeps what one node knows of one mirror.
type Recorder struct {
	lock          sync.Mutex
	results       Results
	conversations map[uint64]*Conversation
	// number counts the copies, told those that were told as sent or as gaps.
	lastNumber                   uint64
	copied, lost                 uint64
	reportedCopied, reportedLost uint64
}

// NewRecord makes an empty record.
func NewRecorder() *Recorder { return &Recorder{conversations: map[uint64]*Conversation{}} }

// Under takes the grant in force. With a new version or era all begins anew: of
// what was before, nothing is claimed.
func (r *Recorder) SetGrant(grant Grant) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if held := r.results.Grant; held.Version != grant.Version || held.Era != grant.Era {
		r.results, r.conversations = Results{Counts: map[string]map[Outcome]uint64{}, Gaps: map[string]uint64{}}, map[uint64]*Conversation{}
	}
	r.results.Grant = grant
}

// Meet notes an original of a conversation that is copied, and gives the copy its
// number and era.
func (r *Recorder) AddOriginal(hash uint64, samplePoint float64) (number, era uint64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.lastNumber++
	conversation := r.conversations[hash]
	switch {
	case conversation != nil:
	case len(r.conversations) >= maxConversations:
		r.results.Untracked++
		return r.lastNumber, r.results.Grant.Era
	default:
		conversation = &Conversation{Hash: hash, SamplePoint: samplePoint}
		r.conversations[hash] = conversation
	}
	conversation.Copies++
	conversation.Partial = conversation.Partial || !r.results.Grant.Settled
	return r.lastNumber, r.results.Grant.Era
}

// Miss notes that the shadow does not get the copy of an original.
func (r *Recorder) AddGap(hash, era uint64, reason string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.lost++
	if r.results.Grant.Era != era {
		return
	}
	r.results.Gaps[reason]++
	if conversation := r.conversations[hash]; conversation != nil {
		conversation.Gaps++
	}
}

// Compare notes what came of a copy.
func (r *Recorder) AddComparison(hash, era uint64, example Example) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.copied++
	if r.results.Grant.Era != era {
		return
	}
	if r.results.Counts[example.Route] == nil {
		r.results.Counts[example.Route] = map[Outcome]uint64{}
	}
	r.results.Counts[example.Route][example.Outcome]++
	if example.Outcome != Same && len(r.results.Examples) < maxExamples {
		r.results.Examples = append(r.results.Examples, example)
	}
	if conversation := r.conversations[hash]; conversation != nil {
		if conversation.Compared++; example.Outcome.Differs() {
			conversation.Differing++
		}
	}
}

// Page is all that is known, for the inspector.
func (r *Recorder) Results() Results {
	r.lock.Lock()
	defer r.lock.Unlock()
	out := r.results
	out.Gaps, out.Counts = map[string]uint64{}, map[string]map[Outcome]uint64{}
	for reason, count := range r.results.Gaps {
		out.Gaps[reason] = count
	}
	for route, counts := range r.results.Counts {
		out.Counts[route] = map[Outcome]uint64{}
		for outcome, count := range counts {
			out.Counts[route][outcome] = count
		}
	}
	out.Examples = slices.Clone(r.results.Examples)
	for _, conversation := range r.conversations {
		out.Conversations = append(out.Conversations, *conversation)
	}
	slices.SortFunc(out.Conversations, func(a, b Conversation) int { return cmp.Compare(a.Hash, b.Hash) })
	return out
}

// Tally is what a node tells the holder of the duty of one mirror since it last
// told.
type CountDelta struct {
	Name   string `cbor:"1,keyasint"`
	Copied uint64 `cbor:"2,keyasint,omitempty"`
	Lost   uint64 `cbor:"3,keyasint,omitempty"`
}

// Tell is the tally since the last telling.
func (r *Recorder) TakeDelta(name string) CountDelta {
	r.lock.Lock()
	defer r.lock.Unlock()
	delta := CountDelta{name, r.copied - r.reportedCopied, r.lost - r.reportedLost}
	r.reportedCopied, r.reportedLost = r.copied, r.lost
	return delta
}
