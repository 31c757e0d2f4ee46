package points

import (
	"slices"
	"time"

	"ploverhitch/internal/ledger"
	"ploverhitch/internal/roster"
	"ploverhitch/internal/signal"
)

// said is one member's reply to a call, or nil if it could not be asked.
type said[T any] struct {
	member string
	reply  *T
}

// asking is one call to some of the core's members, and to more of them later.
// Each member's reply comes once.
type asking[T any] struct {
	proxy   *proxy
	kind    signal.Kind
	body    any
	replies chan said[T]
	forgets []func()
	// rest are those not asked yet, open how many have not replied.
	rest []string
	open int
}

// askMembers makes a call to the first so many members of the order; forget must
// be called when no more replies are wanted.
func askMembers[T any](p *proxy, order []string, first int, kind signal.Kind, body any) *asking[T] {
	a := &asking[T]{proxy: p, kind: kind, body: body, replies: make(chan said[T], len(order)), rest: order}
	a.more(first)
	return a
}

// more asks so many more members.
func (a *asking[T]) more(count int) {
	count = min(count, len(a.rest))
	for _, member := range a.rest[:count] {
		a.open++
		a.forgets = append(a.forgets, a.proxy.line(member).Send(a.kind, a.body, func(text []byte, err error) {
			one := said[T]{member: member}
			if out := new(T); err == nil && signal.Unpack(text, out) == nil {
				one.reply = out
			}
			select {
			case a.replies <- one:
			default:
			}
		}))
	}
	a.rest = a.rest[count:]
}

func (a *asking[T]) forget() {
	for _, forget := range a.forgets {
		forget()
	}
}

const (
	// askedAll is how large a core may be for all of it to be asked at once.
	askedAll = 3
	// spareMost is how long the others are spared at most while one of the asked
	// does not reply.
	spareMost = 50 * time.Millisecond
)

// orderFor is the order in which the members are asked for a key, and how many at
// first. In a larger core these are a majority, another for each key, so that a
// keyed operation costs no member more than it must; those that cannot be reached
// come last. Whoever asks less than all asks the rest once one is late: what is
// decided is the same.
func (p *proxy) orderFor(view roster.View, key ledger.Key) (order []string, first int) {
	order = view.Members
	if len(order) <= askedAll {
		return order, len(order)
	}
	order = roster.Followed(order, key.Tenant+"\x00"+key.Key)
	down := map[string]bool{}
	for _, member := range order {
		down[member] = p.line(member).IsDown()
	}
	slices.SortStableFunc(order, func(a, z string) int {
		switch {
		case down[a] == down[z]:
			return 0
		case down[a]:
			return 1
		}
		return -1
	})
	return order, view.Majority()
}
