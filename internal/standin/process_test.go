package standin_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/agent"
	"ploverhitch/internal/control"
	"ploverhitch/internal/proxy"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/standin"
)

type run func(context.Context, *settings.Settings, string, func(string, string, ...any)) error

// process is one program running in this test.
type process struct {
	stop context.CancelFunc
	done chan error
}

func start(program run, machine standin.Machine) *process {
	set, err := settings.Read(machine.Settings)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{cancel, make(chan error, 1)}
	go func() { p.done <- program(ctx, set, machine.Settings, func(string, string, ...any) {}) }()
	return p
}

func (p *process) end() {
	p.stop()
	Eventually(p.done).Should(Receive())
}

const manifestText = `{"Upsert":{"Services":[{"Name":"lessons","MaxConnections":20,"Revision":"r1"},{"Name":"fees","MaxConnections":400,"Revision":"r1"},
{"Name":"seats","MaxConnections":400,"IdempotentDedup":true,"Revision":"r1"}],
"Limits":{"MaxHeaderBytes":2000,"MaxBodyBytes":1000,"Revision":"r1"},
"VirtualHosts":[{"Hostname":"h.example","PathTable":[
{"Name":"read","PathPrefix":"/read/","RouteType":"safe","Timeout":"3s","TargetLatency":"2s","MaxAttempts":3,"Service":"lessons","Revision":"r1"},
{"Name":"once","PathPrefix":"/once/","RouteType":"unsafe","Timeout":"3s","TargetLatency":"2s","MaxAttempts":3,"Service":"lessons","Revision":"r1"},
{"Name":"pack","PathPrefix":"/pack/","RouteType":"download","Timeout":"9s","TargetLatency":"8s","MaxAttempts":2,"Service":"fees","Revision":"r1"},
{"Name":"seat","PathPrefix":"/seat/","RouteType":"idempotent","Timeout":"3s","TargetLatency":"2s","MaxAttempts":3,"Service":"seats","Revision":"r1"},
{"Name":"fee","PathPrefix":"/fee/","RouteType":"idempotent","Timeout":"9s","TargetLatency":"2s","MaxAttempts":2,"Service":"fees","Revision":"r1"}]}]},"Remove":{"Routes":[]}}`

// system is a whole cluster with its programs running in this test.
type system struct {
	cluster  *standin.Cluster
	cores    []*process
	edges    []standin.Machine
	attempts atomic.Int64
	rushes   atomic.Int64
}

// memoryPlace is a folder in memory, on machines that have one.
const memoryPlace = "/dev/shm"

// diskPlace is where the towns' disks lie. Votes are held to a span, and the disk of
// the machine that runs the tests may be busy for longer with something else: what
// disks do, and what becomes of votes then, internal/ballast and internal/ledger try.
func diskPlace() string {
	if at, err := os.Stat(memoryPlace); err == nil && at.IsDir() {
		return memoryPlace
	}
	return ""
}

func startSystem(port, edges int) *system { return startCluster(port, edges, nil) }

// startCluster starts a system after lay has said what is special in its cluster.
func startCluster(port, edges int, lay func(*standin.Cluster)) *system {
	folder, err := os.MkdirTemp(diskPlace(), "cluster")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, folder)
	s := &system{}
	s.cluster, err = standin.NewCluster(folder, port, map[string]string{"l-1": "lessons", "l-2": "lessons", "l-3": "lessons", "f-1": "fees", "f-2": "fees", "s-1": "seats", "s-2": "seats", "n-1": "fees", "n-2": "fees"})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.cluster.Close)
	if lay != nil {
		lay(s.cluster)
	}
	s.cluster.List(s.hidden())
	for number := 1; number <= 3; number++ {
		s.cores = append(s.cores, s.core(number, true))
	}
	DeferCleanup(func() {
		for _, core := range s.cores {
			core.end()
		}
	})
	for number := 1; number <= edges; number++ {
		s.startEdge(number)
	}
	Eventually(func() (int, error) { return s.cluster.Modify(1, manifestText) }).Should(Equal(200))
	for _, edge := range s.edges {
		Eventually(func() int {
			response, err := http.Get("http://" + edge.Ready + "/v1/ready")
			if err != nil {
				return 0
			}
			response.Body.Close()
			return response.StatusCode
		}).Should(Equal(200))
	}
	return s
}

// startEdge starts an edge machine that ends with the spec.
func (s *system) startEdge(number int) {
	edge, err := s.cluster.Edge(number)
	Expect(err).NotTo(HaveOccurred())
	s.edges = append(s.edges, edge)
	agentProcess, proxyProcess := start(agent.Run, edge), start(proxy.Run, edge)
	DeferCleanup(func() {
		proxyProcess.end()
		agentProcess.end()
	})
}

// hidden leaves the new servers out of the list.
func (s *system) hidden() map[string]string { return map[string]string{"n-1": "gone", "n-2": "gone"} }

func (s *system) core(number int, isFirst bool) *process {
	machine, err := s.cluster.Core(number, isFirst)
	Expect(err).NotTo(HaveOccurred())
	return start(control.Run, machine)
}

func (s *system) lastAttempt() string { return fmt.Sprint("try", s.attempts.Load()) }

func (s *system) send(edge int, method, path, body string, headers map[string]string) (int, http.Header, string) {
	request, err := http.NewRequest(method, "http://"+s.edges[edge].Front+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Host = "h.example"
	request.Header.Set("Ploverhitch-Attempt-Id", fmt.Sprint("try", s.attempts.Add(1)))
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, response.Header, string(text)
}

// runs counts how often a key ran, at all servers.
func (s *system) runs(key string) (count int) {
	for _, server := range s.cluster.Servers {
		for _, run := range server.Runs() {
			if run.Key == key {
				count++
			}
		}
	}
	return count
}
