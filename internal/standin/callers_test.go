package standin_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/standin"
)

var _ = Describe("callers on loopback", Ordered, func() {
	var s *system
	BeforeAll(func() { s = startSystem(21200, 1) })

	dial := func(address string) net.Conn {
		conn, err := net.Dial("tcp4", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		return conn
	}
	request := func(method, path, id, more string) string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nPloverhitch-Attempt-Id: %s\r\n%s\r\n", method, path, id, more)
	}

	It("get their own answers in their order, however they come in one piece", func() {
		// No failures: further tries are paid from a share that is small so early.
		for _, id := range []string{"l-1", "l-2", "l-3"} {
			s.cluster.Servers[id].Next(standin.SurplusAfter, standin.SurplusBefore, standin.Answer, standin.SurplusAfter)
		}
		conn := dial(s.edges[0].Front)
		var all strings.Builder
		const count = 12
		for number := range count {
			switch number % 3 {
			case 0:
				all.WriteString(request("GET", "/read/a", fmt.Sprint("p", number), ""))
			case 1:
				all.WriteString(request("GET", "/none/a", fmt.Sprint("p", number), ""))
			default:
				all.WriteString(request("POST", "/read/a", fmt.Sprint("p", number), "Content-Length: 4\r\n") + "body")
			}
		}
		_, err := io.WriteString(conn, all.String())
		Expect(err).NotTo(HaveOccurred())
		reader := bufio.NewReader(conn)
		for number := range count {
			id := fmt.Sprint("p", number)
			response, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred(), id)
			body, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred(), id)
			Expect(response.Header.Get("Ploverhitch-Attempt-Id")).To(Equal(id))
			if number%3 == 1 {
				Expect(response.StatusCode).To(Equal(404))
				continue
			}
			Expect(response.StatusCode).To(Equal(200))
			Expect(string(body)).To(HavePrefix("body of " + id + " by"))
			Expect(response.Header.Get("Ploverhitch-Server-Seal")).To(Equal("seal-of-" + id))
		}
	})

	It("have nothing done that they sent a part of", func() {
		text := strings.ReplaceAll(manifestText, `"r1"`, `"r7"`)
		conn := dial(s.cluster.Control(1))
		_, err := fmt.Fprintf(conn, "POST /v1/config/modify HTTP/1.1\r\nHost: c\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text)+1, text)
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		reply, _ := io.ReadAll(conn)
		Expect(string(reply)).NotTo(HavePrefix("HTTP/1.1 200"))
		_, held, err := s.cluster.Read(1, "/v1/config/read")
		Expect(err).NotTo(HaveOccurred())
		Expect(held).NotTo(ContainSubstring(`"r7"`))

		client := dial(s.edges[0].Front)
		_, err = io.WriteString(client, request("POST", "/once/a", "half", "Content-Length: 9\r\n")+"part")
		Expect(err).NotTo(HaveOccurred())
		Expect(client.(*net.TCPConn).CloseWrite()).To(Succeed())
		_, _ = io.ReadAll(client)
		for _, server := range s.cluster.Servers {
			for _, run := range server.Runs() {
				Expect(run.Attempt).NotTo(Equal("half"))
			}
		}
	})
})
