package proxy

import (
	"bytes"
	"context"
	"crypto/sha256"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
	"ploverhitch/internal/mirror"
	"ploverhitch/internal/upstream"
)

// startMirrorWorkers starts the workers that process the queue until the context
// ends.
func (p *proxy) startMirrorWorkers(ctx context.Context) {
	for range mirrorWorkers {
		go clock.Consume(ctx, p.trafficMirror.queue, p.sendMirrored)
	}
}

// sendMirrored sends a mirrored request to a server of the shadow and compares the
// response with the original one.
func (p *proxy) sendMirrored(job mirrorJob) {
	server := p.snapshot.Load().balancer.HomeServer(job.mirror.Shadow, job.position)
	if server == nil {
		job.recorder.AddGap(job.hash, job.era, "the shadow has no server")
		return
	}
	if !p.outbound.Idle() || !p.inbound.Idle() {
		// Original requests have precedence on the link.
		job.recorder.AddGap(job.hash, job.era, "the link was busy")
		return
	}
	bufferBytes := int64(mirrorBufferBytes)
	if job.route.RouteType == config.Download || !job.bodyComplete {
		bufferBytes = 0
	}
	start := time.Now()
	deadline := start.Add(job.timeout)
	response, err := p.trafficMirror.poolOf(server).Deliver(upstream.Delivery{
		Request: job.request, Deadline: deadline, ResponseDeadline: deadline, ConnectTimeout: serverConnectTimeout, BufferLimit: bufferBytes, Inbound: p.inbound, Outbound: p.outbound,
		MaySend: func() bool { return p.maySendMirrored(job.mirror, server) },
	})
	latency := time.Since(start)
	if err != nil && errors.Is(err, upstream.ErrNotSent) {
		job.recorder.AddGap(job.hash, job.era, "the copy could not be sent")
		return
	}
	example := mirror.Example{
		Route: job.route.Name, Attempt: job.request.Attempt, Outcome: job.compare(response, err, latency), LiveStatus: job.status,
		LiveMs: job.liveLatency.Milliseconds(), ShadowMs: latency.Milliseconds(),
	}
	if response != nil {
		example.ShadowStatus = response.Status
		response.Finish(false)
	}
	job.recorder.AddComparison(job.hash, job.era, example)
}

// maySendMirrored is the last check before the first byte is sent: the server must
// still be listed under the same address, ready, and belong to a shadow that no route
// delivers to, and the grant of the mirror must be valid.
func (p *proxy) maySendMirrored(m *config.Mirror, server *balancer.Endpoint) bool {
	s := p.snapshot.Load()
	current, listed := s.balancer.Find(server.ID)
	if !listed || current.Address != server.Address || current.Service != m.Shadow || !current.IsReady || current.Leaving() {
		return false
	}
	_, granted := s.mirrorGrant(m)
	return granted && s.grantsValid(p.clock.Monotonic()) && !s.routingTable.HasRouteTo(m.Shadow)
}

// compare classifies the result of a mirrored request against the original.
func (j *mirrorJob) compare(response *upstream.Response, err error, latency time.Duration) mirror.Outcome {
	switch {
	case err != nil:
		return mirror.NoResponse
	case response.IsNotExecuted():
		return mirror.Refused
	case response.Status/100 != j.status/100:
		return mirror.StatusDiffers
	case response.Remainder != nil || !j.bodyComplete:
		if response.Length != j.length {
			return mirror.BodyDiffers
		}
	default:
		if sum := sha256.Sum256(response.Body); !bytes.Equal(sum[:], j.bodyDigest[:]) {
			return mirror.BodyDiffers
		}
	}
	if mirror.IsSlow(j.liveLatency, latency) {
		return mirror.Slow
	}
	return mirror.Same
}
