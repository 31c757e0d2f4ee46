package standin_test

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/inspect"
	"ploverhitch/internal/standin"
)

var _ = Describe("retiring a server", Ordered, func() {
	var s *system

	BeforeAll(func() { s = startSystem(17300, 2) })

	It("moves the operations that every node named before, and no other, and none runs twice", func() {
		const keys = 24
		for _, id := range []string{"f-1", "f-2"} {
			var acts []standin.Act
			for range 2 * keys {
				acts = append(acts, standin.Silent)
			}
			s.cluster.Servers[id].Next(acts...)
		}
		var all sync.WaitGroup
		statuses := make([]int, keys)
		for i := range keys {
			all.Go(func() {
				defer GinkgoRecover()
				path, headers := "/fee/x", map[string]string{"Ploverhitch-Operation-Key": fmt.Sprint("m", i)}
				if i%4 == 3 {
					path, headers = fmt.Sprint("/pack/", i), nil
				}
				statuses[i], _, _ = s.send(i%2, "POST", path, "x", headers)
			})
		}
		control := inspect.NewControl(s.cluster.Control(1))
		change := balancer.Change{Service: "fees", Retire: []string{"f-1"}}
		var forecast *inspect.Forecast
		Eventually(func(g Gomega) (count int) {
			var err error
			forecast, err = control.Forecast(change)
			g.Expect(err).NotTo(HaveOccurred())
			for _, node := range forecast.Nodes {
				count += len(node.Operations)
			}
			return count
		}).Should(Equal(keys))
		Expect(forecast.Unreachable).To(BeEmpty())
		Expect(forecast.Nodes).To(HaveLen(2))
		named, downloads := 0, 0
		for _, moves := range forecast.Moving() {
			for _, move := range moves {
				Expect(move.From).To(Equal("f-1"))
				Expect(move.To).To(Equal("f-2"))
				named++
				if move.Key == "" {
					downloads++
				}
			}
		}
		Expect(named).To(And(BeNumerically(">", 0), BeNumerically("<", keys)))
		Expect(downloads).To(BeNumerically("<", named))

		// Looking shifted nothing: what it tells the second time is the same.
		again, err := control.Forecast(change)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Nodes).To(Equal(forecast.Nodes))

		s.cluster.List(map[string]string{"f-1": "draining", "n-1": "gone", "n-2": "gone"})
		surprises, err := forecast.Confirm(clock.Real(), 10*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(surprises).To(BeEmpty())

		for _, id := range []string{"f-1", "f-2"} {
			s.cluster.Servers[id].Free()
			s.cluster.Servers[id].Next()
		}
		all.Wait()
		for i, status := range statuses {
			Expect(status).To(Equal(200), "operation %d", i)
			if i%4 != 3 {
				key := fmt.Sprint("m", i)
				status, _, _ := s.send((i+1)%2, "POST", "/fee/x", "x", map[string]string{"Ploverhitch-Operation-Key": key})
				Expect(status).To(Equal(200))
				Expect(s.runs(key)).To(Equal(1))
			}
		}
	})

	It("is looked at from the command line, with the three exit statuses", func() {
		run := func(args ...string) (int, string, string) {
			var out, errs bytes.Buffer
			app := kingpin.New("ploverhitch", "")
			commands := inspect.Register(app, &out, &errs)
			name, err := app.Parse(append([]string{"inspector", "--control", s.cluster.Control(1)}, args...))
			Expect(err).NotTo(HaveOccurred())
			return commands.Run(name), out.String(), errs.String()
		}
		s.cluster.List(s.hidden())
		Eventually(func() int { status, _, _ := run("check"); return status }).Should(Equal(inspect.ExitClean))
		status, out, _ := run("--json", "moves", "--service", "fees", "--add", "f-9")
		Expect(status).To(Equal(inspect.ExitClean))
		Expect(out).To(ContainSubstring(`"Node": "edge-2"`))
		s.cluster.List(map[string]string{"f-1": "gone", "f-2": "gone", "n-1": "gone", "n-2": "gone"})
		Eventually(func() string { _, out, _ := run("check"); return out }).Should(MatchRegexp(`no server +lane fee`))
		status, _, errs := run("moves", "--service", "fees", "--retire", "never-was")
		Expect(status).To(Equal(inspect.ExitError))
		Expect(errs).To(ContainSubstring("never-was"))
	})
})
