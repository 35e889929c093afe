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

// writeDrain writes the specification of a drain of a zone to a file and returns its path.
func writeDrain(t *testing.T, zone string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "drain.xml")
	if err := os.WriteFile(path, fmt.Appendf(nil, drainFile, zone), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// drainState returns a drain's state from a node, or "" if it has none to report.
func drainState(node string) drain.State {
	var out bytes.Buffer
	client := &operatorcli.Client{Addr: node, JSON: true, Out: &out}
	var status drain.Status
	if client.Do(context.Background(), drain.Show, "maintenance") != nil || json.Unmarshal(out.Bytes(), &status) != nil {
		return ""
	}
	return status.State
}

// TestDrainCommands checks that an operator's commands reach the leader through any node, also
// after one of the nodes has stopped, and that invalid commands get an error of one line.
func TestDrainCommands(t *testing.T) {
	ctx := context.Background()
	operator := &config.OperatorSettings{Drains: &drain.Budgets{Window: time.Minute}}
	c := startClusterWith(t, 3, operator, func(*config.Params) {})
	c.await(c.addrs[0], "POST", wire.PathJobs, fmt.Sprintf(submission, "job-000001"), 201, "")
	c.await(c.addrs[0], "GET", wire.PathJobs+"/job-000001", "", 200, wire.JobDone)
	var out bytes.Buffer
	client := &operatorcli.Client{Addr: c.peerAddrs[1], Out: &out}
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
	<-c.stopped[0]
	deadline := time.Now().Add(2 * time.Minute)
	for drainState(c.peerAddrs[2]) != drain.Done {
		if time.Now().After(deadline) {
			t.Fatalf("the drain is %q", drainState(c.peerAddrs[2]))
		}
		time.Sleep(200 * time.Millisecond)
	}
	client.Addr = c.peerAddrs[2]
	if err := client.Do(ctx, drain.Pause, "maintenance"); !errors.Is(err, operatorcli.ErrRefused) {
		t.Errorf("pausing a drain that is done: %v", err)
	}
	if err := client.Do(ctx, drain.Cancel, "maintenance"); err != nil || drainState(c.peerAddrs[1]) != drain.Cancelled {
		t.Errorf("cancelling a drain that is done: %v, state %s", err, drainState(c.peerAddrs[1]))
	}
}
