package upstream_test

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/standin"
	"ploverhitch/internal/upstream"
)

func TestUpstream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstream")
}

var _ = Describe("Pool", func() {
	var server *standin.Server
	var pool *upstream.Pool
	attempts := 0

	BeforeEach(func() {
		var err error
		server, err = standin.NewServer("i-1", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { server.Close() })
		pool = &upstream.Pool{Address: server.Address(), Instance: "i-1"}
	})

	deliver := func(change func(*upstream.Delivery)) (*upstream.Response, string, error) {
		attempts++
		id := "try" + strconv.Itoa(attempts)
		header := http.Header{
			upstream.HeaderAttempt: {id}, "Connection": {"X-Local, close"}, "X-Local": {"1"}, "X-Far": {"2"}, "Te": {"trailers"},
			upstream.HeaderDeadline: {"999999"}, upstream.HeaderTarget: {"forged"},
		}
		delivery := upstream.Delivery{
			Request:  &upstream.Request{Method: "POST", Target: "/a/b?c=%2F", Host: "h", Header: header, Body: []byte("x"), HasBody: true, Attempt: id},
			Deadline: time.Now().Add(5 * time.Second), ResponseDeadline: time.Now().Add(5 * time.Second), ConnectTimeout: time.Second, BufferLimit: 1 << 20,
		}
		if change != nil {
			change(&delivery)
		}
		response, err := pool.Deliver(delivery)
		return response, id, err
	}

	It("delivers method, target and body unchanged, and sets its own deadline and target instance", func() {
		response, id, err := deliver(nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(response.Body)).To(Equal("body of " + id + " by i-1"))
		run := server.Runs()[0]
		Expect(run.Target).To(Equal("/a/b?c=%2F"))
		Expect(run.Body).To(Equal("x"))
		Expect(run.Instance).To(Equal("i-1"))
		Expect(strconv.Atoi(run.Deadline)).To(BeNumerically("~", 5000, 1000))
	})

	DescribeTable("accepts only a complete response to this request",
		func(behavior standin.Act) {
			server.Next(behavior)
			_, _, err := deliver(nil)
			Expect(errors.Is(err, upstream.ErrOutcomeUnknown)).To(BeTrue())
			// There is no retry, and the connection is not reused.
			arrivals, _ := server.Counts()
			Expect(arrivals).To(Equal(1))
			response, id, err := deliver(nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Header.Get(upstream.HeaderAttempt)).To(Equal(id))
			_, connections := server.Counts()
			Expect(connections).To(Equal(2))
		},
		Entry("connection closed before the response", standin.CutBefore),
		Entry("connection closed within the response", standin.CutWithin),
		Entry("response without a server seal", standin.NoSeal),
		Entry("malformed response", standin.Garbage),
	)

	DescribeTable("returns the response to its request and never an unmatched one",
		func(behavior standin.Act) {
			for range 5 {
				server.Next(behavior)
				response, id, err := deliver(nil)
				Expect(err).NotTo(HaveOccurred())
				Expect(string(response.Body)).To(Equal("body of " + id + " by i-1"))
			}
			Expect(server.Runs()).To(HaveLen(5))
		},
		Entry("unmatched response before", standin.SurplusBefore),
		Entry("unmatched response after", standin.SurplusAfter),
	)

	It("does not retry when a reused connection is closed", func() {
		_, _, err := deliver(nil)
		Expect(err).NotTo(HaveOccurred())
		server.Next(standin.CutBefore, standin.Answer)
		_, _, err = deliver(nil)
		Expect(errors.Is(err, upstream.ErrOutcomeUnknown)).To(BeTrue())
		arrivals, connections := server.Counts()
		Expect(arrivals).To(Equal(2))
		Expect(connections).To(Equal(1))
	})

	It("sends nothing when MaySend forbids it or the server is unreachable, and returns ErrNotSent", func() {
		_, _, err := deliver(func(delivery *upstream.Delivery) { delivery.MaySend = func() bool { return false } })
		Expect(errors.Is(err, upstream.ErrNotSent)).To(BeTrue())
		server.Close()
		pool.Close()
		_, _, err = deliver(nil)
		Expect(errors.Is(err, upstream.ErrNotSent)).To(BeTrue())
		Expect(server.Runs()).To(BeEmpty())
	})

	It("sends nothing to a server that stopped serving, returns ErrNotServing, and keeps the connection", func() {
		_, _, err := deliver(nil)
		Expect(err).NotTo(HaveOccurred())
		stopServing := func(delivery *upstream.Delivery) {
			delivery.Serving = func() bool { return false }
			delivery.MaySend = func() bool { defer GinkgoRecover(); Fail("MaySend called although nothing is to be sent"); return true }
		}
		_, _, err = deliver(stopServing)
		Expect(errors.Is(err, upstream.ErrNotServing)).To(BeTrue())
		Expect(errors.Is(err, upstream.ErrNotSent)).To(BeTrue())
		_, _, err = deliver(nil)
		Expect(err).NotTo(HaveOccurred())
		arrivals, connections := server.Counts()
		Expect([]int{arrivals, connections}).To(Equal([]int{2, 1}))
		server.Close()
		pool.Close()
		_, _, err = deliver(stopServing)
		Expect(errors.Is(err, upstream.ErrNotServing)).To(BeTrue(), "an orderly shutdown of the server is not a failure")
		Expect(errors.Is(err, upstream.ErrNotSent)).To(BeTrue())
	})

	It("reports a request that the server did not execute", func() {
		server.Next(standin.Shed, standin.Misdirect, standin.Fail500)
		for _, notExecuted := range []bool{true, true, false} {
			response, _, err := deliver(nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.IsNotExecuted()).To(Equal(notExecuted))
		}
	})

	It("streams a response above the buffer limit", func() {
		response, _, err := deliver(func(delivery *upstream.Delivery) { delivery.BufferLimit = 4 })
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Remainder).NotTo(BeNil())
		Expect(response.Length).To(BeNumerically(">", 4))
		response.Finish(false)
	})

	It("streams a success above the threshold, with an error if the server closes early, and buffers a failure", func() {
		stream := func(delivery *upstream.Delivery) { delivery.StreamThreshold = 4 }
		response, id, err := deliver(stream)
		Expect(err).NotTo(HaveOccurred())
		text, err := io.ReadAll(response.Remainder)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(Equal("body of " + id + " by i-1"))
		response.Finish(true)

		server.Next(standin.CutWithin)
		response, _, err = deliver(stream)
		Expect(err).NotTo(HaveOccurred())
		text, err = io.ReadAll(response.Remainder)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(len(text)).To(BeNumerically("<", response.Length))
		response.Finish(false)

		server.Next(standin.NoSeal, standin.Fail500)
		_, _, err = deliver(stream)
		Expect(errors.Is(err, upstream.ErrOutcomeUnknown)).To(BeTrue())
		response, _, err = deliver(stream)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Remainder).To(BeNil())
		// The connection of the complete response was reused, that of the incomplete one was not.
		arrivals, connections := server.Counts()
		Expect([]int{arrivals, connections}).To(Equal([]int{4, 3}))
	})
})

var _ = Describe("header rules", func() {
	It("drop hop-by-hop headers and forward the rest", func() {
		to := http.Header{}
		upstream.CopyResponseHeader(to, http.Header{
			"Connection": {"X-Local"}, "X-Local": {"1"}, "Keep-Alive": {"timeout=9"}, "Transfer-Encoding": {"chunked"},
			"X-Far": {"2"}, upstream.HeaderSeal: {"s"},
		})
		Expect(to).To(HaveKeyWithValue("X-Far", []string{"2"}))
		Expect(to).To(HaveKeyWithValue(upstream.HeaderSeal, []string{"s"}))
		for _, dropped := range []string{"Connection", "X-Local", "Keep-Alive", "Transfer-Encoding"} {
			Expect(to).NotTo(HaveKey(dropped))
		}
	})
})
