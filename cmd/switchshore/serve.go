package main

import (
	"fmt"
	"math"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/node"
	"switchshore.example/switchshore/internal/tuning"
)

// serveCommand runs a controller until SIGINT or SIGTERM.
type serveCommand struct {
	Config   string `help:"Settings file of the platform (TOML)." placeholder:"PATH" required:""`
	Operator string `help:"The operators' own settings (XML)." placeholder:"PATH" env:"SWITCHSHORE_OPERATOR"`
	Check    bool   `help:"Check the settings and exit."`
}

// Run loads the settings and runs a controller. With --check it only loads the settings.
func (c *serveCommand) Run(out *streams) error {
	level, err := logLevel(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return err
	}
	settings, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	operator, err := config.LoadOperatorSettings(c.Operator, &settings.Params)
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Fprintln(out.stdout, "settings are valid")
		return nil
	}
	limitRuntime(settings.Params.Limits)
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(out.stderr).Level(level).With().Timestamp().Logger()
	ctx, stop := signalContext()
	defer stop()
	return node.New(log, settings, operator).Run(ctx)
}

// limitRuntime limits the Go runtime to the CPUs and the memory of the process.
func limitRuntime(limits config.ProcessLimits) {
	if share := limits.CPUShare; share > 0 {
		// More running threads than the share has processors would only add context switches.
		runtime.GOMAXPROCS(int(math.Ceil(share)))
	}
	debug.SetGCPercent(tuning.GCPercent)
	if mb := limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb * tuning.MemoryShare * (1 << 20)))
	}
}

// logLevel returns the level with a name, info if the name is empty.
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
