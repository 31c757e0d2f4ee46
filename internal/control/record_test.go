package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/rollout"
	"ploverhitch/internal/standin"
	"ploverhitch/internal/storage"
)

// FuzzRecord applies records decoded from arbitrary bytes, as a damaged disk may return.
func FuzzRecord(f *testing.F) {
	trusted := true
	entry := idempotency.Entry{Intent: completedIntent(1, 10)}
	for _, r := range []record{
		{Entry: &entry}, {Trusted: &trusted}, {Term: &membership.Term{Number: 3, Holder: "a"}},
		{View: &membership.View{Epoch: 2, Members: []string{"a"}}}, {Rollout: &rollout.State{Subject: "fees"}},
		{Items: []config.Item{{ID: config.ID{Class: config.RouteItem, Name: "fee"}, Version: 1, Host: "h"}}}, {},
	} {
		data, err := cbor.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var r record
		if cbor.Unmarshal(data, &r) != nil {
			return
		}
		tables := newTables(idempotency.Policy{KeyWindow: time.Minute, Retention: time.Hour})
		tables.apply(r)
		tables.voter.Expire(time.Now())
		for kept := range tables.snapshot() {
			if _, err := cbor.Marshal(kept); err != nil {
				t.Fatal(err)
			}
		}
	})
}

var _ = Describe("a log with undecodable records", func() {
	It("opens, reports the position of the damage, keeps the other records, and leaves the member untrusted", func() {
		disk := standin.NewDisk(rand.New(rand.NewPCG(1, 1)))
		log, err := storage.Open(disk, func([]byte) error { return nil })
		Expect(err).NotTo(HaveOccurred())
		trusted := true
		valid := idempotency.Entry{Intent: completedIntent(1, 10)}
		var batch [][]byte
		for _, r := range []record{{Trusted: &trusted}, {Entry: &valid}} {
			data, err := cbor.Marshal(r)
			Expect(err).NotTo(HaveOccurred())
			batch = append(batch, data, []byte{0xff, 0x00})
		}
		Expect(log.Append(batch)).To(Succeed())
		var reported []string
		s, err := openStore(disk, idempotency.Policy{}, &clock.Manual{}, func(err error) { reported = append(reported, err.Error()) })
		Expect(err).NotTo(HaveOccurred())
		Expect(s.tables.trusted).To(BeFalse())
		Expect(s.tables.voter.Find(valid.Intent.Key)).NotTo(BeNil())
		Expect(reported).To(ContainElement(ContainSubstring("segment-0000000000000001 at byte 0")))
	})
})
