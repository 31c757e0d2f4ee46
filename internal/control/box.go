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

// box is one control process.
type box struct {
	set    atomic.Pointer[settings.Settings]
	self   string
	clock  timetable.Clock
	note   func(level, text string, pairs ...any)
	keeper *keeper
	hub    *feed.Hub
	calls  rpc.Handlers

	lock  sync.Mutex
	lines map[string]*rpc.Line

	// watch and newcomers belong to the roster's loop.
	watch     *membership.Watch
	roll      *timetable.Loop[func()]
	newcomers map[string]timetable.Steady
	began     timetable.Steady
	isFit     atomic.Bool
	isHolder  atomic.Bool
	// myTerm is the term that this life of the process claimed.
	myTerm      atomic.Uint64
	isClaiming  atomic.Bool
	lease       *dutyLease
	contact     contact
	isProposing atomic.Bool
	// isTakingOffer keeps the offers of many agents from being taken side by side.
	isTakingOffer atomic.Bool
	round         atomic.Uint64
	// heard is when each trial began.
	heard     sync.Map
	conductor *conductor
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
	b := &box{
		self: set.InternalAddress(set.Platform.Ip, 0), clock: timetable.Real(), note: note, hub: feed.NewHub(),
		lines: map[string]*rpc.Line{}, roll: timetable.NewLoop[func()](256), newcomers: map[string]timetable.Steady{},
	}
	b.set.Store(set)
	b.proposer = ballotName(b.self)
	b.began = b.clock.Steady()
	b.watch = membership.NewWatch(b.clock, set.Tuning.SilentAfter.Std())
	b.lease = newDutyLease(leaseSpan(set.Tuning))
	if err := b.open(set); err != nil {
		return err
	}
	b.registrar = newRegistrar(b)
	b.conductor = newConductor(b)
	b.calls = b.handlers()
	inner, err := net.Listen("tcp4", b.self)
	if err != nil {
		return errors.Annotate(err, "internal port")
	}
	defer inner.Close()
	outer, err := net.Listen("tcp4", set.Platform.Bind.ControlPlane)
	if err != nil {
		return errors.Annotate(err, "control plane")
	}
	go settings.Watch(ctx, path, func(changed *settings.Settings) { b.set.Store(changed) }, func(err error) { note("warn", "settings", "error", err) })
	go b.keeper.run(ctx)
	b.announce()
	go rpc.Serve(inner, b.calls, silenceSpan)
	go timetable.Every(ctx, set.Tuning.Beat.Std()/touchesPerBeat, b.touch)
	go b.roll.Run(ctx, actAll, set.Tuning.Beat.Std(), b.beat)
	go b.settle(ctx)
	go b.registrar.run(ctx)
	go b.replicate(ctx)
	go b.conductor.run(ctx)
	go b.pollPlatform(ctx)
	server := &http.Server{Handler: b.control(), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}
	go func() {
		<-terminated
		b.handOver()
		b.leave()
		end()
		_ = server.Close()
	}()
	if err := server.Serve(outer); err != http.ErrServerClosed {
		return errors.Trace(err)
	}
	return nil
}

// open reads the disk.
func (b *box) open(set *settings.Settings) error {
	p, t := set.Platform, set.Tuning
	policy := idempotency.Policy{
		OpenLimit: t.OpenLimit, Retention: t.Retention.Std(), KeyWindow: p.Bounds.KeyWindow.Std(),
		Margin: 10 * time.Second, Bytes: tableBytes(p.Limits), Ceiling: p.Limits.MemoryMb << 20 * 2 / 5,
	}
	fail := func(err error) { b.note("error", "disk", "error", err) }
	disk, err := storage.Folder(p.DataDir)
	if err != nil {
		return err
	}
	if b.keeper, err = openKeeper(disk, policy, b.clock, fail); err != nil {
		return errors.Annotate(err, "data folder")
	}
	b.keeper.self = b.self
	b.keeper.tables.grantor = lease.NewGrantor(leaseSpan(t))
	if isNew := p.Bootstrap && b.keeper.tables.isEmpty; !isNew {
		b.keeper.tables.grantor.Wait(b.clock.Steady())
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
func (b *box) announce() {
	b.keeper.read(func(t *tables) {
		view, fleet := t.view, t.fleet
		b.hub.Publish(feed.News{Items: t.book().Items(), View: &view, Fleet: &fleet})
	})
}

func (b *box) view() (view membership.View) {
	b.keeper.read(func(t *tables) { view = t.view })
	return view
}

// adopt takes a newer view, keeps it, and publishes it.
func (b *box) adopt(view membership.View) bool {
	return b.keeper.keep(func(t *tables) []record {
		if view.Epoch <= t.view.Epoch {
			return nil
		}
		r := record{View: &view}
		t.apply(r)
		b.hub.Publish(feed.News{View: &view})
		return []record{r}
	}, 2*time.Second)
}

func (b *box) seeds() (out []string) {
	set := b.set.Load()
	for _, seed := range set.Platform.SeedNodes {
		out = append(out, set.InternalAddress(seed, 0))
	}
	return out
}

// known is whom to ask for the present view: the members known and the seeds.
func (b *box) known() []string {
	return membership.FirstView(append(b.seeds(), b.view().Members...)).Members
}
