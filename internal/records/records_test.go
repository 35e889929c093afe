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

const valueLimit = 2048 // bytes of a stored value

// TestLoadOrderCoversEveryKind: records of each kind are loaded, pieces before jobs, and jobs before
// the records that refer to them.
func TestLoadOrderCoversEveryKind(t *testing.T) {
	want := []string{"c/types", "n/", "j/", "d/", "f/", "m/", "s/", "e/", "b/"}
	if !slices.Equal(records.LoadOrder, want) {
		t.Errorf("load order %q, want %q", records.LoadOrder, want)
	}
}

// TestKeys checks the exact form of stored keys, which other versions of the program have to read.
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
			t.Errorf("got %q, want %q", key, want)
		}
	}
	if kind, id, ok := records.ParseKey("d/job-1/0"); kind != records.KindCompletions || id != "job-1/0" || !ok {
		t.Errorf("kind %q, id %q, ok %v, want d, job-1/0, true", kind, id, ok)
	}
	if _, _, ok := records.ParseKey("leader"); ok {
		t.Error("ok is true for a key without a slash")
	}
}

// TestStoredForms checks the exact form of stored values, which other versions of the program have to
// read.
func TestStoredForms(t *testing.T) {
	completed := intervals.New(3000)
	for _, i := range []int{0, 1, 2, 7, 1024, 1025} {
		completed.Add(i)
	}
	starts := &records.Starts{Machines: []records.MachineStarts{{ID: "m1", Type: "std-8", Zone: "a"}}}
	starts.Machines[0].SetTasks("job-1", []int{0, 1, 5})
	fullSizeChunk := records.NewCompletions("job-1", completed, 1, 16<<10)
	smallChunk := records.NewCompletions("job-1", completed, 0, valueLimit)
	for got, want := range map[string]string{
		string(records.FinalState{Outcome: records.OutcomeDone, TasksDone: 14}.Encode()):     `"d14"`,
		string(records.FinalState{Outcome: records.OutcomeCancelled, TasksDone: 3}.Encode()): `"c3"`,
		string(starts.Encode()):                            `{"machines":[{"id":"m1","type":"std-8","zone":"a","tasks":{"job-1":"0-1,5"}}]}`,
		fullSizeChunk.Key + string(fullSizeChunk.Encode()): `d/job-1/1"1024-1025"`,
		smallChunk.Key + string(smallChunk.Encode()):       `d/job-1/0-255"0-2,7"`,
	} {
		if got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}

// newJob returns a job that allows the given number of machine types, which determines its size.
func newJob(id string, machineTypes int) *wire.Job {
	j := &wire.Job{ID: id, Class: "c", Team: "blue", Tasks: 3, CPUs: 2, Image: "img", Zone: "a"}
	for i := range machineTypes {
		j.MachineTypes = append(j.MachineTypes, fmt.Sprintf("machine-type-%d", i))
	}
	return j
}

// TestJobRoundTripsThroughRecords: a job is decoded as it was submitted, whether or not it fits into
// one value, and no value exceeds the limit. Earlier versions of the program read a placeholder in
// place of a job that they would handle incorrectly.
func TestJobRoundTripsThroughRecords(t *testing.T) {
	dependent := newJob("job-2", 1)
	dependent.DependsOn = []string{"job-1"}
	for name, test := range map[string]struct {
		job         *wire.Job
		pieces      bool // the job is split into pieces
		placeholder bool // earlier versions read a placeholder
	}{
		"plain":     {job: newJob("job-1", 1)},
		"dependent": {job: dependent, placeholder: true},
		"long":      {job: newJob("job-3", 400), pieces: true, placeholder: true},
	} {
		t.Run(name, func(t *testing.T) {
			items := records.EncodeJob(test.job, 1700, 5, valueLimit)
			pieces, last := items[:len(items)-1], items[len(items)-1]
			loaded := records.JobPieces{}
			for _, piece := range pieces {
				if len(piece.Value) > valueLimit {
					t.Errorf("%s has %d bytes, want at most valueLimit", piece.Key, len(piece.Value))
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
				t.Errorf("decoded %+v, %d pieces are not used", stored, len(loaded))
			}
			if got, want := toJSON(t, stored.Job), toJSON(t, *test.job); got != want {
				t.Errorf("decoded %s, want %s", got, want)
			}
			if (len(pieces) > 0) != test.pieces {
				t.Errorf("%d pieces, want some exactly if the job is too large for one value", len(pieces))
			}
			var earlier struct {
				Job wire.Job `json:"job"`
			}
			if err := json.Unmarshal(last.Value, &earlier); err != nil {
				t.Fatal(err)
			}
			if hidden := earlier.Job.Image == "-" && len(earlier.Job.DependsOn) == 0; hidden != test.placeholder {
				t.Errorf("earlier versions read %+v, want a placeholder only for dependent and large jobs", earlier.Job)
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

// TestCorruptRecordsAreRejected: an invalid record is not decoded, and the error matches the reason.
func TestCorruptRecordsAreRejected(t *testing.T) {
	largeJob := records.EncodeJob(newJob("job-3", 400), 0, 5, valueLimit)
	_, missingPiece := records.DecodeJob("job-3", largeJob[len(largeJob)-1].Value, records.JobPieces{})
	_, otherJob := records.DecodeJob("job-2",
		records.EncodeJob(newJob("job-1", 1), 0, 5, valueLimit)[0].Value, nil)
	_, finalState := records.DecodeFinalState(json.RawMessage(`"x3"`))
	for name, test := range map[string]struct{ err, want error }{
		"missing piece": {missingPiece, records.ErrMissingPiece},
		"other job":     {otherJob, records.ErrJobIDMismatch},
		"final state":   {finalState, records.ErrUnknownFinalState},
	} {
		if !errors.Is(test.err, test.want) {
			t.Errorf("%s: got error %v, want that of the case", name, test.err)
		}
	}
	err := error(&records.CorruptError{Key: "j/job-3", Err: missingPiece})
	if !errors.Is(err, records.ErrCorrupt) || !errors.Is(err, records.ErrMissingPiece) {
		t.Errorf("%v does not match both ErrCorrupt and ErrMissingPiece", err)
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
			t.Errorf("%s: no error for the invalid value 7", name)
		}
	}
}

// TestStartsSizeIsAnUpperBound: an encoded start record is never larger than its StartsSize.
func TestStartsSizeIsAnUpperBound(t *testing.T) {
	size, starts := records.NewStartsSize(), &records.Starts{}
	for m := range 20 {
		machine := records.MachineStarts{ID: fmt.Sprint("m", m), Type: "std-8", Zone: "a", Spot: m%2 == 0}
		for k := range 3 {
			id := fmt.Sprint("job-", k)
			var indexes []int
			for i := m; i < 100_000; i += 9973 {
				if with := size.BytesWith(machine, id); with <= size.Bytes() {
					t.Fatalf("bound of %d bytes with one more attempt, %d without, want a larger one", with, size.Bytes())
				}
				size.Add(machine, id)
				indexes = append(indexes, i)
			}
			machine.SetTasks(id, indexes)
		}
		starts.Machines = append(starts.Machines, machine)
	}
	if n := len(starts.Encode()); n > size.Bytes() {
		t.Errorf("encoded record has %d bytes, want at most %d", n, size.Bytes())
	}
}
