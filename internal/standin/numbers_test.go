package standin_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/agent"
	"ploverhitch/internal/proxy"
)

// unusualAttempts are values of MaxAttempts that no rule of the protocol calls invalid.
var unusualAttempts = []string{"2147483647", "9223372036854775807", "1e30", "3.0", "0", "-1"}

var _ = Describe("numbers of the configuration", Ordered, func() {
	var s *system
	BeforeAll(func() { s = startSystem(21400, 1) })

	route := func(number int, attempts string) string {
		return fmt.Sprintf(`{"Name":"many-%d","PathPrefix":"/many/%d/","RouteType":"safe","Timeout":"2s","TargetLatency":"1s","MaxAttempts":%s,"Service":"lessons","Revision":"r2"}`, number, number, attempts)
	}
	// expectServed waits until the edge serves every one of the routes.
	expectServed := func(edge int) {
		GinkgoHelper()
		for number, attempts := range unusualAttempts {
			Eventually(func() int {
				status, _, _ := s.send(edge, http.MethodGet, fmt.Sprintf("/many/%d/a", number), "", nil)
				return status
			}, 5*time.Second).Should(Equal(200), "MaxAttempts %s at edge %d", attempts, edge)
		}
	}

	// Guards against a MaxAttempts that is refused, or that ends the proxy at the next request of its route (review/5).
	It("are served whatever their size, and read back as they were sent", func() {
		for number, attempts := range unusualAttempts {
			status, err := s.town.Modify(1, `{"Upsert":{"VirtualHosts":[{"Hostname":"h.example","PathTable":[`+route(number, attempts)+`]}]}}`)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(200), "MaxAttempts %s", attempts)
		}
		expectServed(0)
		_, text, err := s.town.Read(2, "/v1/config/read")
		Expect(err).NotTo(HaveOccurred())
		for number, attempts := range unusualAttempts {
			Expect(text).To(ContainSubstring(route(number, attempts)))
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
		edge, err := s.town.Edge(2)
		Expect(err).NotTo(HaveOccurred())
		s.edges = append(s.edges, edge)
		agentProcess, proxyProcess := start(agent.Run, edge), start(proxy.Run, edge)
		DeferCleanup(func() {
			proxyProcess.end()
			agentProcess.end()
		})
		Eventually(func() error {
			_, err := http.Get("http://" + edge.Ready + "/v1/ready")
			return err
		}).Should(Succeed())
		expectServed(1)
		expectServed(0)
	})
})
