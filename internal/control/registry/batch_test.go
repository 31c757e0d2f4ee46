package registry_test

import (
	"errors"
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/config"
	"ploverhitch/internal/control/registry"
)

// randomItem returns an item that is often invalid or in conflict with others: there are only
// a few names, places and services.
func randomItem(random *rand.Rand) config.Item {
	version := config.Version(random.IntN(12) + 1)
	name := fmt.Sprint("r", random.IntN(4))
	switch random.IntN(5) {
	case 0:
		return service(fmt.Sprint("s", random.IntN(3)), version)
	case 1:
		return removal(name, version)
	case 2:
		item := service(fmt.Sprint("s", random.IntN(3)), version)
		item.Removed, item.Body = true, nil
		return item
	}
	return route(name, version, fmt.Sprint("/p", random.IntN(3), "/"), fmt.Sprint("s", random.IntN(3)))
}

func randomOrder(random *rand.Rand) (items []config.Item) {
	for range 1 + random.IntN(2) {
		items = append(items, randomItem(random))
	}
	return items
}

// copyOf returns a replica with the same set, which shares nothing with the other.
func copyOf(replica *registry.Replica) *registry.Replica {
	var assembly registry.Assembly
	for page := range replica.Pages(1 << 20) {
		assembly.Add(page)
	}
	set, complete := assembly.Finish(nil)
	Expect(complete).To(BeTrue())
	set.Index = replica.Index
	out := registry.NewReplica()
	out.Set = set
	return out
}

// contentOf describes the items and the accepted versions of a set.
func contentOf(set *registry.Set) string {
	page := set.PageAfter(nil, 1<<20)
	return fmt.Sprint(page.Index, page.Items, page.History)
}

