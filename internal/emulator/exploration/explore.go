package exploration

import (
	"errors"
	"unsafe"

	"github.com/cespare/xxhash/v2"
)

// Report is what an exploration came to.
type Report struct {
	// States is how many different states were visited, Steps how many steps led
	// to one, Depth the longest of the shortest ways to a state.
	States, Steps, Depth int
	// Decided is how many of the states have a decision.
	Decided int
	// IsComplete says that nothing is left to visit.
	IsComplete bool
	// Err is what is wrong with the first bad state.
	Err error
}

var (
	// ErrDisagreement says that two proposals were decided with different values.
	ErrDisagreement = errors.New("two values are decided")
	// ErrTooMany ends an exploration at its bound.
	ErrTooMany = errors.New("the bound on the number of states is reached")
)

// explorer holds the digests of the states that were visited.
type explorer struct {
	model  Model
	most   int
	seen   map[uint64]struct{}
	report Report
}

// Explore visits the states of a model, up to a bound, and stops at the first in
// which two different values are decided.
//
// Example:
//
//	report := exploration.Explore(exploration.Model{Protocol: exploration.Registry}, 1e6)
func Explore(model Model, most int) Report {
	model.Protocol = newMemo(model.Protocol)
	e := &explorer{model: model, most: most, seen: map[uint64]struct{}{}}
	front := []state{model.first()}
	e.visit(front[0])
	for len(front) > 0 && e.report.Err == nil {
		front = e.follow(front)
		e.report.Depth++
	}
	e.report.IsComplete = e.report.Err == nil
	return e.report
}

// follow visits what the states lead to and returns those that are new.
func (e *explorer) follow(front []state) (following []state) {
	for _, s := range front {
		for _, next := range e.model.next(s) {
			next = next.tidy()
			e.report.Steps++
			if e.visit(next) {
				following = append(following, next)
			}
			if e.report.Err != nil {
				return nil
			}
		}
	}
	return following
}

func (e *explorer) visit(s state) (isNew bool) {
	digest := s.digest()
	if _, isSeen := e.seen[digest]; isSeen {
		return false
	}
	e.seen[digest] = struct{}{}
	e.report.States++
	count, isAgreed := s.decisions()
	if count > 0 {
		e.report.Decided++
	}
	switch {
	case !isAgreed:
		e.report.Err = ErrDisagreement
	case e.report.States >= e.most:
		e.report.Err = ErrTooMany
	}
	return true
}

// digest is the hash of the state's bytes: all its fields are of one byte, so
// that there is no padding between them.
func (s *state) digest() uint64 {
	return xxhash.Sum64(unsafe.Slice((*byte)(unsafe.Pointer(s)), unsafe.Sizeof(*s)))
}
