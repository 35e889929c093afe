package peer

import (
	"os"
	"strings"
	"testing"

	"github.com/goccy/go-json"

	"switchshore.example/switchshore/internal/simulation"
	"switchshore.example/switchshore/wire"
)

// TestPreviousVersionMessages checks that messages from nodes of the version without job dependencies
// are decoded without loss: encoding them again must give the same text. Nodes of that version must
// reject a job with dependencies, because they would run it without waiting for them.
func TestPreviousVersionMessages(t *testing.T) {
	data, err := os.ReadFile("testdata/previous_version.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	calls := 0
	for text := range strings.Lines(string(data)) {
		var m message
		if err := json.Unmarshal([]byte(text), &m); err != nil {
			t.Fatal(err)
		}
		if m.Call != nil {
			if calls++; !m.Call.isComplete() {
				t.Errorf("this call counts as incomplete: %s", text)
			}
		}
		if encoded, _ := json.Marshal(&m); string(encoded) != strings.TrimSpace(text) {
			t.Errorf("got %s, want %s", encoded, text)
		}
	}
	if calls != 4 {
		t.Errorf("the file has %d calls, want 4", calls)
	}
	job := &wire.Job{ID: "job-000001"}
	withoutDependencies, _ := json.Marshal(NewSubmitCall(job))
	job.DependsOn = []string{"job-000002"}
	withDependencies, _ := json.Marshal(NewSubmitCall(job))
	if simulation.PreviousVersionRefuses(withoutDependencies) || !simulation.PreviousVersionRefuses(withDependencies) {
		t.Errorf("the previous version must accept\n%s\nand reject\n%s", withoutDependencies, withDependencies)
	}
	var c Call
	if err := json.Unmarshal(withDependencies, &c); err != nil || !c.isComplete() || len(c.Submission().DependsOn) != 1 {
		t.Errorf("got %+v, error %v, want a complete call with one dependency", c, err)
	}
}
