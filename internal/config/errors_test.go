package config_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"switchshore.example/switchshore/internal/config"
)

// TestErrorTexts checks the texts of errors, which operators read, and their types, which
// programs use.
func TestErrorTexts(t *testing.T) {
	parse := func(text string) error {
		_, err := config.Parse([]byte(text))
		return err
	}
	parseOperator := func(text string) error {
		_, err := config.ParseOperatorSettings([]byte(text), &config.Params{Teams: []config.Team{{Name: "blue"}}})
		return err
	}
	for _, c := range []struct {
		parse      func(string) error
		text, want string
		field      string // empty if the error is about the whole file
	}{
		{parse, strings.Replace(settings, `label = "n0"`, "", 1), "field label: missing", "label"},
		{parse, strings.Replace(settings, "lease_s = 17.0", "lease_s = 0.0", 1), "field facts.workers.lease_s: must be above zero", "facts.workers.lease_s"},
		{
			parse, strings.Replace(settings, "txn_ops = 48", `txn_ops = "many"`, 1),
			"line 34, column 11: field facts.state.txn_ops: toml: cannot decode TOML string into struct field config.State.TxnOps of type int", "facts.state.txn_ops",
		},
		{parseOperator, "", "no switchshore element", ""},
		{parseOperator, "<switchshore/>more", "more than the switchshore element", ""},
		{parseOperator, "<switchshore><machines><max>1.5</max></machines></switchshore>", "field machines/max: must be a whole number", "machines/max"},
		{parseOperator, "<switchshore><machines><max>x</max></machines></switchshore>", "field machines/max: not a number", "machines/max"},
		{parseOperator, `<switchshore><drains windowSeconds="1"/></switchshore>`, "field drains/windowSeconds: must be 10 to 86400", "drains/windowSeconds"},
		{parseOperator, `<switchshore><drains><budget evictions="-1"/></drains></switchshore>`, "field drains/budget/evictions: must be at least 0", "drains/budget/evictions"},
		{
			parseOperator, `<switchshore><admission><team name="blue" floor="0.6"/></admission></switchshore>`,
			"field admission/team[blue]/floor: floors must not sum up to more than 0.5", "admission/team[blue]/floor",
		},
		{
			parseOperator, `<switchshore><admission><team name="blue" weight="0"/></admission></switchshore>`,
			"field admission/team[blue]/weight: must be above 0 and at most 1000", "admission/team[blue]/weight",
		},
	} {
		err := c.parse(c.text)
		if err == nil || err.Error() != c.want {
			t.Errorf("%v, want %s", err, c.want)
			continue
		}
		var invalid *config.FieldError
		if errors.As(err, &invalid) != (c.field != "") || invalid != nil && invalid.Field != c.field {
			t.Errorf("%v has field error %+v, want field %s", err, invalid, c.field)
		}
	}
	if err := parseOperator(""); !errors.Is(err, config.ErrNoRootElement) {
		t.Errorf("%v", err)
	}
	if err := parseOperator("<switchshore/><switchshore/>"); !errors.Is(err, config.ErrExtraContent) {
		t.Errorf("%v", err)
	}
}

// TestErrorsNameTheFile checks that errors name the invalid file and the field.
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
		_, err := config.LoadOperatorSettings(path, &config.Params{})
		check(path, "machines/"+field, err)
	}
	missing := filepath.Join(t.TempDir(), "missing")
	_, err = config.Load(missing)
	check(missing, "", err)
}
