package peer

import (
	"os"
	"strings"
	"testing"

	"github.com/goccy/go-json"

	"switchshore.example/switchshore/internal/simulation"
	"switchshore.example/switchshore/wire"
)

// TestPreviousVersionMessages: messages of nodes of the version without job dependencies must be
// decoded without loss and encoded to the same text. Those nodes must reject a dependent job
// rather than run it without its dependencies.
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
				t.Errorf("incomplete: %s", text)
			}
		}
		if encoded, _ := json.Marshal(&m); string(encoded) != strings.TrimSpace(text) {
			t.Errorf("%s encoded as %s", text, encoded)
		}
	}
	if calls != 4 {
		t.Errorf("%d calls", calls)
	}
	job := &wire.Job{ID: "job-000001"}
	plain, _ := json.Marshal(NewSubmitCall(job))
	job.DependsOn = []string{"job-000002"}
	withDependencies, _ := json.Marshal(NewSubmitCall(job))
	if simulation.PreviousVersionRefuses(plain) || !simulation.PreviousVersionRefuses(withDependencies) {
		t.Errorf("%s\n%s", plain, withDependencies)
	}
	var c Call
	if err := json.Unmarshal(withDependencies, &c); err != nil || !c.isComplete() || len(c.Submission().DependsOn) != 1 {
		t.Errorf("%v %+v", err, c)
	}
}
