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

// wire is a slow plain model of a link: a queue that empties at the link's
// rate. It tells the longest that a short packet would have waited.
type wire struct {
	hand    *clock.Manual
	perByte time.Duration
	busy    time.Duration
	longest time.Duration
}

func (w *wire) Write(text []byte) (int, error) {
	w.busy = max(w.busy, w.hand.Now) + time.Duration(len(text))*w.perByte
	w.longest = max(w.longest, w.busy-w.hand.Now)
	return len(text), nil
}

var _ = Describe("a track", func() {
	const mbps = 4.0 // 2 microseconds a byte
	var hand *clock.Manual
	BeforeEach(func() { hand = &clock.Manual{} })

	It("never lets bulk queue on the link, and passes all of it", func() {
		link := &wire{hand: hand, perByte: 2 * time.Microsecond}
		body := bytes.Repeat([]byte("x"), 200_000)
		count, err := bandwidth.NewTrack(mbps, hand).Writer(link).Write(body)
		Expect(err).NotTo(HaveOccurred())
		Expect(count).To(Equal(len(body)))
		Expect(link.longest).To(BeNumerically("<", 12*time.Millisecond))
		Expect(hand.Now).To(BeNumerically("<", 500*time.Millisecond))
		// Without pacing all of it would stand in the queue at once.
		bare := &wire{hand: hand, perByte: 2 * time.Microsecond}
		_, _ = bare.Write(body)
		Expect(bare.longest).To(BeNumerically(">", 300*time.Millisecond))
	})

	It("lets bulk yield to short traffic that was noted", func() {
		track := bandwidth.NewTrack(mbps, hand)
		track.Note(50_000)
		track.Pass(bandwidth.Piece)
		// The notes take 100 ms, of which 8 ms may still be ahead.
		Expect(hand.Now).To(BeNumerically("~", 92*time.Millisecond, 2*time.Millisecond))
	})

	It("reads what follows the first window no faster than the link has room", func() {
		track := bandwidth.NewTrack(mbps, hand)
		body := bytes.Repeat([]byte("x"), 100_000)
		text, err := io.ReadAll(track.Reader(bytes.NewReader(body), int64(len(body)), 60_000))
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal(body))
		Expect(hand.Now).To(BeNumerically("~", 200*time.Millisecond, 20*time.Millisecond))
	})

	It("reads what is on its way already at once, and counts it", func() {
		track := bandwidth.NewTrack(mbps, hand)
		_, err := io.ReadAll(track.Reader(bytes.NewReader(make([]byte, 65_000)), 65_000, 60_000))
		Expect(err).NotTo(HaveOccurred())
		Expect(hand.Now).To(BeZero())
		// Other bulk waits until it has passed.
		track.Pass(bandwidth.Piece)
		Expect(hand.Now).To(BeNumerically("~", 125*time.Millisecond, 10*time.Millisecond))
	})

	It("keeps its distance also where bulk comes piece by piece", func() {
		link := &wire{hand: hand, perByte: 2 * time.Microsecond}
		out := bandwidth.NewTrack(mbps, hand).BulkWriter(link)
		for range 100 {
			_, err := out.Write(make([]byte, 1000))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(link.longest).To(BeNumerically("<", 16*time.Millisecond))
		Expect(hand.Now).To(BeNumerically("~", 215*time.Millisecond, 25*time.Millisecond))
		// As short traffic it would not have waited at all.
		_, _ = bandwidth.NewTrack(mbps, hand).Writer(link).Write(make([]byte, 1000))
		began := hand.Now
		_, _ = bandwidth.NewTrack(mbps, hand).Writer(link).Write(make([]byte, 1000))
		Expect(hand.Now).To(Equal(began))
	})

	It("leaves short replies and wide links alone", func() {
		track := bandwidth.NewTrack(mbps, hand)
		_, _ = io.ReadAll(track.Reader(bytes.NewReader(make([]byte, 5000)), 5000, 60_000))
		wide := bandwidth.NewTrack(1000, hand)
		_, _ = io.ReadAll(wide.Reader(bytes.NewReader(make([]byte, 500_000)), 500_000, 60_000))
		_, _ = wide.Writer(io.Discard).Write(make([]byte, 500_000))
		Expect(hand.Now).To(BeZero())
	})
})

var _ = Describe("the passing of bulk", func() {
	It("admits what the link can carry in time, and few senders at once", func() {
		passing := bandwidth.NewPassing(bandwidth.NewTrack(4, &clock.Manual{}))
		var leaves []func()
		for range 10 { // 100 kB take 200 ms each
			if leave, isAdmitted := passing.Enter(100_000, 700*time.Millisecond); isAdmitted {
				leaves = append(leaves, leave)
			}
		}
		Expect(leaves).To(HaveLen(3))
		leaves[0]()
		_, isAdmitted := passing.Enter(100_000, 700*time.Millisecond)
		Expect(isAdmitted).To(BeTrue())
		over, cancel := context.WithCancel(context.Background())
		cancel()
		end, isTurn := passing.Turn(context.Background())
		Expect(isTurn).To(BeTrue())
		_, isTurn = passing.Turn(context.Background())
		Expect(isTurn).To(BeTrue())
		_, isTurn = passing.Turn(over)
		Expect(isTurn).To(BeFalse())
		end()
		_, isTurn = passing.Turn(context.Background())
		Expect(isTurn).To(BeTrue())
	})

	It("admits a single one, however large, and all on a wide link", func() {
		passing := bandwidth.NewPassing(bandwidth.NewTrack(4, &clock.Manual{}))
		_, isAdmitted := passing.Enter(100_000_000, time.Millisecond)
		Expect(isAdmitted).To(BeTrue())
		wide := bandwidth.NewPassing(bandwidth.NewTrack(1000, &clock.Manual{}))
		for range 100 {
			_, isAdmitted = wide.Enter(100_000_000, 0)
			Expect(isAdmitted).To(BeTrue())
		}
	})
})
