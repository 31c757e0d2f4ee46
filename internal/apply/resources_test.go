package apply_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/apply"
)

const resourceFile = `apiVersion: ploverhitch/v1
kind: Plan
metadata: {name: tenants, generation: 3}
spec: {conversation: X-Learner, tiers: [{name: gold, order: 1, hosts: [h.example]}, {name: rest, order: 2, lanes: [packs]}]}
---
apiVersion: ploverhitch/v1
kind: Mirror
metadata: {name: build, generation: 2}
spec: {lanes: [fee], shadow: next, share: 0.1, conversation: {header: X-Learner}, until: "2026-12-20T06:00:00Z"}
`

var _ = Describe("Plan and Mirror objects", func() {
	It("become separate requests in the JSON form of the control API", func() {
		_, requests, err := apply.Parse([]byte(resourceFile))
		Expect(err).NotTo(HaveOccurred())
		Expect(requests).To(HaveLen(2))
		Expect(requests[0].Path).To(Equal("/v1/mirrors/modify"))
		Expect(string(requests[0].Body)).To(MatchJSON(`{"Upsert":[{"Name":"build","Routes":["fee"],"Shadow":"next","Share":0.1,"Header":"X-Learner","Until":"2026-12-20T06:00:00Z","Revision":"r2"}]}`))
		Expect(requests[1].Path).To(Equal("/v1/plans/modify"))
		Expect(string(requests[1].Body)).To(MatchJSON(`{"Upsert":[{"Name":"tenants","Conversation":"X-Learner","Tiers":[{"Name":"gold","Order":1,"Hosts":["h.example"]},{"Name":"rest","Order":2,"Routes":["packs"]}],"Revision":"r3"}]}`))
	})

	DescribeTable("are rejected with an error that names the invalid field",
		func(from, to, reason string) {
			_, _, err := apply.Parse([]byte(strings.Replace(resourceFile, from, to, 1)))
			Expect(err).To(MatchError(ContainSubstring(reason)))
		},
		Entry("a share above one", "share: 0.1", "share: 2", "Share"),
		Entry("a mirror without an end time", `, until: "2026-12-20T06:00:00Z"`, "", "Until"),
		Entry("an unsupported field", "share: 0.1", "rate: 0.1", "rate"),
		Entry("an unsupported field of a tier", "order: 1", "weight: 1", "weight"),
	)
})
