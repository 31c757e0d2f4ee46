package control

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/standin"
	"ploverhitch/internal/timetable"
)

var _ = Describe("a checkpoint", func() {
	It("is not begun while another is being written", func() {
		disk := standin.NewDisk(rand.New(rand.NewPCG(1, 1)))
		k, err := openStore(disk, idempotency.Policy{}, &timetable.Hand{}, func(err error) { Expect(err).NotTo(HaveOccurred()) })
		Expect(err).NotTo(HaveOccurred())
		k.isWriting.Store(true)
		k.checkpoint()
		Expect(disk.List()).To(ConsistOf("segment-0000000000000001"))
		k.isWriting.Store(false)
		k.checkpoint()
		Eventually(k.isWriting.Load).Should(BeFalse())
		Expect(disk.List()).To(ConsistOf("segment-0000000000000002", "checkpoint-0000000000000002"))
	})
})

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
