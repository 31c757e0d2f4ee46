package points

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
		go timetable.Each(ctx, p.copier.inbox, p.copy)
	}
}

// copy sends one copy to a server of the shadow, and compares what comes.
func (p *proxy) copy(job copied) {
	server := p.sight.Load().yard.Home(job.mirror.Shadow, job.place)
	if server == nil {
		job.record.Miss(job.hash, job.era, "the shadow has no server")
		return
	}
	if !p.out.IsFree() || !p.in.IsFree() {
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
	reply, err := p.copier.rack(server).Deliver(upstream.Delivery{
		Request: job.inquiry, Deadline: due, ResponseDeadline: due, ConnectTimeout: serverConnect, BufferLimit: buffer, Inbound: p.in, Outbound: p.out,
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
	s := p.sight.Load()
	now, isThere := s.yard.Find(server.ID)
	if !isThere || now.Address != server.Address || now.Service != m.Shadow || !now.IsReady || now.IsLeaving() {
		return false
	}
	_, isHeld := s.mirrorGrant(m)
	return isHeld && s.holdsGrants(p.clock.Steady()) && !s.sheet.IsLive(m.Shadow)
}

func (c *copied) compare(reply *upstream.Response, err error, took time.Duration) loopline.Outcome {
	switch {
	case err != nil:
		return loopline.Silent
	case reply.IsNotExecuted():
		return loopline.Turned
	case reply.Status/100 != c.status/100:
		return loopline.Status
	case reply.Remainder != nil || !c.hasBody:
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
