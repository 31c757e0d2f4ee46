package standin_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/standin"
)

var _ = Describe("downloads over a narrow link on loopback", func() {
	It("are passed on as they come, whole or visibly broken off, and leave the link to the next", func() {
		s := startCluster(20200, 1, func(cluster *standin.Cluster) {
			cluster.LinkMbps = 4
			for _, server := range cluster.Servers {
				server.Long(60_000)
			}
		})
		usual := func(act standin.Act) {
			for _, server := range s.cluster.Servers {
				server.SetDefault(act, 0)
			}
		}
		ask := func(path string) (began, ended time.Duration, text string, err error) {
			request, err := http.NewRequest("GET", "http://"+s.edges[0].Front+path, nil)
			Expect(err).NotTo(HaveOccurred())
			request.Host = "h.example"
			request.Header.Set("Ploverhitch-Attempt-Id", fmt.Sprint("try", s.attempts.Add(1)))
			start := time.Now()
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				return 0, 0, "", err
			}
			defer response.Body.Close()
			Expect(response.StatusCode).To(Equal(200))
			began = time.Since(start)
			body, err := io.ReadAll(response.Body)
			return began, time.Since(start), string(body), err
		}
		// 60 kB take 120 ms on the link: the client has the head long before the end.
		began, ended, text, err := ask("/pack/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(And(HavePrefix("body of try"), HaveSuffix("....")))
		Expect(ended).To(BeNumerically(">", 110*time.Millisecond))
		Expect(began).To(BeNumerically("<", ended/2))

		// Two may be on their way at once; broken ones give their places back.
		usual(standin.CutWithin)
		for range 5 {
			_, _, text, err = ask("/pack/a")
			Expect(err).To(Or(MatchError(io.ErrUnexpectedEOF), MatchError(io.EOF)))
			Expect(len(text)).To(BeNumerically("<=", len("part")))
		}
		// What is short is checked whole, and never shown broken.
		for _, server := range s.cluster.Servers {
			server.Long(0)
		}
		usual(standin.Answer)
		s.cluster.Servers["f-1"].Next(standin.CutWithin)
		for range 4 {
			_, _, text, err = ask("/pack/b")
			Expect(err).NotTo(HaveOccurred())
			Expect(strings.HasPrefix(text, "body of try")).To(BeTrue())
		}
	})
})
