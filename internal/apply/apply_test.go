package apply_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/apply"
	"ploverhitch/internal/bounded"
	"ploverhitch/internal/config"
)

func TestApply(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "apply")
}

const file = `apiVersion: ploverhitch/v1
kind: Service
metadata: {name: fees, generation: 3}
spec: {maxConnections: 100, healthPath: /health}
---
apiVersion: ploverhitch/v1
kind: Route
metadata: {name: fee, generation: 4}
spec:
  host: h.example
  pathPrefix: /fee/
  type: idempotent
  timeout: 1500ms
  targetLatency: 400ms
  maxAttempts: 2
  backendRefs: [{name: fees, weight: 9}, {name: fees-next, weight: 1}]
---
apiVersion: ploverhitch/v1
kind: Limits
metadata: {name: limits, generation: 2}
spec: {maxBodyBytes: 1000}
`

var _ = Describe("a file of objects", func() {
	It("is converted to a valid configuration change", func() {
		body, _, err := apply.Parse([]byte(file))
		Expect(err).NotTo(HaveOccurred())
		items, err := config.ParseModify(body)
		Expect(err).NotTo(HaveOccurred())
		itemSet := config.ItemSet{}
		itemSet.Merge(items)
		Expect(itemSet).To(HaveLen(3))
		configuration := itemSet.Compile()
		route := configuration.Find("h.example", "/fee/x")
		Expect(route.Revision).To(Equal(config.Version(4)))
		Expect(route.Services()).To(Equal([]string{"fees", "fees-next"}))
		Expect(configuration.Limits.MaxBodyBytes).To(Equal(bounded.Bytes(1000)))
		Expect(configuration.Services["fees"].MaxConnections).To(Equal(bounded.Count(100)))
	})

	DescribeTable("is rejected with an error that names the unsupported or invalid part",
		func(from, to, reason string) {
			_, _, err := apply.Parse([]byte(strings.Replace(file, from, to, 1)))
			Expect(err).To(MatchError(ContainSubstring(reason)))
		},
		Entry("an unsupported field", "  maxAttempts: 2", "  filters: []", `"filters"`),
		Entry("an unsupported kind", "kind: Route", "kind: HTTPRoute", `"HTTPRoute"`),
		Entry("an unsupported API version", "ploverhitch/v1", "gateway.networking.k8s.io/v1", "gateway.networking.k8s.io/v1"),
		Entry("a missing generation", ", generation: 3", "", "metadata.generation"),
		Entry("an invalid duration", "1500ms", "soon", "soon"),
		Entry("a route without a timeout", "  timeout: 1500ms\n", "", "Timeout"),
	)
})

var _ = Describe("a Site object", func() {
	It("becomes a separate request, and an unsupported field is rejected by name", func() {
		_, requests, err := apply.Parse([]byte("apiVersion: ploverhitch/v1\nkind: Site\nmetadata: {name: hall, generation: 3}\nspec: {parent: a, servers: [i-1], capacity: {exams: 4}}\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(requests).To(HaveLen(1))
		Expect(requests[0].Path).To(Equal("/v1/sites/modify"))
		Expect(string(requests[0].Body)).To(MatchJSON(`{"Upsert":[{"Name":"hall","Parent":"a","Servers":["i-1"],"Capacity":{"exams":4},"Revision":"r3"}]}`))
		_, _, err = apply.Parse([]byte("apiVersion: ploverhitch/v1\nkind: Site\nmetadata: {name: hall, generation: 3}\nspec: {floor: 2}\n"))
		Expect(err).To(MatchError(ContainSubstring("floor")))
	})
})
