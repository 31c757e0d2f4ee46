package config_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/config"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "manifest")
}

func routeJSON(name, prefix, service string, version int, extra string) string {
	return fmt.Sprintf(`{"Name":%q,"PathPrefix":%q,"RouteType":"safe","Timeout":"600ms","TargetLatency":"250ms","MaxAttempts":2,"Revision":"r%d","Service":%q%s}`,
		name, prefix, version, service, extra)
}

func requestJSON(routes ...string) []byte {
	return []byte(`{"Upsert":{"Services":[{"Name":"s","MaxConnections":9,"Revision":"r1"}],"VirtualHosts":[{"Hostname":"h","PathTable":[` +
		strings.Join(routes, ",") + `]}]},"Remove":{"Routes":[]}}`)
}

// accept is what a node does with a call, short of keeping it.
func applyRequest(book config.ItemSet, text []byte) error {
	items, err := config.ParseModify(text)
	if err != nil {
		return err
	}
	newer, _, err := book.ValidateUpdate(items)
	if err == nil {
		book.Merge(newer)
	}
	return err
}

var _ = Describe("an operator's call", func() {
	DescribeTable("that is invalid has no part in force", func(text []byte, reason string) {
		book := config.ItemSet{}
		Expect(applyRequest(book, requestJSON(routeJSON("a", "/a/", "s", 2, "")))).To(Succeed())
		before := book.Digest()
		Expect(applyRequest(book, text)).To(MatchError(ContainSubstring(reason)))
		Expect(book.Digest()).To(Equal(before))
	},
		Entry("cut short", requestJSON(routeJSON("b", "/b/", "s", 3, ""))[:90], "cannot be read"),
		Entry("an unknown service", requestJSON(routeJSON("b", "/b/", "s", 3, ""), routeJSON("c", "/c/", "other", 3, "")), "unknown service other"),
		Entry("an unknown service, under an old version", requestJSON(routeJSON("a", "/a/", "other", 2, "")), "unknown service other"),
		Entry("the same place twice in the call", requestJSON(routeJSON("a", "/q/", "s", 1, ""), routeJSON("b", "/q/", "s", 1, "")), "share host and prefix"),
		Entry("the same place", requestJSON(routeJSON("b", "/a/", "s", 3, "")), "share host and prefix"),
		Entry("no timeout", []byte(strings.Replace(string(requestJSON(routeJSON("b", "/b/", "s", 3, ""))), "600ms", "0ms", 1)), "Timeout"),
		Entry("no weight", requestJSON(routeJSON("b", "/b/", "s", 3, `,"TrafficSplit":[{"Service":"s","Weight":0}]`)), "sum to 0"),
		Entry("a weight below zero", requestJSON(routeJSON("b", "/b/", "s", 3, `,"TrafficSplit":[{"Service":"s","Weight":-1},{"Service":"s","Weight":9}]`)), "below 0"),
		Entry("more after its end", append(requestJSON(routeJSON("b", "/b/", "s", 3, "")), '{'), "does not end"),
	)

	It("of an old or equal version has no effect, whatever it holds", func() {
		book := config.ItemSet{}
		Expect(applyRequest(book, requestJSON(routeJSON("a", "/a/", "s", 5, "")))).To(Succeed())
		before := book.Digest()
		for _, version := range []int{4, 5} {
			Expect(applyRequest(book, requestJSON(routeJSON("a", "/zzz/", "s", version, `,"Priority":7`)))).To(Succeed())
			Expect(book.Digest()).To(Equal(before))
		}
	})

	It("may move a place from one lane to another in one call", func() {
		book := config.ItemSet{}
		Expect(applyRequest(book, requestJSON(routeJSON("a", "/a/", "s", 2, "")))).To(Succeed())
		text := strings.Replace(string(requestJSON(routeJSON("b", "/a/", "s", 3, ""))), `"Routes":[]`, `"Routes":[{"Name":"a","Revision":"r3"}]`, 1)
		Expect(applyRequest(book, []byte(text))).To(Succeed())
		Expect(book.Compile().Find("h", "/a/x").Name).To(Equal("b"))
		Expect(applyRequest(book, requestJSON(routeJSON("a", "/q/", "s", 2, "")))).To(Succeed())
		Expect(book.Compile().Find("h", "/q/x")).To(BeNil())
	})

	It("is read back as it was sent", func() {
		book := config.ItemSet{}
		Expect(applyRequest(book, requestJSON(routeJSON("a", "/a/", "s", 2, `,"NotKnownHere":[1,2]`)))).To(Succeed())
		text, err := book.Render()
		Expect(err).NotTo(HaveOccurred())
		var out struct {
			VirtualHosts []struct{ PathTable []json.RawMessage }
		}
		Expect(json.Unmarshal(text, &out)).To(Succeed())
		Expect(string(out.VirtualHosts[0].PathTable[0])).To(MatchJSON(routeJSON("a", "/a/", "s", 2, `,"NotKnownHere":[1,2]`)))
	})
})

