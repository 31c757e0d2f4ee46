package bounded_test

import (
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/bounded"
)

// Guards against numbers that are refused, or that overflow where they are used, because they are
// larger than their type.
var _ = DescribeTable("a number from outside is held at its bound",
	func(text string, count bounded.Count, bytes bounded.Bytes) {
		readCount, readBytes := bounded.Count(7), bounded.Bytes(7)
		Expect(json.Unmarshal([]byte(text), &readCount)).To(Succeed())
		Expect(json.Unmarshal([]byte(text), &readBytes)).To(Succeed())
		Expect(readCount).To(Equal(count))
		Expect(readBytes).To(Equal(bytes))
	},
	Entry("zero", "0", bounded.Count(0), bounded.Bytes(0)),
	Entry("null, which changes nothing", "null", bounded.Count(7), bounded.Bytes(7)),
	Entry("a small number", "20", bounded.Count(20), bounded.Bytes(20)),
	Entry("a negative number", "-3", bounded.Count(-3), bounded.Bytes(-3)),
	Entry("an exponent", "2e1", bounded.Count(20), bounded.Bytes(20)),
	Entry("a fraction", "2.9", bounded.Count(2), bounded.Bytes(2)),
	Entry("more than 32 bits", "2147483648", bounded.MaxCount, bounded.Bytes(2147483648)),
	Entry("the largest 64-bit number", "9223372036854775807", bounded.MaxCount, bounded.MaxBytes),
	Entry("more than 64 bits", "99999999999999999999999", bounded.MaxCount, bounded.MaxBytes),
	Entry("more than a float holds", "1e999", bounded.MaxCount, bounded.MaxBytes),
	Entry("the same below zero", "-1e999", -bounded.MaxCount, -bounded.MaxBytes),
)

var _ = DescribeTable("what is no number is refused", func(text string) {
	var count bounded.Count
	Expect(json.Unmarshal([]byte(text), &count)).NotTo(Succeed())
},
	Entry("a text", `"20"`), Entry("a word", `true`), Entry("a list", `[20]`), Entry("an object", `{"a":1}`), Entry("a bare word", `NaN`),
)
