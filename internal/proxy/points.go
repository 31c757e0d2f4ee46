// Package proxy is the proxy: it takes clients' inquiries and decides for each
// whether it is delivered, replayed, resumed or refused.
package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/juju/errors"

	"ploverhitch/internal/agent"
	"ploverhitch/internal/balancer"
	"ploverhitch/internal/bandwidth"
	"ploverhitch/internal/branchline"
	"ploverhitch/internal/config"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/loopline"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/outlier"
	"ploverhitch/internal/rpc"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/shedding"
	"ploverhitch/internal/timetable"
)

// Note is how the programs log.
type Note = func(level, text string, pairs ...any)

// sight is what an inquiry reads: one immutable view of everything.
type sight struct {
	sheet *config.Sheet
	yard  *balancer.Yard
	// tree is the sites, site this node's own.
	tree    *branchline.Tree
	site    string
	servers []feed.Server
	view    membership.View
	digest  string
	proxies int
	// shares, holder and reading are those of the fleet, heard when it came.
	shares  []feed.Share
	holder  string
	reading feed.Reading
	heard   timetable.Steady
	// stages are the staged changes under way.
	stages  []stagedChange
	isWhole bool
	// cutoffs are what is turned away, mirrors what is copied, by the fleet's
	// grants.
	cutoffs []shedding.Cutoff
	mirrors []loopline.Grant
}

// proxy is one points process.
type proxy struct {
	set      atomic.Pointer[settings.Settings]
	clock    timetable.Clock
	note     Note
	sight    atomic.Pointer[sight]
	loop     *timetable.Loop[feed.News]
	board    *feed.Board
	follower *feed.Follower
	// isLeaving is set by SIGTERM.
	isLeaving atomic.Bool
	active    atomic.Int64
	serve     endpoint.Endpoint

	lock    sync.Mutex
	lines   map[string]*rpc.Line
	budgets map[string]*balancer.Budget
	paces   sync.Map
	// runs are the placed operations at work, by their inquiry.
	runs   sync.Map
	recent recent
	life   string
	tries  atomic.Uint64
	// in and out are the two directions of the machine's link.
	in, out *bandwidth.Track
	bulk    *bandwidth.Passing
	// box counts outcomes, allowances what versions on trial may have.
	box        *outlier.Box
	allowances sync.Map
	// purse holds what this node may use of other sites' room.
	purse *branchline.Purse
	// gate decides what is turned away under overload, copier what is copied.
	gate   *loadShedder
	copier *mirrorSender
}

const (
	coreConnect   = 300 * time.Millisecond
	coreSilence   = 1500 * time.Millisecond
	headerSpan    = 3 * time.Second
	idleSpan      = 15 * time.Second
	headerCeiling = 256 << 10
)

// Run runs a proxy until the context ends, and then lets it leave in order.
//
// Example:
//
//	err := proxy.Run(ctx, set, path, note)
func Run(ctx context.Context, set *settings.Settings, path string, note Note) error {
	p := newProxy(set, timetable.Real(), note)
	outer, err := net.Listen("tcp4", set.Platform.Bind.ClientHttp)
	if err != nil {
		return errors.Annotate(err, "client address")
	}
	clients := &front{outer.(*net.TCPListener), p.clientLimits}
	ready, err := net.Listen("tcp4", set.Platform.Bind.Readiness)
	if err != nil {
		return errors.Annotate(err, "readiness address")
	}
	asked, err := p.serveOperators()
	if err != nil {
		return err
	}
	defer asked.Close()
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	go settings.Watch(inner, path, func(changed *settings.Settings) { p.set.Store(changed) }, func(err error) { note("warn", "settings", "error", err) })
	go p.loop.Run(inner, p.learn, 0, nil)
	near := rpc.NewLine(agent.LoopbackAddress(set), coreConnect, coreSilence)
	p.follower = feed.NewFollower("points", near, p.loop.Put, 50*time.Millisecond)
	go p.follower.Run(inner)
	go p.reportPeriodically(inner)
	p.startMirrorWorkers(inner)
	server := &http.Server{
		Handler: http.HandlerFunc(p.handle), ReadHeaderTimeout: headerSpan, IdleTimeout: idleSpan,
		MaxHeaderBytes: headerCeiling, ConnState: noteState,
	}
	go func() {
		_ = (&http.Server{Handler: http.HandlerFunc(p.handleReady), ReadHeaderTimeout: headerSpan}).Serve(ready)
	}()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(clients) }()
	select {
	case err := <-failed:
		return errors.Trace(err)
	case <-ctx.Done():
	}
	return p.shutDown(server)
}

