package standin_test

import (
	"encoding/json"
	"strings"

	"github.com/getkin/kin-openapi/openapi3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// matchSchema holds a text against a schema of api/control.yaml.
func matchSchema(name, text string) {
	GinkgoHelper()
	document, err := openapi3.NewLoader().LoadFromFile("../../api/control.yaml")
	Expect(err).NotTo(HaveOccurred())
	var value any
	Expect(json.Unmarshal([]byte(text), &value)).To(Succeed())
	Expect(document.Components.Schemas[name].Value.VisitJSON(value)).To(Succeed(), text)
}

var _ = Describe("the operators' interface on the wire", Ordered, func() {
	It("sends and takes what api/control.yaml says", func() {
		s := startSystem(17400, 1)
		matchSchema("Modify", manifestText)
		for path, schema := range map[string]string{"/v1/config/read": "Set", "/v1/status": "Status", "/v1/fleet": "Fleet", "/v1/config/accepted/fee": "Accepted"} {
			status, text, err := s.cluster.Read(1, path)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(200))
			matchSchema(schema, text)
		}
		status, err := s.cluster.Modify(1, strings.Replace(manifestText, `"Service":"fees"`, `"Service":"unknown"`, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(400))
	})
})
