package proxy

import (
	"context"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/config"
	"ploverhitch/internal/standin"
)

var _ = Describe("a request that must not be executed twice", func() {
	var servers []*standin.Server
	BeforeEach(func() { servers = newTestServers() })
	requestCount := func() (total int) {
		for _, server := range servers {
			count, _ := server.Counts()
			total += count
		}
		return total
	}
	setBehavior := func(behavior standin.Act) {
		for _, server := range servers {
			server.Next(behavior)
		}
	}

	It("is sent to no second server once its first byte was sent, however the attempt ends", func() {
		for _, behavior := range []standin.Act{standin.CutBefore, standin.CutWithin, standin.Garbage, standin.NoSeal, standin.Fail500, standin.Silent, standin.SilentCut} {
			for _, routeType := range []config.RouteType{config.Unsafe, config.Idempotent} {
				setBehavior(behavior)
				p, req := newTestRequest(routeType, servers...)
				before := requestCount()
				_, err := p.forward(context.Background(), req)
				var unresolved *unresolvedError
				Expect(behavior == standin.Fail500 || errors.As(err, &unresolved)).To(BeTrue(), "behavior %d: %v", behavior, err)
				Expect(requestCount()-before).To(Equal(1), "behavior %d on a route of type %s", behavior, routeType)
				for _, server := range servers {
					server.Free()
				}
			}
		}
	})

	It("is retried when a server reports that it was not executed", func() {
		for _, behavior := range []standin.Act{standin.Shed, standin.Misdirect} {
			setBehavior(behavior)
			p, req := newTestRequest(config.Unsafe, servers...)
			before := requestCount()
			_, err := p.forward(context.Background(), req)
			var apiErr *apierror.Error
			Expect(errors.As(err, &apiErr)).To(BeTrue())
			Expect(apiErr.Kind).To(Equal(apierror.NotExecuted))
			Expect(requestCount() - before).To(Equal(3))
		}
	})

	It("is not retried once its client has closed the connection", func() {
		setBehavior(standin.SilentShed)
		p, req := newTestRequest(config.Unsafe, servers...)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err := p.forward(ctx, req)
		Expect(errors.Is(err, errClientGone)).To(BeTrue())
		for _, server := range servers {
			server.Free()
		}
		Consistently(requestCount, "200ms").Should(Equal(1))
	})
})
