package main

import (
	"bytes"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/peer"
	"switchshore.example/switchshore/internal/peer/peertest"
)

// exitUsage is the exit code of kong for usage errors.
const exitUsage = 80

const (
	exampleSettings  = "../../docs/example.toml"
	operatorSettings = "../../deploy/operator.xml"
)

// runCommand executes the command without the environment variables that would set its flags.
func runCommand(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	for _, name := range []string{"SWITCHSHORE_NODE", "SWITCHSHORE_OPERATOR"} {
		if value, set := os.LookupEnv(name); set {
			t.Setenv(name, value) // restores the variable when the test ends
			if err := os.Unsetenv(name); err != nil {
				t.Fatal(err)
			}
		}
	}
	var out, errs bytes.Buffer
	code = run(args, &out, &errs)
	return code, out.String(), errs.String()
}

// writeFile writes a temporary file and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestArguments checks the exit code and the output of help, version and usage errors. Each case has
// the start of the output on one stream; the other stream must be empty.
func TestArguments(t *testing.T) {
	for _, c := range []struct {
		name           string
		args           []string
		wantCode       int
		stdout, stderr string // start of the output; empty for no output
	}{
		{"help", []string{"--help"}, 0, "Usage: switchshore <command> [flags]\n", ""},
		{"help of a command", []string{"drain", "--help"}, 0, "Usage: switchshore drain --node=IP:PORT <command>", ""},
		{"version", []string{"--version"}, 0, "switchshore " + version + "\n", ""},
		{"no settings", nil, exitUsage, "", "switchshore: error: missing flags: --config=PATH\n"},
		{"unknown flag", []string{"--speed"}, exitUsage, "", "switchshore: error: unknown flag --speed\n"},
		{"unknown command", []string{"scale"}, exitUsage, "", "switchshore: error: unexpected argument scale\n"},
		{"no drain command", []string{"drain", "--node", "127.0.0.1:1"}, exitUsage, "", "switchshore: error: expected one of"},
		{"drain without a node", []string{"drain", "list"}, exitUsage, "", "switchshore: error: missing flags: --node=IP:PORT\n"},
		{"drain without its name", []string{"drain", "show", "--node", "127.0.0.1:1"}, exitUsage, "", `switchshore: error: expected "<name>"` + "\n"},
		{"drain without its file", []string{"drain", "apply", "--node", "127.0.0.1:1"}, exitUsage, "", `switchshore: error: expected "<file>"` + "\n"},
		{"two names", []string{"drain", "pause", "a", "b", "--node", "127.0.0.1:1"}, exitUsage, "", "switchshore: error: unexpected argument b\n"},
		{"unknown flag of drain", []string{"drain", "list", "--node", "127.0.0.1:1", "--force"}, exitUsage, "", "switchshore: error: unknown flag --force\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, stdout, stderr := runCommand(t, c.args...)
			if code != c.wantCode {
				t.Errorf("exit code %d, want %d", code, c.wantCode)
			}
			if !strings.HasPrefix(stdout, c.stdout) || c.stdout == "" && stdout != "" {
				t.Errorf("stdout %q, want %q", stdout, c.stdout)
			}
			if !strings.HasPrefix(stderr, c.stderr) || c.stderr == "" && stderr != "" {
				t.Errorf("stderr %q, want %q", stderr, c.stderr)
			}
		})
	}
}

// TestHelpNamesAllCommands checks that the help lists each command and flag.
func TestHelpNamesAllCommands(t *testing.T) {
	for _, c := range []struct{ args, want []string }{
		{nil, []string{"--version", "serve --config=PATH", "drain apply", "drain list", "drain show", "drain pause", "drain resume", "drain cancel"}},
		{[]string{"serve"}, []string{"--config=PATH", "--operator=PATH", "($SWITCHSHORE_OPERATOR)", "--check"}},
		{[]string{"drain", "list"}, []string{"--node=IP:PORT", "($SWITCHSHORE_NODE)", "--json"}},
	} {
		_, help, _ := runCommand(t, append(c.args, "--help")...)
		for _, want := range c.want {
			if !strings.Contains(help, want) {
				t.Errorf("%q is not in the help of %v:\n%s", want, c.args, help)
			}
		}
	}
}

