package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/operatorcli"
	"switchshore.example/switchshore/wire"
)

const drainFile = `<drain name="maintenance"><selector><zone>%s</zone></selector><batchSize>2</batchSize></drain>`

// writeDrain writes a drain of a zone into a file.
func writeDrain(t *testing.T, zone string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "drain.xml")
	if err := os.WriteFile(path, fmt.Appendf(nil, drainFile, zone), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// showState asks a node for a drain's state, "" if it can't tell.
func showState(node string) drain.State {
	var out bytes.Buffer
	client := &operatorcli.Client{Addr: node, JSON: true, Out: &out}
	var status drain.Status
	if client.Do(context.Background(), drain.Show, "maintenance") != nil || json.Unmarshal(out.Bytes(), &status) != nil {
		return ""
	}
	return status.State
}

// TestDrainCommands: an operator's commands reach the leader through any node, also after another
// one has ended; what is wrong is refused in one line.
func TestDrainCommands(t *testing.T) {
	ctx := context.Background()
	operator := &config.Operator{Drains: &drain.Budgets{Window: time.Minute}}
	c := startWith(t, 3, operator, func(*config.Params) {})
	c.until(c.addrs[0], "POST", wire.PathJobs, fmt.Sprintf(submission, "job-000001"), 201, "")
	c.until(c.addrs[0], "GET", wire.PathJobs+"/job-000001", "", 200, wire.JobDone)
	var out bytes.Buffer
	client := &operatorcli.Client{Addr: c.peers[1], Out: &out}
	for range 2 {
		if err := client.Apply(ctx, writeDrain(t, "a")); err != nil {
			t.Fatal(err)
		}
	}
	if !strings.Contains(out.String(), "maintenance") || !strings.Contains(out.String(), "TEAM") {
		t.Errorf("printed %q", out.String())
	}
	for name, err := range map[string]error{
		"an unknown zone":  client.Apply(ctx, writeDrain(t, "z")),
		"an unknown drain": client.Do(ctx, drain.Show, "other"),
	} {
		if !errors.Is(err, operatorcli.ErrRefused) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
	c.stop[0]()
	<-c.ended[0]
	end := time.Now().Add(2 * time.Minute)
	for showState(c.peers[2]) != drain.Done {
		if time.Now().After(end) {
			t.Fatalf("the drain is %q", showState(c.peers[2]))
		}
		time.Sleep(200 * time.Millisecond)
	}
	client.Addr = c.peers[2]
	if err := client.Do(ctx, drain.Pause, "maintenance"); !errors.Is(err, operatorcli.ErrRefused) {
		t.Errorf("a drain that is done was paused: %v", err)
	}
	if err := client.Do(ctx, drain.Cancel, "maintenance"); err != nil || showState(c.peers[1]) != drain.Cancelled {
		t.Errorf("%v, %s", err, showState(c.peers[1]))
	}
}
