package idempotency

import "github.com/juju/errors"

// Record stores the state that the owner of an attempt reports. Reports may be repeated,
// late and out of order, so a report changes only what is stored of its own attempt: it
// adds the attempt, advances its state or removes it. While another attempt holds the key,
// the reported one is kept as a competing intent. Only a completed attempt replaces the
// others: it was executed and will never be released, so none of them can have won. A
// report that changes nothing returns no entry.
func (v *Voter) Record(reported Intent) (*Entry, error) {
	if !reported.State.reportedByOwner() && reported.State != Released {
		return nil, errors.NotValidf("record in state %s", reported.State)
	}
	if v.isObsolete(reported) {
		return nil, nil
	}
	holder, own := v.table.lookup(reported.Key, reported.Attempt)
	isHolder := holder == own
	switch {
	case own == nil && reported.State == Released:
		// There is nothing to remove, but what arrives late must not add the attempt.
		v.released.add(reported.Attempt)
		return nil, nil
	case own != nil && own.State == reported.State:
		return nil, nil
	case holder != nil && !isHolder && holder.State == Completed:
		if reported.State == Completed {
			// Two attempts were executed, which must not happen; the count is monitored.
			v.duplicateExecutions++
		}
		return nil, nil
	case own != nil:
		if _, err := own.Transition(reported.State); err != nil {
			return nil, errors.Trace(err)
		}
	}
	if own != nil {
		// The owner's time of day may be behind that of the vote.
		reported.CreatedMs = max(reported.CreatedMs, own.CreatedMs)
	}
	entry := &Entry{Intent: reported, Competing: !isHolder && reported.State.IsOpen()}
	if isHolder {
		entry.Quota = quotaEventOf(own, reported)
	}
	return entry, v.Apply(*entry)
}

// isObsolete reports whether the report is older than the release of its attempt. An
// outcome never is: it shows that the attempt was executed.
func (v *Voter) isObsolete(reported Intent) bool {
	return reported.State != Released && reported.State != Completed && v.released.contains(reported.Attempt)
}

// quotaEventOf returns the quota event of a report on the attempt that holds the key, or
// that will hold it; stored is nil if the attempt is unknown.
func quotaEventOf(stored *Intent, reported Intent) *QuotaEvent {
	if stored == nil {
		if !reported.State.IsOpen() {
			return nil
		}
		return &QuotaEvent{QuotaReserve, reported.Reservation, reported.Route}
	}
	kind, final := quotaEventKinds[reported.State]
	if !final || !stored.State.IsOpen() {
		return nil
	}
	return &QuotaEvent{kind, reported.Reservation, reported.Route}
}
