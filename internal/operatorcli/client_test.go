package operatorcli_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/operatorcli"
	"switchshore.example/switchshore/internal/peer"
	"switchshore.example/switchshore/internal/peer/peertest"
	"switchshore.example/switchshore/internal/tuning"
)

// drainStatuses returns the status of a running drain, whose batch is cordoned, and of a pending drain.
func drainStatuses() []drain.Status {
	return []drain.Status{
		{
			Spec:         drain.Spec{Name: "zone-a", BatchSize: 2, Selector: drain.Selector{Zone: "a"}},
			State:        drain.Running,
			Reason:       "waits for tasks to end",
			Batch:        &drain.Batch{Machines: []string{"i-1", "i-2"}, Cordoned: true, WaitingSinceMS: 7},
			Counts:       drain.Counts{Batches: 3, Machines: 6, Evicted: 5, Moved: 4, Replacements: 1},
			MachinesLeft: 12,
			Teams: []drain.TeamUsage{{
				Team: "blue", Unavailable: 1, Usage: drain.Usage{Evictions: 2, LostRunTimeS: 33.4},
				Budget: drain.Budget{MaxUnavailable: 10, MaxEvictions: 100, MaxLostRunTimeS: 1200},
			}},
		},
		{
			Spec:  drain.Spec{Name: "old-type", BatchSize: 1, Selector: drain.Selector{Type: "g8"}},
			State: drain.Pending,
			Batch: &drain.Batch{Machines: []string{"i-9"}},
		},
	}
}

// respondAlways returns a handler that gives the same response to every call.
func respondAlways(status int, reason string, drains []drain.Status) func(peer.Call) *peer.Response {
	return func(peer.Call) *peer.Response {
		return &peer.Response{Status: status, Reason: reason, Drains: drains}
	}
}

// TestOutput checks the exact tables and JSON lines, which operators' programs parse.
func TestOutput(t *testing.T) {
	const tables = `NAME      STATE    LEFT  DRAINED  BATCHES  EVICTED  MOVED  REPLACED  BATCH                   REASON
zone-a    running  12    6        3        5        4      1         i-1,i-2                 waits for tasks to end
old-type  pending  0     0        0        0        0      0         i-9 (not cordoned yet)  -

TEAM  UNAVAILABLE  EVICTIONS  LOST SECONDS
blue  1 of 10      2 of 100   33 of 1200
`
	const jsonLines = `{"spec":{"name":"zone-a","selector":{"zone":"a"},"batchSize":2},"state":"running","reason":"waits for tasks to end",` +
		`"batch":{"machines":["i-1","i-2"],"cordoned":true,"since":7},"counts":{"batches":3,"machines":6,"evicted":5,"moved":4,"replacements":1},"machinesLeft":12,` +
		`"teams":[{"team":"blue","unavailable":1,"used":{"evictions":2,"lostS":33.4},"budget":{"maxUnavailable":10,"evictions":100,"lostS":1200}}]}` + "\n" +
		`{"spec":{"name":"old-type","selector":{"type":"g8"},"batchSize":1},"state":"pending","batch":{"machines":["i-9"],"since":0},"counts":{},"machinesLeft":0}` + "\n"
	const emptyTable = "NAME  STATE  LEFT  DRAINED  BATCHES  EVICTED  MOVED  REPLACED  BATCH  REASON\n"
	for _, c := range []struct {
		name   string
		json   bool
		drains []drain.Status
		want   string
	}{
		{"table", false, drainStatuses(), tables},
		{"JSON", true, drainStatuses(), jsonLines},
		{"empty table", false, nil, emptyTable},
		{"empty JSON", true, nil, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := peertest.Start(t, respondAlways(http.StatusOK, "", c.drains))
			var out bytes.Buffer
			client := operatorcli.Client{Addr: server.Addr, JSON: c.json, Out: &out}
			if err := client.Do(context.Background(), drain.List, ""); err != nil {
				t.Fatal(err)
			}
			if out.String() != c.want {
				t.Errorf("got\n%swant\n%s", out.String(), c.want)
			}
		})
	}
}

// TestRequests checks that each action sends one call, with the action and the name of the drain, and with
// an ID of its own if it changes the drain.
func TestRequests(t *testing.T) {
	ids := map[string]bool{}
	for _, c := range []struct {
		action drain.Action
		name   string
	}{
		{drain.List, ""}, {drain.Show, "zone-a"}, {drain.Pause, "zone-a"}, {drain.Resume, "zone-a"}, {drain.Cancel, "zone-a"},
	} {
		t.Run(string(c.action), func(t *testing.T) {
			server := peertest.Start(t, respondAlways(http.StatusOK, "", nil))
			client := operatorcli.Client{Addr: server.Addr, Out: &bytes.Buffer{}}
			if err := client.Do(context.Background(), c.action, c.name); err != nil {
				t.Fatal(err)
			}
			calls := server.Calls()
			if len(calls) != 1 || calls[0].Op != peer.OpDrain || calls[0].Drain == nil {
				t.Fatalf("got the calls %+v, want one drain call", calls)
			}
			got := *calls[0].Drain
			if changes := c.action.ChangesDrain(); ids[got.ID] && changes || (len(got.ID) == tuning.MaxDrainRequestIDBytes) != changes {
				t.Errorf("got the ID %q, want a new one if the action changes the drain, and otherwise none", got.ID)
			}
			ids[got.ID] = true
			got.ID = ""
			if got != (drain.Request{Action: c.action, Name: c.name}) {
				t.Errorf("got %+v, want only the action, the name and an ID", got)
			}
		})
	}
}

