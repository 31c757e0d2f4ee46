// Command ploverhitch is an API gateway: one binary with the proxy, the agent, the control
// node and the operator tools as subcommands.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"ploverhitch/internal/agent"
	"ploverhitch/internal/apply"
	"ploverhitch/internal/control"
	"ploverhitch/internal/inspect"
	"ploverhitch/internal/logring"
	"ploverhitch/internal/proxy"
	"ploverhitch/internal/rolloutcmd"
	"ploverhitch/internal/settings"
)

// version is set by the linker for a release.
var version = "development"

type runFunc func(ctx context.Context, cfg *settings.Settings, path string, log func(level, text string, pairs ...any)) error

var programs = map[string]runFunc{
	"proxy":   proxy.Run,
	"control": control.Run,
	"agent": func(ctx context.Context, cfg *settings.Settings, path string, log func(level, text string, pairs ...any)) error {
		// The proxy on the same node keeps serving for part of its grace period, so the
		// agent outlives the termination signal by half of that period.
		agentCtx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			<-ctx.Done()
			time.Sleep(cfg.Platform.Bounds.Grace.Std() / 2)
			cancel()
		}()
		return agent.Run(agentCtx, cfg, path, log)
	},
}

// isProgram reports whether the arguments start a program that runs until it is stopped. It does not wait for
// the arguments to be parsed, so that a signal in the first milliseconds is caught.
func isProgram(arguments []string) bool {
	for _, argument := range arguments {
		if programs[argument] != nil {
			return true
		}
	}
	return false
}

// exit prints the error on one line and exits with the status.
func exit(status int, err error) {
	fmt.Fprintln(os.Stderr, "ploverhitch:", strings.ReplaceAll(err.Error(), "\n", " "))
	os.Exit(status)
}

func main() {
	if isProgram(os.Args[1:]) {
		settings.CatchHangups()
	}
	app := kingpin.New("ploverhitch", "An API gateway that runs each keyed operation at most once.")
	app.Version(version)
	app.HelpFlag.Short('h')
	settingsPath := app.Flag("settings", "Path to the settings file.").Envar(settings.PathVariable).String()
	checkOnly := app.Flag("check-settings", "Validate the settings and exit.").Bool()
	app.Command("proxy", "Runs the proxy, which serves client requests. Example: ploverhitch proxy --settings local.yaml")
	app.Command("agent", "Runs the agent beside a proxy. Example: ploverhitch agent --settings local.yaml")
	app.Command("control", "Runs a control node. Example: ploverhitch control --settings local.yaml")
	inspectorCommand := inspect.Register(app, os.Stdout, os.Stderr)
	applyCommand := apply.Register(app, os.Stdout)
	rolloutCommand := rolloutcmd.Register(app, os.Stdout)
	name := kingpin.MustParse(app.Parse(os.Args[1:]))
	switch {
	case strings.HasPrefix(name, "inspector"):
		os.Exit(inspectorCommand.Run(name))
	case strings.HasPrefix(name, "rollout"), strings.HasPrefix(name, "staged"):
		status, err := rolloutCommand.Run(name)
		if err != nil {
			exit(status, err)
		}
		os.Exit(status)
	case name == "apply":
		if err := applyCommand.Run(); err != nil {
			exit(2, err)
		}
		return
	}
	cfg, err := settings.Read(*settingsPath)
	if err != nil {
		exit(2, err)
	}
	if *checkOnly {
		fmt.Println("the settings are valid")
		return
	}
	cfg.Tune()
	ring := logring.New(cfg.Tuning.LogLevel, os.Stderr)
	dump := make(chan os.Signal, 1)
	signal.Notify(dump, syscall.SIGUSR1)
	go func() {
		for range dump {
			ring.Dump()
		}
	}()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := programs[name](ctx, cfg, *settingsPath, ring.Log); err != nil {
		ring.Log("error", "the program failed", "program", name, "error", err)
		os.Exit(1)
	}
}