var _ = Describe("copies", func() {
	It("come to the same in any order, and to the highest version of a plain search", func() {
		random := rand.New(rand.NewPCG(4, 4))
		for range 200 {
			var sent []config.Item
			for range 30 {
				sent = append(sent, config.Item{
					ID: config.ID{Class: config.RouteItem, Name: fmt.Sprint(random.IntN(4))}, Version: config.Version(1 + random.IntN(6)),
					Removed: random.IntN(4) == 0, Host: fmt.Sprint(random.IntN(3)),
				})
			}
			one, two := config.ItemSet{}, config.ItemSet{}
			one.Merge(sent)
			for _, at := range random.Perm(len(sent)) {
				two.Merge(sent[at : at+1])
			}
			Expect(two.Digest()).To(Equal(one.Digest()))
			for id, held := range one {
				highest := config.Version(0)
				for _, item := range sent {
					if item.ID == id {
						highest = max(highest, item.Version)
					}
				}
				Expect(held.Version).To(Equal(highest))
			}
		}
	})
})

var _ = Describe("a sheet", func() {
	It("finds the lane that a slow search finds", func() {
		random := rand.New(rand.NewPCG(5, 5))
		parts := []string{"a", "b", "cc"}
		path := func() (out string) {
			for range 1 + random.IntN(4) {
				out += "/" + parts[random.IntN(len(parts))]
			}
			return out
		}
		for range 100 {
			book, prefixes := config.ItemSet{}, map[string]bool{}
			for i := range 6 {
				prefix := path() + "/"
				if applyRequest(book, requestJSON(routeJSON(fmt.Sprint("l", i), prefix, "s", 2, ""))) == nil {
					prefixes[prefix] = true
				}
			}
			sheet := book.Compile()
			for range 20 {
				target, longest := path()+"/x", ""
				for prefix := range prefixes {
					if strings.HasPrefix(target, prefix) && len(prefix) > len(longest) {
						longest = prefix
					}
				}
				if found := sheet.Find("H", target); longest == "" {
					Expect(found).To(BeNil())
				} else {
					Expect(found.PathPrefix).To(Equal(longest))
				}
			}
		}
	})

	It("splits by weight", func() {
		book := config.ItemSet{}
		Expect(applyRequest(book, requestJSON(routeJSON("a", "/a/", "s", 2, `,"TrafficSplit":[{"Service":"s","Weight":1},{"Service":"none","Weight":0}]`)))).NotTo(Succeed())
		text := strings.Replace(string(requestJSON(routeJSON("a", "/a/", "", 2, `,"TrafficSplit":[{"Service":"s","Weight":1},{"Service":"t","Weight":3}]`))),
			`"Services":[`, `"Services":[{"Name":"t","Revision":"r1"},`, 1)
		Expect(applyRequest(book, []byte(text))).To(Succeed())
		found := book.Compile().Find("h", "/a/")
		Expect([]string{found.Pick(0), found.Pick(0.2), found.Pick(0.3), found.Pick(0.99)}).To(Equal([]string{"s", "s", "t", "t"}))
	})
})
