package control

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/config"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/timetable"
)

var _ = Describe("the items that an older build kept without numbers", func() {
	route := func(name string, version config.Version) config.Item {
		body := `{"Name":"` + name + `","PathPrefix":"/x/","LaneType":"safe","Timeout":"1s","Service":"s","Revision":"r1"}`
		return config.Item{ID: config.ID{Class: config.RouteItem, Name: name}, Version: version, Host: "h", Body: []byte(body)}
	}
	service := config.Item{ID: config.ID{Class: config.ServiceItem, Name: "s"}, Version: 1, Body: []byte(`{"Name":"s","Revision":"r1"}`)}

	It("become the first change, valid and whole, with what was dropped said in the log", func() {
		b := newTestMember(&timetable.Hand{Now: time.Hour}, membership.View{Epoch: 1, Members: []string{"a"}})
		said := make(chan string, 16)
		b.note = func(_, text string, pairs ...any) {
			if len(pairs) == 2 {
				said <- text
			}
		}
		b.store.keep(func(t *tables) []record {
			r := record{Items: []config.Item{service, route("left", 1), route("right", 2)}}
			t.apply(r)
			return []record{r}
		}, time.Second)
		b.registrar = newRegistrar(b)
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go b.registrar.run(ctx)

		index, err := b.registrar.submit(nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(index).To(BeEquivalentTo(1))
		Expect(said).To(Receive(ContainSubstring("shares host and prefix with another and is dropped")))
		b.store.read(func(t *tables) {
			Expect(t.registry.Index).To(BeEquivalentTo(1))
			Expect(t.book().Check()).To(Succeed())
			Expect(t.book()[route("left", 1).ID].Dropped).To(BeTrue())
			Expect(string(t.book()[route("right", 2).ID].Body)).To(ContainSubstring(`"RouteType":"safe"`))
		})
		// A second one has nothing to do.
		index, err = b.registrar.submit(nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(index).To(BeEquivalentTo(1))
	})
})
