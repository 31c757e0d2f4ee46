package idempotency

import "time"

// Verdict is a voter's decision on a reservation.
type Verdict uint8

// The verdicts of a voter.
const (
	Granted Verdict = iota + 1
	// KeyInUse means that another intent holds the key.
	KeyInUse
	// OverLimit means that the route has too many open intents.
	OverLimit
	// Refused means that the member cannot vote on the request.
	Refused
	// Shed means that the service is overloaded or the voter's table is full, and no
	// intent is created for this key now.
	Shed
)

// Vote is a voter's response to a reservation: its verdict, and the existing intent if
// the key is in use.
type Vote struct {
	Verdict  Verdict `cbor:"1,keyasint"`
	Existing *Intent `cbor:"2,keyasint,omitempty"`
}

// Policy limits what a voter stores and for how long.
type Policy struct {
	// OpenLimit is the maximum number of open intents per route; 0 means no limit.
	OpenLimit int
	// Retention is the age at which final intents are removed.
	Retention time.Duration
	// KeyWindow is the age up to which every intent is kept and may stay open.
	KeyWindow time.Duration
	// ClockMargin extends the key window to allow for clock skew between proxy and voter.
	ClockMargin time.Duration
	// SoftLimitBytes is the table size above which final intents past the key window
	// are removed before their retention ends; 0 means no limit.
	SoftLimitBytes int
	// HardLimitBytes is the table size from which on no new intent is granted; 0 means
	// no limit.
	HardLimitBytes int
}

// Entry is the log record of one change: the new version of the intent and the
// associated quota event, in one write.
type Entry struct {
	Intent Intent      `cbor:"1,keyasint"`
	Quota  *QuotaEvent `cbor:"2,keyasint,omitempty"`
	// Competing marks an intent that is kept in addition to the one that holds the key.
	Competing bool `cbor:"3,keyasint,omitempty"`
}

// Voter is the table of intents on one control plane member, which votes on
// reservations. It is not safe for concurrent use: one owner calls it.
type Voter struct {
	policy     Policy
	table      table
	byCreation []createdIntent
	// unsorted is set while byCreation is not in creation order.
	unsorted            bool
	sizeBytes           int
	quota               *Quota
	duplicateExecutions int
	released            releasedAttempts
}

type createdIntent struct {
	key       Key
	attempt   Attempt
	createdMs int64
}

// NewVoter returns a voter with an empty table.
func NewVoter(policy Policy) *Voter {
	return &Voter{policy: policy, unsorted: true, quota: newQuota()}
}

// Find returns the intent that holds a key, or nil.
func (v *Voter) Find(key Key) *Intent { return v.table.find(key) }

// DuplicateExecutions returns how often a second completed attempt was reported for a
// key.
func (v *Voter) DuplicateExecutions() int { return v.duplicateExecutions }

// Quota returns the reservation counts.
func (v *Voter) Quota() *Quota { return v.quota }

// Reserve grants a key to the first attempt that requests it. A new grant comes with
// the entry that must be persisted before the vote is sent.
func (v *Voter) Reserve(requested Intent) (Vote, *Entry) {
	existing := v.table.find(requested.Key)
	switch {
	case v.released.contains(requested.Attempt):
		return Vote{Verdict: Refused}, nil
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

// Apply applies an entry to the table, both when it is created and when the log is
// replayed at a start.
func (v *Voter) Apply(entry Entry) error {
	intent := entry.Intent
	if intent.State == Released {
		v.released.add(intent.Attempt)
	}
	if entry.Competing && v.table.find(intent.Key) != nil {
		v.table.putCompeting(intent)
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
	if promoted, promoteErr := v.promoteCompeting(intent.Key); promoted {
		return promoteErr
	}
	return err
}

// promoteCompeting lets a competing intent take the place of the holder that was removed,
// and reports whether there was one.
func (v *Voter) promoteCompeting(key Key) (promoted bool, err error) {
	next := v.table.takeCompeting(key)
	if next == nil {
		return false, nil
	}
	return true, v.Apply(newEntry(next))
}

// store puts the intent into the table, replacing the one that held the key.
func (v *Voter) store(intent Intent) {
	existing := v.table.find(intent.Key)
	if existing != nil {
		v.sizeBytes -= existing.size()
		if existing.Attempt != intent.Attempt && existing.State.IsOpen() {
			_ = v.quota.apply(QuotaEvent{QuotaRelease, existing.Reservation, existing.Route})
		}
	}
	if intent.State == Released {
		v.table.remove(intent.Key)
		return
	}
	if intent.State == Completed {
		// This attempt was executed, so the others have lost.
		v.table.removeAllCompeting(intent.Key)
	}
	v.table.put(&intent)
	v.sizeBytes += intent.size()
	if existing == nil || existing.Attempt != intent.Attempt {
		v.byCreation = append(v.byCreation, createdIntent{intent.Key, intent.Attempt, intent.CreatedMs})
	}
}
