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
	// run subscribes to a local server until the test ends.
	run := func(handle func(rpc.Call), onUpdate func(feed.Update)) *feed.Follower {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(func() { stop(); _ = listener.Close() })
		go rpc.Serve(listener, rpc.Handlers{feed.KindFollow: handle}, time.Second)
		connection := rpc.NewClient(listener.Addr().String(), time.Second, time.Second)
		follower := feed.NewFollower("one", connection, onUpdate, 10*time.Millisecond)
		go follower.Run(ctx)
		return follower
	}
	publish := func(hub *feed.Hub, version int) { hub.Publish(feed.Update{Items: []config.Item{item("a", version)}}) }

	It("receives the snapshot that it requests, despite late updates of the previous subscription", func() {
		hub := feed.NewHub()
		publish(hub, 1)
		received, release := make(chan feed.Update, 16), make(chan struct{})
		follower := run(hub.Handle, func(update feed.Update) {
			received <- update
			if !update.Snapshot {
				<-release
			}
		})
		Eventually(received).Should(Receive(HaveField("Snapshot", true)))
		publish(hub, 2)
		Eventually(received).Should(Receive(HaveField("Snapshot", false)))
		// An update of the previous subscription is still being handled when the follower
		// resubscribes.
		follower.RequestSnapshot()
		time.Sleep(50 * time.Millisecond)
		close(release)
		Eventually(received).Should(Receive(HaveField("Snapshot", true)))
	})

	It("resubscribes after an update that it cannot decode, and ends the previous subscription", func() {
		hub := feed.NewHub()
		publish(hub, 1)
		requests, ended := make(chan feed.FollowRequest, 16), make(chan struct{}, 16)
		received := make(chan feed.Update, 16)
		var passThrough atomic.Bool
		follower := run(func(call rpc.Call) {
			var from feed.FollowRequest
			if rpc.Decode(call.Body, &from) != nil {
				return
			}
			requests <- from
			if passThrough.Swap(true) {
				hub.Handle(call)
				return
			}
			call.Reply(feed.Update{Incarnation: 7, Sequence: 1})
			call.Reply("not an update")
			call.Reply(feed.Update{Incarnation: 7, Sequence: 3})
			go func() { <-call.Closed; ended <- struct{}{} }()
		}, func(update feed.Update) { received <- update })
		Eventually(requests).Should(Receive(HaveField("Sequence", uint64(0))))
		Eventually(received).Should(Receive(HaveField("Sequence", uint64(1))))
		Eventually(requests).Should(Receive(HaveField("Sequence", uint64(1))))
		Eventually(ended).Should(Receive())
		Eventually(received).Should(Receive(HaveField("Snapshot", true)))
		Expect(hub.Followers()).To(Equal([]string{"one"}))
		Eventually(follower.DisconnectedFor).Should(BeZero())
	})
})
