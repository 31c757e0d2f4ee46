package idempotency_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/idempotency"
)

// newVoterWith returns a voter that holds the operations with numbers in [from, to),
// reserved or completed.
func newVoterWith(from, to int, completed bool) *idempotency.Voter {
	voter := idempotency.NewVoter(policy())
	for number := from; number < to; number++ {
		name := fmt.Sprint("operation-", number)
		intent := idempotency.Intent{Key: idempotency.Key{Tenant: "h", Key: name}, Attempt: idempotency.Attempt(name), Reservation: name, Route: "route"}
		voter.Reserve(intent)
		if completed {
			intent.State, intent.Response = idempotency.Completed, &idempotency.Response{Body: []byte(strings.Repeat("x", 100))}
			_, err := voter.Record(intent)
			Expect(err).NotTo(HaveOccurred())
		}
	}
	return voter
}

func allRanges() (ranges []idempotency.Range) {
	for number := range idempotency.RangeCount {
		ranges = append(ranges, idempotency.Range(number))
	}
	return ranges
}

var _ = Describe("comparison of two tables", func() {
	It("finds no difference between tables with the same intents, whatever their order of arrival", func() {
		one, other := newVoterWith(0, 300, true), idempotency.NewVoter(policy())
		entries := one.Entries()
		for at := range entries {
			other.Merge(entries[len(entries)-1-at : len(entries)-at])
		}
		for _, scope := range []idempotency.Scope{idempotency.AllIntents, idempotency.CompletedIntents} {
			Expect(idempotency.DifferingRanges(one.Digests(scope), other.Digests(scope))).To(BeEmpty())
		}
	})

	It("finds a missing vote when comparing all intents, but not when comparing completed ones", func() {
		one, other := newVoterWith(0, 1, false), newVoterWith(0, 0, false)
		all := idempotency.DifferingRanges(other.Digests(idempotency.AllIntents), one.Digests(idempotency.AllIntents))
		Expect(all).To(HaveLen(1))
		Expect(other.MissingKeys(all, one.Summaries(all), idempotency.AllIntents)).To(HaveLen(1))
		Expect(other.MissingKeys(all, one.Summaries(all), idempotency.CompletedIntents)).To(BeEmpty())
		Expect(idempotency.DifferingRanges(other.Digests(idempotency.CompletedIntents), one.Digests(idempotency.CompletedIntents))).To(BeEmpty())
	})

	It("reports an outcome as missing where only the vote is held, and not the reverse", func() {
		one, other := newVoterWith(0, 5, true), newVoterWith(0, 5, false)
		Expect(other.MissingKeys(allRanges(), one.Summaries(allRanges()), idempotency.CompletedIntents)).To(HaveLen(5))
		Expect(one.MissingKeys(allRanges(), other.Summaries(allRanges()), idempotency.AllIntents)).To(BeEmpty())
	})

	It("reads pages of about the requested size, each entry once", func() {
		voter, seen := newVoterWith(0, 500, true), map[string]bool{}
		cursor, pages := idempotency.Cursor{Ranges: allRanges()}, 0
		for len(cursor.Ranges) > 0 {
			var entries []idempotency.Entry
			entries, cursor = voter.Read(cursor, 5000)
			Expect(len(entries)).To(BeNumerically("<=", 11))
			for _, entry := range entries {
				Expect(seen[entry.Intent.Key.Key]).To(BeFalse())
				seen[entry.Intent.Key.Key] = true
			}
			pages++
		}
		Expect(seen).To(HaveLen(500))
		Expect(pages).To(BeNumerically(">", 40))
	})

	It("grants no new intent above its hard limit, but still records outcomes and reports existing intents", func() {
		bounded := policy()
		bounded.HardLimitBytes = 1
		voter := idempotency.NewVoter(bounded)
		first := idempotency.Intent{Key: idempotency.Key{Key: "1"}, Attempt: "1", Reservation: "1", Route: "route"}
		second := idempotency.Intent{Key: idempotency.Key{Key: "2"}, Attempt: "2", Reservation: "2", Route: "route"}
		vote, _ := voter.Reserve(first)
		Expect(vote.Verdict).To(Equal(idempotency.Granted))
		vote, entry := voter.Reserve(second)
		Expect(vote.Verdict).To(Equal(idempotency.Shed))
		Expect(entry).To(BeNil())
		first.State = idempotency.Completed
		_, err := voter.Record(first)
		Expect(err).NotTo(HaveOccurred())
		vote, _ = voter.Reserve(first)
		Expect(vote.Verdict).To(Equal(idempotency.KeyInUse))
	})
})
