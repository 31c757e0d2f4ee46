package idempotency

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// RangeCount is the number of ranges into which keys are divided. Members compare
// their tables by one digest per range.
const RangeCount = 1024

// Range is the number of a range of keys.
type Range uint16

// Digest is a combined hash of the intents in one range: if two members have equal
// digests, neither is missing an intent or outcome that the other holds in that range.
type Digest uint64

// IntentSummary identifies one intent in a comparison of two tables. Attempt is 0 for a
// completed intent: its outcome is final whichever attempt produced it.
type IntentSummary struct {
	_       struct{} `cbor:",toarray"`
	Key     uint64
	Attempt uint64
}

// keyRange holds the intents in one range of keys.
type keyRange struct {
	intents   map[Key]*Intent
	competing map[Key][]*Intent
	// digest covers all intents, completedDigest only the completed ones.
	digest, completedDigest Digest
}

// toggleDigest adds an intent to the digests of its range, or removes it again.
func (r *keyRange) toggleDigest(summary IntentSummary) {
	digest := summary.digest()
	r.digest ^= digest
	if summary.IsCompleted() {
		r.completedDigest ^= digest
	}
}

// table holds the intents by range.
type table struct {
	ranges [RangeCount]keyRange
	count  int
}

func (t *table) rangeFor(key Key) *keyRange { return &t.ranges[rangeOf(key)] }

func (t *table) find(key Key) *Intent { return t.rangeFor(key).intents[key] }

// put stores an intent, replacing the one with the same key.
func (t *table) put(intent *Intent) {
	t.remove(intent.Key)
	r := t.rangeFor(intent.Key)
	if r.intents == nil {
		r.intents = map[Key]*Intent{}
	}
	r.intents[intent.Key] = intent
	r.toggleDigest(intent.summary())
	t.count++
}

func (t *table) remove(key Key) {
	r := t.rangeFor(key)
	existing := r.intents[key]
	if existing == nil {
		return
	}
	delete(r.intents, key)
	r.toggleDigest(existing.summary())
	t.count--
}

// sorted returns the intents of a range, competing ones included, ordered by key.
func (t *table) sorted(number Range) []*Intent {
	intents := t.ranges[number].all()
	slices.SortStableFunc(intents, func(a, b *Intent) int { return a.Key.compare(b.Key) })
	return intents
}

// compare orders keys: by tenant, then by key.
func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Tenant, other.Tenant), cmp.Compare(k.Key, other.Key))
}

func (k Key) hash() uint64 { return hashOf(k.Tenant, k.Key) }

// rangeOf returns the range of a key. Every access to the table calls it, so it uses a
// cheaper hash than comparisons do.
func rangeOf(key Key) Range {
	sum := uint64(fnvOffsetBasis)
	for _, text := range [...]string{key.Tenant, "\x00", key.Key} {
		for index := range len(text) {
			sum = (sum ^ uint64(text[index])) * fnvPrime
		}
	}
	return Range(sum % RangeCount)
}

// The parameters of 64-bit FNV-1a.
const (
	fnvOffsetBasis = 14695981039346656037
	fnvPrime       = 1099511628211
)

// summary returns the intent's summary for comparisons.
func (i *Intent) summary() IntentSummary {
	identity := IntentSummary{Key: i.Key.hash()}
	if i.State != Completed {
		identity.Attempt = hashOf(string(i.Attempt))
	}
	return identity
}

// IsCompleted reports whether the intent is completed.
func (b IntentSummary) IsCompleted() bool { return b.Attempt == 0 }

// digest returns the intent's contribution to the digests of its range.
func (b IntentSummary) digest() Digest {
	var text [16]byte
	binary.BigEndian.PutUint64(text[:], b.Key)
	binary.BigEndian.PutUint64(text[8:], b.Attempt)
	sum := sha256.Sum256(text[:])
	return Digest(binary.BigEndian.Uint64(sum[:]))
}

// hashOf hashes strings, each with its length, so that different lists have different
// inputs.
func hashOf(parts ...string) uint64 {
	text := make([]byte, 0, 128)
	for _, part := range parts {
		text = binary.BigEndian.AppendUint32(text, uint32(len(part)))
		text = append(text, part...)
	}
	sum := sha256.Sum256(text)
	return binary.BigEndian.Uint64(sum[:])
}
