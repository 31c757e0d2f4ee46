package departure

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/emulator/virtual"
)

// world is one run.
type world struct {
	virtual.Scheduler
	options  Options
	random   *rand.Rand
	platform *platform
	members  []*member
	proxies  []*proxy
	// holder is who has the duty, -1 while nobody has; term numbers the holders.
	holder int
	term   uint64
	// isMoving: the duty is on its way to another member.
	isMoving bool
	leaving  map[string]*departed
	// unsettled are the spans in which the core doesn't count as settled.
	unsettled         []unsettled
	platformSlowUntil virtual.Time
	linksFullUntil    virtual.Time
	busyUntil         virtual.Time
	result            Result
}

// Run plays one run to its end.
//
// Example:
//
//	result := departure.Run(departure.Options{Seed: 7, Size: size, Scenario: departure.Calm, Guards: departure.Present()})
func Run(options Options) Result {
	w := &world{options: options, random: rand.New(rand.NewPCG(options.Seed, 20)), leaving: map[string]*departed{}, term: 1}
	w.result = NewResult()
	w.platform = newPlatform(w)
	for i := range options.Size.Members {
		w.members = append(w.members, newMember(w, i))
	}
	for i := range options.Size.Proxies {
		w.proxies = append(w.proxies, newProxy(w, i))
	}
	w.members[0].takeUp(w.term)
	for _, m := range w.members {
		m.turnLater(w.between(0, readerLook))
	}
	w.lookAtDuty()
	w.publishLater()
	// Everybody has read the list once before anything leaves or fails.
	w.After(5*time.Second, func() { w.platform.departLater(); w.faultLater() })
	for w.Step(RunSpan) {
	}
	w.result.Calls = w.platform.count
	return w.result
}

func (w *world) steady() clock.Instant { return clock.Instant(w.Now) }

func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)+1))
}

// newsDelay is how long news take from a member to a proxy that has learnt them: 15 ms
// in the middle, 0.23 s for one in a hundred, 0.42 s at most, as the bench showed on
// links that downloads share.
func (w *world) newsDelay() time.Duration {
	const middle, spread, most = 15.0, 1.17, 420.0
	delay := time.Duration(min(most, middle*math.Exp(spread*w.random.NormFloat64())) * float64(time.Millisecond))
	if w.Now < w.linksFullUntil {
		delay *= 3
	}
	return delay + w.work()
}

// work is how long a process takes to get at what has come to it.
func (w *world) work() time.Duration {
	if w.Now < w.busyUntil {
		return w.between(20*time.Millisecond, 400*time.Millisecond)
	}
	return w.between(0, 10*time.Millisecond)
}

// sendDelay is how long a request takes from the last look to the server.
func (w *world) sendDelay() time.Duration { return w.newsDelay() / 4 }

// unsettled is a span in which the core doesn't count as settled.
type unsettled struct{ from, to virtual.Time }

func (w *world) unsettle(span time.Duration) {
	w.unsettled = append(w.unsettled, unsettled{w.Now, w.Now + span + contactSpan})
}

// lastSettled is the last moment up to the given one at which the core was settled.
func (w *world) lastSettled(at virtual.Time) virtual.Time {
	for _, span := range slices.Backward(w.unsettled) {
		if span.from <= at && at < span.to {
			at = span.from
		}
	}
	return at
}

// faultLater strikes with the scenario's fault again and again.
func (w *world) faultLater() {
	if w.options.Scenario == Calm || w.Now > lastDeparture {
		return
	}
	w.After(w.between(500*time.Millisecond, 9*time.Second), func() {
		w.strike(w.options.Scenario)
		w.faultLater()
	})
}

func (w *world) strike(scenario Scenario) {
	victim := w.members[max(0, w.holder)]
	switch span := w.between(time.Second, 5*time.Second); scenario {
	case PlatformSlow:
		w.platformSlowUntil = w.Now + span
	case ReaderStuck:
		victim.platformUntil = w.Now + span
	case CoordinatorHeld:
		victim.coordinatorUntil = w.Now + span
	case LinksFull:
		w.linksFullUntil = w.Now + span
	case Busy:
		w.busyUntil = w.Now + span
	case HolderBusy:
		victim.busyUntil = w.Now + span
	case DutyMoves:
		victim.unfitUntil = w.Now + span
	case HolderKilled:
		w.unsettle(span)
		victim.kill(span)
	case HolderFrozen:
		w.unsettle(span)
		victim.frozenUntil = w.Now + span
	case DiskStalled:
		w.unsettle(span)
		victim.diskUntil = w.Now + span
	case Mixed:
		others := Scenarios()
		w.strike(others[1+w.random.IntN(len(others)-2)])
	}
}
