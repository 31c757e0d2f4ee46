package registry_test

import (
	"encoding/json"
	"errors"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/config"
	"ploverhitch/internal/control/registry"
)

func newItem(version config.Version, content string) config.Item {
	body, err := json.Marshal(content)
	Expect(err).NotTo(HaveOccurred())
	return config.Item{ID: config.ID{Class: config.RouteItem, Name: "route"}, Version: version, Body: body}
}

func acceptAll(config.ItemSet, []config.Item, []config.Item) error { return nil }

// submit applies a proposal to the replica as its next change.
func submit(replica *registry.Replica, items ...config.Item) error {
	draft := replica.Draft(acceptAll)
	if err := draft.Add(items); err != nil {
		return err
	}
	if change, ok := draft.Change(); ok {
		replica.Learn(change)
	}
	return nil
}

// historyOf returns all accepted versions that a set records, as a string.
func historyOf(set *registry.Set) string { return fmt.Sprint(set.PageAfter(nil, 1<<20).History) }

var _ = Describe("accepted versions", func() {
	It("rejects different content under a version that was acknowledged without effect", func() {
		replica := registry.NewReplica()
		Expect(submit(replica, newItem(7, "seven"))).To(Succeed())
		Expect(submit(replica, newItem(5, "five"))).To(Succeed())
		Expect(replica.Items[newItem(7, "").ID].Version).To(Equal(config.Version(7)))
		err := submit(replica, newItem(5, "other"))
		var conflict *registry.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue(), "%v", err)
		Expect(submit(replica, newItem(5, "five"))).To(Succeed())
		Expect(replica.Index).To(Equal(registry.Index(2)))
	})

	It("accepts a version below the recorded history repeatedly, without effect", func() {
		replica := registry.NewReplica()
		for version := config.Version(2); version <= 10; version++ {
			Expect(submit(replica, newItem(version, "any"))).To(Succeed())
		}
		before := replica.Index
		Expect(submit(replica, newItem(1, "old"))).To(Succeed())
		Expect(submit(replica, newItem(2, "any"))).To(Succeed())
		Expect(replica.Index).To(Equal(before))
	})

	It("records the same history after catching up by pages during further changes", func() {
		source := registry.NewReplica()
		first := config.Item{ID: config.ID{Class: config.RouteItem, Name: "a"}, Version: 1}
		Expect(submit(source, first)).To(Succeed())
		Expect(submit(source, newItem(1, "any"))).To(Succeed())
		var assembly registry.Assembly
		page := source.PageAfter(nil, 1)
		Expect(page.Last).To(BeFalse())
		assembly.Add(page)
		firstIndex := page.Index
		for version := config.Version(2); version <= 12; version++ {
			Expect(submit(source, newItem(version, "any"))).To(Succeed())
		}
		assembly.Add(source.PageAfter(page.After(), 1<<20))
		changes, _, _ := source.Since(firstIndex, 1<<20)
		set, complete := assembly.Finish(changes)
		Expect(complete).To(BeTrue())
		Expect(historyOf(set)).To(Equal(historyOf(source.Set)))
	})

	It("records the same history after the first numbered change, whatever an older build stored", func() {
		one, other := newItem(3, "one"), newItem(3, "other")
		left, right := registry.NewReplica(), registry.NewReplica()
		left.MergeLegacy([]config.Item{one})
		right.MergeLegacy([]config.Item{other})
		set, _ := registry.MigrateLegacy([]config.Item{one, other})
		change, ok := set.InitialChange(set.Draft(acceptAll))
		Expect(ok).To(BeTrue())
		left.Learn(change)
		right.Learn(change)
		Expect(historyOf(left.Set)).To(Equal(historyOf(right.Set)))
		inForce := left.Items[one.ID]
		Expect(submit(left, inForce)).To(Succeed())
		Expect(submit(right, inForce)).To(Succeed())
	})
})

var _ = Describe("pages of a replica that loses its disk between two of them", func() {
	It("are never accepted as a complete set", func() {
		source := registry.NewReplica()
		for _, name := range []string{"a", "b", "c"} {
			Expect(submit(source, config.Item{ID: config.ID{Class: config.RouteItem, Name: name}, Version: 1})).To(Succeed())
		}
		var assembly registry.Assembly
		page := source.PageAfter(nil, 1)
		assembly.Add(page)
		rebuilt := registry.NewReplica()
		page = rebuilt.PageAfter(page.After(), 1)
		Expect(page.Last).To(BeTrue())
		assembly.Add(page)
		changes, _, _ := rebuilt.Since(source.Index, 1<<20)
		_, complete := assembly.Finish(changes)
		Expect(complete).To(BeFalse())
	})
})

// promisingPeers promise every ballot and record what is proposed.
type promisingPeers struct{ proposed []registry.Accept }

func (e *promisingPeers) Prepare(registry.Prepare) []registry.Promise {
	return []registry.Promise{{OK: true, Member: "a"}, {OK: true, Member: "b"}}
}

func (e *promisingPeers) Accept(accept registry.Accept) []registry.Acceptance {
	e.proposed = append(e.proposed, accept)
	return []registry.Acceptance{{OK: true}, {OK: true}}
}

var _ = Describe("a round whose proposer learns the change with its index meanwhile", func() {
	It("proposes nothing for the next index, for which no member promised", func() {
		peers, replica := &promisingPeers{}, registry.NewReplica()
		draft := func([]config.Item) (registry.Change, bool) {
			Expect(submit(replica, newItem(1, "learned"))).To(Succeed())
			draft := replica.Draft(acceptAll)
			Expect(draft.Add([]config.Item{newItem(2, "ours")})).To(Succeed())
			return draft.Change()
		}
		outcome := registry.Round{Index: 1, Majority: 2, Draft: draft}.Run(peers)
		Expect(peers.proposed).To(BeEmpty())
		Expect(outcome.Decided).To(BeNil())
		Expect(outcome.NothingToPropose).To(BeFalse())
	})
})
