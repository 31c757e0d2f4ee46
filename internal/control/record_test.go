package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/config"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/standin"
	"ploverhitch/internal/storage"
	"ploverhitch/internal/timetable"
	"ploverhitch/internal/trial"
)

// FuzzRecord gives the tables a record of any bytes, as a damaged disk may.
func FuzzRecord(f *testing.F) {
	isTrusted := true
	entry := idempotency.Entry{Intent: completed(1, 10)}
	for _, r := range []record{
		{Entry: &entry}, {Trusted: &isTrusted}, {Term: &membership.Term{Number: 3, Holder: "a"}},
		{View: &membership.View{Epoch: 2, Members: []string{"a"}}}, {Trial: &trial.State{Subject: "fees"}},
		{Items: []config.Item{{ID: config.ID{Class: config.RouteItem, Name: "fee"}, Version: 1, Host: "h"}}}, {},
	} {
		text, err := cbor.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
		f.Add(text[:len(text)/2])
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var r record
		if cbor.Unmarshal(text, &r) != nil {
			return
		}
		tables := newTables(idempotency.Policy{KeyWindow: time.Minute, Retention: time.Hour})
		tables.apply(r)
		tables.voter.Expire(time.Now())
		for again := range tables.snapshot() {
			if _, err := cbor.Marshal(again); err != nil {
				t.Fatal(err)
			}
		}
	})
}

var _ = Describe("a log with a record that cannot be decoded", func() {
	It("opens, names the place, keeps the rest, and leaves the member untrusted until it has rebuilt", func() {
		disk := standin.NewDisk(rand.New(rand.NewPCG(1, 1)))
		log, err := storage.Open(disk, func([]byte) error { return nil })
		Expect(err).NotTo(HaveOccurred())
		isTrusted := true
		good := idempotency.Entry{Intent: completed(1, 10)}
		var texts [][]byte
		for _, r := range []record{{Trusted: &isTrusted}, {Entry: &good}} {
			text, err := cbor.Marshal(r)
			Expect(err).NotTo(HaveOccurred())
			texts = append(texts, text, []byte{0xff, 0x00})
		}
		Expect(log.Append(texts)).To(Succeed())
		var noted []string
		k, err := openStore(disk, idempotency.Policy{}, &timetable.Hand{}, func(err error) { noted = append(noted, err.Error()) })
		Expect(err).NotTo(HaveOccurred())
		Expect(k.tables.isTrusted).To(BeFalse())
		Expect(k.tables.voter.Find(good.Intent.Key)).NotTo(BeNil())
		Expect(noted).To(ContainElement(ContainSubstring("segment-0000000000000001 at byte 0")))
	})
})