var _ = Describe("a batch of proposals", func() {
	// learn makes a proposal the replica's next change, if it is valid.
	learn := func(replica *registry.Replica, items []config.Item) error {
		batch := replica.NewBatch(replica.Set, check)
		if err := batch.AddUnbound(items); err != nil {
			return err
		}
		if change, ok := batch.Draft().Change(); ok {
			replica.Learn(change)
		}
		return nil
	}

	It("takes back changes exactly", func() {
		for seed := range uint64(30) {
			random := rand.New(rand.NewPCG(seed, 1))
			replica := registry.NewReplica()
			contents := map[registry.Index]string{0: contentOf(replica.Set)}
			for range 50 {
				_ = learn(replica, randomOrder(random))
				contents[replica.Index] = contentOf(replica.Set)
			}
			for index := range replica.Index {
				Expect(contentOf(registry.PastSet(replica, index))).To(Equal(contents[index]), "seed %d, index %d", seed, index)
			}
		}
	})

	// Guards against an order that is rejected by one node and decided late by another (CONFIG, review/2).
	It("accepts no late proposal that could have been rejected since its base, whatever changed meanwhile", func() {
		late, rejected := 0, 0
		for seed := range uint64(300) {
			random := rand.New(rand.NewPCG(seed, 2))
			replica := registry.NewReplica()
			snapshots := map[registry.Index]*registry.Replica{0: copyOf(replica)}
			for range 30 {
				_ = learn(replica, randomOrder(random))
				snapshots[replica.Index] = copyOf(replica)
			}
			for range 20 {
				order, base := randomOrder(random), registry.Index(random.Uint64N(uint64(replica.Index)+1))
				batch := replica.NewBatch(replica.Set, check)
				for range random.IntN(3) {
					_ = batch.AddUnbound(randomOrder(random))
				}
				accepted := batch.Add(order, base) == nil
				couldBeRejected := false
				for index := base; index <= replica.Index; index++ {
					snapshot := snapshots[index]
					couldBeRejected = couldBeRejected || snapshot.NewBatch(snapshot.Set, check).AddUnbound(order) != nil
				}
				if late++; couldBeRejected {
					rejected++
				}
				repeated := replica.Draft(check).Add(order) == nil && acceptedBefore(replica, order)
				Expect(accepted && couldBeRejected && !repeated).To(BeFalse(), "seed %d: order %v, base %d of %d", seed, order, base, replica.Index)
			}
		}
		Expect(rejected).To(BeNumerically(">", late/4))
		Expect(rejected).To(BeNumerically("<", late))
	})

	Describe("with a proposal that was valid at its base", func() {
		var replica *registry.Replica
		second := []config.Item{route("second", 1, "/x/", "s")}
		BeforeEach(func() {
			replica = registry.NewReplica()
			Expect(learn(replica, []config.Item{service("s", 1)})).To(Succeed())
		})

		It("accepts it after changes that would not have made it invalid", func() {
			base := replica.Index
			Expect(learn(replica, []config.Item{route("other", 1, "/y/", "s")})).To(Succeed())
			Expect(replica.NewBatch(replica.Set, check).Add(second, base)).To(Succeed())
		})

		It("reports it as stale with the present index if it was invalid meanwhile", func() {
			base := replica.Index
			Expect(learn(replica, []config.Item{route("first", 1, "/x/", "s")})).To(Succeed())
			Expect(learn(replica, []config.Item{removal("first", 2)})).To(Succeed())
			err := replica.NewBatch(replica.Set, check).Add(second, base)
			var stale *registry.StaleError
			Expect(errors.As(err, &stale)).To(BeTrue(), "%v", err)
			Expect(stale.Head).To(Equal(replica.Index))
			Expect(replica.NewBatch(replica.Set, check).Add(second, stale.Head)).To(Succeed())
		})

		It("reports it as stale if its base is ahead of the set or no longer known", func() {
			var stale *registry.StaleError
			Expect(errors.As(replica.NewBatch(replica.Set, check).Add(second, replica.Index+1), &stale)).To(BeTrue())
			restarted := copyOf(replica)
			Expect(errors.As(restarted.NewBatch(restarted.Set, check).Add(second, 0), &stale)).To(BeTrue())
			base := replica.Index
			for version := config.Version(1); version <= 100; version++ {
				Expect(learn(replica, []config.Item{route("other", version, "/y/", "s")})).To(Succeed())
			}
			Expect(errors.As(replica.NewBatch(replica.Set, check).Add(second, base), &stale)).To(BeTrue())
			Expect(replica.NewBatch(replica.Set, check).Add(second, replica.Index-8)).To(Succeed())
		})

		It("reports it as stale if a change of very many items lies between", func() {
			base := replica.Index
			var many []config.Item
			for number := range 2000 {
				many = append(many, route(fmt.Sprint("many-", number), 1, fmt.Sprintf("/many-%d/", number), "s"))
			}
			Expect(learn(replica, many)).To(Succeed())
			var stale *registry.StaleError
			Expect(errors.As(replica.NewBatch(replica.Set, check).Add(second, base), &stale)).To(BeTrue())
			Expect(replica.NewBatch(replica.Set, check).Add(second, replica.Index)).To(Succeed())
		})

		It("rejects it if it is invalid now, and acknowledges it if it was accepted meanwhile", func() {
			base := replica.Index
			Expect(learn(replica, second)).To(Succeed())
			Expect(learn(replica, []config.Item{removal("second", 2), route("first", 1, "/x/", "s")})).To(Succeed())
			batch := replica.NewBatch(replica.Set, check)
			Expect(batch.Add(second, base)).To(Succeed())
			_, changed := batch.Draft().Change()
			Expect(changed).To(BeFalse())
			var stale *registry.StaleError
			err := batch.Add([]config.Item{route("third", 1, "/x/", "s")}, base)
			Expect(err).To(HaveOccurred())
			Expect(errors.As(err, &stale)).To(BeFalse(), "%v", err)
		})

		// Guards against a rejection that no decided configuration explains: a late copy of the proposal would be decided.
		It("defers it if only another proposal of the batch makes it invalid", func() {
			batch := replica.NewBatch(replica.Set, check)
			Expect(batch.AddUnbound([]config.Item{route("first", 1, "/x/", "s")})).To(Succeed())
			Expect(batch.Add(second, replica.Index)).To(MatchError(registry.ErrDeferred))
			Expect(batch.AddUnbound([]config.Item{removal("first", 2)})).To(Succeed())
		})

		It("rejects a proposal that only another one of the batch makes valid", func() {
			batch := replica.NewBatch(replica.Set, check)
			Expect(batch.AddUnbound([]config.Item{service("new", 1)})).To(Succeed())
			err := batch.AddUnbound([]config.Item{route("r", 1, "/z/", "new")})
			Expect(err).To(HaveOccurred())
			Expect(errors.Is(err, registry.ErrDeferred)).To(BeFalse(), "%v", err)
		})
	})
})

// acceptedBefore reports whether all items were accepted by the replica with this content.
func acceptedBefore(replica *registry.Replica, items []config.Item) bool {
	for _, item := range items {
		found := false
		for _, accepted := range replica.Accepted(item.ID) {
			found = found || accepted.Version == item.Version && accepted.Fingerprint == item.Fingerprint()
		}
		if !found {
			return false
		}
	}
	return true
}
