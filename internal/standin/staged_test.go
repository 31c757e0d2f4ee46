package standin_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/standin"
)

var _ = Describe("a staged change on loopback", Ordered, func() {
	var s *system
	BeforeAll(func() {
		s = startCluster(17800, 4, func(cluster *standin.Cluster) {
			cluster.EdgeZones[3], cluster.EdgeZones[4] = "b", "b"
			for _, server := range cluster.Servers {
				server.SetDefault(standin.Answer, 3*time.Millisecond)
			}
		})
	})
	// order stages a change of the lane to another service, under a version.
	order := func(name, lane string, version int) string {
		return fmt.Sprintf(`{"Name":%q,"First":"edge-2","Duration":"60s","Change":{"Upsert":{"VirtualHosts":[{"Hostname":"h.example","PathTable":[%s]}]}}}`,
			name, strings.ReplaceAll(lane, "r1", fmt.Sprint("r", version)))
	}
	const feeToSeats = `{"Name":"fee","PathPrefix":"/fee/","RouteType":"idempotent","Timeout":"9s","TargetLatency":"2s","MaxAttempts":2,"Service":"seats","Revision":"r1"}`
	const feeUnkept = `{"Name":"fee","PathPrefix":"/fee/","RouteType":"safe","Timeout":"9s","TargetLatency":"2s","MaxAttempts":2,"Service":"seats","Revision":"r1"}`
	read := func(name string) string { return s.state("/v1/staged/" + name + "/read") }
	// ran counts what the servers ran.
	ran := func(ids ...string) (count int) {
		for _, id := range ids {
			count += len(s.cluster.Servers[id].Runs())
		}
		return count
	}

	It("refuses by name what is malformed, unknown, or not newer", func() {
		for text, want := range map[string]int{
			`{`: 400,
			order("x", strings.Replace(feeToSeats, "seats", "none", 1), 5):       400,
			strings.Replace(order("x", feeToSeats, 5), "60s", "soon", 1):         400,
			strings.Replace(order("x", feeToSeats, 5), "edge-2", "edge-none", 1): 404,
			order("x", feeToSeats, 1): 409,
		} {
			status, reason := s.post(2, "/v1/staged/start", text)
			Expect(status).To(Equal(want), text+reason)
		}
		Expect(read("x")).To(HavePrefix("404"))
	})

	DescribeTable("halts a faulty one at the first node, each keyed request run once",
		func(name, lane string, version int, act standin.Act, work time.Duration, why string) {
			s.cluster.Servers["s-1"].SetDefault(act, work)
			s.cluster.Servers["s-2"].SetDefault(act, work)
			r := s.rush()
			Eventually(func() int { status, _ := s.post(3, "/v1/staged/start", order(name, lane, version)); return status }).Should(Equal(200))
			status, _ := s.post(1, "/v1/staged/start", order("other", feeToSeats, version+1))
			Expect(status).To(Equal(409))
			Eventually(func() string { return read(name) }).Should(And(
				ContainSubstring(`"State":"reverted"`), ContainSubstring(`"Wave":0`), ContainSubstring(why)))
			matchSchema("StagedState", read(name))
			s.cluster.Servers["s-1"].SetDefault(standin.Answer, 3*time.Millisecond)
			s.cluster.Servers["s-2"].SetDefault(standin.Answer, 3*time.Millisecond)
			// Every node serves the manifest again.
			before := ran("s-1", "s-2")
			Eventually(func() int {
				was := ran("s-1", "s-2")
				for edge := range s.edges {
					s.send(edge, "POST", "/fee/x", "x", map[string]string{"Ploverhitch-Operation-Key": fmt.Sprint(name, edge, was, time.Now())})
				}
				return ran("s-1", "s-2") - was
			}).Should(BeZero())
			Expect(before).To(BeNumerically(">", 0))
			s.eachOnce(r.end())
			// Its version is used up.
			status, reason := s.post(2, "/v1/staged/start", order("again", lane, version))
			Expect(status).To(Equal(409))
			Expect(reason).To(ContainSubstring("used up"))
		},
		Entry("to a service that fails", "fails", feeToSeats, 10, standin.Fail500, 3*time.Millisecond, "on trial"),
		Entry("that takes the keys' record away", "unkept", feeUnkept, 20, standin.Answer, 3*time.Millisecond, "on trial"),
		Entry("to a service that is late", "slow", strings.Replace(feeToSeats, `"TargetLatency":"2s"`, `"TargetLatency":"100ms"`, 1), 30, standin.Answer, 2200*time.Millisecond, "on trial"),
	)

	It("halts on the operator's word", func() {
		status, reason := s.post(1, "/v1/staged/start", order("word", feeToSeats, 40))
		Expect(status).To(Equal(200), reason)
		status, _ = s.post(2, "/v1/staged/word/halt", "")
		Expect(status).To(Equal(200))
		Expect(read("word")).To(ContainSubstring("halted by the operator"))
	})

	It("gives way to an ordinary change of the same item", func() {
		status, reason := s.post(1, "/v1/staged/start", order("passed", feeToSeats, 50))
		Expect(status).To(Equal(200), reason)
		status, _ = s.post(2, "/v1/config/modify", `{"Upsert":{"VirtualHosts":[{"Hostname":"h.example","PathTable":[`+
			strings.Replace(strings.Replace(feeToSeats, "seats", "fees", 1), "r1", "r51", 1)+`]}]}}`)
		Expect(status).To(Equal(200))
		Eventually(func() string { return read("passed") }).Should(ContainSubstring("an ordinary change"))
	})

	It("brings a good one to the node, its cell, the others, and into force", func() {
		r := s.rush()
		Eventually(func() int { status, _ := s.post(1, "/v1/staged/start", order("good", feeToSeats, 60)); return status }).Should(Equal(200))
		Expect(read("good")).To(ContainSubstring(`[["edge-2"],["edge-1"],["edge-3","edge-4"]]`))
		Eventually(func() string { return read("good") }, "40s").Should(ContainSubstring(`"State":"complete"`))
		Expect(s.state("/v1/config/read")).To(ContainSubstring(`"r60"`))
		before := ran("f-1", "f-2")
		for edge := range s.edges {
			s.send(edge, "POST", "/fee/x", "x", map[string]string{"Ploverhitch-Operation-Key": fmt.Sprint("after", edge)})
		}
		Expect(ran("f-1", "f-2")).To(Equal(before))
		s.eachOnce(r.end())
	})
})
