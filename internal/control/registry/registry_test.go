package registry_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/config"
	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/membership"
)

func TestRegistry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "registry")
}

var _ = Describe("a proposal", func() {
	var set *registry.Set
	var replica *registry.Replica
	submitItems := func(items ...config.Item) error {
		draft := set.Draft(check)
		err := draft.Add(items)
		if change, ok := draft.Change(); ok && err == nil {
			Expect(replica.Learn(change)).To(BeTrue())
		}
		return err
	}
	BeforeEach(func() {
		replica = registry.NewReplica()
		set = replica.Set
		Expect(submitItems(service("s", 1), service("t", 1), route("a", 5, "/a/", "s"))).To(Succeed())
	})

	It("conflicts if its version was accepted with different content, and is a repeat with the same", func() {
		err := submitItems(route("a", 5, "/a/", "t"))
		var conflict *registry.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(conflict.ID.Name).To(Equal("a"))
		Expect(conflict.Version).To(BeEquivalentTo(5))
		Expect(err.Error()).To(And(ContainSubstring("item a"), ContainSubstring("r5"), ContainSubstring(conflict.Accepted), ContainSubstring(conflict.Offered)))
		Expect(conflict.Accepted).NotTo(Equal(conflict.Offered))
		Expect(errors.As(submitItems(route("a", 5, "/a/", "nobody")), &conflict)).To(BeFalse(), "validation errors precede conflicts")
		index := set.Index
		Expect(submitItems(route("a", 5, "/a/", "s"))).To(Succeed())
		Expect(set.Index).To(Equal(index), "a repeat has no effect")
	})

	It("is recognized as a repeat after newer versions, even if it would no longer be valid", func() {
		Expect(submitItems(route("a", 7, "/a/", "t"))).To(Succeed())
		Expect(submitItems(config.Item{ID: config.ID{Class: config.ServiceItem, Name: "s"}, Version: 9, Removed: true})).To(Succeed())
		Expect(submitItems(route("a", 5, "/a/", "s"))).To(Succeed(), "it was accepted before its service was removed")
		Expect(string(set.Items[config.ID{Class: config.RouteItem, Name: "a"}].Body)).To(ContainSubstring("r7"))
		Expect(submitItems(route("a", 5, "/a/", "t"))).To(MatchError(ContainSubstring("r5")), "different content under the superseded version")
	})

	It("has no effect under an older version that was never accepted", func() {
		Expect(submitItems(route("a", 3, "/a/", "s"))).To(Succeed())
		Expect(set.Items[config.ID{Class: config.RouteItem, Name: "a"}].Version).To(BeEquivalentTo(5))
	})

	It("has no effect if a part of it is rejected", func() {
		before := set.Items.Digest()
		Expect(submitItems(route("b", 1, "/b/", "s"), route("a", 5, "/a/", "t"))).NotTo(Succeed())
		Expect(submitItems(route("b", 1, "/b/", "s"), route("c", 1, "/a/", "s"))).To(MatchError(ContainSubstring("share host and prefix")))
		Expect(submitItems(route("b", 1, "/b/", "s"), route("b", 1, "/b/", "t"))).NotTo(Succeed(), "one version with two contents in one proposal")
		Expect(set.Items.Digest()).To(Equal(before))
	})

	It("is validated against the proposals before it in the same change", func() {
		draft := set.Draft(check)
		Expect(draft.Add([]config.Item{route("b", 1, "/b/", "s")})).To(Succeed())
		Expect(draft.Add([]config.Item{route("c", 1, "/b/", "s")})).To(MatchError(ContainSubstring("share host and prefix")))
		Expect(draft.Add([]config.Item{route("b", 1, "/b/", "t")})).NotTo(Succeed())
		Expect(draft.Add([]config.Item{route("b", 4, "/b/", "t")})).To(Succeed())
		Expect(draft.Add([]config.Item{route("b", 1, "/b/", "s")})).To(Succeed(), "accepted and superseded in the same change")
		change, _ := draft.Change()
		Expect(replica.Learn(change)).To(BeTrue())
		Expect(submitItems(route("b", 1, "/b/", "t"))).NotTo(Succeed(), "a version superseded within a change is recorded")
	})

	It("ignores differences in white space and in the order of fields", func() {
		item := route("a", 5, "/a/", "s")
		item.Body = []byte(`{ "Revision":"r5", "Name":"a","PathPrefix":"/a/","Timeout":"1s","RouteType":"safe","Service":"s"}`)
		Expect(submitItems(item)).To(Succeed())
	})
})

