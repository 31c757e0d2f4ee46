package idempotency

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// RangeCount is how many ranges the keys are divided into. Members compare their
// tables by one digest a range.
const RangeCount = 1024

// Range numbers one of the ranges of keys.
type Range uint16

// Digest sums up the intents of one range: two members with the same digest lack
// nothing of each other in that range.
type Digest uint64

// Brief identifies one intent in a comparison of two tables. Attempt is 0 for a
// completed intent: its outcome stands whatever attempt it came from.
type IntentSummary struct {
	_       struct{} `cbor:",toarray"`
	Key     uint64
	Attempt uint64
}

// keyRange holds the intents of one range of keys.
type keyRange struct {
	intents   map[Key]*Intent
	competing map[Key][]*Intent
	// digest is of all, outcomes of the completed ones.
	digest, completedDigest Digest
}

// sum brings an intent into the digests of its range, or takes it out again.
func (r *keyRange) toggleDigest(summary IntentSummary) {
	digest := summary.digest()
	r.digest ^= digest
	if summary.IsCompleted() {
		r.completedDigest ^= digest
	}
}

// table holds the intents by range, and the digest of each range.
type table struct {
	ranges [RangeCount]keyRange
	count  int
}

func (t *table) rangeFor(key Key) *keyRange { return &t.ranges[rangeOf(key)] }

func (t *table) find(key Key) *Intent { return t.rangeFor(key).intents[key] }

// put stores an intent in place of the one of the same key.
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

// sorted lists the intents of a range, with their rivals, in the order of their keys.
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

// rangeOf is the range of a key. It is asked for with every look at the table, and
// so goes by a cheaper sum than comparisons do.
func rangeOf(key Key) Range {
	sum := uint64(fnvOffsetBasis)
	for _, text := range [...]string{key.Tenant, "\x00", key.Key} {
		for index := range len(text) {
			sum = (sum ^ uint64(text[index])) * fnvPrime
		}
	}
	return Range(sum % RangeCount)
}

// The figures of FNV-1a, 64 bits.
const (
	fnvOffsetBasis = 14695981039346656037
	fnvPrime       = 1099511628211
)

// brief is the intent as it stands in a comparison.
func (i *Intent) summary() IntentSummary {
	summary := IntentSummary{Key: i.Key.hash()}
	if i.State != Completed {
		summary.Attempt = hashOf(string(i.Attempt))
	}
	return summary
}

// IsOutcome tells whether the intent is completed.
//
// Example:
//
//	if brief.IsOutcome() { copyAtOnce(brief.Key) }
func (b IntentSummary) IsCompleted() bool { return b.Attempt == 0 }

// digest is the intent's part in the digest of its range.
func (b IntentSummary) digest() Digest {
	var text [16]byte
	binary.BigEndian.PutUint64(text[:], b.Key)
	binary.BigEndian.PutUint64(text[8:], b.Attempt)
	sum := sha256.Sum256(text[:])
	return Digest(binary.BigEndian.Uint64(sum[:]))
}

// hashOf digests strings, each with its length, so that no two lists are alike.
func hashOf(parts ...string) uint64 {
	text := make([]byte, 0, 128)
	for _, part := range parts {
		text = binary.BigEndian.AppendUint32(text, uint32(len(part)))
		text = append(text, part...)
	}
	sum := sha256.Sum256(text)
	return binary.BigEndian.Uint64(sum[:])
}
