package mirror

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Outcome is the result of comparing a copy's response with its original's.
type Outcome string

// The outcomes of a copy.
const (
	Same Outcome = "same"
	// StatusDiffers: the status class differs. BodyDiffers: the body differs.
	StatusDiffers Outcome = "status"
	BodyDiffers   Outcome = "body"
	// Slow: the same response, but in more than twice the original's time.
	Slow Outcome = "slow"
	// NoResponse: no complete response arrived. Refused: the shadow rejected the copy.
	NoResponse Outcome = "silent"
	Refused    Outcome = "turned"
)

// Differs reports whether the shadow's response differs from the live one; a slow one
// does not count.
func (o Outcome) Differs() bool { return o != Same && o != Slow }

// IsSlow reports whether a copy took more than twice as long as its original, and
// long enough for the difference to be significant.
func IsSlow(live, shadow time.Duration) bool { return shadow > max(slowFactor*live, minSlowTime) }

// Conversation holds the counts of one conversation at one node in one era.
type Conversation struct {
	Hash uint64 `cbor:"1,keyasint"`
	// SamplePoint is the result of Mirror.SamplePoint.
	SamplePoint float64 `cbor:"2,keyasint" json:"Draw"`
	Copies      uint32  `cbor:"3,keyasint"`
	Compared    uint32  `cbor:"4,keyasint,omitempty"`
	Differing   uint32  `cbor:"5,keyasint,omitempty" json:"Different"`
	// Gaps counts the originals that were delivered, or may have been, and whose
	// copy did not reach the shadow.
	Gaps uint32 `cbor:"6,keyasint,omitempty"`
	// Partial is set if a request was seen before every node had the grant.
	Partial bool `cbor:"7,keyasint,omitempty" json:"IsPartial"`
}

// Complete reports whether all of the conversation's copies reached the shadow and
// were compared, as far as this node knows.
func (c Conversation) Complete() bool { return !c.Partial && c.Gaps == 0 && c.Compared == c.Copies }

// Example is one difference for operators to inspect, without the bodies.
type Example struct {
	Route        string  `cbor:"1,keyasint" json:"Route"`
	Attempt      string  `cbor:"2,keyasint" json:"Attempt"`
	Outcome      Outcome `cbor:"3,keyasint" json:"Outcome"`
	LiveStatus   int     `cbor:"4,keyasint" json:"Live"`
	ShadowStatus int     `cbor:"5,keyasint" json:"Shadow"`
	LiveMs       int64   `cbor:"6,keyasint" json:"LiveMs"`
	ShadowMs     int64   `cbor:"7,keyasint" json:"TookMs"`
}

// Results are one node's results for one mirror.
type Results struct {
	Grant Grant `cbor:"1,keyasint"`
	// Counts holds the outcomes by route, Gaps the copies not sent by reason.
	Counts        map[string]map[Outcome]uint64 `cbor:"2,keyasint,omitempty"`
	Gaps          map[string]uint64             `cbor:"3,keyasint,omitempty"`
	Conversations []Conversation                `cbor:"4,keyasint,omitempty" json:"Talks"`
	Examples      []Example                     `cbor:"5,keyasint,omitempty"`
	// Untracked counts the requests of conversations beyond the node's limit.
	Untracked uint64 `cbor:"6,keyasint,omitempty"`
}

const (
	maxConversations = 4096
	maxExamples      = 8
	slowFactor       = 2
	minSlowTime      = 20 * time.Millisecond
)

// Recorder collects one node's results for one mirror.
type Recorder struct {
	lock          sync.Mutex
	results       Results
	conversations map[uint64]*Conversation
	// lastNumber is the number of the last copy; reportedCopied and reportedLost
	// are the values of copied and lost in the last report.
	lastNumber                   uint64
	copied, lost                 uint64
	reportedCopied, reportedLost uint64
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{conversations: map[uint64]*Conversation{}} }

// SetGrant sets the grant in force. A new version or era discards all earlier
// results, as they cannot be known to be complete.
func (r *Recorder) SetGrant(grant Grant) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if current := r.results.Grant; current.Version != grant.Version || current.Era != grant.Era {
		r.results, r.conversations = Results{Counts: map[string]map[Outcome]uint64{}, Gaps: map[string]uint64{}}, map[uint64]*Conversation{}
	}
	r.results.Grant = grant
}

// AddOriginal counts an original of a copied conversation, and returns the copy's
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

// AddGap counts an original whose copy does not reach the shadow.
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

// AddComparison counts the outcome of a copy.
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

// Results returns a copy of all results, for the inspector.
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

// CountDelta holds the copies of one mirror that a node reports to the leader: those
// since its last report.
type CountDelta struct {
	Name   string `cbor:"1,keyasint"`
	Copied uint64 `cbor:"2,keyasint,omitempty"`
	Lost   uint64 `cbor:"3,keyasint,omitempty"`
}

// TakeDelta returns the counts since its last call.
func (r *Recorder) TakeDelta(name string) CountDelta {
	r.lock.Lock()
	defer r.lock.Unlock()
	delta := CountDelta{name, r.copied - r.reportedCopied, r.lost - r.reportedLost}
	r.reportedCopied, r.reportedLost = r.copied, r.lost
	return delta
}
