package control

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/control/lease"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/rpc"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/storage"
	"ploverhitch/internal/timetable"
)

const (
	connectTimeout = 400 * time.Millisecond
	silenceTimeout = 2 * time.Second
	callTimeout    = 350 * time.Millisecond
	persistTimeout = 450 * time.Millisecond
)

// node is one control process.
type node struct {
	settings     atomic.Pointer[settings.Settings]
	self         string
	clock        timetable.Clock
	log          func(level, text string, pairs ...any)
	store        *store
	hub          *feed.Hub
	callHandlers rpc.Handlers

	mu          sync.Mutex
	connections map[string]*rpc.Line

	// watch and newcomers belong to the membership loop.
	livenessWatch *membership.Watch
	memberLoop    *timetable.Loop[func()]
	joining       map[string]timetable.Steady
	startedAt     timetable.Steady
	eligible      atomic.Bool
	isLeader      atomic.Bool
	// myTerm is the term that this life of the process claimed.
	ownTerm       atomic.Uint64
	claiming      atomic.Bool
	lease         *dutyLease
	contact       contact
	proposingView atomic.Bool
	// isTakingOffer keeps the offers of many agents from being taken side by side.
	takingOffer atomic.Bool
	viewRound   atomic.Uint64
	// heard is when each trial began.
	trialStarts sync.Map
	coordinator *coordinator
	listWatch   *listWatch
	// told is which reading of the fleet each member is known to have.
	memberReadings sync.Map
	// telling marks the members that a reading is on its way to.
	sendingReadings sync.Map

	configReplicator *configReplicator
	// proposer names this life of the process in ballots: a round number that is
	// used again after a restart must not make the same ballot.
	proposerID string
	// lag is how far the intents are behind those of the other members.
	lag replicationLag
}

// Run runs a control node until the context ends.
//
// Example:
//
//	err := control.Run(ctx, set, path, note)
func Run(ctx context.Context, set *settings.Settings, path string, log func(level, text string, pairs ...any)) error {
	// The process goes on for a moment after it was told to end.
	stopping := ctx.Done()
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n := &node{
		self: set.InternalAddress(set.Platform.Ip, 0), clock: timetable.Real(), log: log, hub: feed.NewHub(),
		connections: map[string]*rpc.Line{}, memberLoop: timetable.NewLoop[func()](256), joining: map[string]timetable.Steady{},
	}
	n.settings.Store(set)
	n.proposerID = newProposerID(n.self)
	n.startedAt = n.clock.Steady()
	n.livenessWatch = membership.NewWatch(n.clock, set.Tuning.SilentAfter.Std())
	n.lease = newDutyLease(leaseSpan(set.Tuning))
	n.listWatch = newListWatch(n.startedAt)
	if err := n.openDisk(set); err != nil {
		return err
	}
	n.configReplicator = newConfigReplicator(n)
	n.coordinator = newCoordinator(n)
	n.callHandlers = n.newHandlers()
	internalListener, err := net.Listen("tcp4", n.self)
	if err != nil {
		return errors.Annotate(err, "internal port")
	}
	defer internalListener.Close()
	operatorListener, err := net.Listen("tcp4", set.Platform.Bind.ControlPlane)
	if err != nil {
		return errors.Annotate(err, "control plane")
	}
	go settings.Watch(ctx, path, func(changed *settings.Settings) { n.settings.Store(changed) }, func(err error) { log("warn", "settings", "error", err) })
	go n.store.run(ctx)
	n.publishState()
	go rpc.Serve(internalListener, n.callHandlers, silenceTimeout)
	go timetable.Every(ctx, set.Tuning.Beat.Std()/touchesPerBeat, n.touch)
	go n.memberLoop.Run(ctx, actAll, set.Tuning.Beat.Std(), n.beat)
	go n.recoverState(ctx)
	go n.configReplicator.run(ctx)
	go n.replicateIntents(ctx)
	go n.coordinator.run(ctx)
	go n.pollPlatform(ctx)
	server := &http.Server{Handler: n.operatorHandler(), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}
	go func() {
		<-stopping
		n.handOver()
		n.leave()
		cancel()
		_ = server.Close()
	}()
	if err := server.Serve(operatorListener); err != http.ErrServerClosed {
		return errors.Trace(err)
	}
	return nil
}

// open reads the disk.
func (n *node) openDisk(set *settings.Settings) error {
	p, t := set.Platform, set.Tuning
	policy := idempotency.Policy{
		OpenLimit: t.OpenLimit, Retention: t.Retention.Std(), KeyWindow: p.Bounds.KeyWindow.Std(),
		Margin: 10 * time.Second, Bytes: maxIntentBytes(p.Limits), Ceiling: p.Limits.MemoryMb << 20 * 2 / 5,
	}
	reportError := func(err error) { n.log("error", "disk", "error", err) }
	disk, err := storage.Folder(p.DataDir)
	if err != nil {
		return err
	}
	if n.store, err = openStore(disk, policy, n.clock, reportError); err != nil {
		return errors.Annotate(err, "data folder")
	}
	n.store.self = n.self
	n.store.tables.grantor = lease.NewGrantor(leaseSpan(t))
	if newSystem := p.Bootstrap && n.store.tables.empty; !newSystem {
		n.store.tables.grantor.Wait(n.clock.Steady())
	}
	return nil
}

// tableBytes is what the intents may take: a quarter of the memory, and of the
// disk, where a checkpoint and the log beside it each hold them once.
func maxIntentBytes(limits settings.Limits) int {
	bytes := limits.MemoryMb << 20 / 4
	if limits.DiskMb > 0 {
		bytes = min(bytes, limits.DiskMb<<20/4)
	}
	return bytes
}

// announce puts what the disk held into the feed.
func (n *node) publishState() {
	n.store.read(func(t *tables) {
		view, fleet := t.view, t.fleet
		n.hub.Publish(feed.News{Items: t.book().Items(), View: &view, Fleet: &fleet})
	})
}

func (n *node) view() (view membership.View) {
	n.store.read(func(t *tables) { view = t.view })
	return view
}

// adopt takes a newer view, keeps it, and publishes it.
func (n *node) adoptView(view membership.View) bool {
	return n.store.persist(func(t *tables) []record {
		if view.Epoch <= t.view.Epoch {
			return nil
		}
		r := record{View: &view}
		t.apply(r)
		n.hub.Publish(feed.News{View: &view})
		return []record{r}
	}, 2*time.Second)
}

func (n *node) seedAddresses() (addresses []string) {
	set := n.settings.Load()
	for _, seed := range set.Platform.SeedNodes {
		addresses = append(addresses, set.InternalAddress(seed, 0))
	}
	return addresses
}

// known is whom to ask for the present view: the members known and the seeds.
func (n *node) contactAddresses() []string {
	return membership.FirstView(append(n.seedAddresses(), n.view().Members...)).Members
}
