package control

import (
	"sync/atomic"
	"time"

	"ploverhitch/internal/config"
	"ploverhitch/internal/control/registry"
)

// order is a change of configuration items on its way to a decision.
type order struct {
	items  []config.Item
	caller orderCaller
	// head is the index that a member has named as the newest, if one has.
	head *registry.Index
}

// orderBase is a configuration that was decided while the caller of an order still waited for
// the response: whoever rejects the order later does so for this configuration or a newer
// one. learntAt is when the node that received the order learnt the index.
type orderBase struct {
	index    registry.Index
	learntAt time.Time
}

// lastIndex is the index that was named last.
type lastIndex struct{ index atomic.Uint64 }

// Load returns the index, or 0 if none was named.
func (l *lastIndex) Load() registry.Index { return registry.Index(l.index.Load()) }

// note remembers an index. A response that names none is not counted.
func (l *lastIndex) note(index registry.Index) {
	if index > 0 {
		l.index.Store(uint64(index))
	}
}
