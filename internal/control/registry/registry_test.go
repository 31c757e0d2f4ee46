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

var _ = Describe("an order", func() {
	var set *registry.Set
	var replica *registry.Replica
	take := func(items ...config.Item) error {
		draft := set.Draft(check)
		err := draft.Add(items)
		if change, isAny := draft.Change(); isAny && err == nil {
			Expect(replica.Learn(change)).To(BeTrue())
		}
		return err
	}
	BeforeEach(func() {
		replica = registry.NewReplica()
		set = replica.Set
		Expect(take(service("s", 1), service("t", 1), route("a", 5, "/a/", "s"))).To(Succeed())
	})

	It("is a conflict under a number with another content, and is known again with the same", func() {
		err := take(route("a", 5, "/a/", "t"))
		var conflict *registry.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(conflict.ID.Name).To(Equal("a"))
		Expect(conflict.Version).To(BeEquivalentTo(5))
		Expect(err.Error()).To(And(ContainSubstring("item a"), ContainSubstring("r5"), ContainSubstring(conflict.Accepted), ContainSubstring(conflict.Offered)))
		Expect(conflict.Accepted).NotTo(Equal(conflict.Offered))
		Expect(errors.As(take(route("a", 5, "/a/", "nobody")), &conflict)).To(BeFalse(), "an invalid order is told what is invalid")
		index := set.Index
		Expect(take(route("a", 5, "/a/", "s"))).To(Succeed())
		Expect(set.Index).To(Equal(index), "a repeat changes nothing")
	})

	It("is known again after newer ones overtook it, even where it could not be made any more", func() {
		Expect(take(route("a", 7, "/a/", "t"))).To(Succeed())
		Expect(take(config.Item{ID: config.ID{Class: config.ServiceItem, Name: "s"}, Version: 9, Dropped: true})).To(Succeed())
		Expect(take(route("a", 5, "/a/", "s"))).To(Succeed(), "its service is gone, yet it was accepted")
		Expect(string(set.Items[config.ID{Class: config.RouteItem, Name: "a"}].Body)).To(ContainSubstring("r7"))
		Expect(take(route("a", 5, "/a/", "t"))).To(MatchError(ContainSubstring("r5")), "another content of the overtaken number")
	})

	It("has no effect under an old number that was never seen", func() {
		Expect(take(route("a", 3, "/a/", "s"))).To(Succeed())
		Expect(set.Items[config.ID{Class: config.RouteItem, Name: "a"}].Version).To(BeEquivalentTo(5))
	})

	It("leaves nothing behind where a part of it does not hold", func() {
		before := set.Items.Digest()
		Expect(take(route("b", 1, "/b/", "s"), route("a", 5, "/a/", "t"))).NotTo(Succeed())
		Expect(take(route("b", 1, "/b/", "s"), route("c", 1, "/a/", "s"))).To(MatchError(ContainSubstring("share host and prefix")))
		Expect(take(route("b", 1, "/b/", "s"), route("b", 1, "/b/", "t"))).NotTo(Succeed(), "one number, two contents in one call")
		Expect(set.Items.Digest()).To(Equal(before))
	})

	It("is checked against the orders before it in the same change", func() {
		draft := set.Draft(check)
		Expect(draft.Add([]config.Item{route("b", 1, "/b/", "s")})).To(Succeed())
		Expect(draft.Add([]config.Item{route("c", 1, "/b/", "s")})).To(MatchError(ContainSubstring("share host and prefix")))
		Expect(draft.Add([]config.Item{route("b", 1, "/b/", "t")})).NotTo(Succeed())
		Expect(draft.Add([]config.Item{route("b", 4, "/b/", "t")})).To(Succeed())
		Expect(draft.Add([]config.Item{route("b", 1, "/b/", "s")})).To(Succeed(), "accepted, and overtaken in the same change")
		change, _ := draft.Change()
		Expect(replica.Learn(change)).To(BeTrue())
		Expect(take(route("b", 1, "/b/", "t"))).NotTo(Succeed(), "what was overtaken within a change is remembered")
	})

	It("does not tell white space and the order of fields apart", func() {
		item := route("a", 5, "/a/", "s")
		item.Body = []byte(`{ "Revision":"r5", "Name":"a","PathPrefix":"/a/","Timeout":"1s","RouteType":"safe","Service":"s"}`)
		Expect(take(item)).To(Succeed())
	})
})

