// Package operatorcli implements the operators' commands: it sends a request to a controller over
// the JSON-lines protocol between controllers, and prints the response.
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

// ErrRefused is matched by the errors of requests that the controllers refused.
var ErrRefused = errors.New("refused")

// Client sends requests to one controller, which forwards them to the leader.
type Client struct {
	// Addr is the controller's peer address.
	Addr string
	// JSON selects one line of JSON for each drain as output, instead of tables.
	JSON bool
	// Out receives the printed responses.
	Out io.Writer
}

// Apply requests the drain that a file describes. It validates the file before it connects.
func (c *Client) Apply(ctx context.Context, path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	spec, err := drain.Parse(data, time.Now())
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := c.send(ctx, drain.Request{Action: drain.Apply, Name: spec.Name, Spec: spec}); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// Do sends a request about one drain, or about all drains if the name is empty.
func (c *Client) Do(ctx context.Context, action drain.Action, name string) error {
	return c.send(ctx, drain.Request{Action: action, Name: name})
}

// send sends a request and prints the response.
func (c *Client) send(ctx context.Context, request drain.Request) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.OperatorTimeout)
	defer cancel()
	response, err := peer.Request(ctx, c.Addr, peer.Call{Op: peer.OpDrain, Drain: &request})
	if err != nil {
		return err
	}
	if response.Status/100 != http.StatusOK/100 {
		return fmt.Errorf("%w: %s (%d)", ErrRefused, response.Reason, response.Status)
	}
	if c.JSON {
		return c.printJSONLines(response.Drains)
	}
	return c.printTables(response.Drains)
}

// printJSONLines prints a line of JSON for each drain.
func (c *Client) printJSONLines(drains []drain.Status) error {
	encoder := json.NewEncoder(c.Out)
	for i := range drains {
		if err := encoder.Encode(&drains[i]); err != nil {
			return err
		}
	}
	return nil
}

// printTables prints a table of the drains, and for each drain with team usages a table of these.
func (c *Client) printTables(drains []drain.Status) error {
	table := c.newTable()
	fmt.Fprintln(table, "NAME\tSTATE\tLEFT\tDRAINED\tBATCHES\tEVICTED\tMOVED\tREPLACED\tBATCH\tREASON")
	for i := range drains {
		d := &drains[i]
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n",
			d.Spec.Name, d.State, d.MachinesLeft, d.Counts.Machines, d.Counts.Batches, d.Counts.Evicted,
			d.Counts.Moved, d.Counts.Replacements, batchText(d.Batch), orDash(d.Reason))
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

// printBudgets prints each team's budget and how much of it is used.
func (c *Client) printBudgets(teams []drain.TeamUsage) error {
	if len(teams) == 0 {
		return nil
	}
	table := c.newTable()
	fmt.Fprintln(table, "\nTEAM\tUNAVAILABLE\tEVICTIONS\tLOST SECONDS")
	for _, team := range teams {
		fmt.Fprintf(table, "%s\t%d of %d\t%d of %d\t%.0f of %g\n",
			team.Team, team.Unavailable, team.Budget.MaxUnavailable,
			team.Usage.Evictions, team.Budget.MaxEvictions, team.Usage.LostRunTimeS, team.Budget.MaxLostRunTimeS)
	}
	return table.Flush()
}

// columnPadding is the number of spaces between two columns of a table.
const columnPadding = 2

// newTable returns a writer that aligns tab-separated columns when it is flushed.
func (c *Client) newTable() *tabwriter.Writer {
	return tabwriter.NewWriter(c.Out, 0, 0, columnPadding, ' ', 0)
}

// emptyCell is printed in table cells without a value.
const emptyCell = "-"

// batchText returns the names of the machines of a batch.
func batchText(batch *drain.Batch) string {
	if batch == nil {
		return emptyCell
	}
	text := strings.Join(batch.Machines, ",")
	if !batch.Cordoned {
		text += " (not cordoned yet)"
	}
	return text
}

func orDash(text string) string {
	if text == "" {
		return emptyCell
	}
	return text
}
