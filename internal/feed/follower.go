package feed

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/rpc"
)

// Follower follows one node's feed, again and again, until its context ends.
type Follower struct {
	Name       string
	Connection *rpc.Line
	OnUpdate   func(Update)
	// Pause is how long to wait after the feed broke.
	RetryDelay time.Duration
	// brokeAt is since when no feed came, in nanoseconds of the steady clock; 0
	// while one does.
	disconnectedAt atomic.Int64
	clock          clock.Clock
	// afresh asks for a checkpoint, as news did not fit what is held.
	snapshotRequests chan struct{}
}

// NewFollower makes a follower that gives the news to take.
//
// Example:
//
//	follower := feed.NewFollower(node, line, merge, 200*time.Millisecond)
func NewFollower(name string, connection *rpc.Line, onUpdate func(Update), retryDelay time.Duration) *Follower {
	f := &Follower{Name: name, Connection: connection, OnUpdate: onUpdate, RetryDelay: retryDelay, snapshotRequests: make(chan struct{}, 1), clock: clock.Real()}
	f.disconnectedAt.Store(int64(f.clock.Monotonic()) + 1)
	return f
}

// Broken is for how long no feed has come from the node; 0 while one does.
//
// Example:
//
//	if follower.Broken() > time.Second { followAnother() }
func (f *Follower) DisconnectedFor() time.Duration {
	at := f.disconnectedAt.Load()
	if at == 0 {
		return 0
	}
	return time.Duration(int64(f.clock.Monotonic()) - at)
}

// Again makes the follower ask for a checkpoint.
//
// Example:
//
//	if !board.Fits(news) { follower.Again() }
func (f *Follower) RequestSnapshot() {
	select {
	case f.snapshotRequests <- struct{}{}:
	default:
	}
}

// Run follows from the place that was reached last.
//
// Example:
//
//	go follower.Run(ctx)
func (f *Follower) Run(ctx context.Context) {
	position := &position{FollowRequest: FollowRequest{Name: f.Name}}
	for ctx.Err() == nil {
		disconnected := make(chan error, 1)
		from, generation := position.begin()
		cancel := f.Connection.SendRevocable(KindFollow, from, func(body []byte, err error) {
			var update Update
			if err == nil {
				err = rpc.Unpack(body, &update)
			}
			if !position.current(generation) {
				return
			}
			if err != nil {
				position.end()
				f.disconnectedAt.CompareAndSwap(0, int64(f.clock.Monotonic())+1)
				disconnected <- err
				return
			}
			f.disconnectedAt.Store(0)
			f.OnUpdate(update)
			position.advance(generation, update)
		})
		var err error
		select {
		case <-ctx.Done():
		case <-f.snapshotRequests:
			position.reset()
		case err = <-disconnected:
		}
		position.end()
		cancel()
		if !errors.Is(err, rpc.ErrCut) {
			// The line ends, so that its other end stops the old feed.
			f.Connection.Close()
		}
		if ctx.Err() == nil {
			f.wait(ctx)
		}
	}
}

func (f *Follower) wait(ctx context.Context) {
	timer := time.NewTimer(f.RetryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