func newProxy(set *settings.Settings, clock timetable.Clock, note Note) *proxy {
	p := &proxy{
		clock: clock, note: note, loop: timetable.NewLoop[feed.News](256), board: feed.NewBoard(),
		lines: map[string]*rpc.Line{}, budgets: map[string]*balancer.Budget{}, life: newLife(), box: outlier.NewBox(), purse: branchline.NewPurse(clock),
		gate: newLoadShedder(clock), copier: newMirrorSender(),
	}
	p.set.Store(set)
	home := balancer.Home{Node: set.Platform.NodeName, Cell: set.Platform.Cell, Set: set.Tuning.WorkingSet}
	p.in = bandwidth.NewTrack(set.Platform.Limits.LinkMbps, clock)
	p.out = bandwidth.NewTrack(set.Platform.Limits.LinkMbps, clock)
	p.bulk = bandwidth.NewPassing(p.out)
	p.sight.Store(&sight{sheet: config.Book{}.Compile(), yard: balancer.NewYard(home)})
	p.serve = endpoint.Chain(p.admitting, p.limitingDownloads, p.replaying)(p.delivering)
	return p
}

// learn is the owner of the board: it merges news and lays a new sight.
func (p *proxy) learn(batch []feed.News) {
	old := p.sight.Load()
	next := *old
	isNew := false
	var leaving []string
	for _, news := range batch {
		if !p.board.Fits(news) {
			p.follower.Again()
		}
		fresh, isFresh := p.board.Merge(news)
		isNew = isNew || isFresh
		if len(fresh.Items) > 0 {
			next.sheet = nil
		}
		if fresh.Fleet != nil {
			next.take(p.board.Serving(), p.clock.Steady())
			p.copier.closeUnlisted(next.servers)
		}
		leaving = append(leaving, fresh.Leaving...)
	}
	next.yard.Leave(leaving)
	if !isNew {
		return
	}
	isNewBook := next.sheet == nil
	if isNewBook {
		next.sheet, next.digest = p.board.Book.Compile(), p.board.Book.Digest()
		platform := p.set.Load().Platform
		if tree, err := p.board.Book.Tree(platform.Cells); err == nil {
			next.tree, next.site = tree, tree.SiteOf("", platform.Cell)
		}
	}
	if len(next.stages)+len(p.board.Fleet.Stages) > 0 {
		next.updateStaged(p.board.Fleet.Stages, p.board.Book, isNewBook, p.set.Load().Platform.NodeName)
	}
	next.isWhole = p.board.IsWhole
	if p.board.View.Epoch > next.view.Epoch {
		next.view = p.board.View
	}
	wasReady := p.isReady()
	p.sight.Store(&next)
	if !wasReady && p.isReady() {
		p.note("info", "ready", "lanes", next.sheet.Lanes, "servers", next.yard.Size())
	}
}

func (p *proxy) isReady() bool {
	s := p.sight.Load()
	return s.isWhole && s.sheet.Lanes > 0 && s.yard.Size() > 0 && !p.isLeaving.Load()
}

func (p *proxy) line(address string) *rpc.Line {
	p.lock.Lock()
	defer p.lock.Unlock()
	line := p.lines[address]
	if line == nil {
		line = rpc.NewLine(address, coreConnect, coreSilence)
		line.Again, line.Sent = func() { p.retell(line) }, p.out.Note
		p.lines[address] = line
	}
	return line
}

func (p *proxy) budget(service string) *balancer.Budget {
	p.lock.Lock()
	defer p.lock.Unlock()
	budget := p.budgets[service]
	if budget == nil {
		bounds := p.set.Load().Platform.Bounds
		floor := func() float64 { return balancer.Floor(bounds.RetrySlack, p.sight.Load().proxies) }
		budget = balancer.NewBudget(bounds.RetryBudgetRatio, bounds.RetryWindow.Std(), floor, p.clock)
		p.budgets[service] = budget
	}
	return budget
}
