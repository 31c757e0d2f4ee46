package standin_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// soakSeed is the seed of the soak's troubles and orders: that of the environment, or a fixed one.
func soakSeed() uint64 {
	seed, err := strconv.ParseUint(os.Getenv("ORDER_SOAK_SEED"), 10, 64)
	if err != nil {
		return 1
	}
	return seed
}

// orderHistory is what operators were told of their orders.
type orderHistory struct {
	lock sync.Mutex
	// standing are the routes whose last order was acknowledged, rejected those that were never allowed.
	standing, rejected map[string]bool
	acknowledged       int
}

func (h *orderHistory) record(route string, status int) {
	h.lock.Lock()
	defer h.lock.Unlock()
	switch status {
	case http.StatusOK:
		h.standing[route] = true
		h.acknowledged++
	case http.StatusBadRequest:
		h.rejected[route] = true
	}
}

// takeStanding takes a route away from those that stand, to drop it.
func (h *orderHistory) takeStanding() (route string, found bool) {
	h.lock.Lock()
	defer h.lock.Unlock()
	for route = range h.standing {
		delete(h.standing, route)
		return route, true
	}
	return "", false
}

// rejectedAmong returns a rejected route that stands in the configuration, if there is one.
func (h *orderHistory) rejectedAmong(routes map[string]bool) string {
	h.lock.Lock()
	defer h.lock.Unlock()
	for route := range h.rejected {
		if routes[route] {
			return route
		}
	}
	return ""
}

var _ = Describe("operators whose orders exclude each other, beside members that stand still or are killed", func() {
	const (
		span      = 15 * time.Second
		operators = 4
		places    = 4
	)
	var core *controlCore
	var history *orderHistory

	// send sends an order as an operator does: to a node, and after silence or a failure to the next one.
	send := func(random *rand.Rand, body string) int {
		number := 1 + random.IntN(3)
		for range 12 {
			status := core.post(number, "/v1/config/modify", body)
			if status == http.StatusOK || status == http.StatusBadRequest || status == http.StatusConflict {
				return status
			}
			number = 1 + number%3
			time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
		}
		return 0
	}

	operate := func(operator int, random *rand.Rand, end time.Time) {
		for number := 0; time.Now().Before(end); number++ {
			if route, found := history.takeStanding(); found && random.IntN(4) > 0 {
				send(random, fmt.Sprintf(`{"Remove":{"Routes":[{"Name":%q,"Revision":"r2"}]}}`, route))
				continue
			} else if found {
				history.record(route, http.StatusOK)
			}
			route := fmt.Sprintf("route-%d-%d", operator, number)
			status := send(random, fmt.Sprintf(
				`{"Upsert":{"VirtualHosts":[{"Hostname":"h.example","PathTable":[{"Name":%q,"PathPrefix":"/place-%d/","RouteType":"safe","Timeout":"1s","Service":"lessons","Revision":"r1"}]}]}}`,
				route, random.IntN(places)))
			history.record(route, status)
			time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		}
	}

	// trouble freezes one member after the other, for longer and shorter than its caller waits; some
	// are killed as they stand, and start again.
	trouble := func(random *rand.Rand, end time.Time) {
		for time.Now().Before(end) {
			number := 1 + random.IntN(3)
			core.freeze(number)
			time.Sleep(time.Duration(300+random.IntN(2500)) * time.Millisecond)
			if random.IntN(4) == 0 {
				core.kill(number)
				core.start(number)
			} else {
				core.wake(number)
			}
			time.Sleep(time.Duration(200+random.IntN(900)) * time.Millisecond)
		}
	}

	routesAt := func(number int) (routes map[string]bool) {
		code, text := core.get(number, "/v1/config/read")
		var page struct {
			VirtualHosts []struct{ PathTable []struct{ Name string } }
		}
		if code != http.StatusOK || json.Unmarshal(text, &page) != nil {
			return nil
		}
		routes = map[string]bool{}
		for _, host := range page.VirtualHosts {
			for _, route := range host.PathTable {
				routes[route.Name] = true
			}
		}
		return routes
	}

	// Guards against an order that stands in force though an operator was told that it is invalid (CONFIG, review/2).
	It("see no order in force that was rejected", func() {
		seed := soakSeed()
		core = startControlCore(19300)
		history = &orderHistory{standing: map[string]bool{}, rejected: map[string]bool{}}
		Eventually(func() int {
			return core.post(1, "/v1/config/modify", `{"Upsert":{"Services":[{"Name":"lessons","Revision":"r1"}]}}`)
		}).Should(Equal(http.StatusOK))
		end := time.Now().Add(span)
		var all sync.WaitGroup
		all.Go(func() {
			defer GinkgoRecover()
			trouble(rand.New(rand.NewPCG(seed, 0)), end)
		})
		for operator := range operators {
			all.Go(func() { operate(operator, rand.New(rand.NewPCG(seed, 1+uint64(operator))), end) })
		}
		all.Wait()
		// What a member found in its sockets has been decided by then.
		for settled := time.Now().Add(2 * time.Second); time.Now().Before(settled); time.Sleep(100 * time.Millisecond) {
			for number := 1; number <= 3; number++ {
				Expect(history.rejectedAmong(routesAt(number))).To(BeEmpty(), "seed %d, at member %d", seed, number)
			}
		}
		for number := 1; number <= 3; number++ {
			Eventually(func() map[string]bool { return routesAt(number) }).ShouldNot(BeNil())
		}
		AddReportEntry("orders", fmt.Sprintf("seed %d: %d acknowledged, %d rejected", seed, history.acknowledged, len(history.rejected)))
		Expect(len(history.rejected)).To(BeNumerically(">", 5))
	})
})
