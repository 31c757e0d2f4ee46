package shedding

import (
	"encoding/binary"
	"hash/fnv"
)

// Cutoff is how much of one service's inquiries all nodes turn away: every tier
// after Tier, and of Tier itself the part whose hash is below Part. The seed stays
// while the overload lasts, so a higher cutoff turns away those that the lower one
// did and more, and a lower one lets some in and takes nobody out.
type Cutoff struct {
	Service string `cbor:"1,keyasint" json:"Service"`
	// Number counts the cutoffs that the holders of the duty have published.
	Number   uint64  `cbor:"2,keyasint" json:"Number"`
	Seed     uint64  `cbor:"3,keyasint" json:"Seed"`
	Tier     Tier    `cbor:"4,keyasint" json:"Tier"`
	Fraction float64 `cbor:"5,keyasint" json:"Part"`
}

// Sheds tells whether an inquiry of the tier is turned away, by the names that it
// goes by: tenant and key, or tenant and conversation.
//
// Example:
//
//	if cutoff.Sheds(tier, "h.example", "k-5512") { refuse() }
func (c Cutoff) Sheds(tier Tier, names ...string) bool {
	return tier > c.Tier || tier == c.Tier && HashFraction(c.Seed, names...) < c.Fraction
}

// Height is the cutoff as one figure among so many tiers: how many whole tiers,
// and which part of the next, are turned away.
//
// Example:
//
//	isRaised := next.Height(tiers) > last.Height(tiers)
func (c Cutoff) Level(tiers int) float64 { return float64(tiers-1-int(c.Tier)) + c.Fraction }

// Draw is a figure from 0 up to 1 that depends on the seed and the names alone: the
// same at every node.
//
// Example:
//
//	isIn := shedding.Draw(seed, tenant, key) < share
func HashFraction(seed uint64, names ...string) float64 {
	hash := fnv.New64a()
	var buffer [8]byte
	binary.BigEndian.PutUint64(buffer[:], seed)
	_, _ = hash.Write(buffer[:])
	for _, name := range names {
		binary.BigEndian.PutUint64(buffer[:], uint64(len(name)))
		_, _ = hash.Write(buffer[:])
		_, _ = hash.Write([]byte(name))
	}
	// FNV leaves names that differ in their last letter close together.
	mixed := hash.Sum64()
	mixed = (mixed ^ mixed>>33) * 0xff51afd7ed558ccd
	mixed = (mixed ^ mixed>>33) * 0xc4ceb9fe1a85ec53
	mixed ^= mixed >> 33
	return float64(mixed>>11) / (1 << 53)
}
