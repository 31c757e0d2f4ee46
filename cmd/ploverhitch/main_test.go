package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// runMainVariable makes the test binary run the program itself.
const runMainVariable = "PLOVERHITCH_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const settingsText = `platform:
  NodeName: n
  Ip: 127.0.0.1
  InternalPorts: [7200, 7215]
  SeedNodes: ["127.0.0.1:8382"]
  Bounds: {KeyWindow: 60s}
`

// Guards against a process that a SIGHUP ends before it has read its settings. For a control node the time until it
// watched for the signal was as long as it takes to read its log.
func TestHangupBeforeTheSettingsAreReadDoesNotEndTheProcess(t *testing.T) {
	for _, program := range []string{"proxy", "agent", "control"} {
		path := filepath.Join(t.TempDir(), "settings.yaml")
		// The program blocks on the pipe until the settings are written to it.
		if err := syscall.Mkfifo(path, 0o600); err != nil {
			t.Fatal(err)
		}
		command := exec.Command(os.Args[0], "--settings", path, "--check-settings", program)
		command.Env = append(os.Environ(), runMainVariable+"=1")
		var output strings.Builder
		command.Stdout, command.Stderr = &output, &output
		if err := command.Start(); err != nil {
			t.Fatal(err)
		}
		watchdog := time.AfterFunc(20*time.Second, func() { _ = command.Process.Kill() })
		pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
		if err != nil {
			t.Fatal(err)
		}
		for range 3 {
			if err := command.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
		}
		_, _ = pipe.WriteString(settingsText)
		_ = pipe.Close()
		if err := command.Wait(); err != nil || !strings.Contains(output.String(), "the settings are valid") {
			t.Errorf("%s: %v, output %q", program, err, output.String())
		}
		watchdog.Stop()
	}
}
