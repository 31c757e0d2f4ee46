package control

import (
	"testing"

	"github.com/getkin/kin-openapi/openapi3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}

var _ = Describe("the operator API", func() {
	It("serves exactly the operations of api/control.yaml", func() {
		document, err := openapi3.NewLoader().LoadFromFile("../../api/control.yaml")
		Expect(err).NotTo(HaveOccurred())
		Expect(document.Validate(GinkgoT().Context())).To(Succeed())
		var documented, handled []string
		for path, item := range document.Paths.Map() {
			for method := range item.Operations() {
				documented = append(documented, method+" "+path)
			}
		}
		for pattern := range (&node{}).operations() {
			handled = append(handled, pattern)
		}
		Expect(handled).To(ConsistOf(documented))
	})
})
