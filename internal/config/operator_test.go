package config_test

import (
	"strings"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
)

// TestParseOperatorSettings checks that a valid file is read, and that invalid ones are
// rejected.
func TestParseOperatorSettings(t *testing.T) {
	o, err := config.ParseOperatorSettings([]byte(`<switchshore><machines><max>9</max></machines></switchshore>`), &config.Params{})
	if err != nil || o.MaxMachines != 9 {
		t.Fatalf("%+v %v", o, err)
	}
	for _, bad := range []string{"", "<other/>", `<switchshore><machines><max>-1</max></machines></switchshore>`} {
		if _, err := config.ParseOperatorSettings([]byte(bad), &config.Params{}); err == nil {
			t.Errorf("%q accepted", bad)
		}
	}
}

// TestAdmissionElement checks that weights and floors are read, that the error for an invalid
// value names the field on one line, and that admission control is off without the element.
func TestAdmissionElement(t *testing.T) {
	p := &config.Params{
		Teams:      []config.Team{{Name: "blue", CPUs: 8}, {Name: "green"}},
		Objectives: []config.Objective{{Class: "urgent"}, {Class: "urgent"}, {Class: "nightly"}, {}},
		KVStore:    config.KVStoreLimits{WriteRPS: 80},
	}
	parse := func(inner string) (*config.OperatorSettings, error) {
		return config.ParseOperatorSettings([]byte("<switchshore>"+inner+"</switchshore>"), p)
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
		if _, err := config.ParseOperatorSettings([]byte(file), p); err == nil {
			t.Errorf("%s accepted", file)
		}
	}
}

// TestDrainsElement checks that budgets for all teams and for single teams are read, that the
// error for an invalid value names the field on one line, and that drains are off without the
// element.
func TestDrainsElement(t *testing.T) {
	p := &config.Params{Teams: []config.Team{{Name: "blue"}, {Name: "green"}}}
	parse := func(text string) (*config.OperatorSettings, error) {
		return config.ParseOperatorSettings([]byte("<switchshore>"+text+"</switchshore>"), p)
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
