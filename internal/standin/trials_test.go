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

	"ploverhitch/internal/standin"
)

// rush sends requests to all edges in turn, from a few clients, until stopped;
// each keyed one has a key of its own, and is sent again until it has an end.
type rush struct {
	stop chan struct{}
	done sync.WaitGroup
	lock sync.Mutex
	keys []string
}

func (s *system) rush() *rush {
	r, name := &rush{stop: make(chan struct{})}, fmt.Sprint("rush", s.rushes.Add(1), "-")
	for client := range 8 {
		r.done.Go(func() {
			defer GinkgoRecover()
			for count := 0; ; count++ {
				select {
				case <-r.stop:
					return
				default:
				}
				edge := (client + count) % len(s.edges)
				s.send(edge, "GET", "/read/a", "", nil)
				key := fmt.Sprint(name, client, "-", count)
				r.lock.Lock()
				r.keys = append(r.keys, key)
				r.lock.Unlock()
				for range 40 {
					if status, _, _ := s.send(edge, "POST", "/fee/x", "x", map[string]string{"Ploverhitch-Operation-Key": key}); status == 200 || status == 500 {
						break
					}
				}
			}
		})
	}
	return r
}

func (r *rush) end() []string {
	close(r.stop)
	r.done.Wait()
	return r.keys
}

func (s *system) post(number int, path, text string) (int, string) {
	response, err := http.Post("http://"+s.cluster.Control(number)+path, "application/json", strings.NewReader(text))
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

// state reads how a trial stands; two readings never go back.
func (s *system) state(path string) string {
	status, text, err := s.cluster.Read(1, path)
	if err != nil || status != 200 {
		return fmt.Sprint(status, err)
	}
	return text
}

func (s *system) eachOnce(keys []string) {
	GinkgoHelper()
	counts := map[string]int{}
	for _, server := range s.cluster.Servers {
		for _, run := range server.Runs() {
			counts[run.Key]++
		}
	}
	for _, key := range keys {
		Expect(counts[key]).To(Equal(1), key)
	}
}

var _ = Describe("a rollout on loopback", Ordered, func() {
	var s *system
	BeforeAll(func() {
		s = startCluster(17600, 3, func(cluster *standin.Cluster) {
			cluster.Revisions["n-1"], cluster.Revisions["n-2"] = "v2", "v2"
			for _, server := range cluster.Servers {
				server.SetDefault(standin.Answer, 5*time.Millisecond)
			}
		})
	})
	order := `{"Service":"fees","TargetVersion":"v2","Duration":"9s"}`
	ran := func() int { return len(s.cluster.Servers["n-1"].Runs()) + len(s.cluster.Servers["n-2"].Runs()) }

	It("refuses what is malformed or unknown, and gives an unordered version nothing", func() {
		for text, want := range map[string]int{
			`{"Service":"none","TargetVersion":"v2","Duration":"9s"}`: 404,
			`{"Service":"fees","TargetVersion":"","Duration":"9s"}`:   400,
			`{"Service":"fees","TargetVersion":"v2"}`:                 400,
			`{"Service":"fees","TargetVersion":"v2","Duration":"x"}`:  400,
			`{`: 400,
		} {
			status, _ := s.post(2, "/v1/rollouts/start", text)
			Expect(status).To(Equal(want), text)
		}
		Expect(s.state("/v1/rollouts/fees/read")).To(HavePrefix("404"))
		s.cluster.List(nil)
		r := s.rush()
		Eventually(func() string { return s.state("/v1/fleet") }).Should(ContainSubstring(`"n-1"`))
		r.end()
		Expect(ran()).To(BeZero())
	})

	It("reverts a bad version and shows why, each key run once, a core node lost in the middle", func() {
		s.cluster.Servers["n-1"].SetDefault(standin.Fail500, 5*time.Millisecond)
		s.cluster.Servers["n-2"].SetDefault(standin.Fail500, 5*time.Millisecond)
		r := s.rush()
		status, _ := s.post(3, "/v1/rollouts/start", order)
		Expect(status).To(Equal(200))
		status, _ = s.post(1, "/v1/rollouts/start", order)
		Expect(status).To(Equal(200))
		status, _ = s.post(1, "/v1/rollouts/start", strings.Replace(order, "v2", "v3", 1))
		Expect(status).To(Equal(409))
		s.cores[0].end()
		Eventually(func() string { _, text, _ := s.cluster.Read(2, "/v1/rollouts/fees/read"); return text }).Should(And(
			ContainSubstring(`"State":"reverted"`), ContainSubstring("on trial")))
		s.cores[0] = s.core(1, false)
		keys := r.end()
		s.eachOnce(keys)
		Expect(float64(ran())).To(BeNumerically("<", 0.2*float64(len(keys))+50))
		// The node that came back may not listen yet.
		Eventually(func() string { return s.state("/v1/rollouts/fees/read") }).Should(HavePrefix("{"))
		matchSchema("RolloutState", s.state("/v1/rollouts/fees/read"))
	})

	It("completes with a good one, and the old servers may go that instant", func() {
		s.cluster.Servers["n-1"].SetDefault(standin.Answer, 5*time.Millisecond)
		s.cluster.Servers["n-2"].SetDefault(standin.Answer, 5*time.Millisecond)
		r := s.rush()
		Eventually(func() int {
			status, _ := s.post(2, "/v1/rollouts/start", strings.Replace(order, "9s", "8s", 1))
			return status
		}).Should(Equal(200))
		Eventually(func() string { return s.state("/v1/rollouts/fees/read") }).Should(ContainSubstring(`"State":"complete"`))
		s.cluster.Servers["f-1"].Close()
		s.cluster.Servers["f-2"].Close()
		before := ran()
		Eventually(ran).Should(BeNumerically(">", before+20))
		s.eachOnce(r.end())
	})
})
