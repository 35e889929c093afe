package config_test

import (
	"strings"
	"testing"

	"switchshore.example/switchshore/internal/config"
)

const settings = `
label = "n0"
domain = "a"
client_listen = "10.0.0.1:8080"
peer_bind = "10.0.0.1:8081"
surprise = "ignored"

[[peers]]
label = "n1"
domain = "b"
addr = "10.0.0.2:8081"

[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"

[facts]
initial_size = 3

[[facts.teams]]
name = "blue"
cpus = 96.0
cpus_max = 160.0

[facts.workers]
report_s = 3.0
lease_s = 17.0
cancel_s = 47.0

[facts.state]
rps = 200.0
write_rps = 80.0
value_kb = 16.0
txn_ops = 48

[facts.cloud]
rps = 8.0
list_lag_s = 5.0
`

// TestParse checks that settings are read, and that unknown ones are ignored.
func TestParse(t *testing.T) {
	c, err := config.Parse([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n0" || c.Peers[0].Addr != "10.0.0.2:8081" || c.Params.Workers.LeaseS != 17 {
		t.Fatalf("%+v", c)
	}
}

// TestErrorsNameTheField checks that the error for an invalid setting names it, on one line.
func TestErrorsNameTheField(t *testing.T) {
	for _, c := range [][3]string{
		{`label = "n0"`, ``, "label"},
		{`client_listen = "10.0.0.1:8080"`, `client_listen = "here"`, "client_listen"},
		{`addr = "10.0.0.2:8081"`, ``, "peers[0].addr"},
		{`state = "10.2.0.1:2379"`, ``, "services.state"},
		{`lease_s = 17.0`, `lease_s = 0.0`, "facts.workers.lease_s"},
		{`cancel_s = 47.0`, `cancel_s = 5.0`, "facts.workers.cancel_s"},
		{`txn_ops = 48`, `txn_ops = "many"`, "txn_ops"},
		{`write_rps = 80.0`, ``, "facts.state.write_rps"},
		{`rps = 8.0`, `rps = -1.0`, "facts.cloud.rps"},
		{`report_s = 3.0`, `report_s = inf`, "facts.workers.report_s"},
	} {
		_, err := config.Parse([]byte(strings.Replace(settings, c[0], c[1], 1)))
		if err == nil || !strings.Contains(err.Error(), c[2]) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", c[2], err)
		}
	}
}

// TestUpcomingLimits checks that the tighter of both limits applies, that limits missing from
// the table don't change, and that the upcoming limits are validated.
func TestUpcomingLimits(t *testing.T) {
	before, err := config.Parse([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	c, err := config.Parse([]byte(settings + "[facts.state.next]\nwrite_rps = 56.0\nvalue_kb = 2.0\ntxn_ops = 60\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := before.Params.KVStore
	want.WriteRPS, want.ValueKB = 56, 2
	if c.Params.KVStore != want {
		t.Errorf("%+v, want %+v", c.Params.KVStore, want)
	}
	for _, invalid := range []string{"write_rps = 0.0", "value_kb = -1.0", "txn_ops = 2", "rps = 0.0"} {
		field, _, _ := strings.Cut(invalid, " ")
		if _, err := config.Parse([]byte(settings + "[facts.state.next]\n" + invalid + "\n")); err == nil || !strings.Contains(err.Error(), "facts.state.next."+field) {
			t.Errorf("%s: %v", invalid, err)
		}
	}
}
