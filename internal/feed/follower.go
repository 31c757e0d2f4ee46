package feed

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"ploverhitch/internal/rpc"
	"ploverhitch/internal/timetable"
)

// Follower follows one node's feed, again and again, until its context ends.
type Follower struct {
	Name string
	Line *rpc.Line
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
func NewFollower(name string, line *rpc.Line, take func(News), pause time.Duration) *Follower {
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
	var lock sync.Mutex
	reached := Follow{Name: f.Name}
	for ctx.Err() == nil {
		broke := make(chan struct{}, 1)
		lock.Lock()
		from := reached
		lock.Unlock()
		forget := f.Line.Send(KindFollow, from, func(body []byte, err error) {
			var news News
			if err == nil {
				err = rpc.Unpack(body, &news)
			}
			if err != nil {
				f.brokeAt.CompareAndSwap(0, int64(f.clock.Steady())+1)
				select {
				case broke <- struct{}{}:
				default:
				}
				return
			}
			f.brokeAt.Store(0)
			f.Take(news)
			lock.Lock()
			defer lock.Unlock()
			reached.Life, reached.Place = news.Life, news.Place
		})
		isAfresh := false
		select {
		case <-ctx.Done():
			f.Line.Close()
		case <-f.afresh:
			// The line ends, so that its other end stops the old feed.
			isAfresh = true
			f.Line.Close()
			f.wait(ctx)
		case <-broke:
			f.wait(ctx)
		}
		forget()
		if isAfresh {
			lock.Lock()
			reached.Life, reached.Place = 0, 0
			lock.Unlock()
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
