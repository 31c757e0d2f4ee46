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

func TestSignal(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "signal")
}

const (
	echo rpc.Kind = 1 + iota
	count
	mute
	flood
)

func serve(address string) net.Listener {
	listener, err := net.Listen("tcp4", address)
	Expect(err).NotTo(HaveOccurred())
	go rpc.Serve(listener, rpc.Handlers{
		echo: func(call rpc.Call) {
			var text string
			if rpc.Unpack(call.Body, &text) == nil {
				call.Reply(text)
			}
		},
		count: func(call rpc.Call) {
			for i := range 3 {
				call.Reply(i)
			}
		},
		mute: func(rpc.Call) {},
	}, time.Second)
	return listener
}

var _ = Describe("a peer that does not read", func() {
	It("loses its connection once more bytes wait for it than the bound", func() {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		taken := make(chan int, 1)
		go rpc.Serve(listener, rpc.Handlers{flood: func(call rpc.Call) {
			piece, count := make([]byte, 64<<10), 0
			for call.Reply(piece) && count < 1000 {
				count++
			}
			taken <- count * len(piece)
		}}, time.Second)
		line := rpc.NewLine(listener.Addr().String(), time.Second, time.Second)
		hold := make(chan struct{})
		defer close(hold)
		line.Send(flood, nil, func([]byte, error) { <-hold })
		var bytes int
		Eventually(taken, 5*time.Second).Should(Receive(&bytes))
		// What the kernel takes comes on top of the bound.
		Expect(bytes).To(BeNumerically("<", 1000*64<<10))
	})
})

var _ = Describe("a line", func() {
	It("carries many calls at once, each to its own reply", func() {
		listener := serve("127.0.0.1:0")
		defer listener.Close()
		line := rpc.NewLine(listener.Addr().String(), time.Second, time.Second)
		var all sync.WaitGroup
		for range 50 {
			all.Go(func() {
				defer GinkgoRecover()
				text, got := time.Now().String(), ""
				Expect(line.Ask(echo, text, &got, 5*time.Second)).To(Succeed())
				Expect(got).To(Equal(text))
			})
		}
		all.Wait()
	})

	It("gives every reply of a feed, and then the cut", func() {
		listener := serve("127.0.0.1:0")
		defer listener.Close()
		line := rpc.NewLine(listener.Addr().String(), time.Second, time.Second)
		replies, cut := make(chan int, 3), make(chan error, 1)
		line.Send(count, nil, func(body []byte, err error) {
			if err != nil {
				cut <- err
				return
			}
			var i int
			if rpc.Unpack(body, &i) == nil {
				replies <- i
			}
		})
		for i := range 3 {
			Eventually(replies).Should(Receive(Equal(i)))
		}
		line.Close()
		Eventually(cut).Should(Receive(MatchError(rpc.ErrCut)))
	})

	It("fails fast where nobody listens, and works once somebody does", func() {
		listener := serve("127.0.0.1:0")
		address := listener.Addr().String()
		listener.Close()
		line := rpc.NewLine(address, time.Second, time.Second)
		Expect(line.Ask(echo, "x", nil, 5*time.Second)).To(MatchError(rpc.ErrCut))
		listener = serve(address)
		defer listener.Close()
		Eventually(func() error { return line.Ask(echo, "x", nil, time.Second) }).Should(Succeed())
	})

	It("waits no longer than it is told", func() {
		listener := serve("127.0.0.1:0")
		defer listener.Close()
		line := rpc.NewLine(listener.Addr().String(), time.Second, time.Second)
		Expect(line.Ask(mute, nil, nil, 20*time.Millisecond)).To(MatchError(ContainSubstring("call to")))
	})
})