// TestCheck checks that --check accepts valid settings, and that it prints one line with the file and
// the field if settings are invalid.
func TestCheck(t *testing.T) {
	example, err := os.ReadFile(exampleSettings)
	if err != nil {
		t.Fatal(err)
	}
	badSettings := writeFile(t, "settings.toml", strings.Replace(string(example), "lease_s = 20.0", "lease_s = -1.0", 1))
	badOperatorSettings := writeFile(t, "operator.xml", "<switchshore><machines><max>many</max></machines></switchshore>")
	missing := filepath.Join(t.TempDir(), "missing.toml")
	for _, c := range []struct {
		name     string
		logLevel string
		args     []string
		stderr   []string // parts of the error line; nil if the settings are valid
	}{
		{"platform settings", "", []string{"--config", exampleSettings}, nil},
		{"platform and operator settings", "debug", []string{"--config", exampleSettings, "--operator", operatorSettings}, nil},
		{"explicit serve command", "", []string{"serve", "--config", exampleSettings}, nil},
		{"bad platform setting", "", []string{"--config", badSettings}, []string{badSettings, "field facts.workers.lease_s: must be above zero"}},
		{"bad operator setting", "", []string{"--config", exampleSettings, "--operator", badOperatorSettings}, []string{badOperatorSettings, "field machines/max: not a number"}},
		{"missing file", "", []string{"--config", missing}, []string{missing, "no such file"}},
		{"bad log level", "loud", []string{"--config", exampleSettings}, []string{`LOG_LEVEL: "loud" is not one of error, info, debug`}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Setenv("LOG_LEVEL", c.logLevel)
			code, stdout, stderr := runCommand(t, append(c.args, "--check")...)
			if c.stderr == nil {
				if code != 0 || stdout != "settings are valid\n" || stderr != "" {
					t.Errorf("got exit code %d, stdout %q, stderr %q, want success", code, stdout, stderr)
				}
				return
			}
			if code != exitFailure || stdout != "" || strings.Count(stderr, "\n") != 1 || !strings.HasPrefix(stderr, "switchshore: ") {
				t.Errorf("got exit code %d, stdout %q, stderr %q, want a failure with one line on stderr", code, stdout, stderr)
			}
			for _, part := range c.stderr {
				if !strings.Contains(stderr, part) {
					t.Errorf("%q is not in %q", part, stderr)
				}
			}
		})
	}
}

// TestServeRejectsInvalidSettings checks that invalid settings also fail without --check.
func TestServeRejectsInvalidSettings(t *testing.T) {
	t.Setenv("LOG_LEVEL", "")
	code, stdout, stderr := runCommand(t, "--config", writeFile(t, "settings.toml", "label = 3"))
	if code != exitFailure || stdout != "" || !strings.HasPrefix(stderr, "switchshore: settings ") {
		t.Errorf("got exit code %d, stdout %q, stderr %q, want a failure because of the settings", code, stdout, stderr)
	}
}

// TestOperatorSettingsFromEnvironment checks that SWITCHSHORE_OPERATOR sets the path of the
// operators' settings.
func TestOperatorSettingsFromEnvironment(t *testing.T) {
	t.Setenv("LOG_LEVEL", "")
	missing := filepath.Join(t.TempDir(), "missing.xml")
	t.Setenv("SWITCHSHORE_OPERATOR", missing)
	var stdout, stderr bytes.Buffer
	if code := run([]string{"--config", exampleSettings, "--check"}, &stdout, &stderr); code != exitFailure || !strings.Contains(stderr.String(), missing) {
		t.Errorf("got exit code %d, stderr %q, want a failure that names the missing file", code, stderr.String())
	}
}

