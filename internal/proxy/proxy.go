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
type LogFunc = func(level, text string, pairs ...any)

// sight is what an inquiry reads: one immutable view of everything.
type snapshot struct {
	manifest *config.Sheet
	balancer *balancer.Yard
	// tree is the sites, site this node's own.
	sites          *branchline.Tree
	localSite      string
	servers        []feed.Server
	view           membership.View
	manifestDigest string
	proxyCount     int
	// shares, holder and reading are those of the fleet, heard when it came.
	trialShares     []feed.Share
	holder          string
	fleetVersion    feed.Reading
	fleetReceivedAt timetable.Steady
	// stages are the staged changes under way.
	stagedChanges []stage
	complete      bool
	// cutoffs are what is turned away, mirrors what is copied, by the fleet's
	// grants.
	cutoffs      []shedding.Cutoff
	mirrorGrants []loopline.Grant
}

// proxy is one points process.
type proxy struct {
	settings   atomic.Pointer[settings.Settings]
	clock      timetable.Clock
	log        LogFunc
	snapshot   atomic.Pointer[snapshot]
	updateLoop *timetable.Loop[feed.News]
	replica    *feed.Board
	follower   *feed.Follower
	// isLeaving is set by SIGTERM.
	draining       atomic.Bool
	activeRequests atomic.Int64
	serve          endpoint.Endpoint

	mu           sync.Mutex
	connections  map[string]*rpc.Line
	retryBudgets map[string]*balancer.Budget
	routeStats   sync.Map
	// runs are the placed operations at work, by their inquiry.
	runningOperations sync.Map
	recentIntents     recentIntents
	incarnation       string
	attemptCount      atomic.Uint64
	// in and out are the two directions of the machine's link.
	inbound, outbound *bandwidth.Track
	downloads         *bandwidth.Passing
	// box counts outcomes, allowances what versions on trial may have.
	outcomes        *outlier.Box
	trialAllowances sync.Map
	// purse holds what this node may use of other sites' room.
	siteCapacity *branchline.Purse
	// gate decides what is turned away under overload, copier what is copied.
	shedder       *gate
	trafficMirror *copier
}

const (
	controlConnectTimeout = 300 * time.Millisecond
	controlSilenceTimeout = 1500 * time.Millisecond
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
	maxHeaderBytes        = 256 << 10
)

// Run runs a proxy until the context ends, and then lets it leave in order.
//
// Example:
//
//	err := proxy.Run(ctx, set, path, note)
func Run(ctx context.Context, cfg *settings.Settings, settingsPath string, log LogFunc) error {
	p := newProxy(cfg, timetable.Real(), log)
	tcpListener, err := net.Listen("tcp4", cfg.Platform.Bind.ClientHttp)
	if err != nil {
		return errors.Annotate(err, "client address")
	}
	listener := &clientListener{tcpListener.(*net.TCPListener), p.clientTimeouts}
	readinessListener, err := net.Listen("tcp4", cfg.Platform.Bind.Readiness)
	if err != nil {
		return errors.Annotate(err, "readiness address")
	}
	operatorListener, err := p.answerOperators()
	if err != nil {
		return err
	}
	defer operatorListener.Close()
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go settings.Watch(runCtx, settingsPath, func(updated *settings.Settings) { p.settings.Store(updated) }, func(err error) { log("warn", "settings", "error", err) })
	go p.updateLoop.Run(runCtx, p.applyUpdates, 0, nil)
	agentConn := rpc.NewLine(agent.LoopbackAddress(cfg), controlConnectTimeout, controlSilenceTimeout)
	p.follower = feed.NewFollower("points", agentConn, p.updateLoop.Put, 50*time.Millisecond)
	go p.follower.Run(runCtx)
	go p.reportOn(runCtx)
	p.copyOn(runCtx)
	server := &http.Server{
		Handler: http.HandlerFunc(p.handle), ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnState: recordConnState,
	}
	go func() {
		_ = (&http.Server{Handler: http.HandlerFunc(p.ready), ReadHeaderTimeout: defaultHeaderTimeout}).Serve(readinessListener)
	}()
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return errors.Trace(err)
	case <-ctx.Done():
	}
	return p.leave(server)
}

