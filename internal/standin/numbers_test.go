package standin_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// unusualFields are fields of a route with values that no rule of the protocol calls invalid.
var unusualFields = []string{
	`"MaxAttempts":2147483647`, `"MaxAttempts":9223372036854775807`, `"MaxAttempts":1e30`, `"MaxAttempts":3.0`, `"MaxAttempts":0`, `"MaxAttempts":-1`,
	`"Timeout":"9999999999s"`, `"Timeout":"1e300ms"`, `"TargetLatency":"9999999999s"`, `"Timeout":"9999999999s","RouteType":"idempotent"`,
	`"TargetLatency":"9999999999s","RouteType":"idempotent"`, `"Timeout":"9999999999s","RouteType":"download"`, `"Priority":1e30`, `"Priority":-5`,
	`"TrafficSplit":[{"Service":"lessons","Weight":1e308},{"Service":"seats","Weight":1e400}]`,
}

var _ = Describe("numbers of the configuration", Ordered, func() {
	var s *system
	BeforeAll(func() { s = startSystem(21400, 1) })

	// route is a route with the given fields; the last of two equal fields counts.
	route := func(number int, fields string) string {
		return fmt.Sprintf(`{"Name":"many-%d","PathPrefix":"/many/%d/","RouteType":"safe","Timeout":"2s","TargetLatency":"1s","MaxAttempts":2,"Service":"lessons","Revision":"r2",%s}`, number, number, fields)
	}
	// expectServed waits until the edge serves every one of the routes.
	expectServed := func(edge int) {
		GinkgoHelper()
		for number, fields := range unusualFields {
			Eventually(func() int {
				headers := map[string]string{"Ploverhitch-Operation-Key": fmt.Sprintf("key-%d-%d", edge, number)}
				status, _, _ := s.send(edge, http.MethodGet, fmt.Sprintf("/many/%d/a", number), "", headers)
				return status
			}, 5*time.Second).Should(Equal(200), "%s at edge %d", fields, edge)
		}
	}

	// Guards against numbers that are refused, or that end the proxy or its requests at the next request of the route (review/5).
	It("are served whatever their size, and read back as they were sent", func() {
		limits := `{"Upsert":{"Services":[{"Name":"lessons","MaxConnections":4611686018427387904,"Revision":"r2"},{"Name":"seats","MaxConnections":-1,"IdempotentDedup":true,"Revision":"r2"}],
"Limits":{"MaxHeaderBytes":1e30,"MaxBodyBytes":9223372036854775807,"HeaderTimeout":"9999999999s","IdleTimeout":"9999999999s","Revision":"r2"}}}`
		Expect(s.cluster.Modify(1, limits)).To(Equal(200))
		for number, fields := range unusualFields {
			Expect(s.cluster.Modify(1, `{"Upsert":{"VirtualHosts":[{"Hostname":"h.example","PathTable":[`+route(number, fields)+`]}]}}`)).To(Equal(200), fields)
		}
		expectServed(0)
		_, text, err := s.cluster.Read(2, "/v1/config/read")
		Expect(err).NotTo(HaveOccurred())
		for number, fields := range unusualFields {
			Expect(text).To(ContainSubstring(route(number, fields)))
		}
	})

	// Guards against a client that gets 400 because it says in more than 64 bits, or in fractions, that it will wait.
	It("of a client's deadline are served whatever their size", func() {
		for _, deadline := range []string{"1200", "1200.5", "9223372036854775807", "99999999999999999999", "1e300"} {
			status, _, _ := s.send(0, http.MethodGet, "/read/a", "", map[string]string{"Ploverhitch-Deadline-Ms": deadline})
			Expect(status).To(Equal(200), deadline)
		}
		for _, deadline := range []string{"soon", "NaN", "-1", "1200ms"} {
			status, _, _ := s.send(0, http.MethodGet, "/read/a", "", map[string]string{"Ploverhitch-Deadline-Ms": deadline})
			Expect(status).To(Equal(400), deadline)
		}
	})

	// Guards against a mend that holds for new orders only, and not for a configuration that is on the disks.
	It("are served from the disks too, after a restart of all control nodes", func() {
		for number := range s.cores {
			s.cores[number].end()
		}
		for number := range s.cores {
			s.cores[number] = s.core(number+1, false)
		}
		s.startEdge(2)
		Eventually(func() error {
			_, err := http.Get("http://" + s.edges[1].Ready + "/v1/ready")
			return err
		}).Should(Succeed())
		expectServed(1)
		expectServed(0)
	})
})