var _ = Describe("a round", func() {
	It("decides one change for a number, and a later proposer finishes an earlier one's", func() {
		c := newCluster("a", "b", "c")
		_, err := c.propose("a", membership.Ballot{Round: 1, Node: "a#1"}, service("s", 1))
		Expect(err).NotTo(HaveOccurred())
		// Only c accepts the change; the proposer is lost before anybody else does.
		lost := registry.Change{Index: 2, Items: []config.Item{route("x", 1, "/x/", "s")}}
		_, _ = c.replicas["c"].Promise(registry.Prepare{Index: 2, Ballot: membership.Ballot{Round: 2, Node: "a#1"}})
		acceptance, isChanged := c.replicas["c"].Accept("c", registry.Accept{Ballot: membership.Ballot{Round: 2, Node: "a#1"}, Change: lost})
		Expect(acceptance.OK && isChanged).To(BeTrue())
		c.away["a"] = true
		outcome, _ := c.propose("b", membership.Ballot{Round: 3, Node: "b#1"}, route("y", 1, "/x/", "s"))
		Expect(outcome.Decided.Items[0].ID.Name).To(Equal("x"))
		_, err = c.propose("b", membership.Ballot{Round: 4, Node: "b#1"}, route("y", 1, "/x/", "s"))
		Expect(err).To(MatchError(ContainSubstring("share host and prefix")))
		// The old proposer's late messages change nothing.
		late, _ := c.replicas["b"].Accept("b", registry.Accept{Ballot: membership.Ballot{Round: 1, Node: "a#1"}, Change: registry.Change{Index: 2}})
		Expect(late.OK).To(BeFalse())
	})

	It("decides nothing without a majority", func() {
		c := newCluster("a", "b", "c")
		c.away["b"], c.away["c"] = true, true
		outcome, _ := c.propose("a", membership.Ballot{Round: 1, Node: "a#1"}, service("s", 1))
		Expect(outcome.Decided).To(BeNil())
		Expect(outcome.IsQuiet).To(BeFalse())
		Expect(outcome.Heard).To(Equal(1))
	})

	It("is lost where a replica promised a higher ballot or knows the decision, and only there", func() {
		c := newCluster("a", "b", "c")
		low, high := membership.Ballot{Round: 1, Node: "a#1"}, membership.Ballot{Round: 9, Node: "b#1"}
		prepare := registry.Prepare{Index: 1, Ballot: low}
		_, _ = c.replicas["b"].Promise(registry.Prepare{Index: 1, Ballot: high})
		refused, _ := c.replicas["b"].Promise(prepare)
		granted, _ := c.replicas["c"].Promise(prepare)
		Expect([]bool{refused.IsLost(prepare), granted.IsLost(prepare)}).To(Equal([]bool{true, false}))
		accept := registry.Accept{Ballot: low, Change: registry.Change{Index: 1}}
		acceptance, _ := c.replicas["b"].Accept("b", accept)
		Expect(acceptance.IsLost(accept)).To(BeTrue())
		Expect(c.replicas["c"].Learn(registry.Change{Index: 1})).To(BeTrue())
		known, _ := c.replicas["c"].Promise(prepare)
		behind, _ := c.replicas["a"].Promise(registry.Prepare{Index: 2, Ballot: low})
		Expect([]bool{known.IsLost(prepare), behind.IsLost(registry.Prepare{Index: 2, Ballot: low})}).To(Equal([]bool{true, false}))
	})

	It("does not act on a promise that a replica has lost since", func() {
		c := newCluster("a", "b", "c")
		ballot := membership.Ballot{Round: 1, Node: "a#1"}
		promise, _ := c.replicas["b"].Promise(registry.Prepare{Index: 1, Ballot: ballot})
		accept := registry.Accept{Ballot: ballot, Change: registry.Change{Index: 1}, Incarnations: map[string]uint64{"b": promise.Incarnation}}
		c.replicas["b"] = registry.NewReplica()
		Expect(c.replicas["b"].Rebuilt([]registry.State{c.replicas["a"].State(), c.replicas["c"].State()}, 7)).To(BeTrue())
		acceptance, _ := c.replicas["b"].Accept("b", accept)
		Expect(acceptance.OK).To(BeFalse())
	})
})

