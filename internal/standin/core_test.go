package standin_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"ploverhitch/internal/standin"
)

// leaseStatus is what /v1/status tells of the duty.
type leaseStatus struct {
	Node        string
	Term        uint64
	QuorumAgeMs int64
	Lease       struct {
		Holder      string
		Term        uint64
		RemainingMs int64
	}
}

// holds tells whether the node that tells this holds the duty by a valid lease.
func (d leaseStatus) holds() bool { return d.Lease.Holder == d.Node && d.Lease.RemainingMs > 0 }

// controlCore is a core of three control processes on loopback.
type controlCore struct {
	cluster  *standin.Cluster
	binary   string
	settings map[int]string
	programs map[int]*exec.Cmd
	// client waits for a response as long as an operator does.
	client *http.Client
}

// buildProgram builds the program once for all specs.
var buildProgram = sync.OnceValues(func() (string, error) { return gexec.Build("ploverhitch/cmd/ploverhitch") })

var _ = AfterSuite(gexec.CleanupBuildArtifacts)

// startControlCore builds the program, unless that is done, and starts the processes, which end with the spec.
func startControlCore(firstPort int) *controlCore {
	binary, err := buildProgram()
	Expect(err).NotTo(HaveOccurred())
	folder, err := os.MkdirTemp(diskPlace(), "cluster")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, folder)
	core := &controlCore{
		binary: binary, settings: map[int]string{}, programs: map[int]*exec.Cmd{}, client: &http.Client{Timeout: time.Second},
	}
	core.cluster, err = standin.NewCluster(folder, firstPort, map[string]string{"l-1": "lessons"})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(core.cluster.Close)
	for number := 1; number <= 3; number++ {
		machine, err := core.cluster.Core(number, true)
		Expect(err).NotTo(HaveOccurred())
		core.settings[number] = machine.Settings
		core.start(number)
		DeferCleanup(core.kill, number)
	}
	return core
}

// start starts a member's process.
func (c *controlCore) start(number int) {
	program := exec.Command(c.binary, "--settings", c.settings[number], "control")
	Expect(program.Start()).To(Succeed())
	c.programs[number] = program
}

// kill ends a member's process at once and waits until it is gone.
func (c *controlCore) kill(number int) {
	_ = c.programs[number].Process.Kill()
	_ = c.programs[number].Wait()
}

func (c *controlCore) get(number int, path string) (int, []byte) {
	response, err := c.client.Get("http://" + c.cluster.Control(number) + path)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, text
}

// post returns the status of an operator's call, or 0 if there is no response.
func (c *controlCore) post(number int, path, body string) int {
	response, err := c.client.Post("http://"+c.cluster.Control(number)+path, "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (c *controlCore) status(number int) (out leaseStatus) {
	_, text := c.get(number, "/v1/status")
	_ = json.Unmarshal(text, &out)
	return out
}

// holder is who holds the duty. The nodes are asked one after the other, so that
// two may answer that they do, but not under one term.
func (c *controlCore) holder(numbers ...int) (found int) {
	terms := map[uint64]int{}
	for _, number := range numbers {
		if now := c.status(number); now.holds() {
			Expect(terms).NotTo(HaveKey(now.Term), "two hold the duty")
			terms[now.Term], found = number, number
		}
	}
	return found
}

// freeze stops a process and waits until all its threads stand still: the signal only asks for it.
func (c *controlCore) freeze(number int) {
	process := c.programs[number].Process
	Expect(process.Signal(syscall.SIGSTOP)).To(Succeed())
	Eventually(func() bool { return standsStill(process.Pid) }).WithTimeout(5 * time.Second).WithPolling(time.Millisecond).Should(BeTrue())
}

// wake lets a stopped process go on.
func (c *controlCore) wake(number int) {
	Expect(c.programs[number].Process.Signal(syscall.SIGCONT)).To(Succeed())
}

// standsStill reports whether all threads of a process are stopped.
func standsStill(pid int) bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(threads) == 0 {
		return false
	}
	for _, thread := range threads {
		text, err := os.ReadFile(thread)
		if err != nil {
			return false
		}
		// The state follows the name of the program, which stands in parentheses.
		_, state, found := strings.Cut(string(text), ") ")
		if !found || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}