// TestDrainCommands checks that each drain command sends one call and prints the response.
func TestDrainCommands(t *testing.T) {
	file := writeFile(t, "drain.xml", `<drain name="zone-a"><selector><zone>a</zone></selector><batchSize>2</batchSize></drain>`)
	for _, c := range []struct {
		args    []string
		request drain.Request // wanted, without the specification
		stdout  string        // the wanted start of the output
	}{
		{[]string{"apply", file}, drain.Request{Action: drain.Apply, Name: "zone-a"}, "NAME "},
		{[]string{"list"}, drain.Request{Action: drain.List}, "NAME "},
		{[]string{"list", "--json"}, drain.Request{Action: drain.List}, `{"spec":{"name":"zone-a"`},
		{[]string{"show", "zone-a"}, drain.Request{Action: drain.Show, Name: "zone-a"}, "NAME "},
		{[]string{"pause", "zone-a"}, drain.Request{Action: drain.Pause, Name: "zone-a"}, "NAME "},
		{[]string{"resume", "zone-a"}, drain.Request{Action: drain.Resume, Name: "zone-a"}, "NAME "},
		{[]string{"cancel", "zone-a"}, drain.Request{Action: drain.Cancel, Name: "zone-a"}, "NAME "},
	} {
		t.Run(strings.Join(c.args[:1], " "), func(t *testing.T) {
			server := peertest.Start(t, func(peer.Call) *peer.Response {
				return &peer.Response{Status: http.StatusOK, Drains: []drain.Status{{Spec: drain.Spec{Name: "zone-a"}, State: drain.Running}}}
			})
			code, stdout, stderr := runCommand(t, append([]string{"drain", "--node", server.Addr}, c.args...)...)
			if code != 0 || stderr != "" || !strings.HasPrefix(stdout, c.stdout) || !strings.Contains(stdout, "zone-a") {
				t.Errorf("got exit code %d, stdout %q, stderr %q, want success and the drain zone-a", code, stdout, stderr)
			}
			calls := server.Calls()
			if len(calls) != 1 || calls[0].Drain == nil {
				t.Fatalf("got the calls %+v, want one drain call", calls)
			}
			got := *calls[0].Drain
			if (got.Spec != nil) != (c.request.Action == drain.Apply) {
				t.Errorf("got specification %+v, want one only for apply", got.Spec)
			}
			if (got.ID != "") != c.request.Action.ChangesDrain() {
				t.Errorf("got the ID %q, want one only if the command changes the drain", got.ID)
			}
			got.Spec, got.ID = nil, ""
			if got != c.request {
				t.Errorf("got %+v, want %+v", got, c.request)
			}
		})
	}
}

// TestDrainFailures checks that a refused request and an invalid file each cause an error of one line.
func TestDrainFailures(t *testing.T) {
	server := peertest.Start(t, func(peer.Call) *peer.Response {
		return &peer.Response{Status: http.StatusNotFound, Reason: "no such drain"}
	})
	invalidFile := writeFile(t, "drain.xml", "<drain/>")
	for _, c := range []struct {
		name   string
		args   []string
		stderr string
	}{
		{"refused", []string{"show", "zone-a"}, "switchshore: refused: no such drain (404)\n"},
		{"bad file", []string{"apply", invalidFile}, "switchshore: " + invalidFile + ": field batchSize: must be a whole number\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, stdout, stderr := runCommand(t, append([]string{"drain", "--node", server.Addr}, c.args...)...)
			if code != exitFailure || stdout != "" || stderr != c.stderr {
				t.Errorf("got exit code %d, stdout %q, stderr %q, want a failure with the error of the case", code, stdout, stderr)
			}
		})
	}
}

// TestNodeFromEnvironment checks that SWITCHSHORE_NODE sets the controller's address.
func TestNodeFromEnvironment(t *testing.T) {
	server := peertest.Start(t, func(peer.Call) *peer.Response { return &peer.Response{Status: http.StatusOK} })
	t.Setenv("SWITCHSHORE_NODE", server.Addr)
	var stdout, stderr bytes.Buffer
	if code := run([]string{"drain", "list"}, &stdout, &stderr); code != 0 || stderr.Len() > 0 || len(server.Calls()) != 1 {
		t.Errorf("got exit code %d, stderr %q, calls %+v, want success and one call", code, stderr.String(), server.Calls())
	}
}
