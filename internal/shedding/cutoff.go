package shedding

import (
	"encoding/binary"
	"hash/fnv"
)

// Cutoff says which requests for a service all nodes reject: every tier after Tier,
// and within Tier the requests whose hash is below Fraction. The seed stays the same
// while the overload lasts, so a raised cutoff rejects all that the lower one
// rejected and more, and a lowered one rejects nothing new.
type Cutoff struct {
	Service string `cbor:"1,keyasint" json:"Service"`
	// Number counts the cutoff changes across the terms of all leaders.
	Number   uint64  `cbor:"2,keyasint" json:"Number"`
	Seed     uint64  `cbor:"3,keyasint" json:"Seed"`
	Tier     Tier    `cbor:"4,keyasint" json:"Tier"`
	Fraction float64 `cbor:"5,keyasint" json:"Part"`
}

// Sheds reports whether a request of the tier is rejected. The names identify it:
// tenant and idempotency key, or tenant and client.
func (c Cutoff) Sheds(tier Tier, names ...string) bool {
	return tier > c.Tier || tier == c.Tier && HashFraction(c.Seed, names...) < c.Fraction
}

// Level returns how many of the tiers are rejected, as one number: the count of
// whole tiers plus the fraction of the next one.
func (c Cutoff) Level(tiers int) float64 { return float64(tiers-1-int(c.Tier)) + c.Fraction }

// HashFraction maps the seed and the names to a number in [0, 1) that is the same at
// every node.
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
	// FNV alone gives close values to names that differ only in their last letter.
	mixed := hash.Sum64()
	mixed = (mixed ^ mixed>>33) * 0xff51afd7ed558ccd
	mixed = (mixed ^ mixed>>33) * 0xc4ceb9fe1a85ec53
	mixed ^= mixed >> 33
	return float64(mixed>>11) / (1 << 53)
}
