package feed_test

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/config"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/rpc"
)

var _ = Describe("a follower", func() {
	// run follows a server of feeds until the test ends.
	run := func(handle func(rpc.Call), take func(feed.News)) *feed.Follower {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(func() { stop(); _ = listener.Close() })
		go rpc.Serve(listener, rpc.Handlers{feed.KindFollow: handle}, time.Second)
		line := rpc.NewClient(listener.Addr().String(), time.Second, time.Second)
		follower := feed.NewFollower("one", line, take, 10*time.Millisecond)
		go follower.Run(ctx)
		return follower
	}
	publish := func(hub *feed.Hub, version int) { hub.Publish(feed.News{Items: []config.Item{item("a", version)}}) }

	It("gets the checkpoint that it asked for, whatever the earlier feed still brings", func() {
		hub := feed.NewHub()
		publish(hub, 1)
		got, hold := make(chan feed.News, 16), make(chan struct{})
		follower := run(hub.Handle, func(news feed.News) {
			got <- news
			if !news.IsCheckpoint {
				<-hold
			}
		})
		Eventually(got).Should(Receive(HaveField("IsCheckpoint", true)))
		publish(hub, 2)
		Eventually(got).Should(Receive(HaveField("IsCheckpoint", false)))
		// The earlier feed is being taken still as the follower begins anew.
		follower.Again()
		time.Sleep(50 * time.Millisecond)
		close(hold)
		Eventually(got).Should(Receive(HaveField("IsCheckpoint", true)))
	})

	It("skips no news that it cannot read, and leaves no feed behind", func() {
		hub := feed.NewHub()
		publish(hub, 1)
		reached, ended := make(chan feed.Follow, 16), make(chan struct{}, 16)
		got := make(chan feed.News, 16)
		var isGood atomic.Bool
		follower := run(func(call rpc.Call) {
			var from feed.Follow
			if rpc.Decode(call.Body, &from) != nil {
				return
			}
			reached <- from
			if isGood.Swap(true) {
				hub.Handle(call)
				return
			}
			call.Reply(feed.News{Life: 7, Place: 1})
			call.Reply("no news at all")
			call.Reply(feed.News{Life: 7, Place: 3})
			go func() { <-call.Closed; ended <- struct{}{} }()
		}, func(news feed.News) { got <- news })
		Eventually(reached).Should(Receive(HaveField("Place", uint64(0))))
		Eventually(got).Should(Receive(HaveField("Place", uint64(1))))
		Eventually(reached).Should(Receive(HaveField("Place", uint64(1))))
		Eventually(ended).Should(Receive())
		Eventually(got).Should(Receive(HaveField("IsCheckpoint", true)))
		Expect(hub.Followers()).To(Equal([]string{"one"}))
		Eventually(follower.Broken).Should(BeZero())
	})
})
