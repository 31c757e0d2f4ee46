package points

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
const turnShare = 6

// passing admits downloads only while the machine's link can carry them in the
// lane's aim, and lets few servers answer with one at the same time. Refused at
// once, a client still has the time to ask another node.
func (p *proxy) passing(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		one := request.(*inquiry)
		if one.lane.RouteType != config.Download {
			return next(ctx, request)
		}
		pace := p.paceOf(one.lane.Name)
		aim := one.lane.TargetLatency.Std()
		if aim == 0 {
			aim = time.Until(one.due)
		}
		leave, isAdmitted := p.bulk.Enter(pace.size(), aim-pace.mean())
		if !isAdmitted {
			return nil, apierror.New(apierror.Busy, "the link")
		}
		one.leave = leave
		waiting, cancel := context.WithTimeout(ctx, aim/turnShare)
		defer cancel()
		end, isTurn := p.bulk.Turn(waiting)
		if !isTurn {
			return nil, apierror.New(apierror.Busy, "the link")
		}
		end = sync.OnceFunc(end)
		reply, err := next(ctx, request)
		if out, isReply := reply.(*upstream.Response); isReply && out.Remainder != nil {
			// Its sender is answering until the rest has come.
			out.Remainder = &closing{out.Remainder, end}
			one.leave = func() { leave(); end() }
			return reply, err
		}
		end()
		return reply, err
	}
}

// closing calls end once what it reads from is over.
type closing struct {
	io.Reader
	end func()
}

func (c *closing) Read(into []byte) (count int, err error) {
	if count, err = c.Reader.Read(into); err != nil {
		c.end()
	}
	return count, err
}
