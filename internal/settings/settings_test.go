package settings_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/bounded"
	"ploverhitch/internal/clock"
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

// renderedTemplate returns the deploy template with the platform's fields filled in.
func renderedTemplate(platform string) string {
	template, err := os.ReadFile("../../deploy/settings.yaml")
	Expect(err).NotTo(HaveOccurred())
	return strings.Replace(string(template), "{{.|json}}", platform, 1)
}

var _ = Describe("a settings file", func() {
	It("is parsed with defaults, and unknown fields are ignored", func() {
		set, err := settings.Parse([]byte(settingsFile))
		Expect(err).NotTo(HaveOccurred())
		Expect(set.Tuning.VoteTimeout.Std()).To(Equal(200 * time.Millisecond))
		Expect(set.Tuning.Retention.Std()).To(Equal(24 * time.Hour))
		Expect(set.InternalAddress(set.Platform.SeedNodes[0], 1)).To(Equal("10.0.0.2:7201"))
	})

	It("is valid when rendered from the deploy template", func() {
		_, err := settings.Parse([]byte(renderedTemplate(
			`{"NodeName":"n","Ip":"10.0.0.1","InternalPorts":[7200,7215],"SeedNodes":["10.0.0.2:8382"],"DataDir":null,"Bounds":{"KeyWindow":"60s"}}`)))
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a process that does not start because the platform's KeyWindow is longer than the usual retention.
	DescribeTable("keeps intents for at least the key window", func(keyWindow string, expected time.Duration) {
		for _, text := range []string{settingsFile, renderedTemplate(`{"NodeName":"n","Ip":"10.0.0.1","InternalPorts":[7200,7215],"SeedNodes":["10.0.0.2:8382"],"Bounds":{"KeyWindow":"60s"}}`)} {
			set, err := settings.Parse([]byte(strings.Replace(text, "60s", keyWindow, 1)))
			Expect(err).NotTo(HaveOccurred())
			Expect(set.Tuning.Retention.Std()).To(Equal(expected))
		}
	},
		Entry("a minute", "60s", 24*time.Hour),
		Entry("two days", "172800s", 48*time.Hour),
		Entry("300 years", "9999999999s", clock.MaxDuration.Std()),
	)

	// Guards against a process that does not start, or whose limits overflow, because of the size of a number.
	It("holds whole numbers of any size at their bounds", func() {
		text := strings.Replace(settingsFile, "Bounds: {", "FaultTolerance: {Machines: 9223372036854775807}\n  Limits: {MemoryMb: 9223372036854775807, DiskMb: 1e30}\n  Bounds: {RetrySlack: 99999999999999999999, ", 1)
		text = strings.Replace(text, "tuning: {", "tuning: {open_limit: 1e30, buffer_bytes: 9223372036854775807, working_set: 2147483648, ", 1)
		set, err := settings.Parse([]byte(text))
		Expect(err).NotTo(HaveOccurred())
		for _, number := range []bounded.Count{
			set.Platform.FaultTolerance.Machines, set.Platform.Limits.MemoryMB, set.Platform.Limits.DiskMB, set.Platform.Bounds.RetrySlack,
			set.Tuning.OpenIntentLimit, set.Tuning.BufferBytes, set.Tuning.SubsetSize,
		} {
			Expect(number).To(Equal(bounded.MaxCount))
		}
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

	// Guards against a change of the file that is never applied because it came between the start of the process and
	// that of the watch.
	It("is read again when the watch starts", func() {
		path := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
		Expect(os.WriteFile(path, []byte(settingsFile), 0o600)).To(Succeed())
		_, err := settings.Read(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(path, []byte(strings.Replace(settingsFile, "200ms", "100ms", 1)), 0o600)).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		changes := make(chan *settings.Settings, 1)
		go settings.Watch(ctx, path, func(changed *settings.Settings) { changes <- changed }, func(error) {})
		var changed *settings.Settings
		Eventually(changes, "3s").Should(Receive(&changed))
		Expect(changed.Tuning.VoteTimeout.Std()).To(Equal(100 * time.Millisecond))
	})
})
