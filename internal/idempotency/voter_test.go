package idempotency_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/timetable"
)

func TestLedger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledger")
}

var _ = Describe("intents by vote", func() {
	DescribeTable("run a key once and replay its first answer, whatever is lost", func(nodes, losses int) {
		won, replayed := 0, 0
		for seed := range uint64(400) {
			w := &world{random: rand.New(rand.NewPCG(seed, 3)), runs: map[string]int{}, first: map[string]string{}, losses: losses}
			for range nodes {
				n := &node{isTrusted: true}
				n.restart()
				w.nodes = append(w.nodes, n)
			}
			for range 200 {
				switch draw := w.random.IntN(24); {
				case draw >= 20 && len(w.open) > 0:
					w.retell()
				case draw < 5:
					w.open = append(w.open, w.start())
				case draw == 18:
					down := w.nodes[0]
					down.isDown = !down.isDown
				case draw == 19:
					w.trouble()
				case len(w.open) > 0:
					t := w.open[w.random.IntN(len(w.open))]
					if !t.isOver {
						w.advance(t)
					}
				}
			}
			for key, count := range w.runs {
				Expect(count).To(Equal(1), "seed %d, key %s", seed, key)
				won++
			}
			for _, t := range w.open {
				if t.isOver && t.round.Terminal() != nil {
					replayed++
				}
			}
		}
		Expect(won).To(BeNumerically(">", 1000))
		Expect(replayed).To(BeNumerically(">", 500))
	},
		Entry("with three nodes, one wiped at a time", 3, 1),
		Entry("with five nodes, one wiped at a time", 5, 1),
		Entry("with five nodes, two wiped at once", 5, 2),
	)

	It("count nothing that came after the round's span", func() {
		round := idempotency.NewRound(idempotency.RequestHash{}, 3, 0, timetable.Steady(100))
		round.AddVote(&idempotency.Vote{Verdict: idempotency.Granted})
		round.AddVote(&idempotency.Vote{Verdict: idempotency.Granted})
		Expect(round.Status(100)).To(Equal(idempotency.Won))
		Expect(round.Status(101)).To(Equal(idempotency.NoMajority))
	})

	It("reject another inquiry under a used key", func() {
		voter := idempotency.NewVoter(policy())
		one := idempotency.Intent{Attempt: "a", Reservation: "a", RequestHash: idempotency.HashRequest("POST", "/x", []byte("1"))}
		ballot, _ := voter.Reserve(one)
		Expect(ballot.Verdict).To(Equal(idempotency.Granted))
		other := idempotency.Intent{Attempt: "b", Reservation: "b", RequestHash: idempotency.HashRequest("POST", "/x", []byte("2"))}
		ballot, entry := voter.Reserve(other)
		Expect(entry).To(BeNil())
		round := idempotency.NewRound(other.RequestHash, 1, 0, 1)
		round.AddVote(&ballot)
		Expect(round.Status(0)).To(Equal(idempotency.Conflict))
	})
})

var _ = Describe("quota", func() {
	It("is what a plain count over the intents comes to, at every step", func() {
		random := rand.New(rand.NewPCG(9, 9))
		voter := idempotency.NewVoter(policy())
		state := map[string]idempotency.State{}
		consumed := 0
		for step := range 3000 {
			key := fmt.Sprint(random.IntN(30))
			intent := idempotency.Intent{Key: idempotency.Key{Key: key}, Attempt: idempotency.Attempt(key), Reservation: fmt.Sprint(key, "/", step), Route: "lane", CreatedMs: 5}
			if held := voter.Find(intent.Key); held != nil {
				intent.Reservation = held.Reservation
			}
			to := idempotency.State(1 + random.IntN(5))
			if to == idempotency.Reserved {
				if ballot, _ := voter.Reserve(intent); ballot.Verdict == idempotency.Granted && state[key] == idempotency.Absent {
					state[key] = idempotency.Reserved
				}
			} else if intent.State = to; idempotency.CanTransition(state[key], to) && state[key] != idempotency.Absent {
				_, err := voter.Record(intent)
				Expect(err).NotTo(HaveOccurred())
				if state[key] = to; to == idempotency.Released {
					delete(state, key)
				} else if to == idempotency.Completed {
					consumed++
				}
			}
			open := 0
			for _, s := range state {
				if s.IsOpen() {
					open++
				}
			}
			Expect(voter.Quota().Open("lane")).To(Equal(open))
			Expect(voter.Quota().Consumed("lane")).To(Equal(consumed))
		}
	})

	It("bounds the open intents of a lane, and frees what is released", func() {
		voter := idempotency.NewVoter(idempotency.Policy{OpenLimit: 1, KeyWindow: time.Minute})
		first := idempotency.Intent{Key: idempotency.Key{Key: "1"}, Attempt: "1", Reservation: "1", Route: "lane"}
		second := idempotency.Intent{Key: idempotency.Key{Key: "2"}, Attempt: "2", Reservation: "2", Route: "lane"}
		ballot, _ := voter.Reserve(first)
		Expect(ballot.Verdict).To(Equal(idempotency.Granted))
		ballot, _ = voter.Reserve(second)
		Expect(ballot.Verdict).To(Equal(idempotency.OverLimit))
		first.State = idempotency.Released
		_, err := voter.Record(first)
		Expect(err).NotTo(HaveOccurred())
		ballot, _ = voter.Reserve(second)
		Expect(ballot.Verdict).To(Equal(idempotency.Granted))
	})
})

var _ = Describe("retention", func() {
	It("forgets the oldest ends first, and nothing inside the key window", func() {
		voter := idempotency.NewVoter(idempotency.Policy{Retention: time.Hour, KeyWindow: time.Minute, SoftLimitBytes: 1})
		at := func(s int64) time.Time { return time.UnixMilli(s * 1000) }
		for i := range int64(3) {
			name := fmt.Sprint(i)
			intent := idempotency.Intent{Key: idempotency.Key{Key: name}, Attempt: idempotency.Attempt(name), Reservation: name, Route: "lane", CreatedMs: i * 30_000}
			voter.Reserve(intent)
			if i != 1 {
				intent.State, intent.Response = idempotency.Completed, &idempotency.Response{Status: 200}
				_, err := voter.Record(intent)
				Expect(err).NotTo(HaveOccurred())
			}
		}
		Expect(voter.Expire(at(59))).To(BeEmpty())
		Expect(voter.Entries()).To(HaveLen(3))
		Expect(voter.Expire(at(61))).To(BeEmpty())
		Expect(voter.Find(idempotency.Key{Key: "0"})).To(BeNil())
		entries := voter.Expire(at(91))
		Expect(entries).To(HaveLen(1))
		Expect(entries[0].Intent.State).To(Equal(idempotency.Expired))
		Expect(voter.Find(idempotency.Key{Key: "2"})).NotTo(BeNil())
		Expect(voter.Quota().Open("lane")).To(Equal(0))
	})
})
