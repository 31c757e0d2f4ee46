package control

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/control/lease"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/storage"
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
	clock        clock.Clock
	log          func(level, text string, pairs ...any)
	store        *store
	hub          *feed.Hub
	callHandlers rpc.Handlers

	mu          sync.Mutex
	connections map[string]*rpc.Client

	// livenessWatch and joining are accessed only by the membership loop; joining holds
	// the time of the last request of each address that asked to join.
	livenessWatch *membership.LivenessWatch
	memberLoop    *clock.Loop[func()]
	joining       map[string]clock.Instant
	startedAt     clock.Instant
	// eligible is whether this node may become the leader.
	eligible atomic.Bool
	isLeader atomic.Bool
	// ownTerm is the term that this run of the process claimed.
	ownTerm       atomic.Uint64
	claiming      atomic.Bool
	lease         *leaderLease
	contact       quorumContact
	proposingView atomic.Bool
	// knownCommandBase is the last state of the leader that this node was told.
	knownCommandBase atomic.Pointer[messages.CommandBase]
	// knownIndex is the index of the configuration that a member has named last: a node
	// outside of the view is told of no changes.
	knownIndex lastIndex
	// handlingOffer ensures that offers of several agents are handled one at a time.
	handlingOffer atomic.Bool
	viewRound     atomic.Uint64
	// undecodableCalls counts calls that this node could not decode, rejectedCalls its calls
	// that other nodes rejected.
	undecodableCalls, rejectedCalls atomic.Uint64
	// rolloutStarts holds the start time of each rollout.
	rolloutStarts sync.Map
	coordinator   *coordinator
	listReads     *listTracker
	// memberFleetVersions holds the fleet version that each member is known to have.
	memberFleetVersions sync.Map
	// sendingFleet marks the members to which a fleet is being sent.
	sendingFleet sync.Map

	configReplicator *configReplicator
	// proposerID identifies this run of the process in ballots: a round number that is
	// reused after a restart must not produce the same ballot.
	proposerID string
	// lag tracks how many intents of the other members are missing here.
	lag replicationLag
	// recovery tells what this node does to become a member that votes.
	recovery recoveryTracker
}

// Run runs a control node until the context is cancelled. It reloads the settings file
// at path whenever it changes.
func Run(ctx context.Context, set *settings.Settings, path string, log func(level, text string, pairs ...any)) error {
	// After the cancellation the node still runs until it has handed over the leader
	// lease and left.
	stopping := ctx.Done()
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n := &node{
		self: set.InternalAddress(set.Platform.IP, 0), clock: clock.Real(), log: log, hub: feed.NewHub(),
		connections: map[string]*rpc.Client{}, memberLoop: clock.NewLoop[func()](256), joining: map[string]clock.Instant{},
	}
	n.settings.Store(set)
	n.proposerID = newProposerID(n.self)
	n.startedAt = n.clock.Monotonic()
	n.livenessWatch = membership.NewLivenessWatch(n.clock, set.Tuning.SilenceTimeout.Std())
	n.lease = newLeaderLease(leaseDuration(set.Tuning))
	n.listReads = newListTracker(n.startedAt)
	if err := n.openDisk(set); err != nil {
		return err
	}
	n.configReplicator = newConfigReplicator(n)
	n.coordinator = newCoordinator(n)
	n.callHandlers = n.newHandlers()
	internalListener, err := net.Listen("tcp4", n.self)
	if err != nil {
		return errors.Annotate(err, "cannot listen on the internal port")
	}
	defer internalListener.Close()
	operatorListener, err := net.Listen("tcp4", set.Platform.Bind.ControlPlane)
	if err != nil {
		return errors.Annotate(err, "cannot listen on the control plane address")
	}
	go settings.Watch(ctx, path, func(changed *settings.Settings) { n.settings.Store(changed) }, func(err error) { log("warn", "cannot reload the settings", "error", err) })
	go n.store.run(ctx)
	n.publishState()
	go rpc.Serve(internalListener, n.callHandlers, silenceTimeout)
	go clock.Every(ctx, set.Tuning.HeartbeatInterval.Std()/contactChecksPerHeartbeat, n.refreshQuorumContact)
	go n.memberLoop.Run(ctx, runAll, set.Tuning.HeartbeatInterval.Std(), n.heartbeat)
	go n.recoverState(ctx)
	go n.configReplicator.run(ctx)
	go n.replicateIntents(ctx)
	go n.coordinator.run(ctx)
	go n.pollPlatform(ctx)
	server := &http.Server{Handler: n.operatorHandler(), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second, ConnContext: withConnection}
	go func() {
		<-stopping
		n.releaseOnShutdown()
		n.leave()
		cancel()
		_ = server.Close()
	}()
	if err := server.Serve(operatorListener); err != http.ErrServerClosed {
		return errors.Trace(err)
	}
	return nil
}

// openDisk opens the store and replays its log.
func (n *node) openDisk(set *settings.Settings) error {
	p, t := set.Platform, set.Tuning
	policy := idempotency.Policy{
		OpenLimit: int(t.OpenIntentLimit), Retention: t.Retention.Std(), KeyWindow: p.Bounds.KeyWindow.Std(),
		ClockMargin: 10 * time.Second, SoftLimitBytes: maxIntentBytes(p.Limits), HardLimitBytes: int(p.Limits.MemoryMB) << 20 * 2 / 5,
	}
	reportError := func(err error) { n.log("error", "disk failure", "error", err) }
	disk, err := storage.OpenDir(p.DataDir)
	if err != nil {
		return err
	}
	if n.store, err = openStore(disk, policy, n.clock, reportError); err != nil {
		return errors.Annotate(err, "cannot open the data folder")
	}
	n.store.self = n.self
	n.store.tables.grantor = lease.NewGrantor(leaseDuration(t))
	if newSystem := p.Bootstrap && n.store.tables.empty; !newSystem {
		n.store.tables.grantor.DenyClaims(n.clock.Monotonic())
	}
	return nil
}

// maxIntentBytes returns how much space the intents may take: a quarter of the memory,
// and of the disk, where both the checkpoint and the log hold a copy of them.
func maxIntentBytes(limits settings.Limits) int {
	bytes := int(limits.MemoryMB) << 20 / 4
	if limits.DiskMB > 0 {
		bytes = min(bytes, int(limits.DiskMB)<<20/4)
	}
	return bytes
}

// publishState publishes the stored items, view and fleet in the feed.
func (n *node) publishState() {
	n.store.read(func(t *tables) {
		view, fleet := t.view, t.fleet
		n.hub.Publish(feed.Update{Items: t.configuration().Items(), View: &view, Fleet: &fleet})
	})
}

func (n *node) view() (view membership.View) {
	n.store.read(func(t *tables) { view = t.view })
	return view
}

// adoptView persists and publishes a view that is newer than the present one.
func (n *node) adoptView(view membership.View) bool {
	return n.store.persist(func(t *tables) []record {
		if view.Epoch <= t.view.Epoch {
			return nil
		}
		r := record{View: &view}
		t.apply(r)
		n.hub.Publish(feed.Update{View: &view})
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

// contactAddresses lists the addresses to ask for the present view: those of the known
// members and the seeds.
func (n *node) contactAddresses() []string {
	return membership.FirstView(append(n.seedAddresses(), n.view().Members...)).Members
}
