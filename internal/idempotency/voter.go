package idempotency

import (
	"time"

	"github.com/juju/errors"
)

// Verdict is a voter's reply to an attempt.
type Verdict uint8

// The verdicts of a voter.
const (
	Granted Verdict = iota + 1
	KeyInUse
	OverLimit
	Refused
	// Shed: the service is overloaded, or the voter's table is full, and no intent is
	// created for this key now.
	Shed
)

// Ballot is a voter's reply: its verdict, and the intent that holds the key if
// another attempt does.
type Vote struct {
	Verdict  Verdict `cbor:"1,keyasint"`
	Existing *Intent `cbor:"2,keyasint,omitempty"`
}

// Policy bounds what a voter keeps.
type Policy struct {
	OpenLimit   int
	Retention   time.Duration
	KeyWindow   time.Duration
	ClockMargin time.Duration
	// Bytes is what the intents may take before ends past the key window go early.
	SoftLimitBytes int
	// Ceiling is what they may take before no new intent is granted; 0 is no bound.
	HardLimitBytes int
}

// Entry is what a voter's log keeps of one change: the intent's new record and
// the quota event that goes with it, in one write.
type Entry struct {
	Intent Intent      `cbor:"1,keyasint"`
	Quota  *QuotaEvent `cbor:"2,keyasint,omitempty"`
	// IsRival marks an intent that is kept beside the one that holds the key.
	Competing bool `cbor:"3,keyasint,omitempty"`
}

// Voter is one core node's table of intents. It has one owner.
type Voter struct {
	policy     Policy
	table      table
	byCreation []createdIntent
	// isUnsorted says that the order is not that of creation.
	unsorted            bool
	sizeBytes           int
	quota               *Quota
	duplicateExecutions int
}

type createdIntent struct {
	key       Key
	attempt   Attempt
	createdMs int64
}

// NewVoter makes an empty table.
//
// Example:
//
//	voter := idempotency.NewVoter(idempotency.Policy{OpenLimit: 100, KeyWindow: time.Minute})
func NewVoter(policy Policy) *Voter {
	return &Voter{policy: policy, unsorted: true, quota: newQuota()}
}

// Find returns the record of a key, or nil.
//
// Example:
//
//	if held := voter.Find(key); held != nil { show(held) }
func (v *Voter) Find(key Key) *Intent { return v.table.find(key) }

// Doubles is how many keys were seen with the runs of two attempts.
//
// Example:
//
//	if voter.Doubles() > before { halt() }
func (v *Voter) DuplicateExecutions() int { return v.duplicateExecutions }

// Quota is the account derived from the events.
//
// Example:
//
//	open := voter.Quota().Open(route)
func (v *Voter) Quota() *Quota { return v.quota }

// Reserve votes for the first attempt that asks for a key. A grant comes with
// the entry that must be kept before the grant is told.
//
// Example:
//
//	ballot, entry := voter.Reserve(intent)
func (v *Voter) Reserve(requested Intent) (Vote, *Entry) {
	existing := v.table.find(requested.Key)
	switch {
	case existing != nil && existing.Attempt == requested.Attempt && existing.State == Reserved:
		return Vote{Verdict: Granted}, nil
	case existing != nil:
		return Vote{Verdict: KeyInUse, Existing: existing}, nil
	case v.policy.OpenLimit > 0 && v.quota.Open(requested.Route) >= v.policy.OpenLimit:
		return Vote{Verdict: OverLimit}, nil
	case v.policy.HardLimitBytes > 0 && v.sizeBytes >= v.policy.HardLimitBytes:
		return Vote{Verdict: Shed}, nil
	}
	requested.State, requested.Response = Reserved, nil
	entry := &Entry{Intent: requested, Quota: &QuotaEvent{QuotaReserve, requested.Reservation, requested.Route}}
	_ = v.Apply(*entry)
	return Vote{Verdict: Granted}, entry
}

// Record takes what the owner of the key's only delivered attempt tells. A
// vote for another attempt gives way to it, since that one cannot have won.
// Nothing new gives no entry.
//
// Example:
//
//	entry, err := voter.Record(completed)
func (v *Voter) Record(reported Intent) (*Entry, error) {
	existing := v.table.find(reported.Key)
	otherAttempt := existing != nil && existing.Attempt != reported.Attempt
	switch {
	case reported.State == Released && v.table.findCompeting(reported.Key, reported.Attempt) != nil:
		entry := &Entry{Intent: reported}
		return entry, v.Apply(*entry)
	case existing == nil && (reported.State == Released || reported.State == Reserved):
		return nil, nil
	case otherAttempt && reported.State == Completed && existing.State == Completed:
		// Two attempts ran: it must not be, and whoever watches is told.
		v.duplicateExecutions++
		return nil, nil
	case otherAttempt && (reported.State == Released || existing.State == Completed):
		return nil, nil
	case existing != nil && !otherAttempt && existing.State == reported.State:
		return nil, nil
	case existing != nil && !otherAttempt:
		if _, err := existing.Transition(reported.State); err != nil {
			return nil, errors.Trace(err)
		}
	}
	entry := &Entry{Intent: reported}
	if kind, final := quotaEventKinds[reported.State]; final && existing != nil && existing.State.IsOpen() && !otherAttempt {
		entry.Quota = &QuotaEvent{kind, reported.Reservation, reported.Route}
	} else if reported.State.IsOpen() && (existing == nil || otherAttempt) {
		entry.Quota = &QuotaEvent{QuotaReserve, reported.Reservation, reported.Route}
	}
	return entry, v.Apply(*entry)
}

// Apply puts a kept entry into the table, at the time it is made and again
// when the log is read at a start.
//
// Example:
//
//	err := voter.Apply(entry)
func (v *Voter) Apply(entry Entry) error {
	intent := entry.Intent
	if entry.Competing {
		v.table.addCompeting(intent)
		return nil
	}
	if competing := v.table.findCompeting(intent.Key, intent.Attempt); competing != nil {
		v.table.removeCompeting(competing)
		if intent.State == Released {
			return nil
		}
	}
	v.store(intent)
	var err error
	if entry.Quota != nil {
		err = v.quota.apply(*entry.Quota)
	}
	if intent.State != Released {
		return err
	}
	if next := v.table.takeCompeting(intent.Key); next != nil {
		return v.Apply(newEntry(next))
	}
	return err
}

// place puts the intent into the table in place of the one that held the key.
func (v *Voter) store(intent Intent) {
	existing := v.table.find(intent.Key)
	if existing != nil {
		v.sizeBytes -= existing.sizeBytes()
		if existing.Attempt != intent.Attempt && existing.State.IsOpen() {
			_ = v.quota.apply(QuotaEvent{QuotaRelease, existing.Reservation, existing.Route})
		}
	}
	if intent.State == Released {
		v.table.remove(intent.Key)
		return
	}
	if intent.State.reportedByOwner() {
		// The owner of an attempt that was delivered says so: the others lost.
		v.table.removeAllCompeting(intent.Key)
	}
	v.table.put(&intent)
	v.sizeBytes += intent.sizeBytes()
	if existing == nil || existing.Attempt != intent.Attempt {
		v.byCreation = append(v.byCreation, createdIntent{intent.Key, intent.Attempt, intent.CreatedMs})
	}
}
