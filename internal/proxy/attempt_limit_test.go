package proxy

import (
	"context"
	"encoding/json"
	"math"
	"runtime"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/bounded"
	"ploverhitch/internal/config"
	"ploverhitch/internal/standin"
	"ploverhitch/internal/upstream"
)

var _ = Describe("a route whose operator sets a very large MaxAttempts", func() {
	var servers []*standin.Server
	BeforeEach(func() { servers = newTestServers() })

	// Guards against a proxy that reserves memory for MaxAttempts results per request, and ends with
	// "out of memory" or a panic at the next request of the route (review/5).
	DescribeTable("is served with the memory of its attempts in flight", func(maxAttempts int) {
		for _, routeType := range []config.RouteType{config.Safe, config.Unsafe, config.Idempotent, config.Download} {
			// The counter is that of the process, in which goroutines of other specs may still run: the least of a few
			// requests counts.
			least := uint64(math.MaxUint64)
			for range 10 {
				p, req := newTestRequest(routeType, servers...)
				req.route.MaxAttempts = bounded.Count(maxAttempts)
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				response, err := p.forward(context.Background(), req)
				runtime.ReadMemStats(&after)
				Expect(err).NotTo(HaveOccurred(), "%s", routeType)
				Expect(response.(*upstream.Response).Status).To(Equal(200))
				least = min(least, after.TotalAlloc-before.TotalAlloc)
			}
			Expect(least).To(BeNumerically("<", 1<<20), "bytes allocated for a request on a route of type %s", routeType)
		}
	},
		Entry("1,000,000", 1_000_000),
		Entry("the largest number", math.MaxInt),
	)

	It("is tried at each server once, and leaves no attempt behind", func() {
		for _, server := range servers {
			server.Next(standin.CutBefore)
		}
		p, req := newTestRequest(config.Safe, servers...)
		req.route.MaxAttempts = math.MaxInt
		before := runtime.NumGoroutine()
		_, err := p.forward(context.Background(), req)
		Expect(err).To(HaveOccurred())
		for _, server := range servers {
			count, _ := server.Counts()
			Expect(count).To(Equal(1), server.ID)
		}
		Eventually(runtime.NumGoroutine, 2*time.Second).Should(BeNumerically("<=", before+len(servers)))
		Expect(p.snapshot.Load().balancer.InFlight("s")).To(BeZero())
	})
})

// Guards against a proxy that buffers whatever a server sends, because the operator sets no limit for the bodies of requests.
var _ = DescribeTable("a response is buffered up to a bound of the process, whatever MaxBodyBytes is",
	func(routeType config.RouteType, maxBodyBytes bounded.Bytes, expected int) {
		p, req := newTestRequest(routeType)
		req.snapshot.routingTable.Limits.MaxBodyBytes = maxBodyBytes
		d := &forwarder{proxy: p, request: req}
		Expect(d.responseBufferLimit()).To(BeEquivalentTo(expected))
	},
	Entry("not repeatable, no limit", config.Unsafe, bounded.MaxBytes, 64<<20),
	Entry("not repeatable, an ordinary limit", config.Unsafe, bounded.Bytes(8<<20), 8<<20),
	Entry("not repeatable, a negative limit", config.Unsafe, bounded.Bytes(-1), 1<<20),
	Entry("keyed, no limit", config.Idempotent, bounded.MaxBytes, 64<<20),
	Entry("keyed, an ordinary limit", config.Idempotent, bounded.Bytes(8<<20), 32<<20),
	Entry("repeatable, no limit", config.Safe, bounded.MaxBytes, 1<<20),
)

// Guards against a proxy that sends one request at a time to a server because MaxConnections overflows or is negative.
var _ = DescribeTable("a server takes this proxy's share of its connections", func(maxConnections string, expected int) {
	p, req := newTestRequest(config.Safe)
	var service config.ServiceSpec
	Expect(json.Unmarshal([]byte(`{"MaxConnections":`+maxConnections+`}`), &service)).To(Succeed())
	req.snapshot.routingTable.Services["s"] = service
	d := &forwarder{proxy: p, request: req}
	Expect(d.connectionLimit()).To(Equal(expected))
},
	Entry("100", "100", 75),
	Entry("1, of which every proxy needs one", "1", 1),
	Entry("a number whose multiple overflows", "4611686018427387904", math.MaxInt32*3/4),
	Entry("more than 64 bits", "1e30", math.MaxInt32*3/4),
	Entry("none set", "0", 0),
	Entry("negative, which sets none", "-1", 0),
)
