package simulation

import (
	"fmt"
	"time"

	"ploverhitch/internal/config"
)

const (
	operatorCount = 3
	resendAfter   = 1700 * time.Millisecond
	mostReads     = 3
	// lastReading is when every operator reads for the last time.
	lastReading     = faultSpan + calmSpan/2
	denseOperators  = 8
	denseRoutes     = 60
	densePause      = 100 * time.Millisecond
	denseResend     = 400 * time.Millisecond
	routeCount      = 4
	placeCount      = 5
	highestVersion  = 6
	operatorPause   = 700 * time.Millisecond
	readingFraction = 3
)

// startOperators has operators give orders and read, each one call at a time.
func (w *world) startOperators() {
	if w.options.IsDense {
		w.startDenseOperators()
		return
	}
	for number := range operatorCount {
		w.operator.spawn(func(t *task) {
			for w.Now < faultSpan {
				t.sleep(Time(w.random.Int64N(int64(operatorPause))))
				if w.random.IntN(readingFraction) == 0 {
					w.read(t, number)
				} else {
					w.order(t, number, w.newOrder())
				}
			}
			t.sleep(max(0, lastReading-w.Now))
			w.read(t, number)
		})
	}
}

// startDenseOperators has many operators give one order after another, each to
// the next node soon.
func (w *world) startDenseOperators() {
	for range denseOperators {
		w.operator.spawn(func(t *task) {
			for w.Now < faultSpan {
				t.sleep(Time(w.random.Int64N(int64(densePause))))
				route := w.random.IntN(denseRoutes)
				version := config.Version(1 + w.random.IntN(highestVersion))
				item := routeItem(fmt.Sprint("route-", route), version, 2*route+w.random.IntN(2), w.random.IntN(2))
				_, _ = ask(t, w.anyName(), denseResend, &orderRequest{items: []config.Item{item}}, (*member).onOrder)
			}
		})
	}
}

// newOrder draws an order. Versions and places are few, so that orders race for
// both; versions grow with time.
func (w *world) newOrder() (items []config.Item) {
	base := 1 + int(w.Now*highestVersion/faultSpan)
	for count := 1 + w.random.IntN(2); len(items) < count; {
		version := config.Version(min(highestVersion, max(1, base-2+w.random.IntN(4))))
		name := fmt.Sprint("route-", w.random.IntN(routeCount))
		item := routeItem(name, version, w.random.IntN(placeCount), w.random.IntN(2))
		if len(items) == 0 || items[0].ID != item.ID {
			items = append(items, item)
		}
	}
	return items
}

// order gives an order to one node after another until one answers. A sending
// that was not answered may still take effect after a later one was refused.
func (w *world) order(t *task, client int, items []config.Item) {
	operation := w.history.begin(client, w.Now, orderInput{items: items})
	for sends := 1; w.Now < lastReading; sends++ {
		verdict, isAnswered := ask(t, w.anyName(), resendAfter, &orderRequest{items: items}, (*member).onOrder)
		if !isAnswered {
			continue
		}
		if sends > 1 && verdict != Acknowledged {
			w.history.begin(client, w.history.operations[operation].call, orderInput{items: items})
		}
		w.history.end(operation, w.Now, verdict)
		return
	}
}

func (w *world) read(t *task, client int) {
	operation := w.history.begin(client, w.Now, readInput{})
	for range mostReads {
		told, isAnswered := ask(t, w.anyName(), resendAfter, struct{}{}, (*member).onRead)
		if isAnswered && told.isOK {
			w.history.end(operation, w.Now, contentsOf(told.book))
			return
		}
	}
}

func (w *world) anyName() string { return w.names[w.random.IntN(len(w.names))] }
