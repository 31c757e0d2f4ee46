package inspect_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/config"
	"ploverhitch/internal/control"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/inspect"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/sites"
)

func TestInspect(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "inspect")
}

func items(text string) []config.Item {
	out, err := config.ParseModify([]byte(text))
	Expect(err).NotTo(HaveOccurred())
	return out
}

const inForce = `{"Upsert":{"Services":[{"Name":"fees","MaxConnections":9,"Revision":"r4"},{"Name":"packs","MaxConnections":9,"Revision":"r4"}],
"VirtualHosts":[{"Hostname":"h","PathTable":[{"Name":"fee","PathPrefix":"/fee/","RouteType":"idempotent","Timeout":"1s","MaxAttempts":2,"Service":"fees","Revision":"r4"}]}]}}`

func healthy() (config.ItemSet, inspect.Fleet) {
	itemSet := config.ItemSet{}
	itemSet.Merge(items(inForce))
	return itemSet, inspect.Fleet{
		Servers: []feed.Server{{ID: "i-1", Service: "fees", Capacity: 2, IsReady: true}, {ID: "i-2", Service: "packs", Capacity: 2}},
		Members: []control.Status{
			{Node: "c1", Epoch: 2, Digest: "d", IsTrusted: true}, {Node: "c2", Epoch: 2, Digest: "d", IsTrusted: true}, {Node: "c3", Epoch: 2, Digest: "d", IsTrusted: true},
		},
		Proxies: []messages.ProxyStatus{{Node: "e1", Digest: "d", Epoch: 2, Ready: true}},
	}
}

func kindsOf(findings []inspect.Finding) (out []string) {
	for _, f := range findings {
		out = append(out, f.What+": "+f.Where)
	}
	return out
}

var _ = Describe("Check", func() {
	It("returns no findings for a healthy system", func() {
		itemSet, fleet := healthy()
		Expect(inspect.Check(itemSet, nil, fleet)).To(BeEmpty())
	})

	It("reports nodes that are behind, rebuilding, not ready or unreachable", func() {
		itemSet, fleet := healthy()
		fleet.Members[1].Epoch, fleet.Members[2].Digest, fleet.Members[0].IsTrusted = 1, "old", false
		fleet.Proxies[0].Digest, fleet.Proxies[0].Ready = "old", false
		fleet.Unreachable = []string{"e9"}
		Expect(kindsOf(inspect.Check(itemSet, nil, fleet))).To(ConsistOf(
			"behind: c2", "behind: c3", "rebuilding: c1", "not ready: e1", "behind: e1", "unheard: e9"))
	})

	It("validates a request against the running fleet before it is submitted", func() {
		itemSet, fleet := healthy()
		sent := items(`{"Upsert":{"Services":[{"Name":"fees","MaxConnections":1,"Revision":"r5"},{"Name":"packs","MaxConnections":8,"Revision":"r4"}],
"VirtualHosts":[{"Hostname":"h","PathTable":[
{"Name":"pack","PathPrefix":"/pack/","RouteType":"download","Timeout":"1s","MaxAttempts":2,"TrafficSplit":[{"Service":"fees","Weight":9},{"Service":"packs","Weight":1}],"Revision":"r5"}]}]}}`)
		Expect(kindsOf(inspect.Check(itemSet, sent, fleet))).To(ConsistOf(
			"superseded: packs", "no server: lane pack", "connections: service fees"))
		clash := items(`{"Upsert":{"VirtualHosts":[{"Hostname":"h","PathTable":[{"Name":"other","PathPrefix":"/fee/","RouteType":"safe","Timeout":"1s","Service":"none","Revision":"r5"}]}]}}`)
		Expect(kindsOf(inspect.Check(itemSet, clash, fleet))).To(ContainElement("invalid: manifest"))
	})

	It("reports the line and the reason for an invalid file in a single line", func() {
		path := filepath.Join(GinkgoT().TempDir(), "m.json")
		Expect(os.WriteFile(path, []byte("{\n\"Upsert\": {\n  oops\n"), 0o600)).To(Succeed())
		_, err := inspect.FileItems(path)
		Expect(err).To(MatchError(MatchRegexp(`m\.json, line 3: invalid character`)))
		Expect(err.Error()).NotTo(ContainSubstring("\n"))
	})
})

var _ = Describe("the hash ring forecast", func() {
	It("equals a direct comparison of the rings before and after the change", func() {
		random := rand.New(rand.NewPCG(8, 8))
		for range 40 {
			var before, after feed.Fleet
			change := balancer.Change{Service: "s"}
			for i := range 3 + random.IntN(8) {
				server := feed.Server{ID: fmt.Sprint("i-", random.Uint32()), Service: "s", IsReady: true}
				switch {
				case i == 0:
					change.Add = append(change.Add, server.ID)
					after.Servers = append(after.Servers, server)
				case i == 1:
					change.Retire = append(change.Retire, server.ID)
					before.Servers = append(before.Servers, server)
				default:
					before.Servers, after.Servers = append(before.Servers, server), append(after.Servers, server)
				}
			}
			old := balancer.NewServerSet(balancer.Locality{}).WithFleet(before)
			trial := old.HomeAfter(change)
			listed := fmt.Sprint(old.InstanceIDs("s"))
			next := old.WithFleet(after)
			moved := 0
			for i := range 300 {
				place := balancer.RingPositionOf("h", fmt.Sprint("key", i))
				from, forecast, to := old.HomeServer("s", place).ID, trial(place), next.HomeServer("s", place).ID
				Expect(forecast).To(Equal(to))
				if from != to {
					moved++
					// Only keys of the added or the retired server move.
					Expect(from == change.Retire[0] || to == change.Add[0]).To(BeTrue())
				}
			}
			Expect(moved).To(BeNumerically(">", 0))
			Expect(fmt.Sprint(old.InstanceIDs("s"))).To(Equal(listed))
		}
	})
})

var _ = Describe("the forecast for the loss of a site", func() {
	It("lists the receiving sites, nearest first, and the load that exceeds their capacity", func() {
		page := control.SitePage{Sites: []sites.Site{{Name: "whole"}, {Name: "east", Parent: "whole"}, {Name: "a", Parent: "east"}, {Name: "b", Parent: "east"}, {Name: "c", Parent: "whole"}}}
		for site, own := range map[string]int{"a": 40, "b": 20, "c": 10} {
			page.Accounts = append(page.Accounts, sites.Status{Site: site, Service: "fees", Capacity: 40, Own: own})
		}
		failovers, err := inspect.ForecastSiteLoss(page, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(failovers).To(Equal([]inspect.SiteFailover{
			{Service: "fees", To: "b", Load: sites.SpareCapacity(40, 20)}, {Service: "fees", To: "c", Load: sites.SpareCapacity(40, 10)},
			{Service: "fees", Load: 40 - sites.SpareCapacity(40, 20) - sites.SpareCapacity(40, 10), Unplaced: true},
		}))
		_, err = inspect.ForecastSiteLoss(page, "nowhere")
		Expect(err).To(MatchError(ContainSubstring("nowhere")))
	})
})
