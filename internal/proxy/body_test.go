package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/standin"
)

var _ = Describe("request bodies", func() {
	// memoryMB leaves 16 MiB for bodies.
	const memoryMB = 64
	var server *standin.Server
	var p *proxy
	var address string
	BeforeEach(func() {
		server = newTestServer("i-1")
		p, address = newTestFront(server, "4s", `{"MaxBodyBytes":9223372036854775807,"Revision":"r1"}`)
		p.bodyMemory = newBodyMemory(memoryMB)
	})
	// send sends a body of the size, in chunks or with its length, and returns the status, or 0 without an answer.
	send := func(id string, size int, chunked bool) int {
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/a/b", bytes.NewReader(make([]byte, size)))
		Expect(err).NotTo(HaveOccurred())
		if chunked {
			request.ContentLength = -1
		}
		request.Host, request.Close = "h.example", true
		request.Header.Set("Ploverhitch-Attempt-Id", id)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0
		}
		defer response.Body.Close()
		_, _ = io.Copy(io.Discard, response.Body)
		return response.StatusCode
	}

	// Guards against clients that take the process over its memory limit with bodies that are within MaxBodyBytes (review/7).
	DescribeTable("together stay within their part of the memory, and those that don't fit are refused without being run", func(chunked bool) {
		server.Next(standin.Silent, standin.Silent, standin.Silent, standin.Silent, standin.Silent, standin.Silent, standin.Silent, standin.Silent)
		var senders sync.WaitGroup
		var lock sync.Mutex
		statuses := map[int]int{}
		for number := range 8 {
			senders.Go(func() {
				defer GinkgoRecover()
				status := send(fmt.Sprint("large-", number), 5<<20, chunked)
				lock.Lock()
				defer lock.Unlock()
				statuses[status]++
			})
		}
		refused := func() int { lock.Lock(); defer lock.Unlock(); return statuses[503] + statuses[0] }
		Eventually(refused, "3s").Should(BeNumerically(">=", 5))
		Consistently(func() int { return len(server.Runs()) }, "300ms").Should(BeNumerically("<=", 3), "bodies in memory at once")
		running := len(server.Runs())
		server.Next()
		Expect(send("small", 1000, chunked)).To(Equal(200), "a small body needs no share")
		server.Free()
		senders.Wait()
		Expect(statuses[200]).To(Equal(running))
		Expect(server.Runs()).To(HaveLen(running+1), "what was refused never ran")
		Eventually(func() bool { return p.bodyMemory.available.TryAcquire(p.bodyMemory.limit) }, "3s").Should(BeTrue(), "all of the memory is returned")
	},
		Entry("with their length", false),
		Entry("in chunks", true),
	)

	It("that are larger than all of the memory for bodies are served one at a time, and arrive whole", func() {
		for _, chunked := range []bool{false, true} {
			Expect(send(fmt.Sprint("huge-", chunked), 20<<20, chunked)).To(Equal(200))
		}
		for _, run := range server.Runs() {
			Expect(len(run.Body)).To(Equal(20 << 20))
		}
	})

	It("hold their memory until the last attempt has ended", func() {
		held := p.bodyMemory.hold()
		Expect(held.grow(GinkgoT().Context(), 16<<20)).To(Succeed())
		held.retain()
		held.release()
		Expect(p.bodyMemory.available.TryAcquire(1)).To(BeFalse())
		held.release()
		Expect(p.bodyMemory.available.TryAcquire(16 << 20)).To(BeTrue())
	})

	It("have a share that does not block others for longer than a client would wait", func() {
		held := p.bodyMemory.hold()
		Expect(held.grow(GinkgoT().Context(), 16<<20)).To(Succeed())
		started := time.Now()
		Expect(send("waits", 1<<20, false)).To(BeElementOf(503, 0))
		Expect(time.Since(started)).To(BeNumerically("<", 2*maxBodyWait+time.Second))
	})
})
