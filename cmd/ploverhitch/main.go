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
	"ploverhitch/internal/control"
	"ploverhitch/internal/dispatcher"
	"ploverhitch/internal/inspect"
	"ploverhitch/internal/logring"
	"ploverhitch/internal/objects"
	"ploverhitch/internal/proxy"
	"ploverhitch/internal/settings"
)

// version is set by the linker for a release.
var version = "development"

type program func(ctx context.Context, set *settings.Settings, path string, note func(level, text string, pairs ...any)) error

var programs = map[string]program{
	"proxy":   proxy.Run,
	"control": control.Run,
	"agent": func(ctx context.Context, set *settings.Settings, path string, note func(level, text string, pairs ...any)) error {
		// The proxy beside it goes on serving for a part of its grace.
		linger, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			<-ctx.Done()
			time.Sleep(set.Platform.Bounds.Grace.Std() / 2)
			cancel()
		}()
		return agent.Run(linger, set, path, note)
	},
}

// fail ends the program with one line.
func fail(status int, err error) {
	fmt.Fprintln(os.Stderr, "ploverhitch:", strings.ReplaceAll(err.Error(), "\n", " "))
	os.Exit(status)
}

func main() {
	app := kingpin.New("ploverhitch", "An API gateway whose nodes keep keyed operations to one run.")
	app.Version(version)
	app.HelpFlag.Short('h')
	path := app.Flag("settings", "Path of the settings file.").Envar(settings.PathVariable).String()
	isCheck := app.Flag("check-settings", "Read and check the settings, and end.").Bool()
	app.Command("proxy", "The proxy: takes clients' requests. Example: ploverhitch proxy --settings local.yaml")
	app.Command("agent", "The agent beside a proxy. Example: ploverhitch agent --settings local.yaml")
	app.Command("control", "A node of the core. Example: ploverhitch control --settings local.yaml")
	inspect := inspect.Register(app, os.Stdout, os.Stderr)
	apply := objects.Register(app, os.Stdout)
	trials := dispatcher.Register(app, os.Stdout)
	name := kingpin.MustParse(app.Parse(os.Args[1:]))
	switch {
	case strings.HasPrefix(name, "inspector"):
		os.Exit(inspect.Run(name))
	case strings.HasPrefix(name, "rollout"), strings.HasPrefix(name, "staged"):
		status, err := trials.Run(name)
		if err != nil {
			fail(status, err)
		}
		os.Exit(status)
	case name == "apply":
		if err := apply.Run(); err != nil {
			fail(2, err)
		}
		return
	}
	set, err := settings.Read(*path)
	if err != nil {
		fail(2, err)
	}
	if *isCheck {
		fmt.Println("the settings are in order")
		return
	}
	set.Tune()
	ring := logring.New(set.Tuning.LogLevel, os.Stderr)
	dump := make(chan os.Signal, 1)
	signal.Notify(dump, syscall.SIGUSR1)
	go func() {
		for range dump {
			ring.Dump()
		}
	}()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := programs[name](ctx, set, *path, ring.Log); err != nil {
		ring.Log("error", "the program ended", "program", name, "error", err)
		os.Exit(1)
	}
}
