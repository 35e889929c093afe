package peer

import (
	"os"
	"strings"
	"testing"

	"github.com/goccy/go-json"

	"switchshore.example/switchshore/internal/simulation"
	"switchshore.example/switchshore/wire"
)

// TestPreviousVersionsLines: what nodes of the version before the dependent jobs
// send is understood in full, and read by those nodes as they wrote it when sent
// back; a dependent job is refused by them, not carried out without what it needs.
func TestPreviousVersionsLines(t *testing.T) {
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
		if again, _ := json.Marshal(&m); string(again) != strings.TrimSpace(text) {
			t.Errorf("%s read as %s", text, again)
		}
	}
	if calls != 4 {
		t.Errorf("%d calls", calls)
	}
	job := &wire.Job{ID: "job-000001"}
	plain, _ := json.Marshal(NewSubmitCall(job))
	job.DependsOn = []string{"job-000002"}
	chained, _ := json.Marshal(NewSubmitCall(job))
	if simulation.PreviousVersionRefuses(plain) || !simulation.PreviousVersionRefuses(chained) {
		t.Errorf("%s\n%s", plain, chained)
	}
	var c Call
	if err := json.Unmarshal(chained, &c); err != nil || !c.isComplete() || len(c.Submission().DependsOn) != 1 {
		t.Errorf("%v %+v", err, c)
	}
}
