package idempotency

import "github.com/juju/errors"

// QuotaEventKind is the kind of a quota event.
type QuotaEventKind uint8

// The kinds of quota events: a reservation is made, and then consumed, released or
// expired exactly once.
const (
	QuotaReserve QuotaEventKind = iota + 1
	QuotaConsume
	QuotaRelease
	QuotaExpire
)

// quotaEventKinds maps the final states of an intent to the quota events that they
// cause.
var quotaEventKinds = map[State]QuotaEventKind{
	Completed: QuotaConsume, Released: QuotaRelease, Expired: QuotaExpire,
}

// QuotaEvent is one change of a reservation that counts against a route's limit.
type QuotaEvent struct {
	Kind        QuotaEventKind `cbor:"1,keyasint"`
	Reservation string         `cbor:"2,keyasint"`
	Route       string         `cbor:"3,keyasint"`
}

// Quota counts reservations by applying quota events. The limited quantity is the
// number of open intents of a route.
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

// Usage is the number of open and of consumed reservations of a route.
type Usage struct {
	Open     int `json:"Open"`
	Consumed int `json:"Consumed"`
}

// Usage returns the usage of every route with open or consumed reservations.
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

// Open returns the number of reservations that a route holds now.
func (q *Quota) Open(route string) int { return q.open[route] }

// Consumed returns the number of consumed reservations of a route.
func (q *Quota) Consumed(route string) int { return q.consumed[route] }