var _ = Describe("a round", func() {
	It("decides one change per index, and a later proposer completes an earlier proposer's change", func() {
		c := newCluster("a", "b", "c")
		_, err := c.propose("a", membership.Ballot{Round: 1, Node: "a#1"}, service("s", 1))
		Expect(err).NotTo(HaveOccurred())
		// Only c accepts the change; the proposer fails before another replica does.
		unfinished := registry.Change{Index: 2, Items: []config.Item{route("x", 1, "/x/", "s")}}
		_, _ = c.replicas["c"].Promise(registry.Prepare{Index: 2, Ballot: membership.Ballot{Round: 2, Node: "a#1"}})
		acceptance, changed := c.replicas["c"].Accept("c", registry.Accept{Ballot: membership.Ballot{Round: 2, Node: "a#1"}, Change: unfinished})
		Expect(acceptance.OK && changed).To(BeTrue())
		c.unreachable["a"] = true
		outcome, _ := c.propose("b", membership.Ballot{Round: 3, Node: "b#1"}, route("y", 1, "/x/", "s"))
		Expect(outcome.Decided.Items[0].ID.Name).To(Equal("x"))
		_, err = c.propose("b", membership.Ballot{Round: 4, Node: "b#1"}, route("y", 1, "/x/", "s"))
		Expect(err).To(MatchError(ContainSubstring("share host and prefix")))
		// Delayed messages of the old proposer have no effect.
		late, _ := c.replicas["b"].Accept("b", registry.Accept{Ballot: membership.Ballot{Round: 1, Node: "a#1"}, Change: registry.Change{Index: 2}})
		Expect(late.OK).To(BeFalse())
	})

	It("decides nothing without a majority", func() {
		c := newCluster("a", "b", "c")
		c.unreachable["b"], c.unreachable["c"] = true, true
		outcome, _ := c.propose("a", membership.Ballot{Round: 1, Node: "a#1"}, service("s", 1))
		Expect(outcome.Decided).To(BeNil())
		Expect(outcome.NothingToPropose).To(BeFalse())
		Expect(outcome.Responses).To(Equal(1))
	})

	It("is preempted only by a replica that promised a higher ballot or knows the decision", func() {
		c := newCluster("a", "b", "c")
		low, high := membership.Ballot{Round: 1, Node: "a#1"}, membership.Ballot{Round: 9, Node: "b#1"}
		prepare := registry.Prepare{Index: 1, Ballot: low}
		_, _ = c.replicas["b"].Promise(registry.Prepare{Index: 1, Ballot: high})
		refused, _ := c.replicas["b"].Promise(prepare)
		granted, _ := c.replicas["c"].Promise(prepare)
		Expect([]bool{refused.Preempted(prepare), granted.Preempted(prepare)}).To(Equal([]bool{true, false}))
		accept := registry.Accept{Ballot: low, Change: registry.Change{Index: 1}}
		acceptance, _ := c.replicas["b"].Accept("b", accept)
		Expect(acceptance.Preempted(accept)).To(BeTrue())
		Expect(c.replicas["c"].Learn(registry.Change{Index: 1})).To(BeTrue())
		informed, _ := c.replicas["c"].Promise(prepare)
		behind, _ := c.replicas["a"].Promise(registry.Prepare{Index: 2, Ballot: low})
		Expect([]bool{informed.Preempted(prepare), behind.Preempted(registry.Prepare{Index: 2, Ballot: low})}).To(Equal([]bool{true, false}))
	})

	It("is not accepted by a replica that has lost its promise since", func() {
		c := newCluster("a", "b", "c")
		ballot := membership.Ballot{Round: 1, Node: "a#1"}
		promise, _ := c.replicas["b"].Promise(registry.Prepare{Index: 1, Ballot: ballot})
		accept := registry.Accept{Ballot: ballot, Change: registry.Change{Index: 1}, Incarnations: map[string]uint64{"b": promise.Incarnation}}
		c.replicas["b"] = registry.NewReplica()
		Expect(c.replicas["b"].Rebuild([]registry.State{c.replicas["a"].State(), c.replicas["c"].State()}, 7)).To(BeTrue())
		acceptance, _ := c.replicas["b"].Accept("b", accept)
		Expect(acceptance.OK).To(BeFalse())
	})
})

