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
	"ploverhitch/internal/timetable"
)

func TestBandwidth(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bandwidth")
}

// wire is a slow plain model of a link: a queue that empties at the link's
// rate. It tells the longest that a short packet would have waited.
type link struct {
	clock       *timetable.Hand
	perByte     time.Duration
	busyUntil   time.Duration
	longestWait time.Duration
}

func (l *link) Write(data []byte) (int, error) {
	l.busyUntil = max(l.busyUntil, l.clock.Now) + time.Duration(len(data))*l.perByte
	l.longestWait = max(l.longestWait, l.busyUntil-l.clock.Now)
	return len(data), nil
}

var _ = Describe("a track", func() {
	const mbps = 4.0 // 2 microseconds a byte
	var clock *timetable.Hand
	BeforeEach(func() { clock = &timetable.Hand{} })

	It("never lets bulk queue on the link, and passes all of it", func() {
		slowLink := &link{clock: clock, perByte: 2 * time.Microsecond}
		body := bytes.Repeat([]byte("x"), 200_000)
		count, err := bandwidth.NewPacer(mbps, clock).Writer(slowLink).Write(body)
		Expect(err).NotTo(HaveOccurred())
		Expect(count).To(Equal(len(body)))
		Expect(slowLink.longestWait).To(BeNumerically("<", 12*time.Millisecond))
		Expect(clock.Now).To(BeNumerically("<", 500*time.Millisecond))
		// Without pacing all of it would stand in the queue at once.
		unpaced := &link{clock: clock, perByte: 2 * time.Microsecond}
		_, _ = unpaced.Write(body)
		Expect(unpaced.longestWait).To(BeNumerically(">", 300*time.Millisecond))
	})

	It("lets bulk yield to short traffic that was noted", func() {
		pacer := bandwidth.NewPacer(mbps, clock)
		pacer.CountShort(50_000)
		pacer.WaitBulk(bandwidth.ChunkBytes)
		// The notes take 100 ms, of which 8 ms may still be ahead.
		Expect(clock.Now).To(BeNumerically("~", 92*time.Millisecond, 2*time.Millisecond))
	})

	It("reads what follows the first window no faster than the link has room", func() {
		pacer := bandwidth.NewPacer(mbps, clock)
		body := bytes.Repeat([]byte("x"), 100_000)
		data, err := io.ReadAll(pacer.Reader(bytes.NewReader(body), int64(len(body)), 60_000))
		Expect(err).NotTo(HaveOccurred())
		Expect(data).To(Equal(body))
		Expect(clock.Now).To(BeNumerically("~", 200*time.Millisecond, 20*time.Millisecond))
	})

	It("reads what is on its way already at once, and counts it", func() {
		pacer := bandwidth.NewPacer(mbps, clock)
		_, err := io.ReadAll(pacer.Reader(bytes.NewReader(make([]byte, 65_000)), 65_000, 60_000))
		Expect(err).NotTo(HaveOccurred())
		Expect(clock.Now).To(BeZero())
		// Other bulk waits until it has passed.
		pacer.WaitBulk(bandwidth.ChunkBytes)
		Expect(clock.Now).To(BeNumerically("~", 125*time.Millisecond, 10*time.Millisecond))
	})

	It("keeps its distance also where bulk comes piece by piece", func() {
		slowLink := &link{clock: clock, perByte: 2 * time.Microsecond}
		out := bandwidth.NewPacer(mbps, clock).BulkWriter(slowLink)
		for range 100 {
			_, err := out.Write(make([]byte, 1000))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(slowLink.longestWait).To(BeNumerically("<", 16*time.Millisecond))
		Expect(clock.Now).To(BeNumerically("~", 215*time.Millisecond, 25*time.Millisecond))
		// As short traffic it would not have waited at all.
		_, _ = bandwidth.NewPacer(mbps, clock).Writer(slowLink).Write(make([]byte, 1000))
		began := clock.Now
		_, _ = bandwidth.NewPacer(mbps, clock).Writer(slowLink).Write(make([]byte, 1000))
		Expect(clock.Now).To(Equal(began))
	})

	It("leaves short replies and wide links alone", func() {
		pacer := bandwidth.NewPacer(mbps, clock)
		_, _ = io.ReadAll(pacer.Reader(bytes.NewReader(make([]byte, 5000)), 5000, 60_000))
		wide := bandwidth.NewPacer(1000, clock)
		_, _ = io.ReadAll(wide.Reader(bytes.NewReader(make([]byte, 500_000)), 500_000, 60_000))
		_, _ = wide.Writer(io.Discard).Write(make([]byte, 500_000))
		Expect(clock.Now).To(BeZero())
	})
})

var _ = Describe("the passing of bulk", func() {
	It("admits what the link can carry in time, and few senders at once", func() {
		limiter := bandwidth.NewBulkLimiter(bandwidth.NewPacer(4, &timetable.Hand{}))
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

	It("admits a single one, however large, and all on a wide link", func() {
		limiter := bandwidth.NewBulkLimiter(bandwidth.NewPacer(4, &timetable.Hand{}))
		_, admitted := limiter.Admit(100_000_000, time.Millisecond)
		Expect(admitted).To(BeTrue())
		wide := bandwidth.NewBulkLimiter(bandwidth.NewPacer(1000, &timetable.Hand{}))
		for range 100 {
			_, admitted = wide.Admit(100_000_000, 0)
			Expect(admitted).To(BeTrue())
		}
	})
})
