package idempotency

import "github.com/juju/errors"

// QuotaStep is one kind of quota event.
type QuotaEventKind uint8

// The quota events: a reservation is made, and then consumed, released or
// expired once.
const (
	QuotaReserve QuotaEventKind = iota + 1
	QuotaConsume
	QuotaRelease
	QuotaExpire
)

// quotaOf is the event that a step of an intent brings with it.
var quotaEventKinds = map[State]QuotaEventKind{
	Completed: QuotaConsume, Released: QuotaRelease, Expired: QuotaExpire,
}

// QuotaEvent is one line of the quota's account.
type QuotaEvent struct {
	Kind        QuotaEventKind `cbor:"1,keyasint"`
	Reservation string         `cbor:"2,keyasint"`
	Route       string         `cbor:"3,keyasint"`
}

// Quota derives counts from events: the limit counted is the number of open
// intents of a route.
type Quota struct {
	reservations map[string]string
	open         map[string]int
	consumed     map[string]int
}

func newQuota() *Quota {
	return &Quota{reservations: map[string]string{}, open: map[string]int{}, consumed: map[string]int{}}
}

func (q *Quota) apply(event QuotaEvent) error {
	_, reserved := q.reservations[event.Reservation]
	if event.Kind == QuotaReserve {
		if reserved {
			return errors.AlreadyExistsf("reservation %s", event.Reservation)
		}
		q.reservations[event.Reservation] = event.Route
		q.open[event.Route]++
		return nil
	}
	if !reserved {
		return errors.NotFoundf("reservation %s", event.Reservation)
	}
	delete(q.reservations, event.Reservation)
	if q.open[event.Route]--; q.open[event.Route] == 0 {
		delete(q.open, event.Route)
	}
	if event.Kind == QuotaConsume {
		q.consumed[event.Route]++
	}
	return nil
}

// Usage is one limit's account.
type Usage struct {
	Open     int `json:"Open"`
	Consumed int `json:"Consumed"`
}

// Usage is the account of every limit that was ever used.
//
// Example:
//
//	for route, usage := range quota.Usage() { show(route, usage.Open) }
func (q *Quota) Usage() map[string]Usage {
	usage := map[string]Usage{}
	for route := range q.open {
		usage[route] = Usage{q.Open(route), q.Consumed(route)}
	}
	for route := range q.consumed {
		usage[route] = Usage{q.Open(route), q.Consumed(route)}
	}
	return usage
}

// Open is how many reservations a limit holds now.
//
// Example:
//
//	isFull := quota.Open(route) >= limit
func (q *Quota) Open(route string) int { return q.open[route] }

// Consumed is how many reservations of a limit were used up.
//
// Example:
//
//	used := quota.Consumed(route)
func (q *Quota) Consumed(route string) int { return q.consumed[route] }
