package config_test

import (
	"fmt"
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/bounded"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
)

// fieldCase is a value of a field and what becomes of it: held is its text inside the processes, or empty if the change is invalid.
type fieldCase struct{ value, held string }

// numbers are values of a field that takes any number, whose bound is the given one.
func numbers(bound any) []fieldCase {
	return []fieldCase{
		{"0", "0"}, {"3", "3"}, {"3.9", "3"}, {"2e1", "20"}, {"-4", "-4"}, {"9223372036854775807", fmt.Sprint(bound)}, {"1e30", fmt.Sprint(bound)}, {"-1e999", fmt.Sprint("-", bound)},
		{`"3"`, ""}, {"true", ""}, {"[]", ""},
	}
}

// times are values of a field that takes a time.
func times(zero string) []fieldCase {
	longest := clock.MaxDuration.Std().String()
	return []fieldCase{
		{`"0ms"`, zero}, {`"1500ms"`, "1.5s"}, {`"2.5s"`, "2.5s"}, {`"1e-9ms"`, "1ns"}, {`"9999999999s"`, longest}, {`"1e999ms"`, longest},
		{`"-1ms"`, ""}, {`"NaNms"`, ""}, {`"Infs"`, ""}, {`"12"`, ""}, {`"ms"`, ""}, {`12`, ""},
	}
}

// boundedFields are the rows of the first table of docs/configuration.md whose values have bounds.
var boundedFields = map[string]struct {
	cases []fieldCase
	read  func(*config.RoutingTable) any
}{
	"Route `Timeout`":          {times(""), func(t *config.RoutingTable) any { return t.Find("h", "/a/").Timeout.Std() }},
	"Route `TargetLatency`":    {times("0s"), func(t *config.RoutingTable) any { return t.Find("h", "/a/").TargetLatency.Std() }},
	"Route `Priority`":         {numbers(bounded.MaxCount), func(t *config.RoutingTable) any { return t.Find("h", "/a/").Priority }},
	"Service `MaxConnections`": {numbers(bounded.MaxCount), func(t *config.RoutingTable) any { return t.Services["s"].MaxConnections }},
	"Limits `MaxHeaderBytes`":  {numbers(bounded.MaxBytes), func(t *config.RoutingTable) any { return t.Limits.MaxHeaderBytes }},
	"Limits `MaxBodyBytes`":    {numbers(bounded.MaxBytes), func(t *config.RoutingTable) any { return t.Limits.MaxBodyBytes }},
	"Limits `HeaderTimeout`":   {times("0s"), func(t *config.RoutingTable) any { return t.Limits.HeaderTimeout.Std() }},
	"Limits `IdleTimeout`":     {times("0s"), func(t *config.RoutingTable) any { return t.Limits.IdleTimeout.Std() }},
	"Route `MaxAttempts`":      {[]fieldCase{{"0", "1"}, {"-7", "1"}, {"2.9", "2"}, {"1e30", fmt.Sprint(bounded.MaxCount)}, {`"2"`, ""}}, func(t *config.RoutingTable) any { return t.Find("h", "/a/").MaxAttempts }},
	"Route `TrafficSplit` `Weight`": {
		[]fieldCase{{"0", "t"}, {"1e308", "s"}, {"1e999", "s"}, {"-1", ""}, {`"1"`, ""}}, func(t *config.RoutingTable) any { return t.Find("h", "/a/").Pick(0) },
	},
}

// changeWith returns a change with one route, service and limits, in which the field has the value.
func changeWith(field, value string) string {
	names := regexp.MustCompile("`([^`]*)`").FindAllStringSubmatch(field, -1)
	name := names[len(names)-1][1]
	parts := map[string]string{"Route": "", "Service": "", "Limits": ""}
	item, _, _ := strings.Cut(field, " ")
	if parts[item] = fmt.Sprintf(`,%q:%s`, name, value); name == "Weight" {
		parts[item] = fmt.Sprintf(`,"TrafficSplit":[{"Service":"s","Weight":%s},{"Service":"t","Weight":1}]`, value)
	}
	return fmt.Sprintf(`{"Upsert":{"Services":[{"Name":"s","Revision":"r1"%s},{"Name":"t","Revision":"r1"}],"Limits":{"Revision":"r1"%s},"VirtualHosts":[{"Hostname":"h","PathTable":[
{"Name":"a","PathPrefix":"/a/","RouteType":"safe","Timeout":"1s","Service":"s","Revision":"r1"%s}]}]}}`, parts["Service"], parts["Limits"], parts["Route"])
}

var _ = Describe("the bounds in docs/configuration.md", func() {
	// Guards against a value that is refused although no rule calls it invalid, acknowledged although one does, or that overflows.
	for _, field := range slices.Sorted(maps.Keys(boundedFields)) {
		row := boundedFields[field]
		for _, c := range row.cases {
			It(fmt.Sprintf("hold for %s %s", field, c.value), func() {
				items := config.ItemSet{}
				err := applyRequest(items, []byte(changeWith(field, c.value)))
				if c.held == "" {
					Expect(err).To(HaveOccurred())
					Expect(items).To(BeEmpty())
					return
				}
				Expect(err).NotTo(HaveOccurred())
				Expect(fmt.Sprint(row.read(items.Compile()))).To(Equal(c.held))
				rendered, err := items.Render()
				Expect(err).NotTo(HaveOccurred())
				Expect(string(rendered)).To(ContainSubstring(c.value), "read back as it was sent")
			})
		}
	}

	It("name every field that has a bound", func() {
		page, err := os.ReadFile("../../docs/configuration.md")
		Expect(err).NotTo(HaveOccurred())
		for field := range boundedFields {
			names := regexp.MustCompile("`[^`]*`").FindAllString(field, -1)
			item, _, _ := strings.Cut(field, " ")
			Expect(string(page)).To(MatchRegexp(`(?m)^\| ` + item + ` .*` + strings.Join(names, " .*") + `.* \|`))
		}
	})
})
