package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/standin"
)

var _ = Describe("a request as it comes from a client", func() {
	var server *standin.Server
	var address string
	BeforeEach(func() {
		server = newTestServer("i-1")
		_, address = newTestFront(server, "300ms", `{"Revision":"r1"}`)
	})
	// exchange sends the text on a new connection and returns the answer.
	exchange := func(text string) (*http.Response, string) {
		GinkgoHelper()
		conn, err := net.Dial("tcp4", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = io.WriteString(conn, text)
		Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return response, string(body)
	}
	const headers = "Host: h.example\r\nPloverhitch-Attempt-Id: t1\r\n"

	// Guards against a 400, which clients do not try again, for a body that comes slower than the route's Timeout.
	It("gets 408, which says that it never ran, if its body does not come in time", func() {
		response, _ := exchange("POST /a/b HTTP/1.1\r\n" + headers + "Content-Length: 10\r\n\r\nhalf")
		Expect(response.StatusCode).To(Equal(http.StatusRequestTimeout))
		Expect(response.Close).To(BeTrue())
		Expect(server.Runs()).To(BeEmpty())
	})

	// Guards against a 400 for a target in absolute form, which RFC 9112 (3.2.2) has every server accept.
	DescribeTable("is served with a target in absolute form", func(target, expected string) {
		response, _ := exchange(fmt.Sprintf("GET %s HTTP/1.1\r\n%s\r\n", target, headers))
		Expect(response.StatusCode).To(Equal(200))
		Expect(server.Runs()[0].Target).To(Equal(expected))
	},
		Entry("path and query", "http://h.example/a/b?c=%2F", "/a/b?c=%2F"),
		Entry("another case, and a port", "HTTP://H.example:80/a/b", "/a/b"),
		Entry("an escaped path", "http://h.example/a/%7Eb/../c", "/a/%7Eb/../c"),
		Entry("a question mark in the query", "https://h.example/a/?x=/?y", "/a/?x=/?y"),
	)

	It("is refused with a target that is no path", func() {
		for _, target := range []string{"*", "ftp://h.example/a/b", "h.example/a/b"} {
			response, _ := exchange(fmt.Sprintf("OPTIONS %s HTTP/1.1\r\n%s\r\n", target, headers))
			Expect(response.StatusCode).To(Equal(http.StatusBadRequest), target)
		}
		Expect(server.Runs()).To(BeEmpty())
	})

	It("with a target in absolute form goes by the target's host, not by the Host header", func() {
		response, _ := exchange("GET http://other.example/a/b HTTP/1.1\r\n" + headers + "\r\n")
		Expect(response.StatusCode).To(Equal(http.StatusNotFound))
	})
})