func newProxy(cfg *settings.Settings, clock timetable.Clock, log LogFunc) *proxy {
	p := &proxy{
		clock: clock, log: log, updateLoop: timetable.NewLoop[feed.News](256), replica: feed.NewBoard(),
		connections: map[string]*rpc.Line{}, retryBudgets: map[string]*balancer.Budget{}, incarnation: newIncarnation(), outcomes: outlier.NewBox(), siteCapacity: branchline.NewPurse(clock),
		shedder: newGate(clock), trafficMirror: newCopier(),
	}
	p.settings.Store(cfg)
	locality := balancer.Home{Node: cfg.Platform.NodeName, Cell: cfg.Platform.Cell, Set: cfg.Tuning.WorkingSet}
	p.inbound = bandwidth.NewTrack(cfg.Platform.Limits.LinkMbps, clock)
	p.outbound = bandwidth.NewTrack(cfg.Platform.Limits.LinkMbps, clock)
	p.downloads = bandwidth.NewPassing(p.outbound)
	p.snapshot.Store(&snapshot{manifest: config.Book{}.Compile(), balancer: balancer.NewYard(locality)})
	p.serve = endpoint.Chain(p.admissionMiddleware, p.passing, p.idempotencyMiddleware)(p.forward)
	return p
}

// learn is the owner of the board: it merges news and lays a new sight.
func (p *proxy) applyUpdates(batch []feed.News) {
	previous := p.snapshot.Load()
	next := *previous
	changed := false
	var leavingIDs []string
	for _, update := range batch {
		if !p.replica.Fits(update) {
			p.follower.Again()
		}
		merged, updated := p.replica.Merge(update)
		changed = changed || updated
		if len(merged.Items) > 0 {
			next.manifest = nil
		}
		if merged.Fleet != nil {
			next.applyFleet(p.replica.Serving(), p.clock.Steady())
			p.trafficMirror.keep(next.servers)
		}
		leavingIDs = append(leavingIDs, merged.Leaving...)
	}
	next.balancer.Leave(leavingIDs)
	if !changed {
		return
	}
	manifestChanged := next.manifest == nil
	if manifestChanged {
		next.manifest, next.manifestDigest = p.replica.Book.Compile(), p.replica.Book.Digest()
		platform := p.settings.Load().Platform
		if sites, err := p.replica.Book.Tree(platform.Cells); err == nil {
			next.sites, next.localSite = sites, sites.SiteOf("", platform.Cell)
		}
	}
	if len(next.stagedChanges)+len(p.replica.Fleet.Stages) > 0 {
		next.layStages(p.replica.Fleet.Stages, p.replica.Book, manifestChanged, p.settings.Load().Platform.NodeName)
	}
	next.complete = p.replica.IsWhole
	if p.replica.View.Epoch > next.view.Epoch {
		next.view = p.replica.View
	}
	wasReady := p.isReady()
	p.snapshot.Store(&next)
	if !wasReady && p.isReady() {
		p.log("info", "ready", "lanes", next.manifest.Lanes, "servers", next.balancer.Size())
	}
}

func (p *proxy) isReady() bool {
	s := p.snapshot.Load()
	return s.complete && s.manifest.Lanes > 0 && s.balancer.Size() > 0 && !p.draining.Load()
}

func (p *proxy) connection(address string) *rpc.Line {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.connections[address]
	if conn == nil {
		conn = rpc.NewLine(address, controlConnectTimeout, controlSilenceTimeout)
		conn.Again, conn.Sent = func() { p.resendRecent(conn) }, p.outbound.Note
		p.connections[address] = conn
	}
	return conn
}

func (p *proxy) retryBudget(service string) *balancer.Budget {
	p.mu.Lock()
	defer p.mu.Unlock()
	budget := p.retryBudgets[service]
	if budget == nil {
		bounds := p.settings.Load().Platform.Bounds
		floor := func() float64 { return balancer.Floor(bounds.RetrySlack, p.snapshot.Load().proxyCount) }
		budget = balancer.NewBudget(bounds.RetryBudgetRatio, bounds.RetryWindow.Std(), floor, p.clock)
		p.retryBudgets[service] = budget
	}
	return budget
}
