package standin_test

import (
	"fmt"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the manifest's limits on loopback", func() {
	var s *system

	BeforeEach(func() { s = startSystem(20000, 1) })

	It("bounds by the manifest how long a client may take for a header, or stay idle", func() {
		limits := func(version int, header, idle string) {
			status, err := s.cluster.Modify(1, fmt.Sprintf(`{"Upsert":{"Limits":{"MaxHeaderBytes":2000,"MaxBodyBytes":1000,"HeaderTimeout":%q,"IdleTimeout":%q,"Revision":"r%d"}}}`, header, idle, version))
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(200))
		}
		// closedAfter is how long the proxy keeps a connection after these bytes.
		closedAfter := func(text string) time.Duration {
			conn, err := net.Dial("tcp4", s.edges[0].Front)
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, err = io.WriteString(conn, text)
			Expect(err).NotTo(HaveOccurred())
			began := time.Now()
			_, _ = io.Copy(io.Discard, conn)
			return time.Since(began)
		}
		request := "GET /read/a HTTP/1.1\r\nHost: h.example\r\nPloverhitch-Attempt-Id: slow\r\n"
		limits(2, "250ms", "900ms")
		Eventually(func() time.Duration { return closedAfter(request) }).Should(And(BeNumerically(">", 150*time.Millisecond), BeNumerically("<", 700*time.Millisecond)))
		Expect(closedAfter(request + "\r\n")).To(And(BeNumerically(">", 700*time.Millisecond), BeNumerically("<", 2*time.Second)))
		Expect(closedAfter(request + "\r\n" + request)).To(BeNumerically("<", 700*time.Millisecond))
	})
})
