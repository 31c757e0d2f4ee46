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
	connectSpan = 400 * time.Millisecond
	silenceSpan = 2 * time.Second
	askSpan     = 350 * time.Millisecond
	keepSpan    = 450 * time.Millisecond
)

// node is one control process.
type node struct {
	set   atomic.Pointer[settings.Settings]
	self  string
	clock timetable.Clock
	note  func(level, text string, pairs ...any)
	store *store
	hub   *feed.Hub
	calls rpc.Handlers

	lock  sync.Mutex
	lines map[string]*rpc.Line

	// watch and newcomers belong to the membership loop.
	watch      *membership.Watch
	memberLoop *timetable.Loop[func()]
	newcomers  map[string]timetable.Steady
	began      timetable.Steady
	isFit      atomic.Bool
	isHolder   atomic.Bool
	// myTerm is the term that this life of the process claimed.
	myTerm      atomic.Uint64
	isClaiming  atomic.Bool
	lease       *leaderLease
	contact     quorumContact
	isProposing atomic.Bool
	// isTakingOffer keeps the offers of many agents from being taken side by side.
	isTakingOffer atomic.Bool
	round         atomic.Uint64
	// heard is when each trial began.
	heard       sync.Map
	coordinator *coordinator
	listWatch   *listTracker
	// told is which reading of the fleet each member is known to have.
	told sync.Map
	// telling marks the members that a reading is on its way to.
	telling sync.Map

	registrar *registrar
	// proposer names this life of the process in ballots: a round number that is
	// used again after a restart must not make the same ballot.
	proposer string
	// lag is how far the intents are behind those of the other members.
	lag lag
}

// Run runs a control node until the context ends.
//
// Example:
//
//	err := control.Run(ctx, set, path, note)
func Run(ctx context.Context, set *settings.Settings, path string, note func(level, text string, pairs ...any)) error {
	// The process goes on for a moment after it was told to end.
	terminated := ctx.Done()
	ctx, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	n := &node{
		self: set.InternalAddress(set.Platform.Ip, 0), clock: timetable.Real(), note: note, hub: feed.NewHub(),
		lines: map[string]*rpc.Line{}, memberLoop: timetable.NewLoop[func()](256), newcomers: map[string]timetable.Steady{},
	}
	n.set.Store(set)
	n.proposer = ballotName(n.self)
	n.began = n.clock.Steady()
	n.watch = membership.NewWatch(n.clock, set.Tuning.SilentAfter.Std())
	n.lease = newLeaderLease(leaseDuration(set.Tuning))
	n.listWatch = newListTracker(n.began)
	if err := n.open(set); err != nil {
		return err
	}
	n.registrar = newRegistrar(n)
	n.coordinator = newCoordinator(n)
	n.calls = n.handlers()
	inner, err := net.Listen("tcp4", n.self)
	if err != nil {
		return errors.Annotate(err, "internal port")
	}
	defer inner.Close()
	outer, err := net.Listen("tcp4", set.Platform.Bind.ControlPlane)
	if err != nil {
		return errors.Annotate(err, "control plane")
	}
	go settings.Watch(ctx, path, func(changed *settings.Settings) { n.set.Store(changed) }, func(err error) { note("warn", "settings", "error", err) })
	go n.store.run(ctx)
	n.announce()
	go rpc.Serve(inner, n.calls, silenceSpan)
	go timetable.Every(ctx, set.Tuning.Beat.Std()/contactChecksPerHeartbeat, n.refreshQuorumContact)
	go n.memberLoop.Run(ctx, runAll, set.Tuning.Beat.Std(), n.heartbeat)
	go n.settle(ctx)
	go n.registrar.run(ctx)
	go n.replicate(ctx)
	go n.coordinator.run(ctx)
	go n.pollPlatform(ctx)
	server := &http.Server{Handler: n.control(), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}
	go func() {
		<-terminated
		n.releaseOnShutdown()
		n.leave()
		end()
		_ = server.Close()
	}()
	if err := server.Serve(outer); err != http.ErrServerClosed {
		return errors.Trace(err)
	}
	return nil
}

// open reads the disk.
func (n *node) open(set *settings.Settings) error {
	p, t := set.Platform, set.Tuning
	policy := idempotency.Policy{
		OpenLimit: t.OpenLimit, Retention: t.Retention.Std(), KeyWindow: p.Bounds.KeyWindow.Std(),
		Margin: 10 * time.Second, Bytes: tableBytes(p.Limits), Ceiling: p.Limits.MemoryMb << 20 * 2 / 5,
	}
	fail := func(err error) { n.note("error", "disk", "error", err) }
	disk, err := storage.Folder(p.DataDir)
	if err != nil {
		return err
	}
	if n.store, err = openStore(disk, policy, n.clock, fail); err != nil {
		return errors.Annotate(err, "data folder")
	}
	n.store.self = n.self
	n.store.tables.grantor = lease.NewGrantor(leaseDuration(t))
	if isNew := p.Bootstrap && n.store.tables.isEmpty; !isNew {
		n.store.tables.grantor.Wait(n.clock.Steady())
	}
	return nil
}

// tableBytes is what the intents may take: a quarter of the memory, and of the
// disk, where a checkpoint and the log beside it each hold them once.
func tableBytes(limits settings.Limits) int {
	bytes := limits.MemoryMb << 20 / 4
	if limits.DiskMb > 0 {
		bytes = min(bytes, limits.DiskMb<<20/4)
	}
	return bytes
}

// announce puts what the disk held into the feed.
func (n *node) announce() {
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
func (n *node) adopt(view membership.View) bool {
	return n.store.keep(func(t *tables) []record {
		if view.Epoch <= t.view.Epoch {
			return nil
		}
		r := record{View: &view}
		t.apply(r)
		n.hub.Publish(feed.News{View: &view})
		return []record{r}
	}, 2*time.Second)
}

func (n *node) seeds() (out []string) {
	set := n.set.Load()
	for _, seed := range set.Platform.SeedNodes {
		out = append(out, set.InternalAddress(seed, 0))
	}
	return out
}

// known is whom to ask for the present view: the members known and the seeds.
func (n *node) known() []string {
	return membership.FirstView(append(n.seeds(), n.view().Members...)).Members
}
