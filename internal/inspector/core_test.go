package inspector

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/control"
)

var _ = Describe("what is found of the core", func() {
	member := func(node string, remaining int64) control.Status {
		return control.Status{Node: node, Epoch: 4, IsTrusted: true, Index: 9, QuorumAgeMs: 120, Lease: control.LeaseStatus{RemainingMs: remaining}}
	}

	It("is nothing where all is as it should be", func() {
		core := Core{Members: []control.Status{member("a", 700), member("b", 0), member("c", 0)}}
		Expect(core.findings()).To(BeEmpty())
	})

	It("is a member that is behind, not whole, out of contact, in an older view or silent", func() {
		behind, broken, cut, old := member("b", 0), member("c", 0), member("d", 0), member("e", 0)
		behind.Index = 2
		broken.IsTrusted = false
		cut.QuorumAgeMs = -1
		old.Epoch = 3
		core := Core{Members: []control.Status{member("a", 700), behind, broken, cut, old}, Unheard: []string{"f"}}
		Expect(core.findings()).To(ConsistOf(
			"b lacks 7 changes of the configuration",
			ContainSubstring("c is not whole"),
			"d reached a majority: never",
			"e is in epoch 3 of 4",
			"f does not answer",
		))
	})

	It("is a lease that nobody holds, or more than one", func() {
		Expect(Core{Members: []control.Status{member("a", 0)}}.findings()).To(ConsistOf(ContainSubstring("0 members hold the lease")))
		Expect(Core{Members: []control.Status{member("a", 5), member("b", 5)}}.findings()).To(ConsistOf(ContainSubstring("2 members hold the lease of the duty: a, b")))
	})
})
