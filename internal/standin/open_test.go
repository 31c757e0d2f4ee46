package standin_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/standin"
)

var _ = Describe("a key whose outcome is open", Ordered, func() {
	var s *system
	fee := func(key, body string) int {
		status, _, _ := s.send(0, "POST", "/fee/x", body, map[string]string{"Ploverhitch-Operation-Key": key, "Ploverhitch-Deadline-Ms": "200"})
		return status
	}
	usual := func(act standin.Act) {
		for _, id := range []string{"f-1", "f-2"} {
			s.cluster.Servers[id].SetDefault(act, 0)
		}
	}

	BeforeAll(func() { s = startSystem(20400, 1) })

	It("is held when its first connection breaks late: a late end shows no run, and no lack of one", func() {
		usual(standin.SilentCut)
		Expect(fee("k1", "x")).To(Equal(504))
		usual(standin.Answer)
		for _, id := range []string{"f-1", "f-2"} {
			s.cluster.Servers[id].Free()
		}
		Consistently(func() int { return fee("k1", "x") }).WithTimeout(time.Second).Should(Equal(409))
		Expect(s.runs("k1")).To(Equal(1))
	})

	It("refuses another request under it as a conflict, not as one in work", func() {
		Expect(fee("k1", "y")).To(Equal(422))
		Expect(s.runs("k1")).To(Equal(1))
	})
})
