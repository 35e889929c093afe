// Package operatorcli carries out the operators' commands: it asks a controller over the JSON
// lines between nodes, and prints the answer.
package operatorcli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/peer"
	"switchshore.example/switchshore/internal/tuning"
)

// ErrRefused is a request that the controllers have refused.
var ErrRefused = errors.New("refused")

// Client sends requests to one controller, which forwards them to the leader.
type Client struct {
	// Node is the controller's peer address.
	Node string
	// JSON prints a line of JSON for each drain in the place of a table.
	JSON bool
	Out  io.Writer
}

// Apply sends the drain of a file.
func (c *Client) Apply(ctx context.Context, path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	spec, err := drain.Parse(data, time.Now())
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := c.do(ctx, drain.Request{Action: drain.Apply, Name: spec.Name, Spec: spec}); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// Do sends a request about one drain, or about all.
func (c *Client) Do(ctx context.Context, action drain.Action, name string) error {
	return c.do(ctx, drain.Request{Action: action, Name: name})
}

func (c *Client) do(ctx context.Context, q drain.Request) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.OperatorTimeout)
	defer cancel()
	answer, err := peer.Request(ctx, c.Node, peer.Call{Op: peer.OpDrain, Drain: &q})
	if err != nil {
		return err
	}
	if answer.Status/100 != http.StatusOK/100 {
		return fmt.Errorf("%w: %s (%d)", ErrRefused, answer.Reason, answer.Status)
	}
	if c.JSON {
		return c.printLines(answer.Drains)
	}
	return c.printTables(answer.Drains)
}

func (c *Client) printLines(drains []drain.Status) error {
	encoder := json.NewEncoder(c.Out)
	for i := range drains {
		if err := encoder.Encode(&drains[i]); err != nil {
			return err
		}
	}
	return nil
}

func (c *Client) printTables(drains []drain.Status) error {
	table := tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NAME\tSTATE\tLEFT\tDRAINED\tBATCHES\tEVICTED\tMOVED\tREPLACED\tBATCH\tREASON")
	for i := range drains {
		d := &drains[i]
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", d.Spec.Name, d.State, d.MachinesLeft, d.Counts.Machines,
			d.Counts.Batches, d.Counts.Evicted, d.Counts.Moved, d.Counts.Replacements, batchText(d.Batch), orDash(d.Reason))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for i := range drains {
		if err := c.printBudgets(drains[i].Teams); err != nil {
			return err
		}
	}
	return nil
}

// printBudgets prints what is used of each team's budget.
func (c *Client) printBudgets(teams []drain.TeamUse) error {
	if len(teams) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nTEAM\tUNAVAILABLE\tEVICTIONS\tLOST SECONDS")
	for _, t := range teams {
		fmt.Fprintf(table, "%s\t%d of %d\t%d of %d\t%.0f of %g\n", t.Team, t.Unavailable, t.Budget.MaxUnavailable,
			t.Used.Evictions, t.Budget.Evictions, t.Used.LostS, t.Budget.LostS)
	}
	return table.Flush()
}

// batchText names the machines of a batch.
func batchText(b *drain.Batch) string {
	if b == nil {
		return "-"
	}
	text := strings.Join(b.Machines, ",")
	if !b.Cordoned {
		text += " (not cordoned yet)"
	}
	return text
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
