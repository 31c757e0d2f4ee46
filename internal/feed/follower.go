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
func NewFollower(name string, line *rpc.Line, take func(Update), pause time.Duration) *Follower {
	f := &Follower{Name: name, Connection: line, OnUpdate: take, RetryDelay: pause, snapshotRequests: make(chan struct{}, 1), clock: clock.Real()}
	f.disconnectedAt.Store(int64(f.clock.Steady()) + 1)
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
	return time.Duration(int64(f.clock.Steady()) - at)
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
	reached := &position{FollowRequest: FollowRequest{Name: f.Name}}
	for ctx.Err() == nil {
		broke := make(chan error, 1)
		from, number := reached.begin()
		revoke := f.Connection.SendRevocable(KindFollow, from, func(body []byte, err error) {
			var news Update
			if err == nil {
				err = rpc.Unpack(body, &news)
			}
			if !reached.current(number) {
				return
			}
			if err != nil {
				reached.end()
				f.disconnectedAt.CompareAndSwap(0, int64(f.clock.Steady())+1)
				broke <- err
				return
			}
			f.disconnectedAt.Store(0)
			f.OnUpdate(news)
			reached.advance(number, news)
		})
		var err error
		select {
		case <-ctx.Done():
		case <-f.snapshotRequests:
			reached.reset()
		case err = <-broke:
		}
		reached.end()
		revoke()
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
	pause := time.NewTimer(f.RetryDelay)
	defer pause.Stop()
	select {
	case <-ctx.Done():
	case <-pause.C:
	}
}
