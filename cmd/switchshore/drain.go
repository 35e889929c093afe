package main

import (
	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/operatorcli"
)

// drainCommand has the flags and subcommands of the drain command.
type drainCommand struct {
	Node string `help:"Peer address (peer_bind) of any controller." placeholder:"IP:PORT" env:"SWITCHSHORE_NODE" required:""`
	JSON bool   `help:"Print a line of JSON for each drain."`

	Apply  applyCommand  `cmd:"" help:"Request the drain that a file describes. Repeating the request changes nothing."`
	List   listCommand   `cmd:"" help:"List all drains."`
	Show   showCommand   `cmd:"" help:"Show one drain and the teams' budgets."`
	Pause  pauseCommand  `cmd:"" help:"Pause a drain; the next one goes on."`
	Resume resumeCommand `cmd:"" help:"Resume a paused drain when it is its turn."`
	Cancel cancelCommand `cmd:"" help:"Cancel a drain: its machines are used again, and provisioning that it blocked is allowed again."`
}

type (
	applyCommand struct {
		File string `arg:"" help:"The drain (XML)."`
	}
	listCommand struct{}
	// drainName is the argument of the commands about one drain.
	drainName struct {
		Name string `arg:"" help:"The drain's name."`
	}
	showCommand   struct{ drainName }
	pauseCommand  struct{ drainName }
	resumeCommand struct{ drainName }
	cancelCommand struct{ drainName }
)

// client returns a client of the controller whose address is in the --node flag.
func (d *drainCommand) client(out *streams) *operatorcli.Client {
	return &operatorcli.Client{Addr: d.Node, JSON: d.JSON, Out: out.stdout}
}

// send sends one request and prints the response. SIGINT and SIGTERM cancel the request.
func (d *drainCommand) send(out *streams, action drain.Action, name string) error {
	ctx, stop := signalContext()
	defer stop()
	return d.client(out).Do(ctx, action, name)
}

// Run requests the drain that the file describes.
func (c *applyCommand) Run(o *options, out *streams) error {
	ctx, stop := signalContext()
	defer stop()
	return o.Drain.client(out).Apply(ctx, c.File)
}

// Run lists all drains.
func (c *listCommand) Run(o *options, out *streams) error {
	return o.Drain.send(out, drain.List, "")
}

// Run shows the drain.
func (c *showCommand) Run(o *options, out *streams) error {
	return o.Drain.send(out, drain.Show, c.Name)
}

// Run pauses the drain.
func (c *pauseCommand) Run(o *options, out *streams) error {
	return o.Drain.send(out, drain.Pause, c.Name)
}

// Run resumes the drain.
func (c *resumeCommand) Run(o *options, out *streams) error {
	return o.Drain.send(out, drain.Resume, c.Name)
}

// Run cancels the drain.
func (c *cancelCommand) Run(o *options, out *streams) error {
	return o.Drain.send(out, drain.Cancel, c.Name)
}
