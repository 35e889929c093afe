// Command switchshore is a controller of the switchshore cluster scheduler.
package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/node"
	"switchshore.example/switchshore/internal/tuning"
)

// version is set by release builds with -ldflags "-X main.version=...".
var version = "0.1.0"

type options struct {
	Serve   serveCommand     `cmd:"" default:"withargs" help:"Run a controller (the default)."`
	Drain   drainCommand     `cmd:"" help:"Drain machines batch by batch, within the teams' disruption budgets."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

// serveCommand runs a controller until it is killed.
type serveCommand struct {
	Config   string `help:"Settings file of the platform (TOML)." placeholder:"PATH" required:""`
	Operator string `help:"The operators' own settings (XML)." placeholder:"PATH" env:"SWITCHSHORE_OPERATOR"`
	Check    bool   `help:"Check the settings and exit."`
}

func main() {
	var opts options
	command := kong.Parse(&opts,
		kong.Name("switchshore"),
		kong.Description("A controller of the switchshore cluster scheduler: runs until it is killed, logs to standard error (LOG_LEVEL: error, info, debug)."),
		kong.Vars{"version": "switchshore " + version},
	)
	if err := command.Run(&opts); err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, "switchshore:", err)
		os.Exit(1)
	}
}

// Run serves.
func (opts *serveCommand) Run() error {
	level, err := logLevel(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return err
	}
	settings, err := config.Load(opts.Config)
	if err != nil {
		return err
	}
	operator, err := config.LoadOperator(opts.Operator, &settings.Params)
	if err != nil {
		return err
	}
	if opts.Check {
		fmt.Println("settings are valid")
		return nil
	}
	if share := settings.Params.Limits.CPUShare; share > 0 {
		// More threads than the share has processors only take turns.
		runtime.GOMAXPROCS(int(math.Ceil(share)))
	}
	debug.SetGCPercent(tuning.GCPercent)
	if mb := settings.Params.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb * tuning.MemoryShare * (1 << 20)))
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	ctx, stop := untilSignal()
	defer stop()
	return node.New(log, settings, operator).Run(ctx)
}

// untilSignal is a context that ends when the process is asked to end.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

func logLevel(name string) (zerolog.Level, error) {
	switch name {
	case "", "info":
		return zerolog.InfoLevel, nil
	case "error":
		return zerolog.ErrorLevel, nil
	case "debug":
		return zerolog.DebugLevel, nil
	}
	return zerolog.NoLevel, fmt.Errorf("LOG_LEVEL: %q is not one of error, info, debug", name)
}
