package control

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the size at which a member writes its checkpoint", func() {
	It("differs by its place in the view, so that members with the same log do not write at once", func() {
		for members := 1; members <= 9; members++ {
			last := int64(checkpointBytes + checkpointBytes/18)
			for place := range members {
				at := checkpointAt(place, members)
				// Far enough apart that one is done before the next begins.
				Expect(last - at).To(BeNumerically(">=", checkpointBytes/18))
				Expect(at).To(And(BeNumerically("<=", checkpointBytes), BeNumerically(">", checkpointBytes/2)))
				last = at
			}
		}
		Expect(checkpointAt(-1, 0)).To(BeEquivalentTo(checkpointBytes))
	})
})
