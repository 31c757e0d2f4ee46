package feed

import (
	"context"
	"time"

	"ploverhitch/internal/signal"
)

// Follower follows one node's feed, again and again, until its context ends.
type Follower struct {
	Name string
	Line *signal.Line
	Take func(News)
	// Pause is how long to wait after the feed broke.
	Pause time.Duration
}

// Run follows from the place that was reached last.
//
// Example:
//
//	follower := feed.Follower{Name: node, Line: line, Take: merge, Pause: 200 * time.Millisecond}
//	go follower.Run(ctx)
func (f *Follower) Run(ctx context.Context) {
	var reached Follow
	reached.Name = f.Name
	for ctx.Err() == nil {
		broke := make(chan struct{}, 1)
		forget := f.Line.Send(KindFollow, reached, func(body []byte, err error) {
			var news News
			if err == nil {
				err = signal.Unpack(body, &news)
			}
			if err != nil {
				select {
				case broke <- struct{}{}:
				default:
				}
				return
			}
			f.Take(news)
			reached.Life, reached.Place = news.Life, news.Place
		})
		select {
		case <-ctx.Done():
			f.Line.Close()
		case <-broke:
			pause := time.NewTimer(f.Pause)
			select {
			case <-ctx.Done():
			case <-pause.C:
			}
			pause.Stop()
		}
		forget()
	}
}
