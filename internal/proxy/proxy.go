// Package proxy implements the proxy process. It accepts client requests and decides for
// each whether it is forwarded to a server, answered from a stored record, held until the
// outcome of an earlier attempt is known, or rejected.
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
	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/mirror"
	"ploverhitch/internal/outlier"
	"ploverhitch/internal/rpc"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/shedding"
	"ploverhitch/internal/sites"
)

// LogFunc writes a log line of the given level with key-value pairs.
type LogFunc = func(level, text string, pairs ...any)

// snapshot is the configuration and fleet state that a request is handled with. It is
// replaced as a whole.
type snapshot struct {
	routingTable *config.RoutingTable
	balancer     *balancer.ServerSet
	// localSite is this node's site.
	sites        *sites.Tree
	localSite    string
	servers      []feed.Server
	view         membership.View
	configDigest string
	proxyCount   int
	// canaryShares, leader and fleetVersion come from the fleet state received at
	// fleetReceivedAt; leader is the address that reports are sent to.
	canaryShares    []feed.CanaryShare
	leader          string
	fleetVersion    feed.FleetVersion
	fleetReceivedAt clock.Instant
	// stagedChanges are the staged changes in progress.
	stagedChanges []stagedChange
	// complete is set once the whole configuration has been received.
	complete bool
	// cutoffs and mirrorGrants are the fleet's grants to shed load and to mirror
	// requests.
	cutoffs      []shedding.Cutoff
	mirrorGrants []mirror.Grant
}

// proxy is the state of one proxy process.
type proxy struct {
	settings   atomic.Pointer[settings.Settings]
	clock      clock.Clock
	log        LogFunc
	snapshot   atomic.Pointer[snapshot]
	updateLoop *clock.Loop[feed.Update]
	replica    *feed.Replica
	follower   *feed.Follower
	// draining is set on SIGTERM.
	draining       atomic.Bool
	activeRequests atomic.Int64
	serve          endpoint.Endpoint

	mu           sync.Mutex
	connections  map[string]*rpc.Client
	outcomeLanes map[string]*outcomeLane
	retryBudgets map[string]*balancer.RetryBudget
	routeStats   sync.Map
	// runningOperations holds the running ring-placed operations by their request.
	runningOperations sync.Map
	recentIntents     recentIntents
	incarnation       string
	attemptCount      atomic.Uint64
	// rejectedCalls counts calls that control nodes rejected, undecodableReplies their replies
	// that could not be decoded.
	rejectedCalls, undecodableReplies atomic.Uint64
	// inbound and outbound track the two directions of the machine's network link.
	inbound, outbound *bandwidth.Pacer
	downloads         *bandwidth.BulkLimiter
	// bodyMemory limits the memory of request bodies.
	bodyMemory *bodyMemory
	// outcomes counts attempt outcomes for the reports to the control plane.
	outcomes *outlier.Recorder
	// canaryAllowances limits, by service, the requests sent to a canary version.
	canaryAllowances sync.Map
	// siteCapacity holds what this node may use of other sites' capacity.
	siteCapacity *sites.NodeLeases
	// shedder decides which requests are shed under overload, trafficMirror sends copies
	// of requests to mirrors.
	shedder       *loadShedder
	trafficMirror *mirrorSender
}

const (
	controlConnectTimeout = 300 * time.Millisecond
	controlSilenceTimeout = 1500 * time.Millisecond
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
	maxHeaderBytes        = 256 << 10
)

// Run runs a proxy until ctx ends and then drains it. It reloads the settings on SIGHUP
// or when the file at settingsPath changes.
func Run(ctx context.Context, cfg *settings.Settings, settingsPath string, log LogFunc) error {
	p := newProxy(cfg, clock.Real(), log)
	tcpListener, err := net.Listen("tcp4", cfg.Platform.Bind.ClientHTTP)
	if err != nil {
		return errors.Annotate(err, "listen on the client address")
	}
	listener := &clientListener{tcpListener.(*net.TCPListener), p.clientTimeouts}
	readinessListener, err := net.Listen("tcp4", cfg.Platform.Bind.Readiness)
	if err != nil {
		return errors.Annotate(err, "listen on the readiness address")
	}
	operatorListener, err := p.serveOperators()
	if err != nil {
		return err
	}
	defer operatorListener.Close()
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go settings.Watch(runCtx, settingsPath, func(updated *settings.Settings) { p.settings.Store(updated) }, func(err error) { log("warn", "cannot reload settings", "error", err) })
	go p.updateLoop.Run(runCtx, p.applyUpdates, 0, nil)
	agentConn := rpc.NewClient(agent.LoopbackAddress(cfg), controlConnectTimeout, controlSilenceTimeout)
	// The follower's name is sent to the agent.
	p.follower = feed.NewFollower("points", agentConn, p.updateLoop.Put, 50*time.Millisecond)
	go p.follower.Run(runCtx)
	go p.reportPeriodically(runCtx)
	p.startMirrorWorkers(runCtx)
	server := p.newClientServer()
	go func() {
		_ = (&http.Server{Handler: http.HandlerFunc(p.handleReady), ReadHeaderTimeout: defaultHeaderTimeout}).Serve(readinessListener)
	}()
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return errors.Trace(err)
	case <-ctx.Done():
	}
	return p.shutDown(server)
}

