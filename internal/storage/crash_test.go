package storage_test

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/standin"
	"ploverhitch/internal/storage"
)

// history models the records that a log must return when it is opened.
type history struct {
	disk *standin.Disk
	log  *storage.Log
	// offered contains all appended records in order, acknowledged how many of them
	// were acknowledged.
	offered      []string
	acknowledged int
}

func newHistory(seed uint64) *history {
	return &history{disk: standin.NewDisk(rand.New(rand.NewPCG(seed, 11)))}
}

// open opens the log and checks the records that it returns. It returns false if the
// power failed.
func (h *history) open(description string) bool {
	log, read, err := open(h.disk)
	if err != nil {
		return false
	}
	Expect(log.Damages()).To(BeEmpty(), description)
	Expect(len(read)).To(BeNumerically(">=", h.acknowledged), description)
	Expect(read).To(Equal(h.offered[:len(read)]), description)
	h.log, h.offered, h.acknowledged = log, slices.Clone(read), len(read)
	return true
}

func (h *history) append(count int) bool {
	var batch [][]byte
	for range count {
		h.offered = append(h.offered, fmt.Sprint("record ", len(h.offered)))
	}
	for _, record := range h.offered[h.acknowledged:] {
		batch = append(batch, []byte(record))
	}
	if h.log.Append(batch) != nil {
		return false
	}
	h.acknowledged = len(h.offered)
	return true
}

func (h *history) checkpoint() bool {
	write, err := h.log.StartCheckpoint()
	if err != nil {
		return false
	}
	var all [][]byte
	for _, record := range h.offered {
		all = append(all, []byte(record))
	}
	return write(slices.Values(all)) == nil
}

// run simulates one run of the process: it opens the log, appends records and writes
// checkpoints. It stops when the power fails.
func (h *history) run(description string) bool {
	return h.open(description) && h.append(3) && h.append(1) && h.checkpoint() && h.append(2) && h.checkpoint() && h.append(1)
}

var _ = Describe("a loss of power", func() {
	It("during any operation of a run, and again during any of the next, loses no acknowledged record", func() {
		runs := 0
		for first := 1; ; first++ {
			firstCompleted := false
			for second := 1; ; second++ {
				description := fmt.Sprintf("power lost at operation %d, and then at %d", first, second)
				h := newHistory(uint64(first*1000 + second))
				h.run(description)
				h.disk.PowerFor = first
				firstCompleted = h.run(description)
				h.disk.LosePower()
				h.disk.PowerFor = second
				secondCompleted := h.run(description)
				h.disk.LosePower()
				Expect(h.open(description)).To(BeTrue(), description)
				runs++
				if secondCompleted {
					break
				}
			}
			if firstCompleted {
				break
			}
		}
		Expect(runs).To(BeNumerically(">", 500))
	})
})

