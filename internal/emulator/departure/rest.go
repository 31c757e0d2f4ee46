package departure

import (
	"time"

	"ploverhitch/internal/control/listing"
)

// rate is how many calls a second the member may make.
func (m *member) rate(isStandby bool) float64 {
	share := listing.LeaderShare
	if isStandby {
		share = max(listing.IsolatedShare, m.watch.StandbyShare(m.world.view(), m.board.Fleet.Leader, m.name, m.world.steady()))
	}
	return m.world.options.Size.Rate * share
}

// restOf is how long the member waits before it reads again, as what it is now.
func (m *member) restOf(isStandby bool) time.Duration {
	w := m.world
	if m.calls == 0 {
		return 0
	}
	if !w.options.Guards.IsByReadings {
		// Once the rest was counted from the end of a reading.
		rest := time.Duration(float64(m.calls) / (oldShare * w.options.Size.Rate) * float64(time.Second))
		return max(m.began+pollPeriod, m.ended+rest) - w.Now
	}
	pace := listing.Pace{MinInterval: pollPeriod, Rate: m.rate(isStandby)}
	return time.Duration(pace.Next(steadyOf(m.began), steadyOf(m.ended), m.calls) - w.steady())
}

// next is how long after a reading the next is due of whoever reads alone.
func (m *member) next() time.Duration {
	pace := listing.Pace{MinInterval: pollPeriod, Rate: m.world.options.Size.Rate * listing.LeaderShare}
	return time.Duration(pace.Next(steadyOf(m.began), steadyOf(m.ended), m.calls) - steadyOf(m.ended))
}
