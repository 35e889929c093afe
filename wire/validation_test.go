package wire_test

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"

	"switchshore.example/switchshore/wire"
)

const submission = `{"ref":"job-000412","muster":"train","crew":"vision","rig":"batch","rank":"high","oars":16,
 "cores":8.0,"cards":1.0,"memoryGb":64.0,"hull":"img-07","imageGb":6.2,
 "builds":["g8"],"berth":null,"together":true,"apart":false,"driftwood":true,
 "reckonS":240.0,"loglineS":30.0,"stowS":4.0,"tideS":900.0,"later":1}`

func TestParseJob(t *testing.T) {
	j, err := wire.ParseJob([]byte(submission))
	if err != nil {
		t.Fatal(err)
	}
	if j.ID != "job-000412" || j.Tasks != 16 || j.Zone != "" || *j.DeadlineS != 900 || !j.OneZone {
		t.Fatalf("%+v", j)
	}
	// An encoded job, as it is forwarded and stored, must be parsed to the same job.
	data, _ := json.Marshal(j)
	reparsed, err := wire.ParseJob(data)
	if err != nil {
		t.Fatal(err)
	}
	if data2, _ := json.Marshal(reparsed); string(data) != string(data2) {
		t.Fatalf("%s\n%s", data, data2)
	}
}

// TestParseJobDependencies checks that duplicates are dropped, and that a job without dependencies
// is encoded without the field.
func TestParseJobDependencies(t *testing.T) {
	want, _ := wire.ParseJob([]byte(submission))
	plain, _ := json.Marshal(want)
	for awaits, dependsOn := range map[string][]string{`null`: nil, `[]`: nil, `["job-2","job-1","job-2"]`: {"job-2", "job-1"}} {
		j, err := wire.ParseJob([]byte(strings.Replace(submission, `"later":1`, `"awaits":`+awaits, 1)))
		if err != nil || !slices.Equal(j.DependsOn, dependsOn) {
			t.Fatalf("awaits %s: %v %+v", awaits, err, j)
		}
		if data, _ := json.Marshal(j); (string(data) == string(plain)) != (dependsOn == nil) {
			t.Errorf("awaits %s: %s", awaits, data)
		}
	}
}

func TestParseJobRejects(t *testing.T) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal([]byte(submission), &fields); err != nil {
		t.Fatal(err)
	}
	optional := map[string]bool{"builds": true, "berth": true, "tideS": true, "later": true}
	for name := range fields {
		remaining := map[string]json.RawMessage{}
		for k, v := range fields {
			if k != name {
				remaining[k] = v
			}
		}
		data, _ := json.Marshal(remaining)
		if _, err := wire.ParseJob(data); (err == nil) != optional[name] {
			t.Errorf("without %s: %v", name, err)
		}
	}
	for _, change := range [][2]string{
		{`"job-000412"`, `"412"`},
		{`"job-000412"`, `"job-4 1"`},
		{`"batch"`, `"other"`},
		{`"high"`, `"urgent"`},
		{`"oars":16`, `"oars":0`},
		{`"oars":16`, `"oars":100001`},
		{`"oars":16`, `"oars":"16"`},
		{`"oars":16`, `"oars":1.5`},
		{`"cores":8.0`, `"cores":-1`},
		{`"cores":8.0`, `"cores":0`},
		{`"reckonS":240.0`, `"reckonS":-1`},
		{`"together":true`, `"together":"yes"`},
	} {
		if _, err := wire.ParseJob([]byte(strings.Replace(submission, change[0], change[1], 1))); err == nil {
			t.Errorf("%s accepted", change[1])
		}
	}
	for _, awaits := range []string{`"job-1"`, `[7]`, `[null]`, `{}`, `true`, `[["job-1"]]`} {
		if _, err := wire.ParseJob([]byte(strings.Replace(submission, `"later":1`, `"awaits":`+awaits, 1))); err == nil || !strings.Contains(err.Error(), "awaits") {
			t.Errorf("awaits %s: %v", awaits, err)
		}
	}
	for _, body := range []string{"", "[]", "null", "3", "{", submission + "x"} {
		if _, err := wire.ParseJob([]byte(body)); err == nil {
			t.Errorf("%.20q accepted", body)
		}
	}
}

// TestErrorTexts checks the texts of the errors, which users see, and their types.
func TestErrorTexts(t *testing.T) {
	change := func(from, to string) []byte { return []byte(strings.Replace(submission, from, to, 1)) }
	parseJob := func(body []byte) error {
		_, err := wire.ParseJob(body)
		return err
	}
	parseHeartbeat := func(body []byte) error {
		_, err := wire.ParseHeartbeat(body)
		return err
	}
	for _, c := range []struct {
		parse func([]byte) error
		body  []byte
		text  string
		field string // empty if the body is malformed
	}{
		{parseJob, []byte("{"), "malformed: unexpected end of JSON input", ""},
		{parseJob, []byte("null"), "malformed: not an object", ""},
		{parseJob, change(`"oars":16`, `"oars":"16"`), "malformed: json: cannot unmarshal string into Go struct field jobFields.oars of type int", ""},
		{parseJob, change(`"high"`, `"urgent"`), "field rank: unknown", "rank"},
		{parseJob, change(`"job-000412"`, `"412"`), "field ref: not a job id", "ref"},
		{parseJob, change(`"muster":"train",`, ``), "field muster: missing", "muster"},
		{parseJob, change(`"oars":16`, `"oars":0`), "field oars: out of range", "oars"},
		{parseJob, change(`"cores":8.0`, `"cores":0`), "field cores: must be above zero", "cores"},
		{parseJob, change(`"cards":1.0`, `"cards":-1`), "field cards: must not be negative", "cards"},
		{parseJob, change(`"builds":["g8"]`, `"builds":[]`), "field builds: empty", "builds"},
		{parseJob, change(`"later":1`, `"awaits":[null]`), "field awaits: not a list of strings", "awaits"},
		{parseHeartbeat, []byte("{"), "malformed: not JSON", ""},
		{parseHeartbeat, []byte(`{"watch":1}`), "field deck: missing", "deck"},
		{parseHeartbeat, []byte(`{"deck":"i-1","watch":"x"}`), "malformed: json: cannot unmarshal string into Go struct field Report.watch of type uint64", ""},
		{parseHeartbeat, []byte(`{"oars":[{"oar":"j/1","launch":"x"}]}`), "malformed: json: cannot unmarshal string into Go struct field Report.oars.0.launch of type uint64", ""},
		{parseHeartbeat, []byte(`{"oars":3}`), "malformed: json: cannot unmarshal number into Go struct field Report.oars of type []wire.TaskReport", ""},
		{parseHeartbeat, []byte(`{"oars":[3]}`), "malformed: json: cannot unmarshal number into Report.oars.0 of type wire.TaskReport", ""},
		{parseHeartbeat, []byte(`[1]`), "malformed: json: cannot unmarshal array into Go value of type wire.Report", ""},
		{parseHeartbeat, []byte(`{"deck":"i-1"}`), "field watch: missing", "watch"},
	} {
		err := c.parse(c.body)
		if err == nil || err.Error() != c.text {
			t.Errorf("%s: %v, want %s", c.body, err, c.text)
			continue
		}
		var invalid *wire.FieldError
		var malformed *wire.MalformedError
		switch {
		case c.field == "" && !errors.As(err, &malformed):
			t.Errorf("%v is a %T", err, err)
		case c.field != "" && (!errors.As(err, &invalid) || invalid.Field != c.field):
			t.Errorf("%v is a %T", err, err)
		}
	}
}
