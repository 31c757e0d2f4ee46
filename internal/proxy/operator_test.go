package proxy

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
)

var _ = Describe("an operator's query", func() {
	// Guards against a query that is dropped in silence, so that its caller waits for its whole timeout.
	It("is rejected and logged if it cannot be decoded", func() {
		logged, rejected, replied := 0, []rpc.Rejection{}, 0
		p := &proxy{log: func(string, string, ...any) { logged++ }}
		handle := replyWith(p, func(in messages.LookupHomes) messages.LookupHomes { return in })
		call := rpc.Call{
			Kind: messages.KindLookupHomes, Body: []byte{0xff},
			Reply:         func(any) bool { replied++; return true },
			SendRejection: func(reason rpc.Rejection) { rejected = append(rejected, reason) },
		}
		handle(call)
		Expect(rejected).To(Equal([]rpc.Rejection{rpc.Undecodable}))
		Expect(logged).To(Equal(1))
		Expect(replied).To(BeZero())
		call.Body = nil
		handle(call)
		Expect(replied).To(Equal(1))
		Expect(rejected).To(HaveLen(1))
	})
})