var _ = Describe("a replica that was unreachable", func() {
	It("catches up to the same set by changes or by pages during further changes", func() {
		random := rand.New(rand.NewPCG(1, 2))
		source := registry.NewReplica()
		applyRandomChange := func() {
			name := fmt.Sprint("r", random.IntN(300))
			current := source.Items[config.ID{Class: config.RouteItem, Name: name}]
			item := route(name, current.Version+1, "/"+name+"/", "s")
			if random.IntN(9) == 0 {
				item = removal(name, current.Version+1)
			}
			Expect(source.Learn(registry.Change{Index: source.Next(), Items: []config.Item{item}})).To(BeTrue())
		}
		for range 5000 {
			applyRandomChange()
		}
		changes, retained, smaller := source.Since(source.Index-100, 1<<30)
		Expect(retained && smaller).To(BeTrue())
		Expect(changes).To(HaveLen(100))
		limited, _, _ := source.Since(source.Index-100, 2000)
		Expect(limited).To(Equal(changes[:len(limited)]))
		_, retained, smaller = source.Since(source.Index-500, 1<<30)
		Expect(retained).To(BeTrue())
		Expect(smaller).To(BeFalse(), "500 changes are larger than the set")
		_, retained, _ = source.Since(0, 1<<30)
		Expect(retained).To(BeFalse(), "retained changes are bounded")

		assembly, after, pages := registry.Assembly{}, (*config.ID)(nil), 0
		first := source.Index
		for {
			page := source.PageAfter(after, 4000)
			assembly.Add(page)
			pages++
			applyRandomChange()
			if after = page.After(); page.Last {
				break
			}
		}
		Expect(pages).To(BeNumerically(">", 5))
		missed, _, _ := source.Since(first, 1<<30)
		_, complete := assembly.Finish(missed[:len(missed)-2])
		Expect(complete).To(BeFalse(), "all changes applied while the pages were read are required")
		set, finished := assembly.Finish(missed)
		Expect(finished).To(BeTrue())
		copied := registry.NewReplica()
		Expect(copied.Install(set)).To(BeTrue())
		Expect(copied.Index).To(Equal(source.Index))
		Expect(copied.Items.Digest()).To(Equal(source.Items.Digest()))
		Expect(copied.Install(registry.NewSet())).To(BeFalse(), "an older set is ignored")
	})

	It("merges what a majority promised and accepted, and cannot be rebuilt while it lags", func() {
		c := newCluster("a", "b", "c")
		change := registry.Change{Index: 1, Items: []config.Item{service("s", 1)}}
		ballot := membership.Ballot{Round: 4, Node: "a#1"}
		for _, name := range []string{"a", "b"} {
			_, _ = c.replicas[name].Promise(registry.Prepare{Index: 1, Ballot: ballot})
			_, _ = c.replicas[name].Accept(name, registry.Accept{Ballot: ballot, Change: change})
		}
		rebuilt := registry.NewReplica()
		Expect(rebuilt.Rebuild([]registry.State{c.replicas["a"].State(), c.replicas["c"].State()}, 3)).To(BeTrue())
		Expect(rebuilt.Acceptor.Change.Items).To(Equal(change.Items))
		Expect(c.replicas["a"].Learn(change)).To(BeTrue())
		Expect(registry.NewReplica().Rebuild([]registry.State{c.replicas["a"].State(), c.replicas["c"].State()}, 3)).To(BeFalse())
	})
})

var _ = Describe("the set stored by an older build", func() {
	It("gets the present names of the fields that older builds named differently", func() {
		former := route("a", 2, "/x/", "s")
		present := former
		former.Body = bytes.ReplaceAll(former.Body, []byte("RouteType"), []byte("LaneType"))
		plan := config.Item{ID: config.ID{Class: config.PlanItem, Name: "p"}, Version: 1, Body: []byte(`{"Name":"p","Tiers":[{"Lanes":["a"],"Order":1}]}`)}
		set, _ := registry.MigrateLegacy([]config.Item{former, plan})
		Expect(set.Items[former.ID].Fingerprint()).To(Equal(present.Fingerprint()))
		Expect(string(set.Items[plan.ID].Body)).To(MatchJSON(`{"Name":"p","Tiers":[{"Routes":["a"],"Order":1}]}`))
	})

	It("becomes the first change, complete and valid", func() {
		legacy := []config.Item{service("s", 1), route("a", 2, "/x/", "s"), route("b", 3, "/x/", "s"), route("c", 3, "/c/", "s"), route("c", 1, "/old/", "s")}
		set, dropped := registry.MigrateLegacy(legacy)
		Expect(dropped).To(Equal([]string{"a"}), "the higher version keeps host and prefix")
		Expect(set.Items.Check()).To(Succeed())
		draft := set.Draft(check)
		Expect(draft.Add([]config.Item{route("d", 1, "/d/", "s")})).To(Succeed())
		change, ok := set.InitialChange(draft)
		Expect(ok && change.ReplacesAll).To(BeTrue())
		replica := registry.NewReplica()
		replica.MergeLegacy([]config.Item{route("stray", 1, "/stray/", "s")})
		Expect(replica.Learn(change)).To(BeTrue())
		Expect(replica.Items).NotTo(HaveKey(config.ID{Class: config.RouteItem, Name: "stray"}))
		Expect(replica.Items).To(HaveLen(5))
	})
})
