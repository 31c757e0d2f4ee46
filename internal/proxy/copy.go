package proxy

import (
	"bytes"
	"context"
	"crypto/sha256"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/config"
	"ploverhitch/internal/loopline"
	"ploverhitch/internal/timetable"
	"ploverhitch/internal/upstream"
)

// copyOn works through the inbox until the context ends.
func (p *proxy) copyOn(ctx context.Context) {
	for range copyWorkers {
		go timetable.Each(ctx, p.trafficMirror.inbox, p.copy)
	}
}

// copy sends one copy to a server of the shadow, and compares what comes.
func (p *proxy) copy(job copied) {
	server := p.snapshot.Load().balancer.Home(job.mirror.Shadow, job.place)
	if server == nil {
		job.record.Miss(job.hash, job.era, "the shadow has no server")
		return
	}
	if !p.outbound.IsFree() || !p.inbound.IsFree() {
		// The link is for originals.
		job.record.Miss(job.hash, job.era, "the link was busy")
		return
	}
	buffer := int64(copyBytes)
	if job.lane.RouteType == config.Download || !job.hasBody {
		buffer = 0
	}
	began := time.Now()
	due := began.Add(job.due)
	reply, err := p.trafficMirror.rack(server).Deliver(upstream.Order{
		Inquiry: job.inquiry, Due: due, Last: due, Connect: serverConnectTimeout, Buffer: buffer, In: p.inbound, Out: p.outbound,
		MaySend: func() bool { return p.mayCopy(job.mirror, server) },
	})
	took := time.Since(began)
	if err != nil && errors.Is(err, upstream.ErrNotSent) {
		job.record.Miss(job.hash, job.era, "the copy could not be sent")
		return
	}
	found := loopline.Example{
		Lane: job.lane.Name, Attempt: job.inquiry.Attempt, Outcome: job.compare(reply, err, took), Live: job.status,
		LiveMs: job.tookLive.Milliseconds(), TookMs: took.Milliseconds(),
	}
	if reply != nil {
		found.Shadow = reply.Status
		reply.Finish(false)
	}
	job.record.Compare(job.hash, job.era, found)
}

// mayCopy looks again, immediately before the first byte is sent: the server must
// still be listed, under this very address, as one of a shadow that no lane
// delivers to, and the order must hold.
func (p *proxy) mayCopy(m *config.Mirror, server *balancer.Siding) bool {
	s := p.snapshot.Load()
	now, isThere := s.balancer.Find(server.ID)
	if !isThere || now.Address != server.Address || now.Service != m.Shadow || !now.IsReady || now.IsLeaving() {
		return false
	}
	_, isHeld := s.mirrorGrant(m)
	return isHeld && s.holdsGrants(p.clock.Steady()) && !s.manifest.IsLive(m.Shadow)
}

func (c *copied) compare(reply *upstream.Reply, err error, took time.Duration) loopline.Outcome {
	switch {
	case err != nil:
		return loopline.Silent
	case reply.IsNotExecuted():
		return loopline.Turned
	case reply.Status/100 != c.status/100:
		return loopline.Status
	case reply.Rest != nil || !c.hasBody:
		if reply.Length != c.length {
			return loopline.Body
		}
	default:
		if sum := sha256.Sum256(reply.Body); !bytes.Equal(sum[:], c.body[:]) {
			return loopline.Body
		}
	}
	if loopline.IsSlow(c.tookLive, took) {
		return loopline.Slow
	}
	return loopline.Same
}