// writeFile writes a drain file and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "drain.xml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const zoneDrain = `<drain name="zone-a"><selector><zone>a</zone></selector><replace>yes</replace><batchSize>2</batchSize></drain>`

// TestApplySendsSpec checks that Apply sends the drain that the file describes, and prints the response.
func TestApplySendsSpec(t *testing.T) {
	server := peertest.Start(t, respondAlways(http.StatusCreated, "", drainStatuses()[:1]))
	var out bytes.Buffer
	client := operatorcli.Client{Addr: server.Addr, Out: &out}
	if err := client.Apply(context.Background(), writeFile(t, zoneDrain)); err != nil {
		t.Fatal(err)
	}
	calls := server.Calls()
	if len(calls) != 1 || calls[0].Drain == nil || calls[0].Drain.Spec == nil {
		t.Fatalf("got the calls %+v, want one with a specification", calls)
	}
	want := drain.Spec{Name: "zone-a", Selector: drain.Selector{Zone: "a"}, Replace: true, BatchSize: 2}
	if got := calls[0].Drain; got.Action != drain.Apply || got.Name != "zone-a" || !got.Spec.Equal(&want) {
		t.Errorf("got %+v, want to apply the drain of the file", got)
	}
	if !strings.Contains(out.String(), "zone-a") {
		t.Errorf("printed %q, want the drain zone-a", out.String())
	}
}

// TestApplyRejectsInvalidFiles checks that Apply sends no call for an invalid file, and that its error
// names the file and the invalid field.
func TestApplyRejectsInvalidFiles(t *testing.T) {
	server := peertest.Start(t, respondAlways(http.StatusOK, "", nil))
	client := operatorcli.Client{Addr: server.Addr, Out: &bytes.Buffer{}}
	for text, field := range map[string]string{
		`<drain name="zone-a"><selector/><batchSize>2</batchSize></drain>`:                                    "selector",
		`<drain name="zone-a"><selector><zone>a</zone></selector><batchSize>two</batchSize></drain>`:          "batchSize",
		`<drain name="zone-a"><selektor/></drain>`:                                                            "drain/selektor",
		`<drain name="Zone A"><selector><zone>a</zone></selector><batchSize>2</batchSize></drain>`:            "name",
		`<drain name="a"><selector><zone>a</zone></selector><batchSize>2</batchSize><force>1</force></drain>`: "force",
	} {
		path := writeFile(t, text)
		err := client.Apply(context.Background(), path)
		var invalid *drain.FieldError
		if !errors.As(err, &invalid) || invalid.Field != field || !strings.HasPrefix(err.Error(), path+": ") {
			t.Errorf("field %s: got error %v, want a FieldError for it after the path of the file", field, err)
		}
	}
	if err := client.Apply(context.Background(), writeFile(t, "no XML")); err == nil {
		t.Error("Apply accepted a file without a drain")
	}
	missing := filepath.Join(t.TempDir(), "missing.xml")
	if err := client.Apply(context.Background(), missing); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing file: error %v, want os.ErrNotExist", err)
	}
	if calls := server.Calls(); len(calls) != 0 {
		t.Errorf("sent %+v, want no calls", calls)
	}
}

// TestRefusal checks that the error of a refused request has the reason and the status of the response,
// and that nothing is printed.
func TestRefusal(t *testing.T) {
	server := peertest.Start(t, respondAlways(http.StatusNotFound, "no such drain", nil))
	var out bytes.Buffer
	client := operatorcli.Client{Addr: server.Addr, Out: &out}
	err := client.Do(context.Background(), drain.Show, "zone-a")
	if !errors.Is(err, operatorcli.ErrRefused) || err.Error() != "refused: no such drain (404)" {
		t.Errorf("error %v, want ErrRefused with reason and status", err)
	}
	path := writeFile(t, zoneDrain)
	err = client.Apply(context.Background(), path)
	if !errors.Is(err, operatorcli.ErrRefused) || err.Error() != path+": refused: no such drain (404)" {
		t.Errorf("error %v, want ErrRefused with path, reason and status", err)
	}
	if out.Len() > 0 {
		t.Errorf("printed %q, want nothing", out.String())
	}
}

// TestNoResponse checks that the error is not ErrRefused if the controller is unreachable or closes the
// connection without a response.
func TestNoResponse(t *testing.T) {
	closingServer := peertest.Start(t, func(peer.Call) *peer.Response { return nil })
	client := operatorcli.Client{Addr: closingServer.Addr, Out: &bytes.Buffer{}}
	err := client.Do(context.Background(), drain.List, "")
	if !errors.Is(err, net.ErrClosed) || errors.Is(err, operatorcli.ErrRefused) || !strings.Contains(err.Error(), closingServer.Addr) {
		t.Errorf("closed connection: error %v, want net.ErrClosed with the address", err)
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client.Addr = listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	var networkError *net.OpError
	if err := client.Do(context.Background(), drain.List, ""); !errors.As(err, &networkError) || errors.Is(err, operatorcli.ErrRefused) {
		t.Errorf("unreachable controller: error %v, want a net.OpError", err)
	}
}

// TestCancellation checks that a request with a cancelled context is not sent.
func TestCancellation(t *testing.T) {
	server := peertest.Start(t, respondAlways(http.StatusOK, "", nil))
	client := operatorcli.Client{Addr: server.Addr, Out: &bytes.Buffer{}}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := client.Do(ctx, drain.List, ""); err == nil || errors.Is(err, operatorcli.ErrRefused) {
		t.Errorf("error %v, want one other than ErrRefused", err)
	}
	if calls := server.Calls(); len(calls) != 0 {
		t.Errorf("sent %+v, want no calls", calls)
	}
}
