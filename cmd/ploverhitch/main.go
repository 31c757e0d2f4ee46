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

	"ploverhitch/internal/inspector"
	"ploverhitch/internal/points"
	"ploverhitch/internal/roundhouse"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/signalbox"
	"ploverhitch/internal/telegraph"
)

// version is set by the linker for a release.
var version = "development"

type program func(ctx context.Context, set *settings.Settings, path string, note func(level, text string, pairs ...any)) error

var programs = map[string]program{
	"points":    points.Run,
	"signalbox": signalbox.Run,
	"telegraph": func(ctx context.Context, set *settings.Settings, path string, note func(level, text string, pairs ...any)) error {
		// The proxy beside it goes on serving for a part of its grace.
		linger, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			<-ctx.Done()
			time.Sleep(set.Platform.Bounds.Grace.Std() / 2)
			cancel()
		}()
		return telegraph.Run(linger, set, path, note)
	},
}

func main() {
	app := kingpin.New("ploverhitch", "An API gateway whose nodes keep keyed operations to one run.")
	app.Version(version)
	app.HelpFlag.Short('h')
	path := app.Flag("settings", "Path of the settings file.").Envar(settings.PathVariable).String()
	isCheck := app.Flag("check-settings", "Read and check the settings, and end.").Bool()
	app.Command("points", "The proxy: takes clients' inquiries. Example: ploverhitch points --settings local.yaml")
	app.Command("telegraph", "The agent beside a proxy. Example: ploverhitch telegraph --settings local.yaml")
	app.Command("signalbox", "A node of the core. Example: ploverhitch signalbox --settings local.yaml")
	inspect := inspector.Register(app, os.Stdout, os.Stderr)
	name := kingpin.MustParse(app.Parse(os.Args[1:]))
	if strings.HasPrefix(name, "inspector") {
		os.Exit(inspect.Run(name))
	}
	set, err := settings.Read(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "ploverhitch:", err)
		os.Exit(2)
	}
	if *isCheck {
		fmt.Println("the settings are in order")
		return
	}
	set.Tune()
	ring := roundhouse.New(set.Tuning.LogLevel, os.Stderr)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := programs[name](ctx, set, *path, ring.Note); err != nil {
		ring.Note("error", "the program ended", "program", name, "error", err)
		os.Exit(1)
	}
}
