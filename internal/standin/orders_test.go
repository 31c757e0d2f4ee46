package standin_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// racedOrders is how often two orders are sent at once to two control nodes.
const racedOrders = 40

// ackBound is how long an order may lack a clear answer: the bound Ack of the smaller sites.
const ackBound = 5 * time.Second

// answered is what a control node said to an order.
type answered struct {
	status int
	text   string
}

var _ = Describe("orders for the configuration", Ordered, func() {
	var s *system
	BeforeAll(func() { s = startSystem(18700, 1) })

	send := func(number int, text string) answered {
		response, err := http.Post("http://"+s.cluster.Control(number)+"/v1/config/modify", "application/json", strings.NewReader(text))
		if err != nil {
			// The node is not up: no status.
			return answered{text: err.Error()}
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		return answered{response.StatusCode, string(body)}
	}
	order := func(name, prefix, timeout string, revision int) string {
		return fmt.Sprintf(`{"Upsert":{"VirtualHosts":[{"Hostname":"h.example","PathTable":[{"Name":%q,"PathPrefix":%q,"RouteType":"safe","Timeout":%q,"Service":"lessons","Revision":"r%d"}]}]}}`, name, prefix, timeout, revision)
	}
	// sendUntilClear sends an order again while the answer is 503, which leaves open whether it was taken.
	sendUntilClear := func(number int, text string) (last answered) {
		for began := time.Now(); ; time.Sleep(50 * time.Millisecond) {
			if last = send(number, text); last.status != 503 || time.Since(began) > ackBound {
				return last
			}
		}
	}
	race := func(first, second string) (one, two answered) {
		var both sync.WaitGroup
		both.Go(func() { one = sendUntilClear(1, first) })
		both.Go(func() { two = sendUntilClear(2, second) })
		both.Wait()
		return one, two
	}
	standing := func(number int) string {
		_, text, _ := s.cluster.Read(number, "/v1/config/read")
		return text
	}

	It("acknowledge one content of one number, and the one acknowledged is what every node reads", func() {
		for n := range racedOrders {
			name, prefix := fmt.Sprint("raced-", n), fmt.Sprintf("/raced/%d/", n)
			one, two := race(order(name, prefix, "1s", 5), order(name, prefix, "2s", 5))
			Expect([]int{one.status, two.status}).To(ConsistOf(200, 409), "%s; %s", one.text, two.text)
			kept, refused := "1s", two
			if one.status == 409 {
				kept, refused = "2s", one
			}
			Expect(refused.text).To(And(ContainSubstring(name), ContainSubstring("r5")))
			for number := 1; number <= 3; number++ {
				Expect(standing(number)).To(ContainSubstring(fmt.Sprintf(`"PathPrefix":%q,"RouteType":"safe","Timeout":%q`, prefix, kept)))
			}
			// The same once more, at any node, before and after a newer one.
			Expect(send(3, order(name, prefix, kept, 5)).status).To(Equal(200))
			Expect(send(1, order(name, prefix, "3s", 9)).status).To(Equal(200))
			Expect(send(2, order(name, prefix, kept, 5)).status).To(Equal(200))
			Expect(send(3, order(name, prefix, "7s", 2)).status).To(Equal(200), "an old number has no effect")
			Expect(standing(1)).To(ContainSubstring(fmt.Sprintf(`"PathPrefix":%q,"RouteType":"safe","Timeout":"3s"`, prefix)))
		}
	})

	It("never make a set that refuses later ones", func() {
		for n := range racedOrders {
			prefix := fmt.Sprintf("/place/%d/", n)
			one, two := race(order(fmt.Sprint("left-", n), prefix, "1s", 1), order(fmt.Sprint("right-", n), prefix, "1s", 1))
			Expect([]int{one.status, two.status}).To(ConsistOf(200, 400), "%s; %s", one.text, two.text)
			Expect(send(3, order(fmt.Sprint("after-", n), fmt.Sprintf("/after/%d/", n), "1s", 1)).status).To(Equal(200))
		}
	})

	It("are refused at once by a node without a majority, and don't come back", func() {
		s.cores[1].end()
		s.cores[2].end()
		began := time.Now()
		Expect(send(1, order("alone", "/alone/", "1s", 1)).status).To(Equal(503))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		status, _, err := s.cluster.Read(1, "/v1/config/read")
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(503))
		s.cores[1], s.cores[2] = s.core(2, false), s.core(3, false)
		Eventually(func() int { return send(2, order("together", "/together/", "1s", 1)).status }).Should(Equal(200))
		Expect(standing(3)).NotTo(ContainSubstring("/alone/"))
	})

	It("reach a member that missed hundreds of them", func() {
		s.cores[2].end()
		for n := range 300 {
			Expect(send(1+n%2, order("often", "/often/", "1s", 10+n)).status).To(Equal(200))
		}
		s.cores[2] = s.core(3, false)
		Eventually(func() string { return standing(3) }).Should(ContainSubstring(`"r309"`))
		Eventually(func() string { _, text, _ := s.cluster.Read(3, "/v1/status"); return text }).Should(ContainSubstring(`"often":"r309"`))
	})
})
