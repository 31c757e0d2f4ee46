package settings_test

import (
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const settingsFile = `platform:
  NodeName: n
  Ip: 10.0.0.1
  InternalPorts: [7200, 7215]
  SeedNodes: ["10.0.0.2:8382"]
  NotKnown: {deep: 1}
  Bounds: {KeyWindow: 60s, RetryBudgetRatio: 0.2}
tuning: {vote_span: 200ms}
`

var _ = Describe("a settings file", func() {
	It("is parsed with defaults, and unknown fields are ignored", func() {
		set, err := settings.Parse([]byte(settingsFile))
		Expect(err).NotTo(HaveOccurred())
		Expect(set.Tuning.VoteTimeout.Std()).To(Equal(200 * time.Millisecond))
		Expect(set.Tuning.Retention.Std()).To(Equal(24 * time.Hour))
		Expect(set.InternalAddress(set.Platform.SeedNodes[0], 1)).To(Equal("10.0.0.2:7201"))
	})

	It("is valid when rendered from the deploy template", func() {
		template, err := os.ReadFile("../../deploy/settings.yaml")
		Expect(err).NotTo(HaveOccurred())
		filled := strings.Replace(string(template), "{{.|json}}",
			`{"NodeName":"n","Ip":"10.0.0.1","InternalPorts":[7200,7215],"SeedNodes":["10.0.0.2:8382"],"DataDir":null,"Bounds":{"KeyWindow":"60s"}}`, 1)
		_, err = settings.Parse([]byte(filled))
		Expect(err).NotTo(HaveOccurred())
	})

	DescribeTable("that is invalid is rejected with a one-line error that names the field or value",
		func(from, to, reason string) {
			_, err := settings.Parse([]byte(strings.Replace(settingsFile, from, to, 1)))
			Expect(err).To(MatchError(ContainSubstring(reason)))
			Expect(err.Error()).NotTo(ContainSubstring("\n"))
		},
		Entry("a duration without a unit", "vote_span: 200ms", "vote_span: 200", `"200"`),
		Entry("a duration below the minimum", "vote_span: 200ms", "vote_span: 1ms", "tuning.vote_span"),
		Entry("no seed nodes", `["10.0.0.2:8382"]`, "[]", "platform.SeedNodes"),
		Entry("a single internal port", "[7200, 7215]", "[7200]", "platform.InternalPorts"),
		Entry("a retention below the key window", "vote_span: 200ms", "retention: 30s", "tuning.retention"),
		Entry("an unknown log level", "vote_span: 200ms", "log_level: loud", "tuning.log_level"),
	)
})
