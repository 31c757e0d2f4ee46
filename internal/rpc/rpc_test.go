package rpc_test

import (
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/rpc"
)

func TestRPC(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rpc")
}

const (
	echo rpc.Kind = 1 + iota
	count
	silent
	flood
)

func serve(address string) net.Listener {
	listener, err := net.Listen("tcp4", address)
	Expect(err).NotTo(HaveOccurred())
	go rpc.Serve(listener, rpc.Handlers{
		echo: func(call rpc.Call) {
			var text string
			if rpc.Decode(call.Body, &text) == nil {
				call.Reply(text)
			}
		},
		count: func(call rpc.Call) {
			for i := range 3 {
				call.Reply(i)
			}
		},
		silent: func(rpc.Call) {},
	}, time.Second)
	return listener
}

var _ = Describe("Serve", func() {
	It("closes the connection of a peer that does not read once the queued bytes exceed the limit", func() {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		accepted := make(chan int, 1)
		go rpc.Serve(listener, rpc.Handlers{flood: func(call rpc.Call) {
			chunk, count := make([]byte, 64<<10), 0
			for call.Reply(chunk) && count < 1000 {
				count++
			}
			accepted <- count * len(chunk)
		}}, time.Second)
		client := rpc.NewClient(listener.Addr().String(), time.Second, time.Second)
		release := make(chan struct{})
		defer close(release)
		client.Send(flood, nil, func([]byte, error) { <-release })
		var bytes int
		Eventually(accepted, 5*time.Second).Should(Receive(&bytes))
		// The socket buffers of the kernel hold bytes in addition to the limit.
		Expect(bytes).To(BeNumerically("<", 1000*64<<10))
	})
})

var _ = Describe("Client", func() {
	It("matches replies to concurrent calls", func() {
		listener := serve("127.0.0.1:0")
		defer listener.Close()
		client := rpc.NewClient(listener.Addr().String(), time.Second, time.Second)
		var all sync.WaitGroup
		for range 50 {
			all.Go(func() {
				defer GinkgoRecover()
				text, got := time.Now().String(), ""
				Expect(client.Call(echo, text, &got, 5*time.Second)).To(Succeed())
				Expect(got).To(Equal(text))
			})
		}
		all.Wait()
	})

	It("delivers every reply of a subscription, and then the disconnect error", func() {
		listener := serve("127.0.0.1:0")
		defer listener.Close()
		client := rpc.NewClient(listener.Addr().String(), time.Second, time.Second)
		replies, disconnected := make(chan int, 3), make(chan error, 1)
		client.Send(count, nil, func(body []byte, err error) {
			if err != nil {
				disconnected <- err
				return
			}
			var i int
			if rpc.Decode(body, &i) == nil {
				replies <- i
			}
		})
		for i := range 3 {
			Eventually(replies).Should(Receive(Equal(i)))
		}
		client.Close()
		Eventually(disconnected).Should(Receive(MatchError(rpc.ErrDisconnected)))
	})

	It("fails fast while nothing listens on the address, and connects once a server does", func() {
		listener := serve("127.0.0.1:0")
		address := listener.Addr().String()
		listener.Close()
		client := rpc.NewClient(address, time.Second, time.Second)
		Expect(client.Call(echo, "x", nil, 5*time.Second)).To(MatchError(rpc.ErrDisconnected))
		listener = serve(address)
		defer listener.Close()
		Eventually(func() error { return client.Call(echo, "x", nil, time.Second) }).Should(Succeed())
	})

	It("returns an error after the timeout", func() {
		listener := serve("127.0.0.1:0")
		defer listener.Close()
		client := rpc.NewClient(listener.Addr().String(), time.Second, time.Second)
		Expect(client.Call(silent, nil, nil, 20*time.Millisecond)).To(MatchError(ContainSubstring("call to")))
	})
})
