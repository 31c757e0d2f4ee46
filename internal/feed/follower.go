package feed

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/rpc"
)

// Follower subscribes to one node's feed and resubscribes after failures until its
// context ends.
type Follower struct {
	Name       string
	Connection *rpc.Client
	OnUpdate   func(Update)
	// RetryDelay is the delay before resubscribing.
	RetryDelay time.Duration
	// disconnectedAt is when the subscription was lost, in nanoseconds of the monotonic
	// clock; 0 while it is up.
	disconnectedAt atomic.Int64
	clock          clock.Clock
	// snapshotRequests asks for a snapshot, as an update could not be applied.
	snapshotRequests chan struct{}
}

// NewFollower makes a follower that passes updates to onUpdate.
func NewFollower(name string, connection *rpc.Client, onUpdate func(Update), retryDelay time.Duration) *Follower {
	f := &Follower{Name: name, Connection: connection, OnUpdate: onUpdate, RetryDelay: retryDelay, snapshotRequests: make(chan struct{}, 1), clock: clock.Real()}
	f.disconnectedAt.Store(int64(f.clock.Monotonic()) + 1)
	return f
}

// DisconnectedFor returns how long no feed has come from the node; 0 while it is up.
func (f *Follower) DisconnectedFor() time.Duration {
	at := f.disconnectedAt.Load()
	if at == 0 {
		return 0
	}
	return time.Duration(int64(f.clock.Monotonic()) - at)
}

// RequestSnapshot makes the follower resubscribe from a snapshot.
func (f *Follower) RequestSnapshot() {
	select {
	case f.snapshotRequests <- struct{}{}:
	default:
	}
}

// Run subscribes from the last position until the context ends.
func (f *Follower) Run(ctx context.Context) {
	position := &position{FollowRequest: FollowRequest{Name: f.Name}}
	for ctx.Err() == nil {
		disconnected := make(chan error, 1)
		from, generation := position.begin()
		cancel := f.Connection.SendRevocable(KindFollow, from, func(body []byte, err error) {
			var update Update
			if err == nil {
				err = rpc.Decode(body, &update)
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
		if !errors.Is(err, rpc.ErrDisconnected) {
			// Closing the connection makes the other end stop the old subscription.
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
