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

var _ = Describe("what may run once", func() {
	var servers []*standin.Server
	BeforeEach(func() {
		servers = nil
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			server, err := standin.NewServer(id, "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Close)
			servers = append(servers, server)
		}
	})
	requestCount := func() (sum int) {
		for _, server := range servers {
			count, _ := server.Counts()
			sum += count
		}
		return sum
	}
	setBehavior := func(act standin.Act) {
		for _, server := range servers {
			server.Next(act)
		}
	}

	It("is offered to no second server after its first byte, whatever becomes of it", func() {
		for _, act := range []standin.Act{standin.CutBefore, standin.CutWithin, standin.Garbage, standin.NoSeal, standin.Fail500, standin.Silent, standin.SilentCut} {
			for _, routeType := range []config.RouteKind{config.Unsafe, config.Idempotent} {
				setBehavior(act)
				p, req := inquiryOn(routeType, servers...)
				before := requestCount()
				_, err := p.forward(context.Background(), req)
				var unresolved *unresolvedError
				Expect(act == standin.Fail500 || errors.As(err, &unresolved)).To(BeTrue(), "act %d: %v", act, err)
				Expect(requestCount()-before).To(Equal(1), "act %d on a lane that is %s", act, routeType)
				for _, server := range servers {
					server.Free()
				}
			}
		}
	})

	It("is offered again where a server showed that it did not run", func() {
		for _, act := range []standin.Act{standin.Shed, standin.Misdirect} {
			setBehavior(act)
			p, req := inquiryOn(config.Unsafe, servers...)
			before := requestCount()
			_, err := p.forward(context.Background(), req)
			var apiErr *apierror.Error
			Expect(errors.As(err, &apiErr)).To(BeTrue())
			Expect(apiErr.Kind).To(Equal(apierror.NotExecuted))
			Expect(requestCount() - before).To(Equal(3))
		}
	})

	It("is no more offered once its client has left", func() {
		setBehavior(standin.SilentShed)
		p, req := inquiryOn(config.Unsafe, servers...)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err := p.forward(ctx, req)
		Expect(errors.Is(err, errLeft)).To(BeTrue())
		for _, server := range servers {
			server.Free()
		}
		Consistently(requestCount, "200ms").Should(Equal(1))
	})
})
