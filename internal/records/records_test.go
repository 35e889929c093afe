package records_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"

	"switchshore.example/switchshore/internal/intervals"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/wire"
)

const valueLimit = 2048 // bytes

// TestLoadOrderCoversEveryKind: records of each kind are loaded, pieces before jobs, and jobs
// before the records that belong to one.
func TestLoadOrderCoversEveryKind(t *testing.T) {
	want := []string{"c/types", "n/", "j/", "d/", "f/", "m/", "s/", "e/", "b/"}
	if !slices.Equal(records.LoadOrder, want) {
		t.Errorf("%q, want %q", records.LoadOrder, want)
	}
}

// TestKeys pins the stored keys, which other versions of the program must find.
func TestKeys(t *testing.T) {
	for key, want := range map[string]string{
		records.JobKey("job-1"):                 "j/job-1",
		records.JobPieceKey("job-1", 5, 2):      "n/job-1/5-2",
		records.FinalStateKey("job-1"):          "f/job-1",
		records.StartsKey(5, 258):               "s/00000005-00000102",
		records.DrainKey("maintenance"):         "e/maintenance",
		records.ChargeKey(16, 1):                "b/00000010-00000001",
		records.KindMachineStarts.Prefix():      "m/",
		records.CompletionsJobID("job-1/0-511"): "job-1",
	} {
		if key != want {
			t.Errorf("%q, want %q", key, want)
		}
	}
	if kind, id, ok := records.ParseKey("d/job-1/0"); kind != records.KindCompletions || id != "job-1/0" || !ok {
		t.Errorf("%q, %q, %v", kind, id, ok)
	}
	if _, _, ok := records.ParseKey("leader"); ok {
		t.Error("a key without a kind is accepted")
	}
}

// TestStoredForms pins the stored bytes.
func TestStoredForms(t *testing.T) {
	completed := intervals.New(3000)
	for _, i := range []int{0, 1, 2, 7, 1024, 1025} {
		completed.Add(i)
	}
	starts := &records.Starts{Machines: []records.MachineStarts{{ID: "m1", Type: "std-8", Zone: "a"}}}
	starts.Machines[0].SetTasks("job-1", []int{0, 1, 5})
	whole := records.NewCompletions("job-1", completed, 1, 16<<10)
	part := records.NewCompletions("job-1", completed, 0, valueLimit)
	for got, want := range map[string]string{
		string(records.FinalState{Outcome: records.OutcomeDone, TasksDone: 14}.Encode()):     `"d14"`,
		string(records.FinalState{Outcome: records.OutcomeCancelled, TasksDone: 3}.Encode()): `"c3"`,
		string(starts.Encode()):            `{"machines":[{"id":"m1","type":"std-8","zone":"a","tasks":{"job-1":"0-1,5"}}]}`,
		whole.Key + string(whole.Encode()): `d/job-1/1"1024-1025"`,
		part.Key + string(part.Encode()):   `d/job-1/0-255"0-2,7"`,
	} {
		if got != want {
			t.Errorf("%s, want %s", got, want)
		}
	}
}

func job(id string, types int) *wire.Job {
	j := &wire.Job{ID: id, Class: "c", Team: "blue", Tasks: 3, CPUs: 2, Image: "img", Zone: "a"}
	for i := range types {
		j.MachineTypes = append(j.MachineTypes, fmt.Sprintf("machine-type-%d", i))
	}
	return j
}

