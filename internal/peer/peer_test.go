package peer

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/goccy/go-json"
	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/simulation"
	"switchshore.example/switchshore/wire"
)

// TestIncompleteCallsAreRefused: a peer of another version may send calls
// without what this one needs; they are refused for now, and neither carried
// out nor the end of the link.
func TestIncompleteCallsAreRefused(t *testing.T) {
	h := NewHub(zerolog.Nop(), nil)
	h.Handle = func(_ context.Context, c Call) Response {
		if !c.complete() {
			t.Errorf("carried out: %+v", c)
		}
		return Response{Status: http.StatusOK}
	}
	ours, theirs := net.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go h.serve(ctx, theirs)
	answers := bufio.NewReader(ours)
	for _, c := range []struct{ call, want string }{
		{`{"call":{"id":1,"op":"report","body":{"deck":"i-1"}}}`, `"status":503`},
		{`{"call":{"id":2,"op":"submit","body":{}}}`, `"status":503`},
		{`{"call":{"id":3,"op":"query","job":"job-000001"}}`, `"status":200`},
	} {
		if _, err := ours.Write([]byte(c.call + "\n")); err != nil {
			t.Fatal(err)
		}
		if got, err := answers.ReadString('\n'); err != nil || !strings.Contains(got, c.want) {
			t.Errorf("%s: %s %v", c.call, got, err)
		}
	}
}

// TestPoliciesComeFromLeaders: a policy counts only from a peer that leads, and of its own
// term; what a peer is offered counts under the name of its link, and only while it is heard.
func TestPoliciesComeFromLeaders(t *testing.T) {
	h := NewHub(zerolog.Nop(), []config.Peer{{Name: "n1"}, {Name: "n2"}})
	h.OnHigherTerm = func(uint64) {}
	var heard []uint64
	h.OnPolicy = func(p admission.Policy) { heard = append(heard, p.Term) }
	for _, text := range []string{
		`{"node":"n1","term":4,"leads":true,"policy":{"term":4,"revision":9}}`,
		`{"node":"n1","term":5,"grace":true,"policy":{"term":5,"revision":9}}`,
		`{"node":"n1","term":6,"leads":true,"policy":{"term":7,"revision":9}}`,
		`{"node":"n2","term":8,"leads":true}`,
		`{"node":"n1","offers":{"node":"n2","started":3,"offers":[{"team":"blue","class":"c","count":7}]}}`,
		`{"node":"else","offers":{"node":"n2","started":3}}`,
	} {
		var b Heartbeat
		if err := json.Unmarshal([]byte(text), &b); err != nil {
			t.Fatal(err)
		}
		h.recordHeartbeat(&b)
	}
	if len(heard) != 1 || heard[0] != 4 {
		t.Errorf("policies of terms %v", heard)
	}
	if offers := h.Offers(); len(offers) != 1 || offers[0].Node != "n1" || offers[0].Loads[0].Count != 7 {
		t.Errorf("%+v", offers)
	}
}

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
			if calls++; !m.Call.complete() {
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
	plain, _ := json.Marshal(Submit(job))
	job.DependsOn = []string{"job-000002"}
	chained, _ := json.Marshal(Submit(job))
	if simulation.PreviousVersionRefuses(plain) || !simulation.PreviousVersionRefuses(chained) {
		t.Errorf("%s\n%s", plain, chained)
	}
	var c Call
	if err := json.Unmarshal(chained, &c); err != nil || !c.complete() || len(c.Submission().DependsOn) != 1 {
		t.Errorf("%v %+v", err, c)
	}
}
