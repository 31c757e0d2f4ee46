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
	arrivals := func() (sum int) {
		for _, server := range servers {
			count, _ := server.Counts()
			sum += count
		}
		return sum
	}
	next := func(act standin.Act) {
		for _, server := range servers {
			server.Next(act)
		}
	}

	It("is offered to no second server after its first byte, whatever becomes of it", func() {
		for _, act := range []standin.Act{standin.CutBefore, standin.CutWithin, standin.Garbage, standin.NoSeal, standin.Fail500, standin.Silent, standin.SilentCut} {
			for _, kind := range []config.RouteKind{config.Unsafe, config.Idempotent} {
				next(act)
				p, one := newTestRequest(kind, servers...)
				before := arrivals()
				_, err := p.delivering(context.Background(), one)
				var open *openEnd
				Expect(act == standin.Fail500 || errors.As(err, &open)).To(BeTrue(), "act %d: %v", act, err)
				Expect(arrivals()-before).To(Equal(1), "act %d on a lane that is %s", act, kind)
				for _, server := range servers {
					server.Free()
				}
			}
		}
	})

	It("is offered again where a server showed that it did not run", func() {
		for _, act := range []standin.Act{standin.Shed, standin.Misdirect} {
			next(act)
			p, one := newTestRequest(config.Unsafe, servers...)
			before := arrivals()
			_, err := p.delivering(context.Background(), one)
			var known *apierror.Error
			Expect(errors.As(err, &known)).To(BeTrue())
			Expect(known.Kind).To(Equal(apierror.NotExecuted))
			Expect(arrivals() - before).To(Equal(3))
		}
	})

	It("is no more offered once its client has left", func() {
		next(standin.SilentShed)
		p, one := newTestRequest(config.Unsafe, servers...)
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, leave)
		_, err := p.delivering(ctx, one)
		Expect(errors.Is(err, errClientGone)).To(BeTrue())
		for _, server := range servers {
			server.Free()
		}
		Consistently(arrivals, "200ms").Should(Equal(1))
	})
})
