package proxy

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-kit/kit/endpoint"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/config"
	"ploverhitch/internal/upstream"
)

// turnShare is the part of the lane's aim that a download may wait for its turn.
const turnWaitDivisor = 6

// passing admits downloads only while the machine's link can carry them in the
// lane's aim, and lets few servers answer with one at the same time. Refused at
// once, a client still has the time to ask another node.
func (p *proxy) limitingDownloads(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		req := request.(*inquiry)
		if req.lane.RouteType != config.Download {
			return next(ctx, request)
		}
		stats := p.latencyStatsOf(req.lane.Name)
		targetLatency := req.lane.TargetLatency.Std()
		if targetLatency == 0 {
			targetLatency = time.Until(req.due)
		}
		release, admitted := p.bulk.Enter(stats.expectedBytes(), targetLatency-stats.mean())
		if !admitted {
			return nil, apierror.New(apierror.Busy, "the link")
		}
		req.leave = release
		turnCtx, cancel := context.WithTimeout(ctx, targetLatency/turnWaitDivisor)
		defer cancel()
		endTurn, ok := p.bulk.Turn(turnCtx)
		if !ok {
			return nil, apierror.New(apierror.Busy, "the link")
		}
		endTurn = sync.OnceFunc(endTurn)
		answer, err := next(ctx, request)
		if response, ok := answer.(*upstream.Reply); ok && response.Rest != nil {
			// Its sender is answering until the rest has come.
			response.Rest = &notifyingReader{response.Rest, endTurn}
			req.leave = func() { release(); endTurn() }
			return answer, err
		}
		endTurn()
		return answer, err
	}
}

// closing calls end once what it reads from is over.
type notifyingReader struct {
	io.Reader
	done func()
}

func (r *notifyingReader) Read(buffer []byte) (count int, err error) {
	if count, err = r.Reader.Read(buffer); err != nil {
		r.done()
	}
	return count, err
}