var _ = Describe("a replica that was away", func() {
	It("catches up by changes or by pages, while changes go on, to the same set", func() {
		random := rand.New(rand.NewPCG(1, 2))
		source := registry.NewReplica()
		next := func() {
			name := fmt.Sprint("r", random.IntN(300))
			held := source.Items[config.ID{Class: config.RouteItem, Name: name}]
			item := route(name, held.Version+1, "/"+name+"/", "s")
			if random.IntN(9) == 0 {
				item = removal(name, held.Version+1)
			}
			Expect(source.Learn(registry.Change{Index: source.Next(), Items: []config.Item{item}})).To(BeTrue())
		}
		for range 5000 {
			next()
		}
		changes, isKept, isCheaper := source.Since(source.Index-100, 1<<30)
		Expect(isKept && isCheaper).To(BeTrue())
		Expect(changes).To(HaveLen(100))
		few, _, _ := source.Since(source.Index-100, 2000)
		Expect(few).To(Equal(changes[:len(few)]))
		_, isKept, isCheaper = source.Since(source.Index-500, 1<<30)
		Expect(isKept).To(BeTrue())
		Expect(isCheaper).To(BeFalse(), "500 changes cost more than the set")
		_, isKept, _ = source.Since(0, 1<<30)
		Expect(isKept).To(BeFalse(), "the changes kept are bounded")

		assembly, after, pages := registry.Assembly{}, (*config.ID)(nil), 0
		first := source.Index
		for {
			page := source.PageAfter(after, 4000)
			assembly.Add(page)
			pages++
			next()
			if after = page.After(); page.IsLast {
				break
			}
		}
		Expect(pages).To(BeNumerically(">", 5))
		missed, _, _ := source.Since(first, 1<<30)
		_, isComplete := assembly.Finish(missed[:len(missed)-2])
		Expect(isComplete).To(BeFalse(), "the changes made while it was read must all be there")
		set, isWhole := assembly.Finish(missed)
		Expect(isWhole).To(BeTrue())
		copied := registry.NewReplica()
		Expect(copied.Install(set)).To(BeTrue())
		Expect(copied.Index).To(Equal(source.Index))
		Expect(copied.Items.Digest()).To(Equal(source.Items.Digest()))
		Expect(copied.Install(registry.NewSet())).To(BeFalse(), "an older set takes nothing back")
	})

	It("takes over what a majority promised and accepted, and is not whole behind it", func() {
		c := newCluster("a", "b", "c")
		change := registry.Change{Index: 1, Items: []config.Item{service("s", 1)}}
		ballot := membership.Ballot{Round: 4, Node: "a#1"}
		for _, name := range []string{"a", "b"} {
			_, _ = c.replicas[name].Promise(registry.Prepare{Index: 1, Ballot: ballot})
			_, _ = c.replicas[name].Accept(name, registry.Accept{Ballot: ballot, Change: change})
		}
		wiped := registry.NewReplica()
		Expect(wiped.Rebuilt([]registry.State{c.replicas["a"].State(), c.replicas["c"].State()}, 3)).To(BeTrue())
		Expect(wiped.Acceptor.Change.Items).To(Equal(change.Items))
		Expect(c.replicas["a"].Learn(change)).To(BeTrue())
		Expect(registry.NewReplica().Rebuilt([]registry.State{c.replicas["a"].State(), c.replicas["c"].State()}, 3)).To(BeFalse())
	})
})

var _ = Describe("the set of an older build", func() {
	It("has the present names of the fields that older builds named otherwise", func() {
		former := route("a", 2, "/x/", "s")
		present := former
		former.Body = bytes.ReplaceAll(former.Body, []byte("RouteType"), []byte("LaneType"))
		plan := config.Item{ID: config.ID{Class: config.PlanItem, Name: "p"}, Version: 1, Body: []byte(`{"Name":"p","Tiers":[{"Lanes":["a"],"Order":1}]}`)}
		set, _ := registry.Genesis([]config.Item{former, plan})
		Expect(set.Items[former.ID].Fingerprint()).To(Equal(present.Fingerprint()))
		Expect(string(set.Items[plan.ID].Body)).To(MatchJSON(`{"Name":"p","Tiers":[{"Routes":["a"],"Order":1}]}`))
	})

	It("becomes the first change, whole and valid", func() {
		legacy := []config.Item{service("s", 1), route("a", 2, "/x/", "s"), route("b", 3, "/x/", "s"), route("c", 3, "/c/", "s"), route("c", 1, "/old/", "s")}
		set, dropped := registry.Genesis(legacy)
		Expect(dropped).To(Equal([]string{"a"}), "the higher version holds the place")
		Expect(set.Items.Check()).To(Succeed())
		draft := set.Draft(check)
		Expect(draft.Add([]config.Item{route("d", 1, "/d/", "s")})).To(Succeed())
		change, isAny := set.First(draft)
		Expect(isAny && change.IsWhole).To(BeTrue())
		replica := registry.NewReplica()
		replica.MergeLegacy([]config.Item{route("stray", 1, "/stray/", "s")})
		Expect(replica.Learn(change)).To(BeTrue())
		Expect(replica.Items).NotTo(HaveKey(config.ID{Class: config.RouteItem, Name: "stray"}))
		Expect(replica.Items).To(HaveLen(5))
	})
})
