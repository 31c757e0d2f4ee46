// Package config holds the operator's configuration: named items, each with
// a version of its own, merged item by item.
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

// Version is an item's version; r12 on the wire.
type Version uint64

// UnmarshalText reads r12.
//
// Example:
//
//	err := version.UnmarshalText([]byte("r12"))
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

// MarshalText writes r12.
//
// Example:
//
//	text, err := config.Version(12).MarshalText() // "r12"
func (v Version) MarshalText() ([]byte, error) {
	return []byte("r" + strconv.FormatUint(uint64(v), 10)), nil
}

// Class tells the kinds of item apart.
type Class uint8

// The classes of items.
const (
	RouteItem Class = iota + 1
	ServiceItem
	LimitsItem
	// SiteItem is a site of the hierarchy, which the protocol's own calls do
	// not know of.
	SiteItem
	// PlanItem is the operator's plan tiers, MirrorItem an order to copy
	// conversations to a shadow; the protocol's calls do not know of them either.
	PlanItem
	MirrorItem
)

// ID names one item among all.
type ID struct {
	Class Class  `cbor:"1,keyasint"`
	Name  string `cbor:"2,keyasint,omitempty"`
}

// Item is one version of one item, as the operator sent it. A dropped item
// stays as a mark, so that an older version of it cannot come back.
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

// fingerprintBytes is how much of the content's hash tells two contents of one
// version apart.
const fingerprintBytes = 16

// Fingerprint is the same for two items exactly if they have the same content;
// white space and the order of fields in the body do not count.
//
// Example:
//
//	isRepeat := sent.Fingerprint() == held.Fingerprint()
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

// Outranks tells whether the item holds against the other: the higher version
// does; of two that raced under one version, the one whose content's hash is
// the greater, so that every copy comes to the same.
//
// Example:
//
//	if incoming.Outranks(held) { book[id] = incoming }
func (i Item) Supersedes(other Item) bool {
	if i.Version != other.Version {
		return i.Version > other.Version
	}
	return i.contentHash() > other.contentHash()
}

// Book is a copy of all items. It has one owner; readers take a Clone.
type ItemSet map[ID]Item

// Merge takes the items that outrank what is held and returns them.
//
// Example:
//
//	news := book.Merge(items)
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

// Newer returns the items whose version is above the held one: of a call, these
// alone have an effect.
//
// Example:
//
//	changes := book.Newer(call.Items)
func (s ItemSet) Newer(items []Item) (newer []Item) {
	for _, item := range items {
		if held, found := s[item.ID]; !found || item.Version > held.Version {
			newer = append(newer, item)
		}
	}
	return newer
}

// Clone copies the book.
//
// Example:
//
//	trial := book.Clone()
func (s ItemSet) Clone() ItemSet {
	out := make(ItemSet, len(s))
	for id, item := range s {
		out[id] = item
	}
	return out
}

// Items lists the book in a settled order.
//
// Example:
//
//	for _, item := range book.Items() { send(item) }
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

// Digest is the same for two books exactly if they hold the same items.
//
// Example:
//
//	isSame := ours.Digest() == theirs
func (s ItemSet) Digest() string {
	hash := sha256.New()
	for _, item := range s.Items() {
		hash.Write([]byte(strconv.Itoa(int(item.ID.Class)) + item.ID.Name + "\x00" + strconv.FormatUint(uint64(item.Version), 10)))
		hash.Write([]byte(item.contentHash()))
	}
	return hex.EncodeToString(hash.Sum(nil)[:16])
}
