package control

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
	"ploverhitch/internal/membership"
)

var _ = Describe("items that an older build stored without an index", func() {
	route := func(name string, version config.Version) config.Item {
		body := `{"Name":"` + name + `","PathPrefix":"/x/","LaneType":"safe","Timeout":"1s","Service":"s","Revision":"r1"}`
		return config.Item{ID: config.ID{Class: config.RouteItem, Name: name}, Version: version, Host: "h", Body: []byte(body)}
	}
	service := config.Item{ID: config.ID{Class: config.ServiceItem, Name: "s"}, Version: 1, Body: []byte(`{"Name":"s","Revision":"r1"}`)}

	It("become the first change, which is valid and complete, and dropped routes are logged", func() {
		n := newTestMember(&clock.Manual{Now: time.Hour}, membership.View{Epoch: 1, Members: []string{"a"}})
		logged := make(chan string, 16)
		n.log = func(_, message string, pairs ...any) {
			if len(pairs) == 2 {
				logged <- message
			}
		}
		n.store.persist(func(t *tables) []record {
			r := record{Items: []config.Item{service, route("left", 1), route("right", 2)}}
			t.apply(r)
			return []record{r}
		}, time.Second)
		n.configReplicator = newConfigReplicator(n)
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go n.configReplicator.run(ctx)

		index, err := n.configReplicator.submit(nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(index).To(BeEquivalentTo(1))
		Expect(logged).To(Receive(ContainSubstring("shares host and prefix with another and is dropped")))
		n.store.read(func(t *tables) {
			Expect(t.registry.Index).To(BeEquivalentTo(1))
			Expect(t.configuration().Check()).To(Succeed())
			Expect(t.configuration()[route("left", 1).ID].Removed).To(BeTrue())
			Expect(string(t.configuration()[route("right", 2).ID].Body)).To(ContainSubstring(`"RouteType":"safe"`))
		})
		// A second proposal makes no further change.
		index, err = n.configReplicator.submit(nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(index).To(BeEquivalentTo(1))
	})
})
