package proxy

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the time limits of clients' connections", func() {
	// Guards against one acknowledged change after which every connection of every proxy is closed without an answer.
	DescribeTable("leave the proxy usable, however small the operator's values are", func(limits string) {
		p, _ := newTestFront(newTestServer("i-1"), "1s", limits)
		tcpListener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		front := p.newClientServer()
		go func() { _ = front.Serve(&clientListener{tcpListener.(*net.TCPListener), p.clientTimeouts}) }()
		DeferCleanup(front.Close)
		conn, err := net.Dial("tcp4", tcpListener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		reader := bufio.NewReader(conn)
		for range 2 {
			// The header arrives in two parts.
			for _, part := range strings.SplitAfter("GET /a/x HTTP/1.1\r\nHost: h.example\r\n|Ploverhitch-Attempt-Id: a1\r\n\r\n", "|") {
				_, err = conn.Write([]byte(strings.TrimSuffix(part, "|")))
				Expect(err).NotTo(HaveOccurred())
				time.Sleep(10 * time.Millisecond)
			}
			response, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			_ = response.Body.Close()
			Expect(response.StatusCode).To(Equal(http.StatusOK))
		}
	},
		Entry("for headers", `{"HeaderTimeout":"0.0000000001ms","Revision":"r1"}`),
		Entry("for idle connections", `{"IdleTimeout":"0.0000000001ms","Revision":"r1"}`),
		Entry("for both", `{"HeaderTimeout":"1e-300s","IdleTimeout":"0.001ms","Revision":"r1"}`),
	)
})
