package control

import (
	"testing"

	"github.com/getkin/kin-openapi/openapi3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSignalbox(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}

var _ = Describe("the operators' interface", func() {
	It("answers the calls of api/control.yaml and no others", func() {
		document, err := openapi3.NewLoader().LoadFromFile("../../api/control.yaml")
		Expect(err).NotTo(HaveOccurred())
		Expect(document.Validate(GinkgoT().Context())).To(Succeed())
		var written, handled []string
		for path, item := range document.Paths.Map() {
			for method := range item.Operations() {
				written = append(written, method+" "+path)
			}
		}
		for pattern := range (&node{}).table() {
			handled = append(handled, pattern)
		}
		Expect(handled).To(ConsistOf(written))
	})
})