var _ = Describe("a damaged disk", func() {
	const firstSegment, secondSegment = "segment-0000000000000001", "segment-0000000000000002"
	var h *history
	var read []string

	// reopen opens the log without the checks that apply to an undamaged disk.
	reopen := func() []storage.Damage {
		var err error
		h.log, read, err = open(h.disk)
		Expect(err).NotTo(HaveOccurred())
		return h.log.Damages()
	}

	BeforeEach(func() {
		h = newHistory(1)
		Expect(h.open("") && h.append(2) && h.append(2) && h.append(2)).To(BeTrue())
	})

	It("with a corrupt batch is reported with file and offset, and the batches before and after it are read", func() {
		// Each batch has a header and two records of eight bytes, each with its size.
		h.disk.Spoil(firstSegment, 36+20)
		damages := reopen()
		Expect(damages).To(HaveLen(1))
		Expect(damages[0].File).To(Equal(firstSegment))
		Expect(damages[0].Offset).To(BeEquivalentTo(36))
		Expect(read).To(Equal([]string{"record 0", "record 1", "record 4", "record 5"}))
	})

	It("with a missing segment between two others is reported", func() {
		Expect(h.open("") && h.append(1) && h.open("") && h.append(1)).To(BeTrue())
		h.disk.Lose(secondSegment)
		Expect(reopen()).To(ConsistOf(HaveField("File", secondSegment)))
		Expect(read).To(HaveLen(7))
	})

	It("without the first segment, or the first one after a checkpoint, is reported", func() {
		Expect(h.open("") && h.append(1)).To(BeTrue())
		h.disk.Lose(firstSegment)
		Expect(reopen()).To(ConsistOf(HaveField("File", firstSegment)))
		h = newHistory(2)
		Expect(h.open("") && h.append(1) && h.checkpoint()).To(BeTrue())
		h.disk.Lose(secondSegment)
		Expect(reopen()).To(ConsistOf(HaveField("File", secondSegment)))
	})

	DescribeTable("with a corrupt checkpoint is not treated as an empty disk",
		func(corrupt func(name string)) {
			Expect(h.checkpoint() && h.append(1)).To(BeTrue())
			corrupt("checkpoint-0000000000000002")
			Expect(reopen()).NotTo(BeEmpty())
			Expect(read).To(ContainElement("record 6"), "the record appended after the checkpoint is read")
		},
		Entry("corrupt at its beginning", func(name string) { h.disk.Spoil(name, 0) }),
		Entry("corrupt in its middle", func(name string) { h.disk.Spoil(name, 40) }),
		Entry("truncated to zero bytes", func(name string) { Expect(h.disk.Truncate(name, 0)).To(Succeed()) }),
		Entry("truncated before its end marker", func(name string) { Expect(h.disk.Truncate(name, 12+6*12)).To(Succeed()) }),
	)

	It("with a corrupt checkpoint loses nothing while the previous one and its segments exist", func() {
		fallbacks := 0
		for seed := range uint64(20) {
			h = newHistory(seed)
			Expect(h.open("") && h.append(2) && h.checkpoint() && h.append(1)).To(BeTrue())
			// The power fails before the files that the next checkpoint replaces are removed.
			h.disk.PowerFor = 13
			Expect(h.checkpoint()).To(BeFalse())
			h.disk.LosePower()
			names, err := h.disk.List()
			Expect(err).NotTo(HaveOccurred())
			Expect(names).To(ContainElement("checkpoint-0000000000000003"))
			h.disk.Spoil("checkpoint-0000000000000003", 3)
			if !slices.Contains(names, "checkpoint-0000000000000002") {
				Expect(reopen()).NotTo(BeEmpty())
				continue
			}
			fallbacks++
			Expect(reopen()).To(BeEmpty())
			Expect(read).To(Equal(h.offered))
		}
		Expect(fallbacks).To(BeNumerically(">", 5))
	})

	It("with a record that replay rejects is reported, and the other records are read", func() {
		var rest []string
		log, err := storage.Open(h.disk, func(record []byte) error {
			if string(record) == "record 2" {
				return fmt.Errorf("no such record")
			}
			rest = append(rest, string(record))
			return nil
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Damages()).To(ConsistOf(HaveField("Reason", "no such record")))
		Expect(rest).To(Equal([]string{"record 0", "record 1", "record 3", "record 4", "record 5"}))
	})
})

var _ = Describe("files of a version without batches", func() {
	legacy := func(records ...string) (text []byte) {
		for _, record := range records {
			text = binary.BigEndian.AppendUint32(text, uint32(len(record)))
			text = binary.BigEndian.AppendUint32(text, crc32.Checksum([]byte(record), crc32.MakeTable(crc32.Castagnoli)))
			text = append(text, record...)
		}
		return text
	}
	var disk *standin.Disk
	write := func(name string, text []byte) {
		file, err := disk.Create(name)
		Expect(err).NotTo(HaveOccurred())
		_, err = file.Write(text)
		Expect(err).NotTo(HaveOccurred())
	}

	BeforeEach(func() {
		disk = standin.NewDisk(rand.New(rand.NewPCG(1, 1)))
		write("checkpoint-0000000000000002", legacy("one", "two"))
	})

	It("are read, an unfinished write in the newest one is truncated, and new records can be appended", func() {
		torn := legacy("three", "four")
		write("segment-0000000000000002", torn[:len(torn)-1])
		log, read, err := open(disk)
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Damages()).To(BeEmpty())
		Expect(read).To(Equal([]string{"one", "two", "three"}))
		Expect(log.Append([][]byte{[]byte("five")})).To(Succeed())
		log, read, err = open(disk)
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Damages()).To(BeEmpty())
		Expect(read).To(Equal([]string{"one", "two", "three", "five"}))
	})

	It("are reported as damaged if a file other than the newest has a broken record", func() {
		write("segment-0000000000000002", legacy("three", "four"))
		write("segment-0000000000000003", legacy("five"))
		disk.Spoil("segment-0000000000000002", 20)
		log, read, err := open(disk)
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Damages()).To(ConsistOf(HaveField("File", "segment-0000000000000002")))
		Expect(read).To(Equal([]string{"one", "two", "three", "five"}))
	})
})
