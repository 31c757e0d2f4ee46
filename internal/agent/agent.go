// Package agent is the agent beside each proxy: it follows the feeds of
// a majority of the core, merges them, and feeds the proxy over loopback.
package agent

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/config"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/timetable"
)

const (
	connectSpan = 500 * time.Millisecond
	silenceSpan = 2 * time.Second
	followPause = 60 * time.Millisecond
	lookPeriod  = 250 * time.Millisecond
)

// Note is how the programs log.
type Note = func(level, text string, pairs ...any)

// told is one piece of news and the core node that told it.
type told struct {
	from string
	news feed.News
}

// desk owns what the agent knows.
type desk struct {
	set       *settings.Settings
	clock     timetable.Clock
	hub       *feed.Hub
	loop      *timetable.Loop[told]
	following map[string]context.CancelFunc
	lines     map[string]*rpc.Client
	followers map[string]*feed.Follower
	// gaps are the readings that a node told changes of, and that did not fit.
	gaps map[string]feed.Reading
	// heard are the nodes that gave their checkpoint.
	heard map[string]bool
	began timetable.Steady
	whole bool
	note  Note
	next  chan *settings.Settings
	// spareFor is the epoch and spares how many members are followed beside the
	// chosen; wellAt is since when all of the chosen have told.
	spareFor membership.Epoch
	spares   int
	wellAt   timetable.Steady
}

// LoopbackAddress is where the agent of a machine feeds its proxy.
//
// Example:
//
//	address := agent.LoopbackAddress(set) // "127.0.0.1:7200"
func LoopbackAddress(set *settings.Settings) string {
	return set.InternalAddress(set.Tuning.Loopback, 0)
}

// Run runs an agent until the context ends.
//
// Example:
//
//	err := agent.Run(ctx, set, path, note)
func Run(ctx context.Context, set *settings.Settings, path string, note Note) error {
	d := &desk{
		set: set, clock: timetable.Real(), hub: feed.NewHub(), loop: timetable.NewLoop[told](256),
		note: note, following: map[string]context.CancelFunc{}, lines: map[string]*rpc.Client{}, heard: map[string]bool{},
		followers: map[string]*feed.Follower{}, gaps: map[string]feed.Reading{}, next: make(chan *settings.Settings, 1),
	}
	d.began = d.clock.Steady()
	listener, err := net.Listen("tcp4", LoopbackAddress(set))
	if err != nil {
		return errors.Annotate(err, "loopback")
	}
	defer listener.Close()
	go rpc.Serve(listener, rpc.Handlers{feed.KindFollow: d.hub.Handle}, silenceSpan)
	go settings.Watch(ctx, path, func(changed *settings.Settings) { d.next <- changed }, func(err error) { note("warn", "settings", "error", err) })
	d.tend(ctx)
	d.loop.Run(ctx, d.merge, lookPeriod, func() { d.tend(ctx) })
	return nil
}

// merge takes a batch of news; the first checkpoints of a majority of the view
// make what is published whole.
func (d *desk) merge(batch []told) {
	for _, t := range batch {
		t.news.IsWhole = false
		isFitting := true
		if d.hub.Read(func(board *feed.Board) { isFitting = board.Fits(t.news) }); !isFitting {
			d.gaps[t.from] = t.news.Fleet.Reading()
		}
		d.hub.Publish(t.news)
		if t.news.IsCheckpoint {
			d.heard[t.from] = true
			d.retell(t)
		}
	}
	d.judge()
}

// retell brings a core node the items that it lacks and this agent holds,
// as after a loss that was larger than the core can mend by itself.
func (d *desk) retell(t told) {
	lacking := config.Book{}
	lacking.Merge(t.news.Items)
	var items []config.Item
	d.hub.Read(func(board *feed.Board) { items = lacking.Newer(board.Book.Items()) })
	if line := d.lines[t.from]; line != nil && len(items) > 0 {
		d.note("info", "retelling items", "to", t.from, "items", len(items))
		line.Send(messages.KindOfferItems, messages.OfferItems{Items: items}, nil)
	}
}

// fill asks for a checkpoint where a change did not fit and nobody else has
// brought what it led to by now.
func (d *desk) fill() {
	var held feed.Reading
	d.hub.Read(func(board *feed.Board) { held = board.Fleet.Reading() })
	for address, reading := range d.gaps {
		if follower := d.followers[address]; follower != nil && reading.Outranks(held) {
			follower.Again()
		}
		delete(d.gaps, address)
	}
}

func (d *desk) view() (view membership.View) {
	d.hub.Read(func(board *feed.Board) { view = board.View })
	return view
}

func (d *desk) holdsItems() (isHeld bool) {
	d.hub.Read(func(board *feed.Board) { isHeld = len(board.Book) > 0 })
	return isHeld
}

func (d *desk) judge() {
	if d.whole {
		return
	}
	view, count := d.view(), 0
	for _, member := range view.Members {
		if d.heard[member] {
			count++
		}
	}
	isMajority := view.Epoch > 0 && count >= view.Majority()
	// A core without a majority can keep nothing new; after a while what one
	// node tells is better than serving nobody.
	// Without any items, though, every answer would be a wrong 404.
	isLate := d.clock.Steady()-d.began > timetable.Steady(d.set.Platform.Bounds.Contact) && len(d.heard) > 0 && d.holdsItems()
	if d.whole = isMajority || isLate; d.whole {
		d.note("info", "the news is whole", "heard", count, "late", isLate)
		d.hub.Publish(feed.News{IsWhole: true})
	}
}

// tend follows the members that are chosen, and the seeds while no view is known
// or too few of the members answer.
func (d *desk) tend(ctx context.Context) {
	select {
	case d.set = <-d.next:
	default:
	}
	d.judge()
	d.fill()
	wanted := d.wanted()
	for address, cancel := range d.following {
		if !wanted[address] {
			cancel()
			delete(d.following, address)
			delete(d.lines, address)
			delete(d.followers, address)
			delete(d.gaps, address)
		}
	}
	for address := range wanted {
		if d.following[address] == nil {
			d.follow(ctx, address)
		}
	}
}

func (d *desk) follow(ctx context.Context, address string) {
	follow, cancel := context.WithCancel(ctx)
	d.following[address] = cancel
	line := rpc.NewClient(address, connectSpan, silenceSpan)
	d.lines[address] = line
	name := d.set.Platform.NodeName + "@" + d.set.InternalAddress(d.set.Platform.Ip, 1)
	follower := feed.NewFollower(name, line, func(news feed.News) { d.loop.Put(told{address, news}) }, followPause)
	d.followers[address] = follower
	go follower.Run(follow)
}
