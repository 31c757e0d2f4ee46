package storage_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/standin"
	"ploverhitch/internal/storage"
)

func TestStorage(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "storage")
}

func open(disk storage.Disk) (*storage.Log, []string, error) {
	var read []string
	log, err := storage.Open(disk, func(record []byte) error {
		read = append(read, string(record))
		return nil
	})
	return log, read, err
}

var _ = Describe("the log", func() {
	It("keeps all records that Append acknowledged, despite losses of power and failing writes", func() {
		for seed := range uint64(150) {
			random := rand.New(rand.NewPCG(seed, 7))
			disk := standin.NewDisk(random)
			log, _, err := open(disk)
			Expect(err).NotTo(HaveOccurred())
			// The model: all appended records, and how many of them are acknowledged.
			var offered []string
			acknowledged := 0
			for step := range 120 {
				switch choice := random.IntN(20); {
				case choice < 14:
					offered = append(offered, strconv.Itoa(step))
					disk.IsRefusing = random.IntN(6) == 0
					var batch [][]byte
					for _, record := range offered[acknowledged:] {
						batch = append(batch, []byte(record))
					}
					if log.Append(batch) == nil {
						acknowledged = len(offered)
					}
					disk.IsRefusing = false
				case choice < 16 && acknowledged == len(offered):
					if write, err := log.StartCheckpoint(); err == nil {
						var all [][]byte
						for _, record := range offered {
							all = append(all, []byte(record))
						}
						Expect(write(slices.Values(all))).To(Succeed())
					}
				case choice >= 17:
					// A loss of power, or only a kill, after which all written
					// data is present but unsynced data is still not durable.
					if choice >= 18 {
						disk.LosePower()
					}
					var read []string
					log, read, err = open(disk)
					Expect(err).NotTo(HaveOccurred())
					Expect(log.Damages()).To(BeEmpty())
					Expect(len(read)).To(BeNumerically(">=", acknowledged))
					Expect(read).To(HaveExactElements(offered[:len(read)]))
					offered, acknowledged = offered[:len(read)], len(read)
				}
			}
		}
	})

	It("reports durable records that cannot be read", func() {
		disk := standin.NewDisk(rand.New(rand.NewPCG(1, 1)))
		log, _, err := open(disk)
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Append([][]byte{[]byte("one"), []byte("two")})).To(Succeed())
		_, _, err = open(disk)
		Expect(err).NotTo(HaveOccurred())
		disk.Spoil("segment-0000000000000001", 9)
		log, read, err := open(disk)
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Damages()).To(HaveLen(1))
		Expect(log.Damages()[0].File).To(Equal("segment-0000000000000001"))
		Expect(read).To(BeEmpty())
		Expect(log.Append([][]byte{[]byte("three")})).To(Succeed())
		write, err := log.StartCheckpoint()
		Expect(err).NotTo(HaveOccurred())
		Expect(write(slices.Values([][]byte{[]byte("three")}))).To(Succeed())
		log, read, err = open(disk)
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Damages()).To(BeEmpty())
		Expect(read).To(Equal([]string{"three"}))
	})

	It("works in a real directory", func() {
		disk, err := storage.OpenDir(GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
		log, _, err := open(disk)
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Append([][]byte{[]byte("kept")})).To(Succeed())
		write, err := log.StartCheckpoint()
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Append([][]byte{[]byte("later")})).To(Succeed())
		Expect(write(slices.Values([][]byte{[]byte("checkpoint")}))).To(Succeed())
		_, read, err := open(disk)
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(Equal([]string{"checkpoint", "later"}))
		Expect(disk.List()).To(ContainElement("checkpoint-0000000000000002"))
	})
})
