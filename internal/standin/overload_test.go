package standin_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alecthomas/kingpin/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/inspect"
	"ploverhitch/internal/standin"
)

const overloadText = `{"Upsert":{"VirtualHosts":[{"Hostname":"h.example","PathTable":[
{"Name":"fee","PathPrefix":"/fee/","RouteType":"idempotent","Timeout":"9s","TargetLatency":"2s","MaxAttempts":2,"Priority":1,"Service":"fees","Revision":"r2"},
{"Name":"pack","PathPrefix":"/pack/","RouteType":"download","Timeout":"9s","TargetLatency":"2s","MaxAttempts":2,"Priority":2,"Service":"fees","Revision":"r2"},
{"Name":"urgent","PathPrefix":"/urgent/","RouteType":"safe","Timeout":"9s","TargetLatency":"2s","MaxAttempts":2,"Priority":1,"Service":"fees","Revision":"r2"},
{"Name":"page","PathPrefix":"/page/","RouteType":"safe","Timeout":"9s","TargetLatency":"2s","MaxAttempts":2,"Priority":2,"Service":"fees","Revision":"r2"}]}]}}`

// crowd is clients that press without a pause and come back when refused.
type crowd struct {
	stop             chan struct{}
	all              sync.WaitGroup
	lock             sync.Mutex
	keys             []string
	asked, served    [4]atomic.Int64
	unplain, waiting atomic.Int64
	// answers counts the statuses that came, by kind.
	answers [4]sync.Map
}

// told is what came of it all, for the message of a check that fails.
func (c *crowd) told() string {
	var out strings.Builder
	for kind, path := range crowdPaths {
		fmt.Fprintf(&out, "%s asked %d served %d:", path, c.asked[kind].Load(), c.served[kind].Load())
		c.answers[kind].Range(func(status, count any) bool {
			fmt.Fprintf(&out, " %v x %d", status, count.(*atomic.Int64).Load())
			return true
		})
		out.WriteString("; ")
	}
	return out.String()
}

func (c *crowd) note(kind, status int) {
	count, _ := c.answers[kind].LoadOrStore(status, &atomic.Int64{})
	count.(*atomic.Int64).Add(1)
}

var crowdPaths = []string{"/fee/", "/urgent/", "/page/", "/pack/"}

func (s *system) crowd(sizes [4]int) *crowd {
	c := &crowd{stop: make(chan struct{})}
	for kind, size := range sizes {
		for client := range size {
			c.all.Go(func() {
				defer GinkgoRecover()
				for number := 0; ; number++ {
					select {
					case <-c.stop:
						return
					default:
					}
					s.press1(c, kind, fmt.Sprint("o", s.rushes.Add(1), "-", client, "-", number), client+number)
				}
			})
		}
	}
	return c
}

// press1 makes one request, and its retries at other nodes.
func (s *system) press1(c *crowd, kind int, key string, edge int) {
	c.asked[kind].Add(1)
	method, headers := "GET", map[string]string(nil)
	if kind == 0 {
		method, headers = "POST", map[string]string{"Ploverhitch-Operation-Key": key}
	}
	for try := range 3 {
		began := time.Now()
		status, header, _ := s.send((edge+try)%len(s.edges), method, crowdPaths[kind]+key, "x", headers)
		c.note(kind, status)
		if status == 200 {
			c.served[kind].Add(1)
			if kind == 0 {
				c.lock.Lock()
				c.keys = append(c.keys, key)
				c.lock.Unlock()
			}
			return
		}
		if status != 503 && status != 409 || header.Get("Retry-After") == "" {
			c.unplain.Add(1)
		}
		if time.Since(began) > time.Second {
			c.waiting.Add(1)
		}
		<-time.After(30 * time.Millisecond)
	}
}

func (c *crowd) end() { close(c.stop); c.all.Wait() }

func (c *crowd) share(kind int) float64 {
	return float64(c.served[kind].Load()) / float64(max(1, c.asked[kind].Load()))
}

var _ = Describe("an overload of the whole cluster on loopback", func() {
	start := func(port int, mode string) *system {
		s := startCluster(port, 4, func(cluster *standin.Cluster) {
			cluster.Extra = ", loadgauge: " + mode
			for _, server := range cluster.Servers {
				server.SetDefault(standin.Answer, 20*time.Millisecond)
				server.Slots(2, 4)
			}
		})
		Eventually(func() (int, error) { return s.cluster.Modify(2, overloadText) }).Should(Equal(200))
		Eventually(func() int { status, _, _ := s.send(3, "GET", "/urgent/x", "", nil); return status }).Should(Equal(200))
		return s
	}

	It("turns the last tiers away plainly at every node, and lands each keyed operation once, with the holder lost in the middle", func() {
		s := start(18800, "on")
		rush := s.crowd([4]int{2, 2, 24, 24})
		Eventually(func() string { return s.state("/v1/load") }).Should(ContainSubstring(`"Part"`))
		matchSchema("LoadPage", s.state("/v1/load"))
		s.cores[0].end()
		<-time.After(5 * time.Second)
		s.cores[0] = s.core(1, false)
		rush.end()

		late := s.crowd([4]int{2, 2, 24, 24})
		<-time.After(4 * time.Second)
		late.end()
		Expect(late.share(0)).To(BeNumerically(">", 0.95), late.told())
		Expect(late.share(1)).To(BeNumerically(">", 0.9), late.told())
		Expect(late.share(3)).To(BeNumerically("<", 0.5), late.told())
		Expect(late.unplain.Load()+late.waiting.Load()).To(BeZero(), late.told())
		s.eachOnce(append(rush.keys, late.keys...))

		var out bytes.Buffer
		app := kingpin.New("test", "")
		commands := inspect.Register(app, &out, &out)
		_, err := app.Parse([]string{"inspector", "--control", s.cluster.Control(2), "load"})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return commands.Run("inspector load") }).Should(Equal(inspect.ExitClean))
		Expect(out.String()).To(ContainSubstring("urgent"))
	})

	It("lets any tier through as its luck is without that: the check can fail", func() {
		s := start(19000, "off")
		rush := s.crowd([4]int{2, 2, 24, 24})
		<-time.After(4 * time.Second)
		rush.end()
		Expect(rush.share(1)).To(BeNumerically("<", 0.9))
		s.eachOnce(rush.keys)
	})

	It("takes a plan from the operator, and refuses by name what is wrong", func() {
		s := start(19200, "on")
		status, reason := s.post(1, "/v1/plans/modify", `{"Upsert":[{"Name":"p","Tiers":[{"Name":"gold","Order":1,"Routes":["pack"]}],"Revision":"r1"}]}`)
		Expect(status).To(Equal(400))
		Expect(reason).To(ContainSubstring("keyed route"))
		status, reason = s.post(1, "/v1/plans/modify", `{"Upsert":[{"Name":"p","Tiers":[{"Name":"gold","Order":1,"Routes":["fee","seat","page"]}],"Revision":"r2"}]}`)
		Expect(status).To(Equal(200), reason)
		Eventually(func() string { return s.state("/v1/load") }).Should(ContainSubstring(`"Plan":"gold"`))
		_, text, _ := s.cluster.Read(1, "/v1/config/read")
		Expect(text).NotTo(ContainSubstring("gold"))
		status, reason = s.post(1, "/v1/plans/modify", `{"Upsert":[{"Name":"q","Tiers":[{"Name":"a","Order":1,"Hosts":["h.example"]}],"Revision":"r1"}]}`)
		Expect(status).To(Equal(400))
		Expect(reason).To(ContainSubstring("only one plan is allowed"))
	})
})
