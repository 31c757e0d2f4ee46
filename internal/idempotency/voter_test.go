package idempotency_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/idempotency"
)

func TestIdempotency(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "idempotency")
}

var _ = Describe("reservation by majority vote", func() {
	DescribeTable("executes each key at most once and replays its first response despite lost messages, restarts and wiped nodes", func(nodes, maxWiped int) {
		executed, replayed := 0, 0
		for seed := range uint64(400) {
			sim := &simulation{random: rand.New(rand.NewPCG(seed, 3)), executions: map[string]int{}, firstResponse: map[string]string{}, maxWiped: maxWiped}
			for range nodes {
				n := &node{trusted: true}
				n.restart()
				sim.nodes = append(sim.nodes, n)
			}
			for range 200 {
				switch operation := sim.random.IntN(24); {
				case operation >= 20 && len(sim.attempts) > 0:
					sim.repeatRecord()
				case operation < 5:
					sim.attempts = append(sim.attempts, sim.start())
				case operation == 18:
					target := sim.nodes[0]
					target.down = !target.down
				case operation == 19:
					sim.injectFault()
				case len(sim.attempts) > 0:
					t := sim.attempts[sim.random.IntN(len(sim.attempts))]
					if !t.finished {
						sim.advance(t)
					}
				}
			}
			for key, count := range sim.executions {
				Expect(count).To(Equal(1), "seed %d, key %s", seed, key)
				executed++
			}
			for _, t := range sim.attempts {
				if t.finished && t.round.Terminal() != nil {
					replayed++
				}
			}
		}
		Expect(executed).To(BeNumerically(">", 1000))
		Expect(replayed).To(BeNumerically(">", 500))
	},
		Entry("with three nodes, one wiped at a time", 3, 1),
		Entry("with five nodes, one wiped at a time", 5, 1),
		Entry("with five nodes, two wiped at once", 5, 2),
	)

	It("counts no grants after the timeout of the round", func() {
		round := idempotency.NewRound(idempotency.RequestHash{}, 3, 0, clock.Instant(100))
		round.AddVote(&idempotency.Vote{Verdict: idempotency.Granted})
		round.AddVote(&idempotency.Vote{Verdict: idempotency.Granted})
		Expect(round.Result(100)).To(Equal(idempotency.Won))
		Expect(round.Result(101)).To(Equal(idempotency.NoMajority))
	})

	It("reports a conflict for a different request with a used key", func() {
		voter := idempotency.NewVoter(policy())
		one := idempotency.Intent{Attempt: "a", Reservation: "a", RequestHash: idempotency.HashRequest("POST", "/x", []byte("1"))}
		vote, _ := voter.Reserve(one)
		Expect(vote.Verdict).To(Equal(idempotency.Granted))
		other := idempotency.Intent{Attempt: "b", Reservation: "b", RequestHash: idempotency.HashRequest("POST", "/x", []byte("2"))}
		vote, entry := voter.Reserve(other)
		Expect(entry).To(BeNil())
		round := idempotency.NewRound(other.RequestHash, 1, 0, 1)
		round.AddVote(&vote)
		Expect(round.Result(0)).To(Equal(idempotency.RequestMismatch))
	})
})

var _ = Describe("quota", func() {
	It("equals a direct count of the intents after every step", func() {
		random := rand.New(rand.NewPCG(9, 9))
		voter := idempotency.NewVoter(policy())
		states := map[string]idempotency.State{}
		consumed := 0
		for step := range 3000 {
			key := fmt.Sprint(random.IntN(30))
			intent := idempotency.Intent{Key: idempotency.Key{Key: key}, Attempt: idempotency.Attempt(key), Reservation: fmt.Sprint(key, "/", step), Route: "route", CreatedMs: 5}
			if existing := voter.Find(intent.Key); existing != nil {
				intent.Reservation = existing.Reservation
			}
			to := idempotency.State(1 + random.IntN(5))
			if to == idempotency.Reserved {
				if vote, _ := voter.Reserve(intent); vote.Verdict == idempotency.Granted && states[key] == idempotency.Absent {
					states[key] = idempotency.Reserved
				}
			} else if intent.State = to; idempotency.CanTransition(states[key], to) && states[key] != idempotency.Absent {
				_, err := voter.Record(intent)
				Expect(err).NotTo(HaveOccurred())
				if states[key] = to; to == idempotency.Released {
					delete(states, key)
				} else if to == idempotency.Completed {
					consumed++
				}
			}
			open := 0
			for _, state := range states {
				if state.IsOpen() {
					open++
				}
			}
			Expect(voter.Quota().Open("route")).To(Equal(open))
			Expect(voter.Quota().Consumed("route")).To(Equal(consumed))
		}
	})

	It("limits the open intents of a route and frees released reservations", func() {
		voter := idempotency.NewVoter(idempotency.Policy{OpenLimit: 1, KeyWindow: time.Minute})
		first := idempotency.Intent{Key: idempotency.Key{Key: "1"}, Attempt: "1", Reservation: "1", Route: "route"}
		second := idempotency.Intent{Key: idempotency.Key{Key: "2"}, Attempt: "2", Reservation: "2", Route: "route"}
		vote, _ := voter.Reserve(first)
		Expect(vote.Verdict).To(Equal(idempotency.Granted))
		vote, _ = voter.Reserve(second)
		Expect(vote.Verdict).To(Equal(idempotency.OverLimit))
		first.State = idempotency.Released
		_, err := voter.Record(first)
		Expect(err).NotTo(HaveOccurred())
		vote, _ = voter.Reserve(second)
		Expect(vote.Verdict).To(Equal(idempotency.Granted))
	})
})

var _ = Describe("retention", func() {
	It("removes the oldest final intents first, and none within the key window", func() {
		voter := idempotency.NewVoter(idempotency.Policy{Retention: time.Hour, KeyWindow: time.Minute, SoftLimitBytes: 1})
		atSecond := func(seconds int64) time.Time { return time.UnixMilli(seconds * 1000) }
		for number := range int64(3) {
			name := fmt.Sprint(number)
			intent := idempotency.Intent{Key: idempotency.Key{Key: name}, Attempt: idempotency.Attempt(name), Reservation: name, Route: "route", CreatedMs: number * 30_000}
			voter.Reserve(intent)
			if number != 1 {
				intent.State, intent.Response = idempotency.Completed, &idempotency.Response{Status: 200}
				_, err := voter.Record(intent)
				Expect(err).NotTo(HaveOccurred())
			}
		}
		Expect(voter.Expire(atSecond(59))).To(BeEmpty())
		Expect(voter.Entries()).To(HaveLen(3))
		Expect(voter.Expire(atSecond(61))).To(BeEmpty())
		Expect(voter.Find(idempotency.Key{Key: "0"})).To(BeNil())
		entries := voter.Expire(atSecond(91))
		Expect(entries).To(HaveLen(1))
		Expect(entries[0].Intent.State).To(Equal(idempotency.Expired))
		Expect(voter.Find(idempotency.Key{Key: "2"})).NotTo(BeNil())
		Expect(voter.Quota().Open("route")).To(Equal(0))
	})
})
