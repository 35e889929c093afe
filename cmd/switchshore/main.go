// Command switchshore runs a controller of the switchshore cluster scheduler. Its drain subcommands send
// operators' requests to a controller.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// version is set by release builds with -ldflags "-X main.version=...".
var version = "0.1.0"

// exitFailure is the exit code of a failed command. Kong sets the exit code of usage errors.
const exitFailure = 1

// options are the commands and global flags.
type options struct {
	Serve   serveCommand     `cmd:"" default:"withargs" help:"Run a controller (the default)."`
	Drain   drainCommand     `cmd:"" help:"Drain machines batch by batch, within the teams' disruption budgets."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

// streams are the output streams of a command.
type streams struct {
	stdout, stderr io.Writer
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// exitPanic is the exit code that kong's exit function passes to run in a panic: kong calls the function
// after --help or a usage error, for instance, and it must not return.
type exitPanic int

// run executes the command in the arguments and returns the exit code.
func run(args []string, stdout, stderr io.Writer) (code int) {
	defer func() {
		switch panicValue := recover().(type) {
		case nil:
		case exitPanic:
			code = int(panicValue)
		default:
			panic(panicValue)
		}
	}()
	var opts options
	parser := kong.Must(&opts,
		kong.Name("switchshore"),
		kong.Description("A controller of the switchshore cluster scheduler: runs until it is killed, logs to standard error (LOG_LEVEL: error, info, debug)."),
		kong.Vars{"version": "switchshore " + version},
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { panic(exitPanic(code)) }),
	)
	command, err := parser.Parse(args)
	parser.FatalIfErrorf(err)
	if err := command.Run(&opts, &streams{stdout: stdout, stderr: stderr}); err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(stderr, "switchshore:", err)
		return exitFailure
	}
	return 0
}

// signalContext returns a context that is cancelled on SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
