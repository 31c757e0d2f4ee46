package standin

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
)

// Cluster is a whole small system on loopback: three core nodes and some edges,
// each machine at an address of its own under 127.0.0.0/8, a platform, and
// servers. It writes the settings files and speaks as the operator; the
// programs themselves are started by whoever uses it.
type Cluster struct {
	Folder   string
	Platform *Platform
	Servers  map[string]*Server
	services map[string]string
	ports    int
	// Zones are the cells of servers and of edges (by number) that are not in
	// cell a, Revisions the versions of servers other than v1, Extra more lines
	// of tuning.
	Zones     map[string]string
	EdgeZones map[int]string
	Revisions map[string]string
	Extra     string
	// LinkMbps is what the machines' links carry, if it is told.
	LinkMbps float64
	// Capacity is what servers declare, where that is not 2.
	Capacity map[string]int
}

// Machine is one machine of the cluster and the settings file of its processes.
type Machine struct {
	Name, Ip, Cell, Settings string
	Front, Ready             string
}

// NewCluster starts the platform and one server for each id, of the service that
// is named with it. All ports of its machines follow from the first one.
//
// Example:
//
//	cluster, err := standin.NewCluster(folder, 17200, map[string]string{"i-1": "lessons"})
func NewCluster(folder string, port int, servers map[string]string) (*Cluster, error) {
	t := &Cluster{Folder: folder, Servers: map[string]*Server{}, services: servers, ports: port, Zones: map[string]string{}, EdgeZones: map[int]string{}, Revisions: map[string]string{}}
	var err error
	if t.Platform, err = NewPlatform("127.0.0.1:0", 2); err != nil {
		return nil, err
	}
	for id := range servers {
		if t.Servers[id], err = NewServer(id, "127.0.0.1:0"); err != nil {
			return nil, err
		}
	}
	t.List(nil)
	return t, nil
}

// Add starts one more server, which the next List tells of.
//
// Example:
//
//	err := cluster.Add("x-1", "lessons-next")
func (t *Cluster) Add(id, service string) (err error) {
	t.Servers[id], err = NewServer(id, "127.0.0.1:0")
	t.services[id] = service
	return err
}

// List lays the platform's list: every server, ready unless its id is given
// with another state; the state "gone" leaves it out.
//
// Example:
//
//	cluster.List(map[string]string{"i-1": "draining"})
func (t *Cluster) List(states map[string]string) {
	var list []Listed
	for id, server := range t.Servers {
		state := states[id]
		if state == "" {
			state = "ready"
		}
		if state != "gone" {
			list = append(list, Listed{InstanceId: id, Service: t.services[id], Address: server.Address(), Zone: or(t.Zones[id], "a"), Revision: or(t.Revisions[id], "v1"), State: state, WarmupLeft: "0ms", Capacity: max(2, t.Capacity[id])})
		}
	}
	t.Platform.Set(0, list...)
}

func or(text, usual string) string {
	if text == "" {
		return usual
	}
	return text
}

// Close stops the platform and the servers.
//
// Example:
//
//	defer cluster.Close()
func (t *Cluster) Close() {
	t.Platform.Close()
	for _, server := range t.Servers {
		server.Close()
	}
}

// Control is the control address of a core machine.
//
// Example:
//
//	http.Get("http://" + cluster.Control(1) + "/v1/status")
func (t *Cluster) Control(number int) string { return fmt.Sprintf("127.0.1.%d:%d", number, t.ports+9) }

// Core writes the settings of core machine 1, 2 or 3.
//
// Example:
//
//	machine, err := cluster.Core(1, true)
func (t *Cluster) Core(number int, isFirst bool) (Machine, error) {
	ip := fmt.Sprintf("127.0.1.%d", number)
	return t.machine(Machine{Name: fmt.Sprint("core-", number), Ip: ip}, isFirst,
		fmt.Sprintf("ControlPlane: %q", t.Control(number)), filepath.Join(t.Folder, fmt.Sprint("disk-", number)))
}

// Edge writes the settings of an edge machine.
//
// Example:
//
//	machine, err := cluster.Edge(1)
func (t *Cluster) Edge(number int) (Machine, error) {
	m := Machine{Name: fmt.Sprint("edge-", number), Ip: fmt.Sprintf("127.0.2.%d", number), Cell: t.EdgeZones[number]}
	m.Front, m.Ready = fmt.Sprintf("%s:%d", m.Ip, t.ports+8), fmt.Sprintf("%s:%d", m.Ip, t.ports+7)
	return t.machine(m, true, fmt.Sprintf("ClientHttp: %q, Readiness: %q", m.Front, m.Ready), "")
}

func (t *Cluster) machine(m Machine, isFirst bool, bind, disk string) (Machine, error) {
	text := fmt.Sprintf(`platform:
  NodeName: %q
  Ip: %q
  Zone: %q
  Zones: {a: land, b: land}
  Bind: {%s}
  InternalPorts: [%d, %d]
  SeedNodes: [%q, %q, %q]
  Bootstrap: %t
  Limits: {CpuShare: 1.0, MemoryMb: 280, MaxFds: 4096, DiskMb: 256, LinkMbps: %g}
  DataDir: %q
  FaultTolerance: {Machines: 1}
  Bounds: {Contact: "3000ms", Sync: "4s", Drain: "2500ms", Grace: "2s", ConfigApply: "2500ms", RetryBudgetRatio: 0.2, RetryWindow: "10s", RetrySlack: 64, KeyWindow: "60s", Ack: "4s", CanaryShare: 0.2, CanarySlack: 50, Rollback: "5s"}
  CloudApi: {Address: %q, RatePerS: 50, MaxLag: "800ms"}
tuning: {beat: 100ms, silent_after: 400ms, poll: 50ms, log_level: error, loopback: %s%s}
`, m.Name, m.Ip, or(m.Cell, "a"), bind, t.ports, t.ports+5, t.Control(1), t.Control(2), t.Control(3), isFirst, t.LinkMbps, disk, t.Platform.Address(), strings.Replace(m.Ip, "127.0.2.", "127.0.3.", 1), t.Extra)
	m.Settings = filepath.Join(t.Folder, m.Name+".yaml")
	return m, os.WriteFile(m.Settings, []byte(text), 0o644)
}

// Modify sends an operator's call to a core node.
//
// Example:
//
//	status, err := cluster.Modify(1, text)
func (t *Cluster) Modify(number int, text string) (int, error) {
	response, err := http.Post("http://"+t.Control(number)+"/v1/config/modify", "application/json", strings.NewReader(text))
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, nil
}

// Read reads the manifest, or another page, back from a core node.
//
// Example:
//
//	status, text, err := cluster.Read(1, "/v1/config/read")
func (t *Cluster) Read(number int, path string) (int, string, error) {
	response, err := http.Get("http://" + t.Control(number) + path)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	var body bytes.Buffer
	_, err = body.ReadFrom(response.Body)
	return response.StatusCode, body.String(), err
}
