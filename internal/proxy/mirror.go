package proxy

import (
	"crypto/sha256"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/config"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/mirror"
	"ploverhitch/internal/upstream"
)

const (
	mirrorQueueSize   = 64
	mirrorWorkers     = 2
	mirrorBufferBytes = 64 << 10
	// mirrorWindowBytes limits how much a shadow may send of a response that is not
	// read to its end.
	mirrorWindowBytes = 4 << 10
)

// mirrorJob is a mirrored request that waits in the queue, with the result of the
// original.
type mirrorJob struct {
	mirror   *config.Mirror
	recorder *mirror.Recorder
	request  *upstream.Request
	route    *config.Route
	hash     uint64
	era      uint64
	position balancer.RingPosition
	timeout  time.Duration
	// The response to the original: its status, its length, the digest of its body
	// if bodyComplete, and its latency.
	status       int
	length       int64
	bodyDigest   [sha256.Size]byte
	bodyComplete bool
	liveLatency  time.Duration
}

// mirrorSender sends mirrored requests outside the request path. Jobs that do not fit
// into its queue are dropped.
type mirrorSender struct {
	queue     chan mirrorJob
	lock      sync.Mutex
	recorders map[string]*mirror.Recorder
	pools     map[string]*upstream.Pool
}

func newMirrorSender() *mirrorSender {
	return &mirrorSender{queue: make(chan mirrorJob, mirrorQueueSize), recorders: map[string]*mirror.Recorder{}, pools: map[string]*upstream.Pool{}}
}

// closeUnlisted closes the connections to servers that are no longer listed under their address.
func (m *mirrorSender) closeUnlisted(servers []feed.Server) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if len(m.pools) == 0 {
		return
	}
	listed := make(map[string]bool, len(servers))
	for _, server := range servers {
		listed[poolName(server)] = true
	}
	for name, pool := range m.pools {
		if !listed[name] {
			pool.Close()
			delete(m.pools, name)
		}
	}
}

func poolName(server feed.Server) string { return server.ID + " " + server.Address }

// recorderOf returns the recorder of a mirror.
func (m *mirrorSender) recorderOf(name string) *mirror.Recorder {
	m.lock.Lock()
	defer m.lock.Unlock()
	recorder := m.recorders[name]
	if recorder == nil {
		recorder = mirror.NewRecorder()
		m.recorders[name] = recorder
	}
	return recorder
}

// poolOf returns the connection pool of a shadow server. It is separate from the
// pools of the request path.
func (m *mirrorSender) poolOf(server *balancer.Endpoint) *upstream.Pool {
	m.lock.Lock()
	defer m.lock.Unlock()
	name := poolName(server.Server)
	pool := m.pools[name]
	if pool == nil {
		pool = &upstream.Pool{Address: server.Address, Instance: server.ID, ReceiveWindow: mirrorWindowBytes}
		m.pools[name] = pool
	}
	return pool
}

// offerMirror queues the mirrored copy of a request after its client has the
// response. response is nil if there was none; mayHaveExecuted reports that the request
// may have been executed without one.
func (p *proxy) offerMirror(req *clientRequest, response *upstream.Response, mayHaveExecuted bool) {
	if req == nil || req.route == nil || req.route.Mirror == nil || req.replayed || response == nil && !mayHaveExecuted {
		return
	}
	m := req.route.Mirror
	grant, granted := req.snapshot.mirrorGrant(m)
	if !granted {
		return
	}
	recorder := p.trafficMirror.recorderOf(m.Name)
	conversation := m.Conversation(req.Header, req.key.Key, req.clientAddress)
	samplePoint := m.SamplePoint(req.route.Host, conversation)
	if samplePoint >= grant.Share {
		return
	}
	hasher := fnv.New64a()
	_, _ = hasher.Write([]byte(req.route.Host + "\x00" + conversation))
	hash := hasher.Sum64()
	recorder.SetGrant(grant)
	number, era := recorder.AddOriginal(hash, samplePoint)
	switch {
	case response == nil:
		recorder.AddGap(hash, era, "the original's outcome is not known")
		return
	case !req.snapshot.grantsValid(p.clock.Monotonic()):
		recorder.AddGap(hash, era, "the order had lapsed here")
		return
	}
	job := mirrorJob{
		mirror: m, recorder: recorder, route: req.route, hash: hash, era: era, position: balancer.RingPosition(hash), timeout: time.Until(req.deadline) + time.Since(req.arrivedAt),
		status: response.Status, length: response.Length, liveLatency: req.duration,
	}
	if job.bodyComplete = response.Remainder == nil; job.bodyComplete {
		job.bodyDigest = sha256.Sum256(response.Body)
	}
	mirrored := *req.Request
	mirrored.Header = req.Header.Clone()
	mirrored.Header.Set(mirror.ShadowHeader, fmt.Sprintf("%s; version=%d; node=%s; number=%d; at=%d; settled=%t",
		m.Name, m.Version, p.settings.Load().Platform.NodeName, number, p.clock.Wall().UnixMilli(), grant.Settled))
	job.request = &mirrored
	select {
	case p.trafficMirror.queue <- job:
	default:
		recorder.AddGap(hash, era, "the inbox was full")
	}
}

// mirrorGrant returns the last grant that this node received for a mirror, even if it
// has expired.
func (s *snapshot) mirrorGrant(m *config.Mirror) (grant mirror.Grant, ok bool) {
	for _, grant = range s.mirrorGrants {
		if grant.Name == m.Name && grant.Version == uint64(m.Version) {
			return grant, true
		}
	}
	return mirror.Grant{}, false
}

// mirrorStatus returns the results of all mirrors on this node.
func (p *proxy) mirrorStatus(struct{}) messages.MirrorStatus {
	result := messages.MirrorStatus{Node: p.settings.Load().Platform.NodeName, Incarnation: p.incarnation, Pages: map[string]mirror.Results{}}
	for name, recorder := range p.trafficMirror.allRecorders() {
		result.Pages[name] = recorder.Results()
	}
	return result
}

func (m *mirrorSender) allRecorders() map[string]*mirror.Recorder {
	m.lock.Lock()
	defer m.lock.Unlock()
	result := map[string]*mirror.Recorder{}
	for name, recorder := range m.recorders {
		result[name] = recorder
	}
	return result
}

// tallies returns the counts of mirrored requests for the report.
func (m *mirrorSender) tallies() (result []mirror.CountDelta) {
	for name, recorder := range m.allRecorders() {
		result = append(result, recorder.TakeDelta(name))
	}
	return result
}
