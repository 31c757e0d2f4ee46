package control

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/standin"
)

var _ = Describe("a checkpoint", func() {
	It("does not start while another is being written", func() {
		disk := standin.NewDisk(rand.New(rand.NewPCG(1, 1)))
		s, err := openStore(disk, idempotency.Policy{}, &clock.Manual{}, func(err error) { Expect(err).NotTo(HaveOccurred()) })
		Expect(err).NotTo(HaveOccurred())
		s.checkpointing.Store(true)
		s.checkpoint()
		Expect(disk.List()).To(ConsistOf("segment-0000000000000001"))
		s.checkpointing.Store(false)
		s.checkpoint()
		Eventually(s.checkpointing.Load).Should(BeFalse())
		Expect(disk.List()).To(ConsistOf("segment-0000000000000002", "checkpoint-0000000000000002"))
	})
})

var _ = Describe("the log size at which a member writes a checkpoint", func() {
	It("depends on the position in the view, so that members with the same log do not write simultaneously", func() {
		for members := 1; members <= 9; members++ {
			previous := int64(checkpointLogBytes + checkpointLogBytes/18)
			for position := range members {
				threshold := checkpointThreshold(position, members)
				// The thresholds are far enough apart that one checkpoint ends before the next starts.
				Expect(previous - threshold).To(BeNumerically(">=", checkpointLogBytes/18))
				Expect(threshold).To(And(BeNumerically("<=", checkpointLogBytes), BeNumerically(">", checkpointLogBytes/2)))
				previous = threshold
			}
		}
		Expect(checkpointThreshold(-1, 0)).To(BeEquivalentTo(checkpointLogBytes))
	})
})
