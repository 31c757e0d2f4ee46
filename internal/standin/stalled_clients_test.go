package standin_test

import (
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("clients that send requests and stop reading", Ordered, func() {
	const (
		timeout = 3 * time.Second
		// answerBound is how long after its Timeout a request may have no final answer.
		answerBound = 500 * time.Millisecond
		// answerBytes is more than the buffers of all sockets on the way hold.
		answerBytes  = 24 << 20
		stallClients = 12
	)
	var s *system
	BeforeAll(func() {
		s = startSystem(21600, 1)
		Expect(s.cluster.Modify(1, fmt.Sprintf(`{"Upsert":{"Services":[{"Name":"lessons","MaxConnections":40,"Revision":"r2"}],"VirtualHosts":[{"Hostname":"h.example","PathTable":[
{"Name":"stall","PathPrefix":"/stall/","RouteType":"safe","Timeout":"%dms","TargetLatency":"400ms","MaxAttempts":1,"Service":"lessons","Revision":"r2"},
{"Name":"haul","PathPrefix":"/haul/","RouteType":"download","Timeout":"%dms","TargetLatency":"400ms","MaxAttempts":1,"Service":"lessons","Revision":"r2"},
{"Name":"slow","PathPrefix":"/slow/","RouteType":"safe","Timeout":"30s","TargetLatency":"400ms","MaxAttempts":1,"Service":"lessons","Revision":"r2"}]}]}}`,
			timeout.Milliseconds(), timeout.Milliseconds()))).To(Equal(200))
		Eventually(func() int { status, _, _ := s.send(0, http.MethodGet, "/stall/a", "", nil); return status }).Should(Equal(200))
	})

	// setAnswers sets by how much the servers' answers are longer than usual.
	setAnswers := func(bytes int) {
		for _, id := range []string{"l-1", "l-2", "l-3"} {
			s.cluster.Servers[id].Long(bytes)
		}
	}
	writing := func() (count int) {
		for _, server := range s.cluster.Servers {
			count += server.Writing()
		}
		return count
	}

	// Guards against clients that hold the slots of a service past the Timeout of their route, so that all other requests
	// for the service are refused (review/8).
	DescribeTable("hold no slot of the service beyond the route's Timeout or their own deadline", func(path, deadline string) {
		setAnswers(answerBytes)
		for number := range stallClients {
			conn, err := net.Dial("tcp4", s.edges[0].Front)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			Expect(conn.(*net.TCPConn).SetReadBuffer(4 << 10)).To(Succeed())
			_, err = fmt.Fprintf(conn, "GET %s%d HTTP/1.1\r\nHost: h.example\r\nPloverhitch-Attempt-Id: stall-%s-%d\r\n%s\r\n", path, number, path, number, deadline)
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(writing, 3*timeout/4, "5ms").Should(BeNumerically(">", stallClients/2), "the clients hold servers at first")
		time.Sleep(timeout + answerBound)
		Expect(writing()).To(BeZero(), "answers that servers are still writing")
		setAnswers(0)
		for number := range 20 {
			status, _, _ := s.send(0, http.MethodGet, fmt.Sprint("/read/", number), "", nil)
			Expect(status).To(Equal(200))
		}
	},
		Entry("a safe route", "/stall/", ""),
		Entry("a download", "/haul/", ""),
		Entry("a deadline of the clients on a slower route", "/slow/", "Ploverhitch-Deadline-Ms: 3000\r\n"),
	)
})
