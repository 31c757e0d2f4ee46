package simulation

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"ploverhitch/internal/config"
	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/membership"
)

// Kind tells what a violation breaks.
type Kind string

// The kinds of violations. Liveness is not reported of runs without a guard.
const (
	Agreement       Kind = "agreement"
	Content         Kind = "one content a version"
	Durability      Kind = "acknowledged is kept"
	Validity        Kind = "valid set"
	ViewAgreement   Kind = "view agreement"
	KeyedOnce       Kind = "key runs once"
	Linearizability Kind = "linearizability"
	Liveness        Kind = "liveness"
)

// Violation is a broken invariant, with the moment and the run.
type Violation struct {
	Kind   Kind
	At     Time
	Run    Options
	Detail string
}

// Error tells all of it.
//
// Example:
//
//	fmt.Println(result.Violation.Error())
func (v *Violation) Error() string {
	return fmt.Sprintf("%s: %s broken at %v: %s", v.Run, v.Kind, v.At, v.Detail)
}

// versionOf names one version of one item.
type versionOf struct {
	id      config.ID
	version config.Version
}

// checks hold what must be the same everywhere and for ever.
type checks struct {
	world    *world
	err      *Violation
	first    membership.View
	newest   membership.View
	views    map[membership.Epoch]string
	sets     map[registry.Index]uint64
	highest  registry.Index
	contents map[versionOf]string
	runs     map[string]string
	lost     map[string]bool
}

func newChecks(w *world) *checks {
	return &checks{
		world: w, views: map[membership.Epoch]string{}, sets: map[registry.Index]uint64{},
		contents: map[versionOf]string{}, runs: map[string]string{}, lost: map[string]bool{},
	}
}

func (c *checks) fail(kind Kind, format string, values ...any) {
	if c.err == nil {
		c.err = &Violation{Kind: kind, At: c.world.Now, Run: c.world.options, Detail: fmt.Sprintf(format, values...)}
	}
}

// wholeSet is more than any set of a run takes.
const wholeSet = 1 << 30

// learned looks at a set that has just become a member's: of one index there is
// one set, with one history, and it is valid.
func (c *checks) learned(m *member) {
	index := m.replica.Index
	text, err := cbor.Marshal(m.replica.PageAfter(nil, wholeSet))
	if err != nil {
		panic(err)
	}
	digest := xxhash.Sum64(text)
	known, isKnown := c.sets[index]
	if isKnown && known != digest {
		c.fail(Agreement, "%s has another set of index %d", m.name, index)
	}
	c.sets[index] = digest
	c.highest = max(c.highest, index)
	if checkRoutes(m.replica.Items, nil, nil) != nil {
		c.fail(Validity, "%s holds an invalid set of index %d", m.name, index)
	}
}

// answered looks at an answer to an operator.
func (c *checks) answered(items []config.Item, verdict Verdict) {
	if verdict != Acknowledged {
		return
	}
	for _, item := range items {
		key := versionOf{item.ID, item.Version}
		known, isKnown := c.contents[key]
		if isKnown && known != item.Fingerprint() {
			c.fail(Content, "two contents of %s r%d were acknowledged", item.ID.Name, item.Version)
		}
		c.contents[key] = item.Fingerprint()
	}
}

// adopted looks at a view that a member goes over to.
func (c *checks) adopted(view membership.View) {
	text := fmt.Sprint(view.Members)
	known, isKnown := c.views[view.Epoch]
	if isKnown && known != text {
		c.fail(ViewAgreement, "epoch %d is %s and %s", view.Epoch, known, text)
	}
	c.views[view.Epoch] = text
	if view.Epoch > c.newest.Epoch {
		c.newest = view
	}
	if c.first.Epoch == 0 {
		c.first = view
	}
}

// ran notes the run of a keyed operation.
func (c *checks) ran(key, attempt string) {
	if earlier, hasRun := c.runs[key]; hasRun {
		c.fail(KeyedOnce, "%s was run by %s and by %s", key, earlier, attempt)
	}
	c.runs[key] = attempt
}

func (c *checks) wiped(m *member)   { c.lost[m.name] = true }
func (c *checks) rebuilt(m *member) { c.lost[m.name] = false }

// mayLose tells whether a member's disk, or its place in the view, may go with
// all losses still within the tolerance.
func (c *checks) mayLose(m *member) bool {
	lost := 1
	for _, name := range c.newest.Members {
		other := c.world.members[name]
		if other != m && (c.lost[name] || !other.isTrusted || other.view.Epoch != c.newest.Epoch) {
			lost++
		}
	}
	return lost <= len(c.newest.Members)-c.newest.Majority()
}

// finish checks, after the calm at the end, that all members came to the same,
// and the history.
func (c *checks) finish() {
	for _, name := range c.newest.Members {
		m := c.world.members[name]
		if !m.isTrusted || m.replica.Index != c.highest {
			c.fail(Liveness, "%s is trusted: %v, at index %d of %d", name, m.isTrusted, m.replica.Index, c.highest)
		}
	}
	c.checkDurability()
	if c.world.options.IsDense {
		return
	}
	if !c.world.history.hasFinalReads() {
		c.fail(Liveness, "a reading in the calm was not answered")
	}
	if detail := c.world.history.check(); detail != "" {
		c.err = nil
		c.fail(Linearizability, "%s", detail)
	}
}

// checkDurability looks for every acknowledged version in the members' sets:
// offered another content, each must know that it was accepted.
func (c *checks) checkDurability() {
	for _, name := range c.newest.Members {
		m := c.world.members[name]
		for key := range c.contents {
			other := config.Item{ID: key.id, Version: key.version, Removed: true}
			var conflict *registry.ConflictError
			if m.isTrusted && !errors.As(m.replica.Draft(checkRoutes).Add([]config.Item{other}), &conflict) {
				c.fail(Durability, "%s does not know of %s r%d", name, key.id.Name, key.version)
			}
		}
	}
}