// newClientServer returns the HTTP server for clients. It answers no request by itself that it can parse:
// also "OPTIONS *" goes to the handler.
func (p *proxy) newClientServer() *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(p.handle), ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnState: recordConnState, DisableGeneralOptionsHandler: true,
	}
}

func newProxy(cfg *settings.Settings, timeSource clock.Clock, log LogFunc) *proxy {
	p := &proxy{
		clock: timeSource, log: log, updateLoop: clock.NewLoop[feed.Update](256), replica: feed.NewReplica(),
		connections: map[string]*rpc.Client{}, outcomeLanes: map[string]*outcomeLane{}, retryBudgets: map[string]*balancer.RetryBudget{}, incarnation: newIncarnation(), outcomes: outlier.NewRecorder(), siteCapacity: sites.NewNodeLeases(timeSource),
		shedder: newLoadShedder(timeSource), trafficMirror: newMirrorSender(),
	}
	p.settings.Store(cfg)
	locality := balancer.Locality{Node: cfg.Platform.NodeName, Zone: cfg.Platform.Zone, SubsetSize: int(cfg.Tuning.SubsetSize)}
	p.inbound = bandwidth.NewPacer(cfg.Platform.Limits.LinkMbps, timeSource)
	p.outbound = bandwidth.NewPacer(cfg.Platform.Limits.LinkMbps, timeSource)
	p.bodyMemory = newBodyMemory(cfg.Platform.Limits.MemoryMB)
	p.downloads = bandwidth.NewBulkLimiter(p.outbound)
	p.snapshot.Store(&snapshot{routingTable: config.ItemSet{}.Compile(), balancer: balancer.NewServerSet(locality)})
	p.serve = endpoint.Chain(p.admissionMiddleware, p.limitingDownloads, p.idempotencyMiddleware)(p.forward)
	return p
}

// applyUpdates merges a batch of updates into the replica and stores a new snapshot. Only
// the update loop calls it, so it needs no lock on the replica.
func (p *proxy) applyUpdates(batch []feed.Update) {
	previous := p.snapshot.Load()
	next := *previous
	changed := false
	var leavingIDs []string
	for _, update := range batch {
		if !p.replica.CanApply(update) {
			p.follower.RequestSnapshot()
		}
		merged, updated := p.replica.Merge(update)
		changed = changed || updated
		if len(merged.Items) > 0 {
			next.routingTable = nil
		}
		if merged.Fleet != nil {
			next.applyFleet(p.replica.ServingFleet(), p.clock.Monotonic())
			p.trafficMirror.closeUnlisted(next.servers)
		}
		leavingIDs = append(leavingIDs, merged.Leaving...)
	}
	next.balancer.MarkLeaving(leavingIDs)
	if !changed {
		return
	}
	configChanged := next.routingTable == nil
	if configChanged {
		next.routingTable, next.configDigest = p.replica.Items.Compile(), p.replica.Items.Digest()
		platform := p.settings.Load().Platform
		if sites, err := p.replica.Items.Tree(platform.Zones); err == nil {
			next.sites, next.localSite = sites, sites.SiteOf("", platform.Zone)
		}
	}
	if len(next.stagedChanges)+len(p.replica.Fleet.Stages) > 0 {
		next.updateStaged(p.replica.Fleet.Stages, p.replica.Items, configChanged, p.settings.Load().Platform.NodeName)
	}
	next.complete = p.replica.Complete
	if p.replica.View.Epoch > next.view.Epoch {
		next.view = p.replica.View
	}
	wasReady := p.isReady()
	p.snapshot.Store(&next)
	if !wasReady && p.isReady() {
		p.log("info", "proxy is ready", "routes", next.routingTable.RouteCount, "servers", next.balancer.Size())
	}
}

// isReady reports whether the proxy has its whole configuration with a route and a
// server, and is not draining.
func (p *proxy) isReady() bool {
	s := p.snapshot.Load()
	return s.complete && s.routingTable.RouteCount > 0 && s.balancer.Size() > 0 && !p.draining.Load()
}
