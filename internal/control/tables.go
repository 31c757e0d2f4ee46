package control

import (
	"iter"
	"time"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
	"ploverhitch/internal/control/lease"
	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/mirror"
	"ploverhitch/internal/rollout"
)

// record is one change in the log; exactly one field is set.
type record struct {
	Entry    *idempotency.Entry   `cbor:"1,keyasint,omitempty"`
	Items    []config.Item        `cbor:"2,keyasint,omitempty"`
	Acceptor *membership.Acceptor `cbor:"3,keyasint,omitempty"`
	View     *membership.View     `cbor:"4,keyasint,omitempty"`
	Term     *membership.Term     `cbor:"5,keyasint,omitempty"`
	Trusted  *bool                `cbor:"6,keyasint,omitempty"`
	Fleet    *feed.Fleet          `cbor:"7,keyasint,omitempty"`
	Rollout  *rollout.State       `cbor:"8,keyasint,omitempty"`
	// Change is a decided change of the item set, Page is a part of a whole set, and
	// Durable is the registry's acceptor. Items occurs only in logs of older builds.
	Change  *registry.Change       `cbor:"9,keyasint,omitempty"`
	Page    *registry.Page         `cbor:"10,keyasint,omitempty"`
	Durable *registry.DurableState `cbor:"11,keyasint,omitempty"`
}

// tables is the in-memory state of a member. Only the store's loop accesses it.
type tables struct {
	voter *idempotency.Voter
	// registry is this node's replica of the item set; assembly collects the pages of
	// a set that is being read from the disk.
	registry *registry.Replica
	assembly registry.Assembly
	acceptor membership.Acceptor
	view     membership.View
	term     membership.Term
	// grantor tracks this member's promises of the leader lease; it isn't persisted.
	grantor *lease.Grantor
	// fleet is persisted so that the control plane knows the servers at once after a
	// power loss of all its members.
	fleet feed.Fleet
	// fleetReceivedAt is when the fleet was received, 0 if it was read from the disk.
	fleetReceivedAt clock.Instant
	rollouts        map[string]rollout.State
	trusted         bool
	empty           bool
	digest          string
	// compiled is the compiled form of the configuration with the digest compiledDigest.
	// mirrors and versions are the mirroring rules of the configuration with the digest
	// mirrorsDigest.
	compiled       *config.RoutingTable
	compiledDigest string
	mirrors        []mirror.Mirror
	versions       []config.Version
	mirrorsDigest  string
}

func newTables(policy idempotency.Policy) *tables {
	return &tables{voter: idempotency.NewVoter(policy), registry: registry.NewReplica(), rollouts: map[string]rollout.State{}, empty: true}
}

// apply updates the tables with one record, both when it is created and when the log
// is replayed at start.
func (t *tables) apply(r record) {
	t.empty = false
	switch {
	case r.Entry != nil:
		_ = t.voter.Apply(*r.Entry)
	case r.Items != nil:
		t.registry.MergeLegacy(r.Items)
		t.digest = ""
	case r.Acceptor != nil:
		t.acceptor = *r.Acceptor
	case r.View != nil:
		if r.View.Epoch > t.view.Epoch {
			t.view, t.acceptor = *r.View, membership.Acceptor{}
		}
	case r.Term != nil:
		t.term = *r.Term
	case r.Fleet != nil:
		t.fleet = *r.Fleet
	case r.Rollout != nil:
		t.rollouts[r.Rollout.Subject] = *r.Rollout
	case r.Trusted != nil:
		t.trusted = *r.Trusted
	case r.Change != nil:
		t.registry.Learn(*r.Change)
		t.digest = ""
	case r.Page != nil:
		t.addPage(*r.Page)
	case r.Durable != nil:
		t.registry.Restore(*r.Durable)
	}
}

// addPage adds a page of a set, which is installed once its last page has been read.
func (t *tables) addPage(page registry.Page) {
	t.assembly.Add(page)
	if !page.Last {
		return
	}
	if set, complete := t.assembly.Finish(nil); complete {
		t.registry.Install(set)
		t.digest = ""
	}
	t.assembly = registry.Assembly{}
}

// configuration returns the item set; callers must neither modify nor retain it.
func (t *tables) configuration() config.ItemSet { return t.registry.Items }

// fleetFresh reports whether the fleet was received within maxAge; a fleet that was
// read from the disk is not fresh.
func (t *tables) fleetFresh(now clock.Instant, maxAge time.Duration) bool {
	return t.fleetReceivedAt > 0 && time.Duration(now-t.fleetReceivedAt) <= maxAge
}

// compiledConfiguration returns the configuration compiled for lookups. It is compiled
// again only after an item has changed.
func (t *tables) compiledConfiguration() *config.RoutingTable {
	if digest := t.configurationDigest(); t.compiled == nil || t.compiledDigest != digest {
		t.compiled, t.compiledDigest = t.configuration().Compile(), digest
	}
	return t.compiled
}

// currentMirrors returns the mirroring rules. The configuration is searched again only
// after an item has changed.
func (t *tables) currentMirrors() ([]mirror.Mirror, []config.Version) {
	if digest := t.configurationDigest(); t.mirrorsDigest != digest {
		t.mirrors, t.versions = t.configuration().Mirrors()
		t.mirrorsDigest = digest
	}
	return t.mirrors, t.versions
}

func (t *tables) configurationDigest() string {
	if t.digest == "" {
		t.digest = t.configuration().Digest()
	}
	return t.digest
}

// snapshot returns the records from which the present tables can be rebuilt. The
// entries are created one by one during the iteration, which may run concurrently
// with the store.
func (t *tables) snapshot() iter.Seq[record] {
	head, entries := t.headRecords(), t.voter.Snapshot()
	return func(yield func(record) bool) {
		for _, r := range head {
			if !yield(r) {
				return
			}
		}
		for entry := range entries {
			if !yield(record{Entry: &entry}) {
				return
			}
		}
	}
}

// headRecords returns the records of all state except the intents.
func (t *tables) headRecords() (records []record) {
	view, term, acceptor, trusted := t.view, t.term, t.acceptor, t.trusted
	fleet := t.fleet
	records = append(records, record{View: &view}, record{Term: &term}, record{Acceptor: &acceptor}, record{Trusted: &trusted}, record{Fleet: &fleet})
	for page := range t.registry.Pages(pageBytes) {
		records = append(records, record{Page: &page})
	}
	durable := t.registry.DurableState()
	records = append(records, record{Durable: &durable})
	for _, state := range t.rollouts {
		records = append(records, record{Rollout: &state})
	}
	return records
}
