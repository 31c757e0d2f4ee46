package bandwidth_test

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/bandwidth"
	"ploverhitch/internal/clock"
)

func TestBandwidth(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bandwidth")
}

// link is a simple model of a network link: a queue that drains at the link's rate.
// It records the longest time that a short packet would have waited.
type link struct {
	clock       *clock.Manual
	perByte     time.Duration
	busyUntil   time.Duration
	longestWait time.Duration
}

func (l *link) Write(data []byte) (int, error) {
	l.busyUntil = max(l.busyUntil, l.clock.Now) + time.Duration(len(data))*l.perByte
	l.longestWait = max(l.longestWait, l.busyUntil-l.clock.Now)
	return len(data), nil
}

var _ = Describe("a pacer", func() {
	const mbps = 4.0 // 2 microseconds a byte
	var manualClock *clock.Manual
	BeforeEach(func() { manualClock = &clock.Manual{} })

	It("writes all of a bulk response and keeps the link's queue short", func() {
		slowLink := &link{clock: manualClock, perByte: 2 * time.Microsecond}
		body := bytes.Repeat([]byte("x"), 200_000)
		count, err := bandwidth.NewPacer(mbps, manualClock).Writer(slowLink).Write(body)
		Expect(err).NotTo(HaveOccurred())
		Expect(count).To(Equal(len(body)))
		Expect(slowLink.longestWait).To(BeNumerically("<", 12*time.Millisecond))
		Expect(manualClock.Now).To(BeNumerically("<", 500*time.Millisecond))
		// Without pacing, the whole response is in the queue at once.
		unpaced := &link{clock: manualClock, perByte: 2 * time.Microsecond}
		_, _ = unpaced.Write(body)
		Expect(unpaced.longestWait).To(BeNumerically(">", 300*time.Millisecond))
	})

	It("delays bulk traffic behind counted short traffic", func() {
		pacer := bandwidth.NewPacer(mbps, manualClock)
		pacer.CountShort(50_000)
		pacer.WaitBulk(bandwidth.ChunkBytes)
		// The short traffic takes 100 ms, of which 8 ms may remain as backlog.
		Expect(manualClock.Now).To(BeNumerically("~", 92*time.Millisecond, 2*time.Millisecond))
	})

	It("reads the bytes after the first window no faster than the link carries them", func() {
		pacer := bandwidth.NewPacer(mbps, manualClock)
		body := bytes.Repeat([]byte("x"), 100_000)
		data, err := io.ReadAll(pacer.Reader(bytes.NewReader(body), int64(len(body)), 60_000))
		Expect(err).NotTo(HaveOccurred())
		Expect(data).To(Equal(body))
		Expect(manualClock.Now).To(BeNumerically("~", 200*time.Millisecond, 20*time.Millisecond))
	})

	It("reads bytes that are already in flight without waiting, and counts them", func() {
		pacer := bandwidth.NewPacer(mbps, manualClock)
		_, err := io.ReadAll(pacer.Reader(bytes.NewReader(make([]byte, 65_000)), 65_000, 60_000))
		Expect(err).NotTo(HaveOccurred())
		Expect(manualClock.Now).To(BeZero())
		// Other bulk traffic waits until the link has carried them.
		pacer.WaitBulk(bandwidth.ChunkBytes)
		Expect(manualClock.Now).To(BeNumerically("~", 125*time.Millisecond, 10*time.Millisecond))
	})

	It("paces a bulk response that is written in short parts", func() {
		slowLink := &link{clock: manualClock, perByte: 2 * time.Microsecond}
		out := bandwidth.NewPacer(mbps, manualClock).BulkWriter(slowLink)
		for range 100 {
			_, err := out.Write(make([]byte, 1000))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(slowLink.longestWait).To(BeNumerically("<", 16*time.Millisecond))
		Expect(manualClock.Now).To(BeNumerically("~", 215*time.Millisecond, 25*time.Millisecond))
		// Short traffic of the same size does not wait.
		_, _ = bandwidth.NewPacer(mbps, manualClock).Writer(slowLink).Write(make([]byte, 1000))
		began := manualClock.Now
		_, _ = bandwidth.NewPacer(mbps, manualClock).Writer(slowLink).Write(make([]byte, 1000))
		Expect(manualClock.Now).To(Equal(began))
	})

	It("does not delay short responses or traffic on fast links", func() {
		pacer := bandwidth.NewPacer(mbps, manualClock)
		_, _ = io.ReadAll(pacer.Reader(bytes.NewReader(make([]byte, 5000)), 5000, 60_000))
		fastLink := bandwidth.NewPacer(1000, manualClock)
		_, _ = io.ReadAll(fastLink.Reader(bytes.NewReader(make([]byte, 500_000)), 500_000, 60_000))
		_, _ = fastLink.Writer(io.Discard).Write(make([]byte, 500_000))
		Expect(manualClock.Now).To(BeZero())
	})
})

var _ = Describe("the bulk limiter", func() {
	It("admits responses that the link can carry in time, and limits concurrent senders", func() {
		limiter := bandwidth.NewBulkLimiter(bandwidth.NewPacer(4, &clock.Manual{}))
		var releases []func()
		for range 10 { // 100 kB take 200 ms each
			if release, admitted := limiter.Admit(100_000, 700*time.Millisecond); admitted {
				releases = append(releases, release)
			}
		}
		Expect(releases).To(HaveLen(3))
		releases[0]()
		_, admitted := limiter.Admit(100_000, 700*time.Millisecond)
		Expect(admitted).To(BeTrue())
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		release, acquired := limiter.AcquireSender(context.Background())
		Expect(acquired).To(BeTrue())
		_, acquired = limiter.AcquireSender(context.Background())
		Expect(acquired).To(BeTrue())
		_, acquired = limiter.AcquireSender(cancelled)
		Expect(acquired).To(BeFalse())
		release()
		_, acquired = limiter.AcquireSender(context.Background())
		Expect(acquired).To(BeTrue())
	})

	It("admits a single response of any size, and all responses on a fast link", func() {
		limiter := bandwidth.NewBulkLimiter(bandwidth.NewPacer(4, &clock.Manual{}))
		_, admitted := limiter.Admit(100_000_000, time.Millisecond)
		Expect(admitted).To(BeTrue())
		unlimited := bandwidth.NewBulkLimiter(bandwidth.NewPacer(1000, &clock.Manual{}))
		for range 100 {
			_, admitted = unlimited.Admit(100_000_000, 0)
			Expect(admitted).To(BeTrue())
		}
	})
})
