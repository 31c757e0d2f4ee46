package config_test

import (
	"fmt"
	"math/rand/v2"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/config"
)

// routeItem returns a route of the service s.
func routeItem(name, host, prefix string, version int) config.Item {
	return config.Item{
		ID: config.ID{Class: config.RouteItem, Name: name}, Version: config.Version(version), Host: host,
		Body: []byte(routeJSON(name, prefix, "s", version, "")),
	}
}

// setOf returns a set of the service s and the routes.
func setOf(routes ...config.Item) config.ItemSet {
	items := config.ItemSet{}
	items.Merge(append(routes, config.Item{ID: config.ID{Class: config.ServiceItem, Name: "s"}, Version: 1, Body: []byte(`{"Name":"s","Revision":"r1"}`)}))
	return items
}

var _ = Describe("host and prefix of a route", func() {
	// Guards against an order that is acknowledged although one of its routes takes the place of another in the routing
	// table, so that a key runs twice (review/4).
	It("are shared by two routes in the check exactly if the routing table has one place for both", func() {
		random := rand.New(rand.NewPCG(4, 2))
		hostParts := []string{"a", "A", "b", ".", ":", "80", "é", "É", "K", "k", "\xff", "\xfe", "[::1]", "-", ""}
		prefixParts := []string{"a/", "A/", "%41/", "é/", "\xff/", "/", "./", ""}
		pick := func(parts []string) (text string) {
			for range 1 + random.IntN(4) {
				text += parts[random.IntN(len(parts))]
			}
			return text
		}
		shared := 0
		for range 20_000 {
			firstHost, firstPrefix := pick(hostParts), "/"+pick(prefixParts)
			secondHost, secondPrefix := firstHost, firstPrefix
			switch random.IntN(4) {
			case 0:
				secondHost = pick(hostParts)
			case 1:
				secondHost = strings.ToUpper(firstHost)
			case 2:
				secondPrefix = "/" + pick(prefixParts)
			}
			items := setOf(routeItem("first", firstHost, firstPrefix, 1), routeItem("second", secondHost, secondPrefix, 2))
			table, err := items.Compile(), items.Check()
			Expect(err == nil).To(Equal(table.RouteCount == 2), "%q %q and %q %q: %v", firstHost, firstPrefix, secondHost, secondPrefix, err)
			if err != nil {
				shared++
			}
		}
		Expect(shared).To(BeNumerically(">", 2000))
	})

	DescribeTable("are compared as HTTP compares them", func(first, second string, isShared bool) {
		err := setOf(routeItem("first", first, "/a/", 1), routeItem("second", second, "/a/", 2)).Check()
		Expect(err != nil).To(Equal(isShared), "%v", err)
	},
		Entry("the same host", "h.example", "h.example", true),
		Entry("another case", "h.example", "H.Example", true),
		Entry("another case of a letter outside ASCII", "é.example", "É.example", false),
		Entry("a closing dot", "h.example", "h.example.", false),
		Entry("a port", "h.example", "h.example:80", false),
		Entry("a port and another case", "h.example:80", "H.example:80", true),
	)

	It("route requests to a host with or without a port, and to an IPv6 address", func() {
		table := setOf(routeItem("plain", "h.example", "/a/", 1), routeItem("port", "h.example:81", "/a/", 1), routeItem("six", "[::1]", "/a/", 1)).Compile()
		for host, expected := range map[string]string{
			"h.example": "plain", "H.EXAMPLE": "plain", "h.example:80": "plain", "h.example:": "plain", "H.example:81": "port", "[::1]": "six", "[::1]:80": "six",
		} {
			Expect(table.Find(host, "/a/x")).NotTo(BeNil(), host)
			Expect(table.Find(host, "/a/x").Name).To(Equal(expected), host)
		}
		Expect(table.Find("[::2]", "/a/x")).To(BeNil())
	})

	// Guards against a stored pair of such routes that stops every later order, or is served differently by two nodes.
	It("that two stored routes share are served by the lower version, and stop no other order", func() {
		items := setOf(routeItem("fee", "h", "/fee/", 1), routeItem("taker", "H", "/fee/", 7))
		Expect(items.Compile().Find("h", "/fee/x").Name).To(Equal("fee"))
		Expect(items.Check()).To(MatchError(ContainSubstring("share host and prefix")))
		Expect(applyRequest(items, requestJSON(routeJSON("new", "/new/", "s", 3, "")))).To(Succeed())
		Expect(applyRequest(items, requestJSON(routeJSON("third", "/fee/", "s", 9, "")))).To(MatchError(ContainSubstring("share host and prefix")))
		Expect(applyRequest(items, []byte(`{"Remove":{"Routes":[{"Name":"taker","Revision":"r8"}]}}`))).To(Succeed())
		Expect(items.Check()).To(Succeed())
	})

	It("keep the operator's spelling when they are read back", func() {
		items := config.ItemSet{}
		text := strings.Replace(string(requestJSON(routeJSON("a", "/a/", "s", 2, ""))), `"Hostname":"h"`, `"Hostname":"H.Example"`, 1)
		Expect(applyRequest(items, []byte(text))).To(Succeed())
		rendered, err := items.Render()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(rendered)).To(ContainSubstring(fmt.Sprintf(`"Hostname":%q`, "H.Example")))
	})

	It("don't hide that a removed service is still named by a route", func() {
		items := setOf(routeItem("a", "h", "/a/", 1))
		Expect(applyRequest(items, []byte(`{"Remove":{"Services":[{"Name":"s","Revision":"r8"}]}}`))).To(MatchError(ContainSubstring("unknown service s")))
	})
})
