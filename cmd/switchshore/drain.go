package main

import (
	"os"

	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/operatorcli"
)

// drainCommand is the group of commands about drains of machines.
type drainCommand struct {
	Node string `help:"Peer address (peer_bind) of any controller." placeholder:"IP:PORT" env:"SWITCHSHORE_NODE" required:""`
	JSON bool   `help:"Print a line of JSON for each drain."`

	Apply  applyCommand  `cmd:"" help:"Ask for the drain of a file. Repeating it changes nothing."`
	List   listCommand   `cmd:"" help:"List all drains."`
	Show   showCommand   `cmd:"" help:"Show one drain and the teams' budgets."`
	Pause  pauseCommand  `cmd:"" help:"Let a drain stand still; the next one goes on."`
	Resume resumeCommand `cmd:"" help:"Let a paused drain go on when it is its turn."`
	Cancel cancelCommand `cmd:"" help:"End a drain: what it has cordoned or closed is used again."`
}

type (
	applyCommand struct {
		File string `arg:"" help:"The drain (XML)."`
	}
	listCommand struct{}
	named       struct {
		Name string `arg:"" help:"The drain's name."`
	}
	showCommand   struct{ named }
	pauseCommand  struct{ named }
	resumeCommand struct{ named }
	cancelCommand struct{ named }
)

// client asks the controller that the flags name.
func (d *drainCommand) client() *operatorcli.Client {
	return &operatorcli.Client{Node: d.Node, JSON: d.JSON, Out: os.Stdout}
}

// do carries one request out, until it is interrupted.
func (d *drainCommand) do(action drain.Action, name string) error {
	ctx, stop := untilSignal()
	defer stop()
	return d.client().Do(ctx, action, name)
}

// Run applies the drain of the file.
func (c *applyCommand) Run(o *options) error {
	ctx, stop := untilSignal()
	defer stop()
	return o.Drain.client().Apply(ctx, c.File)
}

// Run lists all drains.
func (c *listCommand) Run(o *options) error { return o.Drain.do(drain.List, "") }

// Run shows the drain.
func (c *showCommand) Run(o *options) error { return o.Drain.do(drain.Show, c.Name) }

// Run pauses the drain.
func (c *pauseCommand) Run(o *options) error { return o.Drain.do(drain.Pause, c.Name) }

// Run resumes the drain.
func (c *resumeCommand) Run(o *options) error { return o.Drain.do(drain.Resume, c.Name) }

// Run cancels the drain.
func (c *cancelCommand) Run(o *options) error { return o.Drain.do(drain.Cancel, c.Name) }