// TestJobRoundTripsThroughRecords: a job is read back as submitted whether or not it fits into
// one value, and no value exceeds the limit. In place of a job that earlier versions would
// handle incorrectly, they read one that fits no machine.
func TestJobRoundTripsThroughRecords(t *testing.T) {
	dependent := job("job-2", 1)
	dependent.DependsOn = []string{"job-1"}
	for name, test := range map[string]struct {
		job         *wire.Job
		pieces      bool
		placeholder bool
	}{
		"plain":     {job: job("job-1", 1)},
		"dependent": {job: dependent, placeholder: true},
		"long":      {job: job("job-3", 400), pieces: true, placeholder: true},
	} {
		t.Run(name, func(t *testing.T) {
			items := records.EncodeJob(test.job, 1700, 5, valueLimit)
			pieces, last := items[:len(items)-1], items[len(items)-1]
			loaded := records.JobPieces{}
			for _, piece := range pieces {
				if len(piece.Value) > valueLimit {
					t.Errorf("%s has %d bytes", piece.Key, len(piece.Value))
				}
				if err := loaded.Add(piece.Key, piece.Value); err != nil {
					t.Fatal(err)
				}
			}
			stored, err := records.DecodeJob(test.job.ID, last.Value, loaded)
			if err != nil {
				t.Fatal(err)
			}
			if stored.SubmittedAtMS != 1700 || len(stored.PieceKeys) != len(pieces) || len(loaded) != 0 {
				t.Errorf("%+v, %d pieces left", stored, len(loaded))
			}
			if got, want := toJSON(t, stored.Job), toJSON(t, *test.job); got != want {
				t.Errorf("%s, want %s", got, want)
			}
			if (len(pieces) > 0) != test.pieces {
				t.Errorf("%d pieces", len(pieces))
			}
			var earlier struct {
				Job wire.Job `json:"job"`
			}
			if err := json.Unmarshal(last.Value, &earlier); err != nil {
				t.Fatal(err)
			}
			if hidden := earlier.Job.Image == "-" && len(earlier.Job.DependsOn) == 0; hidden != test.placeholder {
				t.Errorf("earlier versions read %+v", earlier.Job)
			}
		})
	}
}

func toJSON(t *testing.T, v any) string {
	t.Helper()
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestCorruptRecordsAreRejected: decoding an invalid record fails, and the error matches the
// cause.
func TestCorruptRecordsAreRejected(t *testing.T) {
	long := records.EncodeJob(job("job-3", 400), 0, 5, valueLimit)
	_, missing := records.DecodeJob("job-3", long[len(long)-1].Value, records.JobPieces{})
	_, other := records.DecodeJob("job-2", records.EncodeJob(job("job-1", 1), 0, 5, valueLimit)[0].Value, nil)
	_, final := records.DecodeFinalState(json.RawMessage(`"x3"`))
	for name, test := range map[string]struct{ err, want error }{
		"missing piece": {missing, records.ErrMissingPiece},
		"other job":     {other, records.ErrJobIDMismatch},
		"final state":   {final, records.ErrUnknownFinalState},
	} {
		if !errors.Is(test.err, test.want) {
			t.Errorf("%s: %v", name, test.err)
		}
	}
	err := error(&records.CorruptError{Key: "j/job-3", Err: missing})
	if !errors.Is(err, records.ErrCorrupt) || !errors.Is(err, records.ErrMissingPiece) {
		t.Errorf("%v matches neither", err)
	}
	for name, decode := range map[string]func(json.RawMessage) error{
		"job":         func(v json.RawMessage) error { _, err := records.DecodeJob("job-1", v, nil); return err },
		"piece":       func(v json.RawMessage) error { return records.JobPieces{}.Add("n/job-1/5-0", v) },
		"completions": func(v json.RawMessage) error { return records.DecodeCompletions(v, 5, func(int) {}) },
		"final state": func(v json.RawMessage) error { _, err := records.DecodeFinalState(v); return err },
		"starts":      func(v json.RawMessage) error { _, err := records.DecodeStarts(v); return err },
		"machine":     func(v json.RawMessage) error { _, err := records.DecodeMachineStarts("m1", v); return err },
		"types":       func(v json.RawMessage) error { _, err := records.DecodeMachineTypes(v); return err },
	} {
		if decode(json.RawMessage(`7`)) == nil {
			t.Errorf("%s: 7 is accepted as a record", name)
		}
	}
}

// TestStartsSizeIsAnUpperBound: an encoded record is never larger than its computed size.
func TestStartsSizeIsAnUpperBound(t *testing.T) {
	size, starts := records.NewStartsSize(), &records.Starts{}
	for m := range 20 {
		machine := records.MachineStarts{ID: fmt.Sprint("m", m), Type: "std-8", Zone: "a", Spot: m%2 == 0}
		for k := range 3 {
			id := fmt.Sprint("job-", k)
			var indexes []int
			for i := m; i < 100_000; i += 9973 {
				if with := size.BytesWith(machine, id); with <= size.Bytes() {
					t.Fatalf("%d bytes with another attempt, %d without", with, size.Bytes())
				}
				size.Add(machine, id)
				indexes = append(indexes, i)
			}
			machine.SetTasks(id, indexes)
		}
		starts.Machines = append(starts.Machines, machine)
	}
	if n := len(starts.Encode()); n > size.Bytes() {
		t.Errorf("%d bytes, bound %d", n, size.Bytes())
	}
}
