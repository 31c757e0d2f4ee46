package standin_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a member of the core that stands still", func() {
	const frozen = 6 * time.Second
	var core *controlCore

	termTold := func(number int) uint64 {
		code, text := core.get(number, "/v1/fleet")
		var page struct{ Term uint64 }
		if code != http.StatusOK || json.Unmarshal(text, &page) != nil {
			return 0
		}
		return page.Term
	}

	BeforeEach(func() { core = startControlCore(18900) })

	It("is followed by another where it held the duty, and neither publishes nor tells what it knew when it goes on", func() {
		var first int
		Eventually(func() int { first = core.holder(1, 2, 3); return first }).ShouldNot(BeZero())
		others := []int{1 + first%3, 1 + (first+1)%3}
		Eventually(func() uint64 { return termTold(others[0]) }).Should(Equal(core.status(first).Term))
		old := core.status(first).Term
		core.freeze(first)
		stopped := time.Now()
		Eventually(func() int { return core.holder(others...) }).WithPolling(5 * time.Millisecond).ShouldNot(BeZero())
		AddReportEntry("takeover", time.Since(stopped).Round(time.Millisecond).String())
		Eventually(func() uint64 { return termTold(others[0]) }).Should(BeNumerically(">", old))
		time.Sleep(time.Until(stopped.Add(frozen)))
		core.wake(first)
		for end := time.Now().Add(time.Second); time.Now().Before(end); {
			// What it tells of the fleet is the later holder's, or nothing.
			if term := termTold(first); term != 0 {
				Expect(term).To(BeNumerically(">", old))
			}
			if woken := core.status(first); woken.holds() {
				Expect(woken.Term).To(BeNumerically(">", old))
			}
			for _, number := range others {
				Expect(core.status(number).Term).To(BeNumerically(">", old))
			}
		}
		Eventually(func() int { return core.holder(1, 2, 3) }).ShouldNot(BeZero())
	})

	It("holds up no order for longer than an operator is silent, whichever member it is, and loses none", func() {
		const service = `{"Upsert":{"Services":[{"Name":"lessons","Revision":"r1"}]}}`
		Eventually(func() int { code, _ := core.cluster.Modify(1, service); return code }).Should(Equal(http.StatusOK))
		asked, acknowledged, longest := 0, []string{}, time.Duration(0)
		// order sends one order to one node until that fails, and then to the next.
		order := func(name string) {
			text := fmt.Sprintf(`{"Upsert":{"VirtualHosts":[{"Hostname":"h.example","PathTable":[{"Name":%q,"PathPrefix":"/%s/","RouteType":"safe","Timeout":"1s","Service":"lessons","Revision":"r1"}]}]}}`, name, name)
			for began, code := time.Now(), 0; code != http.StatusOK; longest = max(longest, time.Since(began)) {
				response, err := core.client.Post("http://"+core.cluster.Control(1+asked%3)+"/v1/config/modify", "application/json", strings.NewReader(text))
				if err != nil {
					asked++
					continue
				}
				if code = response.StatusCode; code != http.StatusOK {
					asked++
				}
				_ = response.Body.Close()
			}
			acknowledged = append(acknowledged, name)
		}
		for number := 1; number <= 3; number++ {
			core.freeze(number)
			for stopped, count := time.Now(), 0; time.Since(stopped) < 2500*time.Millisecond; count++ {
				order(fmt.Sprint("order-", number, "-", count))
				time.Sleep(10 * time.Millisecond)
			}
			core.wake(number)
			Eventually(func() int { return core.holder(1, 2, 3) }).ShouldNot(BeZero())
			time.Sleep(time.Second)
		}
		AddReportEntry("orders", fmt.Sprint(len(acknowledged), " acknowledged, the longest took ", longest.Round(time.Millisecond)))
		Expect(len(acknowledged)).To(BeNumerically(">", 100))
		Expect(longest).To(BeNumerically("<", core.client.Timeout+time.Second))
		for number := 1; number <= 3; number++ {
			code, text := core.get(number, "/v1/config/read")
			Expect(code).To(Equal(http.StatusOK))
			for _, name := range acknowledged {
				Expect(string(text)).To(ContainSubstring(`"PathPrefix":"/` + name + `/"`))
			}
		}
	})
})
