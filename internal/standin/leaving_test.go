package standin_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a server that leaves while nobody can hold the duty", func() {
	It("gets nothing more, by the word of the member that is left", func() {
		s := startSystem(20600, 1)
		send := func(count int) {
			for range count {
				s.send(0, "GET", "/read/a", "", nil)
			}
		}
		send(40)
		// Without two of three members no duty can be claimed.
		for _, core := range s.cores[:2] {
			core.end()
		}
		s.cores = s.cores[2:]
		s.cluster.List(map[string]string{"l-1": "draining", "l-2": "draining", "n-1": "gone", "n-2": "gone"})
		onlyLast := func() int {
			before, _ := s.cluster.Servers["l-3"].Counts()
			send(40)
			after, _ := s.cluster.Servers["l-3"].Counts()
			return after - before
		}
		Eventually(onlyLast, 5*time.Second).Should(Equal(40))
	})
})
