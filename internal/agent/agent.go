// Package agent implements the agent that runs beside each proxy. It follows the feeds
// of a majority of the control plane, merges them, and serves the merged feed to the
// proxy over loopback.
package agent

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
	"ploverhitch/internal/settings"
)

const (
	connectTimeout    = 500 * time.Millisecond
	silenceTimeout    = 2 * time.Second
	followRetryDelay  = 60 * time.Millisecond
	reconcileInterval = 250 * time.Millisecond
)

// LogFunc writes a log line with key-value pairs.
type LogFunc = func(level, text string, pairs ...any)

// memberUpdate is a feed update and the control plane member that sent it.
type memberUpdate struct {
	member string
	update feed.Update
}

// agent holds the state of an agent. Only its event loop uses it.
type agent struct {
	settings     *settings.Settings
	clock        clock.Clock
	hub          *feed.Hub
	loop         *clock.Loop[memberUpdate]
	cancelFollow map[string]context.CancelFunc
	clients      map[string]*rpc.Client
	followers    map[string]*feed.Follower
	// gaps holds, by member, the fleet version of a change that did not apply to the
	// state held.
	gaps map[string]feed.FleetVersion
	// snapshotReceived holds the members that have sent their snapshot.
	snapshotReceived map[string]bool
	startedAt        clock.Instant
	complete         bool
	log              LogFunc
	settingsUpdates  chan *settings.Settings
	// spares is the number of members followed in addition to the preferred ones, in
	// the epoch spareEpoch. All preferred members have been sending since healthySince.
	spareEpoch   membership.Epoch
	spares       int
	healthySince clock.Instant
}

// LoopbackAddress returns the address at which the agent serves the feed to its proxy.
func LoopbackAddress(cfg *settings.Settings) string {
	return cfg.InternalAddress(cfg.Tuning.Loopback, 0)
}

// Run runs an agent until the context is canceled.
func Run(ctx context.Context, cfg *settings.Settings, path string, log LogFunc) error {
	a := &agent{
		settings: cfg, clock: clock.Real(), hub: feed.NewHub(), loop: clock.NewLoop[memberUpdate](256),
		log: log, cancelFollow: map[string]context.CancelFunc{}, clients: map[string]*rpc.Client{}, snapshotReceived: map[string]bool{},
		followers: map[string]*feed.Follower{}, gaps: map[string]feed.FleetVersion{}, settingsUpdates: make(chan *settings.Settings, 1),
	}
	a.startedAt = a.clock.Monotonic()
	listener, err := net.Listen("tcp4", LoopbackAddress(cfg))
	if err != nil {
		return errors.Annotate(err, "listen on the loopback address")
	}
	defer listener.Close()
	go rpc.Serve(listener, rpc.Handlers{feed.KindFollow: a.hub.Handle}, silenceTimeout)
	go settings.Watch(ctx, path, func(updated *settings.Settings) { a.settingsUpdates <- updated }, func(err error) { log("warn", "cannot reload settings", "error", err) })
	a.reconcile(ctx)
	a.loop.Run(ctx, a.merge, reconcileInterval, func() { a.reconcile(ctx) })
	return nil
}

// merge publishes a batch of updates. The published state is complete once a majority
// of the view has sent a snapshot.
func (a *agent) merge(batch []memberUpdate) {
	for _, received := range batch {
		received.update.Complete = false
		fits := true
		if a.hub.Read(func(replica *feed.Replica) { fits = replica.CanApply(received.update) }); !fits {
			a.gaps[received.member] = received.update.Fleet.Version()
		}
		a.hub.Publish(received.update)
		if received.update.Snapshot {
			a.snapshotReceived[received.member] = true
			a.restoreItems(received)
		}
	}
	a.checkComplete()
}

// restoreItems sends a member the configuration items that it lacks and this agent
// holds, as after a data loss that the control plane cannot repair by itself.
func (a *agent) restoreItems(received memberUpdate) {
	lacking := config.ItemSet{}
	lacking.Merge(received.update.Items)
	var items []config.Item
	a.hub.Read(func(replica *feed.Replica) { items = lacking.Newer(replica.Items.Items()) })
	if client := a.clients[received.member]; client != nil && len(items) > 0 {
		a.log("info", "sending the member configuration items that it lacks", "to", received.member, "items", len(items))
		client.Send(messages.KindOfferItems, messages.OfferItems{Items: items}, nil)
	}
}

// closeGaps requests a snapshot from each member whose change did not apply, unless
// another member has delivered the resulting state in the meantime.
func (a *agent) closeGaps() {
	var held feed.FleetVersion
	a.hub.Read(func(replica *feed.Replica) { held = replica.Fleet.Version() })
	for address, version := range a.gaps {
		if follower := a.followers[address]; follower != nil && version.NewerThan(held) {
			follower.RequestSnapshot()
		}
		delete(a.gaps, address)
	}
}

func (a *agent) view() (view membership.View) {
	a.hub.Read(func(replica *feed.Replica) { view = replica.View })
	return view
}

func (a *agent) holdsItems() (held bool) {
	a.hub.Read(func(replica *feed.Replica) { held = len(replica.Items) > 0 })
	return held
}

func (a *agent) checkComplete() {
	if a.complete {
		return
	}
	view, count := a.view(), 0
	for _, member := range view.Members {
		if a.snapshotReceived[member] {
			count++
		}
	}
	majority := view.Epoch > 0 && count >= view.Majority()
	// A control plane without a majority cannot store changes, so after a timeout
	// the state of a single member is better than serving no requests. Without any
	// configuration items, however, every response would be a wrong 404.
	timedOut := a.clock.Monotonic()-a.startedAt > clock.Instant(a.settings.Platform.Bounds.Contact) && len(a.snapshotReceived) > 0 && a.holdsItems()
	if a.complete = majority || timedOut; a.complete {
		a.log("info", "the configuration is complete", "members", count, "timed_out", timedOut)
		a.hub.Publish(feed.Update{Complete: true})
	}
}

// reconcile applies new settings and starts and stops followers so that exactly the
// members to follow are followed.
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
	name := a.settings.Platform.NodeName + "@" + a.settings.InternalAddress(a.settings.Platform.IP, 1)
	follower := feed.NewFollower(name, client, func(update feed.Update) { a.loop.Put(memberUpdate{address, update}) }, followRetryDelay)
	a.followers[address] = follower
	go follower.Run(followCtx)
}
