// Command localcluster runs a small but complete ploverhitch cluster on loopback, with
// emulated platform and servers, for trying it out.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"ploverhitch/internal/standin"
)

const initialConfiguration = `{"Upsert":{"Services":[{"Name":"lessons","MaxConnections":20,"Revision":"r1"},{"Name":"fees","MaxConnections":20,"Revision":"r1"},{"Name":"files","MaxConnections":400,"Revision":"r1"}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"Revision":"r1"},
"VirtualHosts":[{"Hostname":"h.example","PathTable":[
{"Name":"read","PathPrefix":"/read/","RouteType":"safe","Timeout":"1200ms","TargetLatency":"300ms","MaxAttempts":2,"Service":"lessons","Revision":"r1"},
{"Name":"file","PathPrefix":"/file/","RouteType":"safe","Timeout":"1200ms","TargetLatency":"600ms","MaxAttempts":2,"Service":"files","Revision":"r1"},
{"Name":"fee","PathPrefix":"/fee/","RouteType":"idempotent","Timeout":"1500ms","TargetLatency":"400ms","MaxAttempts":2,"Service":"fees","Revision":"r1"}]}]},"Remove":{"Routes":[]}}`

func main() {
	app := kingpin.New("localcluster", "Runs a complete ploverhitch cluster on loopback with an emulated platform and servers. Example: localcluster --folder /tmp/cluster")
	folder := app.Flag("folder", "Directory for the settings and the data of the nodes.").Required().String()
	port := app.Flag("port", "First port of the range that the cluster uses.").Default("17200").Int()
	fileBytes := app.Flag("file-bytes", "Length of the answers on /file/.").Default("100000").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, *folder, *port, *fileBytes); err != nil {
		fmt.Fprintln(os.Stderr, "localcluster:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, folder string, port, fileBytes int) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Trace(err)
	}
	cluster, err := standin.NewCluster(folder, port, map[string]string{"l-1": "lessons", "l-2": "lessons", "f-1": "fees", "f-2": "fees", "x-1": "files", "x-2": "files"})
	if err != nil {
		return errors.Trace(err)
	}
	defer cluster.Close()
	for _, id := range []string{"x-1", "x-2"} {
		cluster.Servers[id].Long(fileBytes)
	}
	_, err = os.Stat(filepath.Join(folder, "disk-1"))
	firstStart := os.IsNotExist(err)
	var edge standin.Machine
	for number := 1; number <= 3; number++ {
		machine, err := cluster.Core(number, firstStart)
		if err != nil {
			return errors.Trace(err)
		}
		if err = launch(ctx, "control", machine); err != nil {
			return err
		}
	}
	if edge, err = cluster.Edge(1); err != nil {
		return errors.Trace(err)
	}
	for _, program := range []string{"agent", "proxy"} {
		if err = launch(ctx, program, edge); err != nil {
			return err
		}
	}
	for status := 0; status != 200 && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		status, _ = cluster.Modify(1, initialConfiguration)
	}
	fmt.Printf("it runs; try:\n"+
		"  curl -s -H 'Host: h.example' -H 'Ploverhitch-Attempt-Id: a1' http://%[1]s/read/hello\n"+
		"  curl -s -H 'Host: h.example' -H 'Ploverhitch-Attempt-Id: a2' -H 'Ploverhitch-Operation-Key: k1' -d seat=7 http://%[1]s/fee/enrol\n"+
		"  curl -s http://%[2]s/v1/status\n"+
		"  target/ploverhitch inspector --control %[2]s check\n"+
		"  go run ./cmd/measure --through %[1]s --direct %[3]s\n"+
		"  go run ./cmd/measure stalled --through %[1]s\n", edge.Front, cluster.Control(1), cluster.Servers["l-1"].Address())
	<-ctx.Done()
	return nil
}

// launch starts a ploverhitch process, which receives SIGTERM when the context ends.
func launch(ctx context.Context, program string, machine standin.Machine) error {
	executable, err := os.Executable()
	if err != nil {
		return errors.Trace(err)
	}
	command := exec.CommandContext(ctx, filepath.Join(filepath.Dir(executable), "ploverhitch"), "--settings", machine.Settings, program)
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	command.Cancel = func() error { return command.Process.Signal(syscall.SIGTERM) }
	return errors.Annotatef(command.Start(), "starting %s", program)
}
