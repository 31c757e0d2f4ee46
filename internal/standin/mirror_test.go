package standin_test

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/inspect"
	"ploverhitch/internal/standin"
)

const shadowText = `{"Upsert":{"Services":[{"Name":"next","MaxConnections":400,"Revision":"r1"}]}}`

func mirrorText(version int, share float64) string {
	return fmt.Sprintf(`{"Upsert":[{"Name":"build","Routes":["fee","read"],"Shadow":"next","Share":%g,"Header":"X-Learner","Until":%q,"Revision":"r%d"}]}`,
		share, time.Now().Add(time.Hour).Format(time.RFC3339), version)
}

// outcomes and lost count what came of all copies.
func outcomes(sum inspect.MirrorSummary) (count uint64) {
	for _, lane := range sum.Counts {
		for _, number := range lane {
			count += number
		}
	}
	return count
}

func lost(sum inspect.MirrorSummary) (count uint64) {
	for _, number := range sum.Gaps {
		count += number
	}
	return count
}

var _ = Describe("mirroring to a shadow build on loopback", func() {
	start := func(port int) *system {
		s := startCluster(port, 3, func(cluster *standin.Cluster) {
			for _, id := range []string{"x-1", "x-2"} {
				Expect(cluster.Add(id, "next")).To(Succeed())
			}
			for _, server := range cluster.Servers {
				server.Sign("all")
			}
		})
		status, err := s.cluster.Modify(1, shadowText)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(200))
		return s
	}
	order := func(s *system, text string) {
		status, reason := s.post(2, "/v1/mirrors/modify", text)
		Expect(status).To(Equal(200), reason)
	}
	settled := func(s *system) {
		Eventually(func() string { return s.state("/v1/mirrors") }).Should(ContainSubstring(`"IsSettled":true`))
		// What it settled under is renewed to every node.
		Eventually(func(g Gomega) {
			sums, unheard, err := inspect.NewControl(s.cluster.Control(1)).Mirrors()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(unheard).To(BeEmpty())
			g.Expect(sums[0].Claim).To(ContainSubstring("whole conversations"))
		}).Should(Succeed())
	}
	// sendUnlessRefused sends a keyed operation and returns its status. A 503 with Retry-After is an
	// answer that the protocol allows at any time: it hasn't run, and the client tries again.
	sendUnlessRefused := func(s *system, edge int, path string, headers map[string]string) int {
		for began := time.Now(); ; {
			status, header, _ := s.send(edge, "POST", path, "seat", headers)
			delay, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
			if status != 503 || err != nil || time.Since(began) > 5*time.Second {
				return status
			}
			time.Sleep(time.Duration(delay * float64(time.Second)))
		}
	}
	// week is learners who each read, enrol, and enrol again at another node.
	week := func(s *system, name string, learners int) {
		var all sync.WaitGroup
		for learner := range learners {
			all.Go(func() {
				defer GinkgoRecover()
				who := fmt.Sprint(name, learner)
				headers := map[string]string{"X-Learner": who}
				Eventually(func() int {
					status, _, _ := s.send(learner%3, "GET", "/read/"+who, "", headers)
					return status
				}).Should(Equal(200))
				headers["Ploverhitch-Operation-Key"] = who
				for try := range 3 {
					Expect(sendUnlessRefused(s, (learner+try)%3, "/fee/"+who, headers)).To(Equal(200))
				}
			})
		}
		all.Wait()
	}
	shadowRuns := func(s *system) (out []standin.Run) {
		return append(s.cluster.Servers["x-1"].Runs(), s.cluster.Servers["x-2"].Runs()...)
	}

	It("copies whole conversations, each keyed operation once, and claims no more than that", func() {
		s := start(19400)
		order(s, mirrorText(1, 0.6))
		settled(s)
		matchSchema("MirrorPage", s.state("/v1/mirrors"))
		week(s, "a", 90)
		var sums []inspect.MirrorSummary
		Eventually(func(g Gomega) {
			var err error
			sums, _, err = inspect.NewControl(s.cluster.Control(2)).Mirrors()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(sums[0].Claim).To(HavePrefix("no difference in "))
			g.Expect(outcomes(sums[0]) + lost(sums[0])).To(BeEquivalentTo(sums[0].Seen * 2))
		}).Should(Succeed())
		live, shadow, parts := map[string]int{}, map[string]int{}, map[string]int{}
		for id, server := range s.cluster.Servers {
			for _, run := range server.Runs() {
				if strings.HasPrefix(id, "x-") {
					Expect(run.Shadow).To(HavePrefix("build; version=1; node=edge-"))
					shadow[run.Key]++
					parts[strings.TrimPrefix(strings.TrimPrefix(run.Target, "/read/"), "/fee/")]++
					continue
				}
				Expect(run.Shadow).To(BeEmpty())
				live[run.Key]++
			}
		}
		whole, torn := 0, 0
		for learner := range 90 {
			who := fmt.Sprint("a", learner)
			Expect(live[who]).To(Equal(1))
			Expect(shadow[who]).To(BeNumerically("<=", 1))
			switch parts[who] {
			case 1:
				torn++
			case 2:
				whole++
			default:
				Expect(parts[who]).To(BeZero())
			}
		}
		// What the stand-ins saw whole is what is reported so, and whatever is torn
		// was told as a gap.
		Expect(sums[0].Whole).To(Equal(whole))
		Expect(torn).To(BeNumerically("<=", lost(sums[0])))
		Expect(len(parts)).To(And(BeNumerically(">", 35), BeNumerically("<", 75)))

		var out bytes.Buffer
		app := kingpin.New("test", "")
		commands := inspect.Register(app, &out, &out)
		_, err := app.Parse([]string{"inspector", "--control", s.cluster.Control(2), "mirror"})
		Expect(err).NotTo(HaveOccurred())
		Expect(commands.Run("inspector mirror")).To(Equal(inspect.ExitClean))
		Expect(out.String()).To(ContainSubstring("no difference in"))
		order(s, `{"Remove":[{"Name":"build","Revision":"r9"}]}`)
		Eventually(func() string { return s.state("/v1/mirrors") }).Should(ContainSubstring(`"Grants":[]`))
		before := len(shadowRuns(s))
		week(s, "b", 10)
		Expect(shadowRuns(s)).To(HaveLen(before))
	})

	It("slows no original, and claims nothing, however the shadow misbehaves", func() {
		s := start(19600)
		// pace is the median of an original's delay.
		pace := func(name string) time.Duration {
			var took []time.Duration
			for number := range 80 {
				began := time.Now()
				status, _, _ := s.send(number%3, "GET", "/read/x", "", map[string]string{"X-Learner": fmt.Sprint(name, number)})
				Expect(status).To(Equal(200))
				took = append(took, time.Since(began))
			}
			slices.Sort(took)
			return took[len(took)/2]
		}
		pace("warm")
		off := pace("off")
		order(s, mirrorText(1, 1))
		settled(s)
		for _, act := range []standin.Act{standin.Silent, standin.Fail500, standin.Garbage, standin.CutWithin, standin.SurplusBefore} {
			for _, id := range []string{"x-1", "x-2"} {
				s.cluster.Servers[id].SetDefault(act, 0)
			}
			Expect(pace(fmt.Sprint("on", act))).To(BeNumerically("<", 2*off+10*time.Millisecond))
		}
		sums, _, err := inspect.NewControl(s.cluster.Control(1)).Mirrors()
		Expect(err).NotTo(HaveOccurred())
		Expect(sums[0].Claim).NotTo(HavePrefix("no difference"))
		for _, id := range []string{"x-1", "x-2"} {
			s.cluster.Servers[id].Free()
		}
	})

	It("reaches no live server: not where an address was taken over, and not by a shadow that calls back", func() {
		s := start(19800)
		order(s, mirrorText(1, 1))
		settled(s)
		// The list is behind: where x-1 and x-2 were, servers of the live side are.
		s.cluster.Servers["x-1"].ID, s.cluster.Servers["x-2"].ID = "l-8", "l-9"
		week(s, "c", 10)
		Eventually(func() int {
			a, _ := s.cluster.Servers["x-1"].Counts()
			z, _ := s.cluster.Servers["x-2"].Counts()
			return a + z
		}).Should(BeNumerically(">", 0))
		Expect(shadowRuns(s)).To(BeEmpty())
		status, header, _ := s.send(0, "POST", "/fee/x", "x", map[string]string{"Ploverhitch-Operation-Key": "back", "Ploverhitch-Shadow": "build; version=1"})
		Expect(status).To(Equal(403))
		Expect(header.Get("Retry-After")).To(BeEmpty())
		Expect(s.runs("back")).To(BeZero())
		// Nor may a lane come to deliver to the shadow.
		status, reason := s.post(1, "/v1/config/modify", `{"Upsert":{"VirtualHosts":[{"Hostname":"h.example","PathTable":[{"Name":"late","PathPrefix":"/late/","RouteType":"safe","Timeout":"3s","Service":"next","Revision":"r1"}]}]}}`)
		Expect(status).To(Equal(400))
		Expect(reason).To(And(ContainSubstring("mirror build"), ContainSubstring("late")))
	})
})
