package standin_test

import (
	"context"

	. "github.com/onsi/gomega"

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

const manifestText = `{"Upsert":{"Services":[{"Name":"lessons","MaxConnections":20,"Revision":"r1"},{"Name":"fees","MaxConnections":20,"Revision":"r1"}],
"Limits":{"MaxHeaderBytes":2000,"MaxBodyBytes":1000,"Revision":"r1"},
"VirtualHosts":[{"Hostname":"h.example","PathTable":[
{"Name":"read","PathPrefix":"/read/","LaneType":"safe","Timeout":"3s","TargetLatency":"2s","MaxAttempts":3,"Service":"lessons","Revision":"r1"},
{"Name":"once","PathPrefix":"/once/","LaneType":"unsafe","Timeout":"3s","TargetLatency":"2s","MaxAttempts":3,"Service":"lessons","Revision":"r1"},
{"Name":"fee","PathPrefix":"/fee/","LaneType":"idempotent","Timeout":"3s","TargetLatency":"2s","MaxAttempts":2,"Service":"fees","Revision":"r1"}]}]},"Remove":{"Lanes":[]}}`
