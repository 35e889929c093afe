package config_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

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

func TestParse(t *testing.T) {
	c, err := config.Parse([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n0" || c.Peers[0].Addr != "10.0.0.2:8081" || c.Params.Workers.LeaseS != 17 {
		t.Fatalf("%+v", c)
	}
}

// TestErrorsNameTheField: one clear line for each wrong setting.
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

// TestErrorTexts: operators read the texts, and programs the types.
func TestErrorTexts(t *testing.T) {
	parse := func(text string) error {
		_, err := config.Parse([]byte(text))
		return err
	}
	parseOperator := func(text string) error {
		_, err := config.ParseOperator([]byte(text), &config.Params{Teams: []config.Team{{Name: "blue"}}})
		return err
	}
	for _, c := range []struct {
		parse      func(string) error
		text, want string
		field      string // empty if the whole file is at fault
	}{
		{parse, strings.Replace(settings, `label = "n0"`, "", 1), "field label: missing", "label"},
		{parse, strings.Replace(settings, "lease_s = 17.0", "lease_s = 0.0", 1), "field facts.workers.lease_s: must be above zero", "facts.workers.lease_s"},
		{parse, strings.Replace(settings, "txn_ops = 48", `txn_ops = "many"`, 1),
			"line 34, column 11: field facts.state.txn_ops: toml: cannot decode TOML string into struct field config.State.TxnOps of type int", "facts.state.txn_ops"},
		{parseOperator, "", "no switchshore element", ""},
		{parseOperator, "<switchshore/>more", "more than the switchshore element", ""},
		{parseOperator, "<switchshore><machines><max>1.5</max></machines></switchshore>", "field machines/max: must be a whole number", "machines/max"},
		{parseOperator, "<switchshore><machines><max>x</max></machines></switchshore>", "field machines/max: not a number", "machines/max"},
		{parseOperator, `<switchshore><drains windowSeconds="1"/></switchshore>`, "field drains/windowSeconds: must be 10 to 86400", "drains/windowSeconds"},
		{parseOperator, `<switchshore><drains><budget evictions="-1"/></drains></switchshore>`, "field drains/budget/evictions: must be at least 0", "drains/budget/evictions"},
		{parseOperator, `<switchshore><admission><team name="blue" floor="0.6"/></admission></switchshore>`,
			"field admission/team[blue]/floor: floors must not sum up to more than 0.5", "admission/team[blue]/floor"},
		{parseOperator, `<switchshore><admission><team name="blue" weight="0"/></admission></switchshore>`,
			"field admission/team[blue]/weight: must be above 0 and at most 1000", "admission/team[blue]/weight"},
	} {
		err := c.parse(c.text)
		if err == nil || err.Error() != c.want {
			t.Errorf("%v, want %s", err, c.want)
			continue
		}
		var invalid *config.FieldError
		if errors.As(err, &invalid) != (c.field != "") || invalid != nil && invalid.Field != c.field {
			t.Errorf("%v is of field %+v, want %s", err, invalid, c.field)
		}
	}
	if err := parseOperator(""); !errors.Is(err, config.ErrNoElement) {
		t.Errorf("%v", err)
	}
	if err := parseOperator("<switchshore/><switchshore/>"); !errors.Is(err, config.ErrExtraContent) {
		t.Errorf("%v", err)
	}
}

func TestOperator(t *testing.T) {
	o, err := config.ParseOperator([]byte(`<switchshore><machines><max>9</max></machines></switchshore>`), &config.Params{})
	if err != nil || o.MaxMachines != 9 {
		t.Fatalf("%+v %v", o, err)
	}
	for _, bad := range []string{"", "<other/>", `<switchshore><machines><max>-1</max></machines></switchshore>`} {
		if _, err := config.ParseOperator([]byte(bad), &config.Params{}); err == nil {
			t.Errorf("%q accepted", bad)
		}
	}
}

// TestErrorsNameTheFile: an error says which of the two files is wrong, and the field.
func TestErrorsNameTheFile(t *testing.T) {
	write := func(name, text string) string {
		path := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	check := func(path, field string, err error) {
		t.Helper()
		if err == nil || !strings.Contains(err.Error(), path) || !strings.Contains(err.Error(), field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s of %s: %v", field, path, err)
		}
	}
	path := write("settings.toml", strings.Replace(settings, "lease_s = 17.0", "lease_s = -1.0", 1))
	_, err := config.Load(path)
	check(path, "facts.workers.lease_s", err)
	for field, value := range map[string]string{"max": "1.5", "keepIdleSeconds": "soon", "planHorizonSeconds": "-1"} {
		path := write("operator.xml", "<switchshore><machines><"+field+">"+value+"</"+field+"></machines></switchshore>")
		_, err := config.LoadOperator(path, &config.Params{})
		check(path, "machines/"+field, err)
	}
	missing := filepath.Join(t.TempDir(), "missing")
	_, err = config.Load(missing)
	check(missing, "", err)
}

// TestUpcomingStateLimits: both sets of limits hold at all times; without the table, or
// a field of it, nothing changes.
func TestUpcomingStateLimits(t *testing.T) {
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
	for _, wrong := range []string{"write_rps = 0.0", "value_kb = -1.0", "txn_ops = 2", "rps = 0.0"} {
		field, _, _ := strings.Cut(wrong, " ")
		if _, err := config.Parse([]byte(settings + "[facts.state.next]\n" + wrong + "\n")); err == nil || !strings.Contains(err.Error(), "facts.state.next."+field) {
			t.Errorf("%s: %v", wrong, err)
		}
	}
}

// TestAdmissionElement: weights and floors are read; whatever is wrong gets one line that
// names the field. Without the element admission control is off.
func TestAdmissionElement(t *testing.T) {
	p := &config.Params{
		Teams:      []config.Team{{Name: "blue", CPUs: 8}, {Name: "green"}},
		Objectives: []config.Objective{{Class: "urgent"}, {Class: "urgent"}, {Class: "nightly"}, {}},
		KVStore:    config.KVStoreLimits{WriteRPS: 80},
	}
	parse := func(inner string) (*config.Operator, error) {
		return config.ParseOperator([]byte("<switchshore>"+inner+"</switchshore>"), p)
	}
	o, err := parse(`<!-- on --><admission><team name="blue" weight="2" floor="0.25"><class name="urgent" weight="4"/></team></admission>`)
	if err != nil {
		t.Fatal(err)
	}
	s := o.AdmissionSettings(p)
	if len(s.Teams) != 2 || s.Teams[0].Weight != 2 || s.Teams[0].Floor != 0.25 || s.Teams[0].Classes[0].Weight != 4 || len(s.Classes) != 2 {
		t.Errorf("%+v", s)
	}
	if o, err := parse(""); err != nil || o.AdmissionSettings(p) != nil {
		t.Errorf("on without the element: %v", err)
	}
	for inner, field := range map[string]string{
		`<team name="red"/>`:                            "admission/team[red]/name",
		`<team/>`:                                       "admission/team[]/name",
		`<team name="blue"/><team name="blue"/>`:        "admission/team[blue]",
		`<team name="blue" weight="-1"/>`:               "admission/team[blue]/weight",
		`<team name="blue" weight="0"/>`:                "admission/team[blue]/weight",
		`<team name="blue" weight="1e9"/>`:              "admission/team[blue]/weight",
		`<team name="blue" weight="NaN"/>`:              "admission/team[blue]/weight",
		`<team name="blue" floor="2"/>`:                 "admission/team[blue]/floor",
		`<team name="blue" floor="x"/>`:                 "admission/team[blue]/floor",
		`<team name="blue"><class name="none"/></team>`: "admission/team[blue]/class[none]/name",
		`<team name="blue"><class name="urgent" weight=""/><class name="urgent"/></team>`: "admission/team[blue]/class[urgent]",
		`<crew name="blue"/>`:               "admission/crew",
		`<team name="blue"><klass/></team>`: "admission/team[blue]/klass",
	} {
		if _, err := parse("<admission>" + inner + "</admission>"); err == nil || !strings.Contains(err.Error(), field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", inner, err)
		}
	}
	for _, file := range []string{"<switchshore><admission>", "<switchshore/><admission/>", "<switchshore/>more"} {
		if _, err := config.ParseOperator([]byte(file), p); err == nil {
			t.Errorf("%s accepted", file)
		}
	}
}

// TestDrainsElement: budgets are read as written, for all teams and for single ones, and each
// mistake is refused by its field.
func TestDrainsElement(t *testing.T) {
	p := &config.Params{Teams: []config.Team{{Name: "blue"}, {Name: "green"}}}
	parse := func(text string) (*config.Operator, error) {
		return config.ParseOperator([]byte("<switchshore>"+text+"</switchshore>"), p)
	}
	o, err := parse(`<drains windowSeconds="120"><budget team="blue" evictions="0"/><budget maxUnavailable="3" lostSeconds="9.5"/></drains>`)
	if err != nil {
		t.Fatal(err)
	}
	blue, green := o.Drains.For("blue"), o.Drains.For("green")
	if o.Drains.Window != 2*time.Minute || blue.Evictions != 0 || blue.MaxUnavailable != 3 || green.LostS != 9.5 || green.Evictions == 0 {
		t.Errorf("%+v", o.Drains)
	}
	if o, err := parse(""); err != nil || o.Drains != nil {
		t.Errorf("on without the element: %v", err)
	}
	for text, field := range map[string]string{
		`<drains windowSeconds="1"/>`:                                 "drains/windowSeconds",
		`<drains windowSeconds="x"/>`:                                 "drains/windowSeconds",
		`<drains speed="1"/>`:                                         "drains/speed",
		`<drains><limit/></drains>`:                                   "drains/limit",
		`<drains><budget team="red"/></drains>`:                       "drains/budget[red]/team",
		`<drains><budget team="blue"/><budget team="blue"/></drains>`: "drains/budget[blue]",
		`<drains><budget maxUnavailable="-1"/></drains>`:              "drains/budget/maxUnavailable",
		`<drains><budget evictions="1.5"/></drains>`:                  "drains/budget/evictions",
		`<drains><budget team="blue" lostSeconds="NaN"/></drains>`:    "drains/budget[blue]/lostSeconds",
		`<drains><budget team="blue" lostSeconds="1e300"/></drains>`:  "drains/budget[blue]/lostSeconds",
		`<drains><budget evictions="99999999"/></drains>`:             "drains/budget/evictions",
		`<drains><budget team="blue" max="1"/></drains>`:              "drains/budget[blue]/max",
	} {
		if _, err := parse(text); err == nil || !strings.Contains(err.Error(), field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", text, err)
		}
	}
}
