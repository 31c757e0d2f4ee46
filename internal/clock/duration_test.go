package clock_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/clock"
)

func TestClock(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "clock")
}

// Guards against durations that overflow when they are read, or when they are added to a time: such a
// Timeout ended every request at once, and such a HeaderTimeout closed every connection (on x86-64).
var _ = DescribeTable("a duration is read as its value, held at the largest one",
	func(text string, expected time.Duration) {
		duration, err := clock.ParseDuration(text)
		Expect(err).NotTo(HaveOccurred())
		Expect(duration.Std()).To(Equal(expected))
		Expect(time.Until(time.Now().Add(duration.Std()))).To(BeNumerically(">=", duration.Std()-time.Second))
		Expect(2 * duration.Std()).To(BeNumerically(">=", duration.Std()))
	},
	Entry("whole milliseconds", "1500ms", 1500*time.Millisecond),
	Entry("a fraction of a second", "2.5s", 2500*time.Millisecond),
	Entry("an exponent", "1e3ms", time.Second),
	Entry("zero", "0ms", time.Duration(0)),
	Entry("less than a nanosecond, which is not zero", "0.0000001ms", time.Nanosecond),
	Entry("three hundred years", "9999999999s", clock.MaxDuration.Std()),
	Entry("the largest 64-bit number of hours", "9223372036854775807h", clock.MaxDuration.Std()),
	Entry("more than a float holds", "1e999ms", clock.MaxDuration.Std()),
)

var _ = DescribeTable("what is no duration is refused", func(text string) {
	_, err := clock.ParseDuration(text)
	Expect(err).To(MatchError(ContainSubstring("duration")))
},
	Entry("no unit", "1500"), Entry("no number", "ms"), Entry("an unknown unit", "3d"), Entry("nothing", ""), Entry("a negative number", "-1ms"),
	Entry("not a number", "NaNms"), Entry("the same in small letters", "nans"), Entry("infinity", "Infms"), Entry("infinity in full", "infinitys"),
)
