// Command loadtest measures controllers under load. It runs clusters of three controllers each, as
// processes on loopback with a simulated cloud, key-value store and agents, at a limited rate and for a
// limited time, and writes the recorded histories and a report.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"
)

// commands are the subcommands, one for each load test.
type commands struct {
	Overload overloadCommand `cmd:"" help:"Admission control under overload, on and off; or what a fleet of many machines costs."`
	Drain    drainCommand    `cmd:"" help:"A zone drained with replacement while the leader is killed twice, and the same zone taken away at once."`
}

func main() {
	var c commands
	command := kong.Parse(&c, kong.Name("loadtest"), kong.Description("Measures controllers on loopback; bounded in rate and time."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	command.BindTo(ctx, (*context.Context)(nil))
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "loadtest:", err)
		os.Exit(1)
	}
}
