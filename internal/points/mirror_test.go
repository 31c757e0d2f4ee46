package points

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/feed"
	"ploverhitch/internal/shunt"
)

func TestPoints(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "points")
}

var _ = Describe("the connections to a shadow", func() {
	It("are kept while the server is listed under its address, and no longer", func() {
		c := newCopier()
		one, two := feed.Server{ID: "x-1", Address: "a:1"}, feed.Server{ID: "x-2", Address: "a:2"}
		racks := map[string]any{}
		for _, server := range []feed.Server{one, two} {
			racks[server.ID] = c.rack(&shunt.Siding{Server: server})
		}
		c.keep([]feed.Server{two, one})
		Expect(c.racks).To(HaveLen(2))
		moved := one
		moved.Address = "a:9"
		c.keep([]feed.Server{moved, two})
		Expect(c.racks).To(HaveLen(1))
		Expect(c.rack(&shunt.Siding{Server: two})).To(BeIdenticalTo(racks["x-2"]))
		Expect(c.rack(&shunt.Siding{Server: one})).NotTo(BeIdenticalTo(racks["x-1"]))
	})
})
