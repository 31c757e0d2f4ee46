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

// turnWaitDivisor: a download waits for its turn for at most the target latency
// divided by this.
const turnWaitDivisor = 6

// limitingDownloads admits a download only if the machine's link can carry it within
// the target latency, and limits how many servers send downloads at the same time.
// A client that is rejected at once still has time to try another node.
func (p *proxy) limitingDownloads(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		req := request.(*clientRequest)
		if req.route.RouteType != config.Download {
			return next(ctx, request)
		}
		stats := p.responseStatsOf(req.route.Name)
		targetLatency := req.route.TargetLatency.Std()
		if targetLatency == 0 {
			targetLatency = time.Until(req.deadline)
		}
		release, admitted := p.downloads.Admit(stats.expectedBytes(), targetLatency-stats.mean())
		if !admitted {
			return nil, apierror.New(apierror.ServersBusy, "not enough link capacity for the download")
		}
		req.releaseLink = release
		turnCtx, cancel := context.WithTimeout(ctx, targetLatency/turnWaitDivisor)
		defer cancel()
		endTurn, gotTurn := p.downloads.AcquireSender(turnCtx)
		if !gotTurn {
			return nil, apierror.New(apierror.ServersBusy, "no download slot became free in time")
		}
		endTurn = sync.OnceFunc(endTurn)
		answer, err := next(ctx, request)
		if response, ok := answer.(*upstream.Response); ok && response.Remainder != nil {
			// The server sends until the rest of the body has been read.
			response.Remainder = &notifyingReader{response.Remainder, endTurn}
			req.releaseLink = func() { release(); endTurn() }
			return answer, err
		}
		endTurn()
		return answer, err
	}
}

// notifyingReader calls done when the underlying reader ends or fails.
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
