package rolloutcmd_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/rolloutcmd"
)

func TestRolloutcmd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rolloutcmd")
}

var _ = Describe("the commands rollout and staged", func() {
	var requests []string
	responseBody, status := `{"State":"reverted","Phase":"reverted","Reason":"route a"}`, 200
	run := func(arguments string) (int, string, error) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			requests = append(requests, r.Method+" "+r.URL.Path+" "+string(body))
			w.WriteHeader(status)
			_, _ = io.WriteString(w, responseBody)
		}))
		defer server.Close()
		app, out := kingpin.New("ploverhitch", ""), &bytes.Buffer{}
		command := rolloutcmd.Register(app, out)
		name, err := app.Parse(append([]string{"--core", strings.TrimPrefix(server.URL, "http://")}, strings.Fields(arguments)...))
		Expect(err).NotTo(HaveOccurred())
		code, err := command.Run(name)
		return code, out.String(), err
	}
	BeforeEach(func() { requests, status = nil, 200 })

	It("send the request of each subcommand: start, read, watch and halt", func() {
		code, _, err := run("rollout start --service fees --target v2 --duration 12s")
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(BeZero())
		Expect(requests[0]).To(Equal(`POST /v1/rollouts/start {"Duration":"12000ms","Service":"fees","TargetVersion":"v2"}`))
		code, text, err := run("rollout watch --service fees")
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(rolloutcmd.ExitReverted))
		Expect(text).To(ContainSubstring("route a"))
		_, _, err = run("staged halt --name east")
		Expect(err).NotTo(HaveOccurred())
		Expect(requests[2]).To(HavePrefix("POST /v1/staged/east/halt"))
		_, text, err = run("staged read --name east")
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(ContainSubstring(`"Phase": "reverted"`))
	})

	It("report the status of a rejected request as an error", func() {
		status, responseBody = 409, `{"Error":"another rollout is active"}`
		code, _, err := run("rollout start --service fees --target v2 --duration 12s")
		Expect(code).To(Equal(2))
		Expect(err).To(MatchError(ContainSubstring("answered 409")))
	})
})
