package config_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/bounded"
	"ploverhitch/internal/config"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

func routeJSON(name, prefix, service string, version int, extra string) string {
	return fmt.Sprintf(`{"Name":%q,"PathPrefix":%q,"RouteType":"safe","Timeout":"600ms","TargetLatency":"250ms","MaxAttempts":2,"Revision":"r%d","Service":%q%s}`,
		name, prefix, version, service, extra)
}

func requestJSON(routes ...string) []byte {
	return []byte(`{"Upsert":{"Services":[{"Name":"s","MaxConnections":9,"Revision":"r1"}],"VirtualHosts":[{"Hostname":"h","PathTable":[` +
		strings.Join(routes, ",") + `]}]},"Remove":{"Routes":[]}}`)
}

// applyRequest validates and merges a request as a node does, without storing it.
func applyRequest(items config.ItemSet, text []byte) error {
	parsed, err := config.ParseModify(text)
	if err != nil {
		return err
	}
	newer, _, err := items.ValidateUpdate(parsed)
	if err == nil {
		items.Merge(newer)
	}
	return err
}

var _ = Describe("a modify request", func() {
	DescribeTable("has no effect if it is invalid", func(text []byte, reason string) {
		items := config.ItemSet{}
		Expect(applyRequest(items, requestJSON(routeJSON("a", "/a/", "s", 2, "")))).To(Succeed())
		before := items.Digest()
		Expect(applyRequest(items, text)).To(MatchError(ContainSubstring(reason)))
		Expect(items.Digest()).To(Equal(before))
	},
		Entry("a truncated request", requestJSON(routeJSON("b", "/b/", "s", 3, ""))[:90], "cannot be read"),
		Entry("an unknown service", requestJSON(routeJSON("b", "/b/", "s", 3, ""), routeJSON("c", "/c/", "other", 3, "")), "unknown service other"),
		Entry("an unknown service in a route with an old version", requestJSON(routeJSON("a", "/a/", "other", 2, "")), "unknown service other"),
		Entry("two routes of the request with the same host and prefix", requestJSON(routeJSON("a", "/q/", "s", 1, ""), routeJSON("b", "/q/", "s", 1, "")), "share host and prefix"),
		Entry("the host and prefix of an existing route", requestJSON(routeJSON("b", "/a/", "s", 3, "")), "share host and prefix"),
		Entry("a timeout of zero", []byte(strings.Replace(string(requestJSON(routeJSON("b", "/b/", "s", 3, ""))), "600ms", "0ms", 1)), "Timeout"),
		Entry("weights that sum to zero", requestJSON(routeJSON("b", "/b/", "s", 3, `,"TrafficSplit":[{"Service":"s","Weight":0}]`)), "sum to 0"),
		Entry("a negative weight", requestJSON(routeJSON("b", "/b/", "s", 3, `,"TrafficSplit":[{"Service":"s","Weight":-1},{"Service":"s","Weight":9}]`)), "below 0"),
		Entry("data after the JSON value", append(requestJSON(routeJSON("b", "/b/", "s", 3, "")), '{'), "does not end"),
	)

	It("has no effect if its version is old or equal, whatever its content", func() {
		items := config.ItemSet{}
		Expect(applyRequest(items, requestJSON(routeJSON("a", "/a/", "s", 5, "")))).To(Succeed())
		before := items.Digest()
		for _, version := range []int{4, 5} {
			Expect(applyRequest(items, requestJSON(routeJSON("a", "/zzz/", "s", version, `,"Priority":7`)))).To(Succeed())
			Expect(items.Digest()).To(Equal(before))
		}
	})

	It("can move a host and prefix from one route to another", func() {
		items := config.ItemSet{}
		Expect(applyRequest(items, requestJSON(routeJSON("a", "/a/", "s", 2, "")))).To(Succeed())
		text := strings.Replace(string(requestJSON(routeJSON("b", "/a/", "s", 3, ""))), `"Routes":[]`, `"Routes":[{"Name":"a","Revision":"r3"}]`, 1)
		Expect(applyRequest(items, []byte(text))).To(Succeed())
		Expect(items.Compile().Find("h", "/a/x").Name).To(Equal("b"))
		Expect(applyRequest(items, requestJSON(routeJSON("a", "/q/", "s", 2, "")))).To(Succeed())
		Expect(items.Compile().Find("h", "/q/x")).To(BeNil())
	})

	It("is rendered as it was sent, including unknown fields", func() {
		items := config.ItemSet{}
		Expect(applyRequest(items, requestJSON(routeJSON("a", "/a/", "s", 2, `,"NotKnownHere":[1,2]`)))).To(Succeed())
		text, err := items.Render()
		Expect(err).NotTo(HaveOccurred())
		var out struct {
			VirtualHosts []struct{ PathTable []json.RawMessage }
		}
		Expect(json.Unmarshal(text, &out)).To(Succeed())
		Expect(string(out.VirtualHosts[0].PathTable[0])).To(MatchJSON(routeJSON("a", "/a/", "s", 2, `,"NotKnownHere":[1,2]`)))
	})
})

