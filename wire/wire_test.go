package wire_test

import (
	"encoding/json"
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
	// What is forwarded and stored is read back the same.
	data, _ := json.Marshal(j)
	again, err := wire.ParseJob(data)
	if err != nil {
		t.Fatal(err)
	}
	if data2, _ := json.Marshal(again); string(data) != string(data2) {
		t.Fatalf("%s\n%s", data, data2)
	}
}

// TestDependencies: repeats count once, and a job that needs none is the same as ever.
func TestDependencies(t *testing.T) {
	want, _ := wire.ParseJob([]byte(submission))
	plain, _ := json.Marshal(want)
	for awaits, needs := range map[string][]string{`null`: nil, `[]`: nil, `["job-2","job-1","job-2"]`: {"job-2", "job-1"}} {
		j, err := wire.ParseJob([]byte(strings.Replace(submission, `"later":1`, `"awaits":`+awaits, 1)))
		if err != nil || !slices.Equal(j.DependsOn, needs) {
			t.Fatalf("awaits %s: %v %+v", awaits, err, j)
		}
		if data, _ := json.Marshal(j); (string(data) == string(plain)) != (needs == nil) {
			t.Errorf("awaits %s: %s", awaits, data)
		}
	}
}

func TestParseJobRefuses(t *testing.T) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal([]byte(submission), &fields); err != nil {
		t.Fatal(err)
	}
	optional := map[string]bool{"builds": true, "berth": true, "tideS": true, "later": true}
	for name := range fields {
		rest := map[string]json.RawMessage{}
		for k, v := range fields {
			if k != name {
				rest[k] = v
			}
		}
		data, _ := json.Marshal(rest)
		if _, err := wire.ParseJob(data); (err == nil) != optional[name] {
			t.Errorf("without %s: %v", name, err)
		}
	}
	for _, change := range [][2]string{
		{`"job-000412"`, `"412"`}, {`"job-000412"`, `"job-4 1"`}, {`"batch"`, `"other"`}, {`"high"`, `"urgent"`},
		{`"oars":16`, `"oars":0`}, {`"oars":16`, `"oars":100001`}, {`"oars":16`, `"oars":"16"`}, {`"oars":16`, `"oars":1.5`},
		{`"cores":8.0`, `"cores":-1`}, {`"cores":8.0`, `"cores":0`}, {`"reckonS":240.0`, `"reckonS":-1`}, {`"together":true`, `"together":"yes"`},
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
