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
	connectTimeout    = 500 * time.Millisecond
	silenceTimeout    = 2 * time.Second
	followRetryDelay  = 60 * time.Millisecond
	reconcileInterval = 250 * time.Millisecond
)

// Note is how the programs log.
type LogFunc = func(level, text string, pairs ...any)

// told is one piece of news and the core node that told it.
type memberUpdate struct {
	member string
	update feed.News
}

// desk owns what the agent knows.
type agent struct {
	settings     *settings.Settings
	clock        timetable.Clock
	hub          *feed.Hub
	loop         *timetable.Loop[memberUpdate]
	cancelFollow map[string]context.CancelFunc
	clients      map[string]*rpc.Client
	followers    map[string]*feed.Follower
	// gaps are the readings that a node told changes of, and that did not fit.
	gaps map[string]feed.Reading
	// heard are the nodes that gave their checkpoint.
	checkpointed    map[string]bool
	startedAt       timetable.Steady
	complete        bool
	log             LogFunc
	settingsUpdates chan *settings.Settings
	// spareFor is the epoch and spares how many members are followed beside the
	// chosen; wellAt is since when all of the chosen have told.
	spareEpoch   membership.Epoch
	spares       int
	healthySince timetable.Steady
}

// LoopbackAddress is where the agent of a machine feeds its proxy.
//
// Example:
//
//	address := agent.LoopbackAddress(set) // "127.0.0.1:7200"
func LoopbackAddress(cfg *settings.Settings) string {
	return cfg.InternalAddress(cfg.Tuning.Loopback, 0)
}

// Run runs an agent until the context ends.
//
// Example:
//
//	err := agent.Run(ctx, set, path, note)
func Run(ctx context.Context, cfg *settings.Settings, path string, log LogFunc) error {
	a := &agent{
		settings: cfg, clock: timetable.Real(), hub: feed.NewHub(), loop: timetable.NewLoop[memberUpdate](256),
		log: log, cancelFollow: map[string]context.CancelFunc{}, clients: map[string]*rpc.Client{}, checkpointed: map[string]bool{},
		followers: map[string]*feed.Follower{}, gaps: map[string]feed.Reading{}, settingsUpdates: make(chan *settings.Settings, 1),
	}
	a.startedAt = a.clock.Steady()
	listener, err := net.Listen("tcp4", LoopbackAddress(cfg))
	if err != nil {
		return errors.Annotate(err, "loopback")
	}
	defer listener.Close()
	go rpc.Serve(listener, rpc.Handlers{feed.KindFollow: a.hub.Handle}, silenceTimeout)
	go settings.Watch(ctx, path, func(updated *settings.Settings) { a.settingsUpdates <- updated }, func(err error) { log("warn", "settings", "error", err) })
	a.reconcile(ctx)
	a.loop.Run(ctx, a.merge, reconcileInterval, func() { a.reconcile(ctx) })
	return nil
}

// merge takes a batch of news; the first checkpoints of a majority of the view
// make what is published whole.
func (a *agent) merge(batch []memberUpdate) {
	for _, received := range batch {
		received.update.IsWhole = false
		fits := true
		if a.hub.Read(func(board *feed.Board) { fits = board.Fits(received.update) }); !fits {
			a.gaps[received.member] = received.update.Fleet.Reading()
		}
		a.hub.Publish(received.update)
		if received.update.IsCheckpoint {
			a.checkpointed[received.member] = true
			a.restoreItems(received)
		}
	}
	a.checkComplete()
}

// retell brings a core node the items that it lacks and this agent holds,
// as after a loss that was larger than the core can mend by itself.
func (a *agent) restoreItems(received memberUpdate) {
	lacking := config.Book{}
	lacking.Merge(received.update.Items)
	var items []config.Item
	a.hub.Read(func(board *feed.Board) { items = lacking.Newer(board.Book.Items()) })
	if client := a.clients[received.member]; client != nil && len(items) > 0 {
		a.log("info", "retelling items", "to", received.member, "items", len(items))
		client.Send(messages.KindOfferItems, messages.OfferItems{Items: items}, nil)
	}
}

// fill asks for a checkpoint where a change did not fit and nobody else has
// brought what it led to by now.
func (a *agent) closeGaps() {
	var held feed.Reading
	a.hub.Read(func(board *feed.Board) { held = board.Fleet.Reading() })
	for address, reading := range a.gaps {
		if follower := a.followers[address]; follower != nil && reading.Outranks(held) {
			follower.Again()
		}
		delete(a.gaps, address)
	}
}

func (a *agent) view() (view membership.View) {
	a.hub.Read(func(board *feed.Board) { view = board.View })
	return view
}

func (a *agent) holdsItems() (held bool) {
	a.hub.Read(func(board *feed.Board) { held = len(board.Book) > 0 })
	return held
}

func (a *agent) checkComplete() {
	if a.complete {
		return
	}
	view, count := a.view(), 0
	for _, member := range view.Members {
		if a.checkpointed[member] {
			count++
		}
	}
	majority := view.Epoch > 0 && count >= view.Majority()
	// A core without a majority can keep nothing new; after a while what one
	// node tells is better than serving nobody.
	// Without any items, though, every answer would be a wrong 404.
	timedOut := a.clock.Steady()-a.startedAt > timetable.Steady(a.settings.Platform.Bounds.Contact) && len(a.checkpointed) > 0 && a.holdsItems()
	if a.complete = majority || timedOut; a.complete {
		a.log("info", "the news is whole", "heard", count, "late", timedOut)
		a.hub.Publish(feed.News{IsWhole: true})
	}
}

// tend follows the members that are chosen, and the seeds while no view is known
// or too few of the members answer.
func (a *agent) reconcile(ctx context.Context) {
	select {
	case a.settings = <-a.settingsUpdates:
	default:
	}
	a.checkComplete()
	a.closeGaps()
	wanted := a.membersToFollow()
	for address, cancel := range a.cancelFollow {
		if !wanted[address] {
			cancel()
			delete(a.cancelFollow, address)
			delete(a.clients, address)
			delete(a.followers, address)
			delete(a.gaps, address)
		}
	}
	for address := range wanted {
		if a.cancelFollow[address] == nil {
			a.follow(ctx, address)
		}
	}
}

func (a *agent) follow(ctx context.Context, address string) {
	followCtx, cancel := context.WithCancel(ctx)
	a.cancelFollow[address] = cancel
	client := rpc.NewClient(address, connectTimeout, silenceTimeout)
	a.clients[address] = client
	name := a.settings.Platform.NodeName + "@" + a.settings.InternalAddress(a.settings.Platform.Ip, 1)
	follower := feed.NewFollower(name, client, func(news feed.News) { a.loop.Put(memberUpdate{address, news}) }, followRetryDelay)
	a.followers[address] = follower
	go follower.Run(followCtx)
}
