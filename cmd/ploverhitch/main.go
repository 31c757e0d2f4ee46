// Command ploverhitch is an API gateway: one binary whose subcommands are its
// programs.
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
	"ploverhitch/internal/inspector"
	"ploverhitch/internal/logring"
	"ploverhitch/internal/proxy"
	"ploverhitch/internal/rolloutcmd"
	"ploverhitch/internal/settings"
)

// version is set by the linker for a release.
var version = "development"

type runFunc func(ctx context.Context, cfg *settings.Settings, path string, note func(level, text string, pairs ...any)) error

var programs = map[string]runFunc{
	"proxy":   proxy.Run,
	"control": control.Run,
	"agent": func(ctx context.Context, cfg *settings.Settings, path string, note func(level, text string, pairs ...any)) error {
		// The proxy beside it goes on serving for a part of its grace.
		linger, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			<-ctx.Done()
			time.Sleep(cfg.Platform.Bounds.Grace.Std() / 2)
			cancel()
		}()
		return agent.Run(linger, cfg, path, note)
	},
}

// fail ends the program with one line.
func exit(status int, err error) {
	fmt.Fprintln(os.Stderr, "ploverhitch:", strings.ReplaceAll(err.Error(), "\n", " "))
	os.Exit(status)
}

func main() {
	app := kingpin.New("ploverhitch", "An API gateway whose nodes keep keyed operations to one run.")
	app.Version(version)
	app.HelpFlag.Short('h')
	settingsPath := app.Flag("settings", "Path of the settings file.").Envar(settings.PathVariable).String()
	checkOnly := app.Flag("check-settings", "Read and check the settings, and end.").Bool()
	app.Command("proxy", "The proxy: takes clients' requests. Example: ploverhitch proxy --settings local.yaml")
	app.Command("agent", "The agent beside a proxy. Example: ploverhitch agent --settings local.yaml")
	app.Command("control", "A node of the core. Example: ploverhitch control --settings local.yaml")
	inspectorCommand := inspector.Register(app, os.Stdout, os.Stderr)
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
		fmt.Println("the settings are in order")
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
		ring.Log("error", "the program ended", "program", name, "error", err)
		os.Exit(1)
	}
}