var _ = Describe("item sets", func() {
	It("converge in any merge order to the highest version of each item", func() {
		random := rand.New(rand.NewPCG(4, 4))
		for range 200 {
			var sent []config.Item
			for range 30 {
				sent = append(sent, config.Item{
					ID: config.ID{Class: config.RouteItem, Name: fmt.Sprint(random.IntN(4))}, Version: config.Version(1 + random.IntN(6)),
					Removed: random.IntN(4) == 0, Host: fmt.Sprint(random.IntN(3)),
				})
			}
			first, second := config.ItemSet{}, config.ItemSet{}
			first.Merge(sent)
			for _, at := range random.Perm(len(sent)) {
				second.Merge(sent[at : at+1])
			}
			Expect(second.Digest()).To(Equal(first.Digest()))
			for id, expected := range first {
				highest := config.Version(0)
				for _, item := range sent {
					if item.ID == id {
						highest = max(highest, item.Version)
					}
				}
				Expect(expected.Version).To(Equal(highest))
			}
		}
	})
})

var _ = Describe("a routing table", func() {
	It("finds the same route as a linear search", func() {
		random := rand.New(rand.NewPCG(5, 5))
		parts := []string{"a", "b", "cc"}
		path := func() (out string) {
			for range 1 + random.IntN(4) {
				out += "/" + parts[random.IntN(len(parts))]
			}
			return out
		}
		for range 100 {
			items, prefixes := config.ItemSet{}, map[string]bool{}
			for i := range 6 {
				prefix := path() + "/"
				if applyRequest(items, requestJSON(routeJSON(fmt.Sprint("l", i), prefix, "s", 2, ""))) == nil {
					prefixes[prefix] = true
				}
			}
			table := items.Compile()
			for range 20 {
				target, longest := path()+"/x", ""
				for prefix := range prefixes {
					if strings.HasPrefix(target, prefix) && len(prefix) > len(longest) {
						longest = prefix
					}
				}
				if found := table.Find("H", target); longest == "" {
					Expect(found).To(BeNil())
				} else {
					Expect(found.PathPrefix).To(Equal(longest))
				}
			}
		}
	})

	It("splits traffic by weight", func() {
		items := config.ItemSet{}
		Expect(applyRequest(items, requestJSON(routeJSON("a", "/a/", "s", 2, `,"TrafficSplit":[{"Service":"s","Weight":1},{"Service":"none","Weight":0}]`)))).NotTo(Succeed())
		text := strings.Replace(string(requestJSON(routeJSON("a", "/a/", "", 2, `,"TrafficSplit":[{"Service":"s","Weight":1},{"Service":"t","Weight":3}]`))),
			`"Services":[`, `"Services":[{"Name":"t","Revision":"r1"},`, 1)
		Expect(applyRequest(items, []byte(text))).To(Succeed())
		found := items.Compile().Find("h", "/a/")
		Expect([]string{found.Pick(0), found.Pick(0.2), found.Pick(0.3), found.Pick(0.99)}).To(Equal([]string{"s", "s", "t", "t"}))
	})

	// Guards against a split that sends everything to its first service because the sum of its weights is infinite.
	DescribeTable("splits traffic by weights of any size", func(first, second string, boundary float64) {
		items := config.ItemSet{}
		split := fmt.Sprintf(`,"TrafficSplit":[{"Service":"s","Weight":%s},{"Service":"t","Weight":%s}]`, first, second)
		text := strings.Replace(string(requestJSON(routeJSON("a", "/a/", "", 2, split))), `"Services":[`, `"Services":[{"Name":"t","Revision":"r1"},`, 1)
		Expect(applyRequest(items, []byte(text))).To(Succeed())
		found := items.Compile().Find("h", "/a/")
		for point := 0.0; point < 1; point += 0.01 {
			expected := "s"
			if point >= boundary {
				expected = "t"
			}
			Expect(found.Pick(point)).To(Equal(expected), "at %g", point)
		}
	},
		Entry("one to one", "1e308", "1e308", 0.495),
		Entry("three to one", "1.5e308", "0.5e308", 0.745),
		Entry("beyond a float", "1e400", "1e400", 0.495),
		Entry("tiny", "1e-320", "3e-320", 0.245),
		Entry("all to the second", "0", "1e308", -1.0),
	)

	// Guards against a number that overflows, or that is refused, although no rule calls it invalid.
	It("holds numbers of any size at their bounds", func() {
		items := config.ItemSet{}
		text := strings.Replace(string(requestJSON(routeJSON("a", "/a/", "s", 2, `,"Priority":1e30,"MaxAttempts":4611686018427387904`))),
			`"MaxConnections":9`, `"MaxConnections":4611686018427387904`, 1)
		Expect(applyRequest(items, []byte(text))).To(Succeed())
		table := items.Compile()
		Expect(table.Services["s"].MaxConnections).To(Equal(bounded.MaxCount))
		Expect(table.Find("h", "/a/").MaxAttempts).To(Equal(bounded.MaxCount))
		Expect(table.HighestPriority("s")).To(BeEquivalentTo(bounded.MaxCount))
	})
})
