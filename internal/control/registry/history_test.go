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

func itemOf(version config.Version, content string) config.Item {
	body, err := json.Marshal(content)
	Expect(err).NotTo(HaveOccurred())
	return config.Item{ID: config.ID{Class: config.RouteItem, Name: "route"}, Version: version, Body: body}
}

func acceptAll(config.ItemSet, []config.Item, []config.Item) error { return nil }

// submit has the replica take an order as the next change.
func submit(replica *registry.Replica, items ...config.Item) error {
	draft := replica.Draft(acceptAll)
	if err := draft.Add(items); err != nil {
		return err
	}
	if change, isAny := draft.Change(); isAny {
		replica.Learn(change)
	}
	return nil
}

// historyOf is all that a set remembers.
func historyOf(set *registry.Set) string { return fmt.Sprint(set.PageAfter(nil, 1<<20).History) }

var _ = Describe("accepted versions", func() {
	It("refuses another content under a version that was acknowledged with no effect", func() {
		replica := registry.NewReplica()
		Expect(submit(replica, itemOf(7, "seven"))).To(Succeed())
		Expect(submit(replica, itemOf(5, "five"))).To(Succeed())
		Expect(replica.Items[itemOf(7, "").ID].Version).To(Equal(config.Version(7)))
		err := submit(replica, itemOf(5, "other"))
		var conflict *registry.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue(), "%v", err)
		Expect(submit(replica, itemOf(5, "five"))).To(Succeed())
		Expect(replica.Index).To(Equal(registry.Index(2)))
	})

	It("takes a version below all that is remembered without effect, however often", func() {
		replica := registry.NewReplica()
		for version := config.Version(2); version <= 10; version++ {
			Expect(submit(replica, itemOf(version, "any"))).To(Succeed())
		}
		before := replica.Index
		Expect(submit(replica, itemOf(1, "old"))).To(Succeed())
		Expect(submit(replica, itemOf(2, "any"))).To(Succeed())
		Expect(replica.Index).To(Equal(before))
	})

	It("remembers the same after pages that were read while changes went on", func() {
		source := registry.NewReplica()
		first := config.Item{ID: config.ID{Class: config.RouteItem, Name: "a"}, Version: 1}
		Expect(submit(source, first)).To(Succeed())
		Expect(submit(source, itemOf(1, "any"))).To(Succeed())
		var assembly registry.Assembly
		page := source.PageAfter(nil, 1)
		Expect(page.IsLast).To(BeFalse())
		assembly.Add(page)
		began := page.Index
		for version := config.Version(2); version <= 12; version++ {
			Expect(submit(source, itemOf(version, "any"))).To(Succeed())
		}
		assembly.Add(source.PageAfter(page.After(), 1<<20))
		changes, _, _ := source.Since(began, 1<<20)
		set, isWhole := assembly.Finish(changes)
		Expect(isWhole).To(BeTrue())
		Expect(historyOf(set)).To(Equal(historyOf(source.Set)))
	})

	It("remembers the same after the first numbered change, whatever an older build left", func() {
		one, other := itemOf(3, "one"), itemOf(3, "other")
		left, right := registry.NewReplica(), registry.NewReplica()
		left.MergeLegacy([]config.Item{one})
		right.MergeLegacy([]config.Item{other})
		set, _ := registry.Genesis([]config.Item{one, other})
		change, isAny := set.First(set.Draft(acceptAll))
		Expect(isAny).To(BeTrue())
		left.Learn(change)
		right.Learn(change)
		Expect(historyOf(left.Set)).To(Equal(historyOf(right.Set)))
		inForce := left.Items[one.ID]
		Expect(submit(left, inForce)).To(Succeed())
		Expect(submit(right, inForce)).To(Succeed())
	})
})

var _ = Describe("pages of a replica that loses its disk between two of them", func() {
	It("are never taken for a whole set", func() {
		source := registry.NewReplica()
		for _, name := range []string{"a", "b", "c"} {
			Expect(submit(source, config.Item{ID: config.ID{Class: config.RouteItem, Name: name}, Version: 1})).To(Succeed())
		}
		var assembly registry.Assembly
		page := source.PageAfter(nil, 1)
		assembly.Add(page)
		wiped := registry.NewReplica()
		page = wiped.PageAfter(page.After(), 1)
		Expect(page.IsLast).To(BeTrue())
		assembly.Add(page)
		changes, _, _ := wiped.Since(source.Index, 1<<20)
		_, isWhole := assembly.Finish(changes)
		Expect(isWhole).To(BeFalse())
	})
})

// eager are peers that promise everything and note what is proposed.
type eager struct{ proposed []registry.Accept }

func (e *eager) Prepare(registry.Prepare) []registry.Promise {
	return []registry.Promise{{OK: true, Member: "a"}, {OK: true, Member: "b"}}
}

func (e *eager) Accept(accept registry.Accept) []registry.Acceptance {
	e.proposed = append(e.proposed, accept)
	return []registry.Acceptance{{OK: true}, {OK: true}}
}

var _ = Describe("a round whose proposer learns the change of its number meanwhile", func() {
	It("proposes nothing for the next number, for which nobody promised", func() {
		peers, replica := &eager{}, registry.NewReplica()
		draft := func([]config.Item) (registry.Change, bool) {
			Expect(submit(replica, itemOf(1, "learned"))).To(Succeed())
			draft := replica.Draft(acceptAll)
			Expect(draft.Add([]config.Item{itemOf(2, "ours")})).To(Succeed())
			return draft.Change()
		}
		outcome := registry.Round{Index: 1, Majority: 2, Draft: draft}.Run(peers)
		Expect(peers.proposed).To(BeEmpty())
		Expect(outcome.Decided).To(BeNil())
		Expect(outcome.IsQuiet).To(BeFalse())
	})
})
