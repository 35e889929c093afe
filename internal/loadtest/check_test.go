package loadtest

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"switchshore.example/switchshore/wire"
)

var checkOptions = CheckOptions{Begin: 0, End: 20 * time.Second, Window: 10 * time.Second, Objectives: []Objective{{"urgent", 11 * time.Second, 1}}}

func submitted(job string, at int64, status int32) Exchange {
	e := Exchange{SentMS: at, Op: OpSubmit, Job: job, Team: "blue", Class: "urgent", Status: status}
	if status/100 == 2 {
		e.State = wire.JobQueued
	}
	return e
}

func queried(job string, at int64, status int32, state string) Exchange {
	return Exchange{SentMS: at, Op: OpQuery, Job: job, Team: "blue", Class: "urgent", Status: status, State: state}
}

// validHistory returns a history without problems.
func validHistory() []Exchange {
	return []Exchange{
		submitted("job-1", 0, 429), submitted("job-1", 2000, 503), submitted("job-1", 3000, 201),
		queried("job-1", 5000, 200, wire.JobRunning), queried("job-1", 6000, 503, ""),
		submitted("job-2", 6500, 429), submitted("job-3", 12_000, 201), submitted("job-3", 13_000, 200),
		queried("job-1", 14_000, 200, wire.JobDone), queried("job-3", 15_000, 200, wire.JobDone),
		{SentMS: 16_000, Op: OpGiveUp, Job: "job-2", Team: "blue", Class: "urgent"},
	}
}

// TestCheckFindsEachProblem: Check finds no problem in a valid history, and finds each kind of problem.
func TestCheckFindsEachProblem(t *testing.T) {
	if problems := Check(validHistory(), checkOptions); len(problems) > 0 {
		t.Fatal(problems)
	}
	for name, c := range map[string]struct {
		change func([]Exchange) []Exchange
		want   string
	}{
		"no final response": {func(h []Exchange) []Exchange { return h[:len(h)-1] }, "job-2: no final answer"},
		"never ends":        {func(h []Exchange) []Exchange { return append(h[:8:8], h[9:]...) }, "job-1: accepted, and not over"},
		"given up after acceptance": {func(h []Exchange) []Exchange {
			return append(h, Exchange{SentMS: 17_000, Op: OpGiveUp, Job: "job-1", Team: "blue", Class: "urgent"})
		}, "given up after it was accepted"},
		"unknown after acceptance":  {func(h []Exchange) []Exchange { return append(h, queried("job-1", 17_000, 404, "")) }, "answered 404"},
		"rejected after acceptance": {func(h []Exchange) []Exchange { return append(h, submitted("job-1", 17_000, 422)) }, "answered 422"},
		"known before acceptance":   {func(h []Exchange) []Exchange { return append(h, queried("job-9", 17_000, 200, wire.JobDone)) }, "known before"},
		"leaves its final state":    {func(h []Exchange) []Exchange { return append(h, queried("job-1", 17_000, 200, wire.JobRunning)) }, "called done, and then running"},
		"done too late": {func(h []Exchange) []Exchange {
			h[8].SentMS = 14_001
			return h
		}, "urgent: 1 of 2 accepted jobs done within 11s"},
		"no progress": {func(h []Exchange) []Exchange {
			rejected, giveUp := submitted("job-4", 17_000, 429), Exchange{SentMS: 18_000, Op: OpGiveUp, Job: "job-4", Team: "blue", Class: "nightly"}
			rejected.Class = "nightly"
			return append(h, rejected, giveUp)
		}, "blue/nightly: none of 1 tries accepted from 10s"},
	} {
		if found := strings.Join(Check(c.change(validHistory()), checkOptions), "\n"); !strings.Contains(found, c.want) {
			t.Errorf("%s: found %q", name, found)
		}
	}
}

// TestHistoryRoundTrip: a history written to a Parquet file is read back in the order of the responses,
// and its summary and report can be computed.
func TestHistoryRoundTrip(t *testing.T) {
	path := filepath.Join(t.TempDir(), "history.parquet")
	written := validHistory()
	written[0], written[3] = written[3], written[0]
	if err := SaveHistory(path, written); err != nil {
		t.Fatal(err)
	}
	read, err := LoadHistory(path)
	if err != nil || len(read) != len(written) || read[0] != validHistory()[0] {
		t.Fatalf("%v %+v", err, read)
	}
	rows := SummarizeByClass(read)
	if len(rows) != 1 || rows[0].Submitted != 3 || rows[0].Accepted != 2 || rows[0].Abandoned != 1 || rows[0].AcceptP50 != 0 || rows[0].AcceptP95 != 3*time.Second {
		t.Errorf("%+v", rows)
	}
	result, err := NewResult("test", read, checkOptions)
	if err != nil || len(result.Problems) > 0 {
		t.Fatalf("%v %+v", err, result)
	}
	var page bytes.Buffer
	if err := WriteReport(&page, []*Result{result}); err != nil || !strings.Contains(page.String(), "data:image/png;base64,") {
		t.Errorf("%v: %.200s", err, page.String())
	}
	if _, err := LoadHistory(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("a missing history was loaded")
	}
}

// TestJain: the index is 1 if all teams have what max-min fairness gives them, also if one submits far
// more, and falls when a flood displaces the others.
func TestJain(t *testing.T) {
	fair := JainIndex([]ClassSummary{{Team: "a", Submitted: 1000, Accepted: 50}, {Team: "b", Submitted: 30, Accepted: 30}})
	displaced := JainIndex([]ClassSummary{{Team: "a", Submitted: 1000, Accepted: 78}, {Team: "b", Submitted: 30, Accepted: 2}})
	if fair < 0.999 || displaced > 0.8 {
		t.Errorf("fair %v, displaced %v", fair, displaced)
	}
}
