package feed

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/rpc"
	"ploverhitch/internal/timetable"
)

// Follower follows one node's feed, again and again, until its context ends.
type Follower struct {
	Name string
	Line *rpc.Client
	Take func(News)
	// Pause is how long to wait after the feed broke.
	Pause time.Duration
	// brokeAt is since when no feed came, in nanoseconds of the steady clock; 0
	// while one does.
	brokeAt atomic.Int64
	clock   timetable.Clock
	// afresh asks for a checkpoint, as news did not fit what is held.
	afresh chan struct{}
}

// NewFollower makes a follower that gives the news to take.
//
// Example:
//
//	follower := feed.NewFollower(node, line, merge, 200*time.Millisecond)
func NewFollower(name string, line *rpc.Client, take func(News), pause time.Duration) *Follower {
	f := &Follower{Name: name, Line: line, Take: take, Pause: pause, afresh: make(chan struct{}, 1), clock: timetable.Real()}
	f.brokeAt.Store(int64(f.clock.Steady()) + 1)
	return f
}

// Broken is for how long no feed has come from the node; 0 while one does.
//
// Example:
//
//	if follower.Broken() > time.Second { followAnother() }
func (f *Follower) Broken() time.Duration {
	at := f.brokeAt.Load()
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
func (f *Follower) Again() {
	select {
	case f.afresh <- struct{}{}:
	default:
	}
}

// Run follows from the place that was reached last.
//
// Example:
//
//	go follower.Run(ctx)
func (f *Follower) Run(ctx context.Context) {
	reached := &reached{Follow: Follow{Name: f.Name}}
	for ctx.Err() == nil {
		broke := make(chan error, 1)
		from, number := reached.begin()
		revoke := f.Line.SendRevocable(KindFollow, from, func(body []byte, err error) {
			var news News
			if err == nil {
				err = rpc.Decode(body, &news)
			}
			if !reached.isCurrent(number) {
				return
			}
			if err != nil {
				reached.end()
				f.brokeAt.CompareAndSwap(0, int64(f.clock.Steady())+1)
				broke <- err
				return
			}
			f.brokeAt.Store(0)
			f.Take(news)
			reached.note(number, news)
		})
		var err error
		select {
		case <-ctx.Done():
		case <-f.afresh:
			reached.reset()
		case err = <-broke:
		}
		reached.end()
		revoke()
		if !errors.Is(err, rpc.ErrDisconnected) {
			// The line ends, so that its other end stops the old feed.
			f.Line.Close()
		}
		if ctx.Err() == nil {
			f.wait(ctx)
		}
	}
}

func (f *Follower) wait(ctx context.Context) {
	pause := time.NewTimer(f.Pause)
	defer pause.Stop()
	select {
	case <-ctx.Done():
	case <-pause.C:
	}
}
