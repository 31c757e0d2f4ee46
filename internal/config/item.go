// Package config holds the operator's configuration as items that are versioned and
// merged one by one, and compiles them into a routing table.
package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"
	"strconv"

	"github.com/juju/errors"
)

// Version is the version of an item, written as r12.
type Version uint64

// UnmarshalText reads a version such as r12.
func (v *Version) UnmarshalText(text []byte) error {
	if len(text) < 2 || text[0] != 'r' {
		return errors.NotValidf("version %q", text)
	}
	number, err := strconv.ParseUint(string(text[1:]), 10, 64)
	if err != nil {
		return errors.NotValidf("version %q", text)
	}
	*v = Version(number)
	return nil
}

// MarshalText writes a version such as r12.
func (v Version) MarshalText() ([]byte, error) {
	return []byte("r" + strconv.FormatUint(uint64(v), 10)), nil
}

// Class is the kind of an item.
type Class uint8

// The classes of items.
const (
	RouteItem Class = iota + 1
	ServiceItem
	LimitsItem
	// SiteItem is a site of the site hierarchy. Sites, plans and mirrors are extensions
	// with requests of their own: the configuration protocol does not cover them.
	SiteItem
	// PlanItem is the operator's plan of load shedding tiers; MirrorItem copies traffic to
	// a shadow service.
	PlanItem
	MirrorItem
)

// ID identifies an item.
type ID struct {
	Class Class  `cbor:"1,keyasint"`
	Name  string `cbor:"2,keyasint,omitempty"`
}

// Item is one version of an item as the operator sent it. A removed item stays as a
// tombstone, so that an older version cannot reappear.
type Item struct {
	ID      ID              `cbor:"1,keyasint"`
	Version Version         `cbor:"2,keyasint"`
	Removed bool            `cbor:"3,keyasint,omitempty"`
	Host    string          `cbor:"4,keyasint,omitempty"`
	Body    json.RawMessage `cbor:"5,keyasint,omitempty"`
}

func (i Item) contentHash() string {
	sum := sha256.Sum256(append([]byte(i.Host+"\x00"+strconv.FormatBool(i.Removed)+"\x00"), i.Body...))
	return string(sum[:])
}

// fingerprintBytes is the length of the hash prefix that distinguishes two contents of
// one version.
const fingerprintBytes = 16

// Fingerprint is equal for two items exactly if their contents are equal. White space
// and the order of fields in the body do not count.
func (i Item) Fingerprint() string {
	decoder := json.NewDecoder(bytes.NewReader(i.Body))
	decoder.UseNumber()
	var body any
	if decoder.Decode(&body) == nil {
		if text, err := json.Marshal(body); err == nil {
			i.Body = text
		}
	}
	return hex.EncodeToString([]byte(i.contentHash())[:fingerprintBytes])
}

// Supersedes reports whether the item replaces the other: the higher version wins. Of
// two concurrent updates with the same version, the one with the greater content hash
// wins, so that all replicas converge.
func (i Item) Supersedes(other Item) bool {
	if i.Version != other.Version {
		return i.Version > other.Version
	}
	return i.contentHash() > other.contentHash()
}

// ItemSet is a set of items by ID. It has a single owner; readers take a Clone.
type ItemSet map[ID]Item

// Merge adds the items that supersede the present ones and returns them.
func (s ItemSet) Merge(items []Item) (changed []Item) {
	for _, item := range items {
		held, found := s[item.ID]
		if !found || item.Supersedes(held) {
			s[item.ID] = item
			changed = append(changed, item)
		}
	}
	return changed
}

// Newer returns the items whose version is above the present one: only these items of a
// request have an effect.
func (s ItemSet) Newer(items []Item) (newer []Item) {
	for _, item := range items {
		if held, found := s[item.ID]; !found || item.Version > held.Version {
			newer = append(newer, item)
		}
	}
	return newer
}

// Clone returns a copy of the set.
func (s ItemSet) Clone() ItemSet {
	out := make(ItemSet, len(s))
	for id, item := range s {
		out[id] = item
	}
	return out
}

// Items returns the items ordered by class and name.
func (s ItemSet) Items() []Item {
	out := make([]Item, 0, len(s))
	for _, item := range s {
		out = append(out, item)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i].ID, out[j].ID
		return a.Class < b.Class || a.Class == b.Class && a.Name < b.Name
	})
	return out
}

// Digest is equal for two sets exactly if they hold the same items.
func (s ItemSet) Digest() string {
	hash := sha256.New()
	for _, item := range s.Items() {
		hash.Write([]byte(strconv.Itoa(int(item.ID.Class)) + item.ID.Name + "\x00" + strconv.FormatUint(uint64(item.Version), 10)))
		hash.Write([]byte(item.contentHash()))
	}
	return hex.EncodeToString(hash.Sum(nil)[:16])
}
