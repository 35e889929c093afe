// Package operatorcli implements the operators' commands. It sends a request to a controller, with the
// protocol that the controllers use among themselves (package peer), and prints the response.
package operatorcli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/peer"
	"switchshore.example/switchshore/internal/tuning"
)

// ErrRefused means that the controllers refused a request. The client's errors wrap it.
var ErrRefused = errors.New("refused")

// Client sends requests to one controller, which forwards them to the leader and returns its response.
type Client struct {
	// Addr is the controller's peer address.
	Addr string
	// JSON makes the client print a line of JSON for each drain instead of tables.
	JSON bool
	// Out receives the printed responses.
	Out io.Writer
}

// Apply requests the drain that a file describes. It sends nothing if the file is invalid.
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

// Do requests an action on the drain with the given name, or on all drains if the name is empty, and
// prints the response.
func (c *Client) Do(ctx context.Context, action drain.Action, name string) error {
	request := drain.Request{Action: action, Name: name}
	if action.ChangesDrain() {
		request.ID = newRequestID()
	}
	return c.send(ctx, request)
}

// newRequestID returns an ID that no other request has: a random number of 64 bits in hexadecimal.
func newRequestID() string {
	return fmt.Sprintf("%0*x", tuning.MaxDrainRequestIDBytes, rand.Uint64())
}

// send sends a request and prints the response.
func (c *Client) send(ctx context.Context, request drain.Request) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.OperatorTimeout)
	defer cancel()
	response, err := peer.SendCall(ctx, c.Addr, peer.Call{Op: peer.OpDrain, Drain: &request})
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

// printTables prints a table of the drains. For each drain whose status has team usages, it also prints
// a table of the teams' budgets.
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

// newTable returns a writer that aligns tab-separated columns. It prints them when it is flushed.
func (c *Client) newTable() *tabwriter.Writer {
	return tabwriter.NewWriter(c.Out, 0, 0, columnPadding, ' ', 0)
}

// emptyCell is printed in table cells without a value.
const emptyCell = "-"

// batchText returns the names of the machines of a batch, and whether they are not cordoned yet.
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

// orDash returns the text, or a dash if it is empty.
func orDash(text string) string {
	if text == "" {
		return emptyCell
	}
	return text
}
