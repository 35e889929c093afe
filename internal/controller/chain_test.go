package controller_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/controller"
	"switchshore.example/switchshore/internal/ranges"
	"switchshore.example/switchshore/internal/sched"
	"switchshore.example/switchshore/internal/standin"
	"switchshore.example/switchshore/wire"
)

// tight gives the tests the smallest limits that operators have announced.
func tight(t *testing.T) {
	t.Helper()
	old := params
	t.Cleanup(func() { params = old })
	params.State.ValueKB, params.State.TxnOps, params.State.WriteRPS = 2, 8, 42
}

func chained(id string, needs ...string) *wire.Job {
	j := spec(id)
	j.Needs = needs
	return j
}

// ask submits a job without waiting until it is durable.
func (l *leader) ask(j *wire.Job) *controller.Verdict {
	v := &controller.Verdict{}
	l.Submit(l.now, l.now, j, func(got controller.Verdict) { *v = got })
	return v
}

func (l *leader) accept(jobs ...*wire.Job) {
	l.t.Helper()
	for _, j := range jobs {
		v := l.ask(j)
		l.commit()
		if v.Status != 201 {
			l.t.Fatalf("%s: %+v", j.ID, *v)
		}
	}
}

// some commits a batch of at most ops changes, of which spare need not be made.
func (l *leader) some(ops, spare int) int {
	b := l.NextBatch(ops, spare)
	if b == nil {
		return 0
	}
	l.keep(b.Writes)
	l.Committed(b, nil)
	return len(b.Writes)
}

// state is what a user would be told.
func (l *leader) state(id string) string {
	if v := l.Query(id); v.Status == 200 {
		return v.State
	} else {
		return fmt.Sprint(v.Status)
	}
}

func exited(task string, attempt uint64) wire.TaskReport {
	return wire.TaskReport{Task: task, Attempt: attempt, State: wire.TaskExited, Why: wire.WhyDone}
}

// TestNoStartBeforeTheNeedsAreDurable: a successor could run the earlier job
// again, or cancel it, as long as its end is only reported. What waits is no
// demand, and takes nothing of its team's guarantee.
func TestNoStartBeforeTheNeedsAreDurable(t *testing.T) {
	l, tr := running(t)
	l.accept(chained("job-2", "job-1"), spec("job-3"))
	if n := l.Counts(); n.Ready != 1 {
		t.Fatalf("%d tasks are ready, want that of job-3", n.Ready)
	}
	l.pass(time.Second)
	l.commit()
	if got := ops(l.report("m1", 1, tr)); got != "run job-3/0" {
		t.Fatalf("started %q", got)
	}
	tr.State, tr.Why = wire.TaskExited, wire.WhyDone
	l.report("m1", 1, tr)
	l.pass(time.Second)
	l.report("m3", 1)
	if n := l.Counts(); n.Held != 1 {
		t.Fatalf("%d tasks placed before the end of job-1 is durable, want that of job-3", n.Held)
	}
	if next := newLeader(t, 6, l.now, l.kept); next.state("job-2") != wire.JobQueued || next.Counts().Ready != 0 {
		t.Fatal("a successor starts job-2 although it does not know job-1 as done")
	}
	l.commit()
	l.pass(time.Second)
	l.commit()
	if got := ops(l.report("m3", 1)) + ops(l.report("m1", 1)); !strings.Contains(got, "run job-2/0") {
		t.Fatalf("not started: %q", got)
	}
	// A successor finds the same.
	next := newLeader(t, 6, l.now, l.kept)
	next.pass(time.Second)
	if n := next.Counts(); n.Held != 2 {
		t.Fatalf("%d tasks held after the succession", n.Held)
	}
}

// TestSubmissionsThatNeedOthers: what is accepted, refused and put off.
func TestSubmissionsThatNeedOthers(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.accept(spec("job-1"), spec("job-2"))
	l.Cancel(l.now, "job-2", func(controller.Verdict) {})
	l.commit()
	for _, c := range []struct {
		job    *wire.Job
		status int
		why    string
	}{
		{chained("job-3", "job-1", "job-404"), 422, "job-404"},
		{chained("job-3", "job-3"), 422, "job-3"},
		{chained("job-3", "else"), 422, "else"},
		{chained("job-3", strings.Repeat("<", 60_000)), 422, "<<"},
	} {
		if v := l.ask(c.job); v.Status != c.status || !strings.Contains(v.Why, c.why) || len(v.Why) > 300 {
			t.Errorf("%.60v: %d %.300s", c.job.Needs, v.Status, v.Why)
		}
	}
	// Known jobs are known, whatever they are said to need.
	if v := l.ask(chained("job-1", "job-404")); v.Status != 200 {
		t.Errorf("repeated: %+v", *v)
	}
	// An acceptance on its way is none yet.
	l.ask(spec("job-4"))
	if v := l.ask(chained("job-5", "job-4")); v.Status != 503 {
		t.Errorf("needs a job that is being accepted: %+v", *v)
	}
	l.commit()
	// What needs a cancelled job is accepted and cancelled: its user hears both
	// at once, as "queued" would be wrong long after the first cancellation.
	v := l.ask(chained("job-6", "job-1", "job-2"))
	if v.Status != 0 {
		t.Fatalf("told before it is durable: %+v", *v)
	}
	l.commit()
	if v.Status != 201 || v.State != wire.JobCancelled {
		t.Errorf("needs a cancelled job: %+v", *v)
	}
	next := newLeader(t, 6, l.now, l.kept)
	if got := next.state("job-6"); got != wire.JobCancelled {
		t.Errorf("after a succession: %s", got)
	}
}

// TestCancellationGoesThrough: a job with two thousand that need it, in two
// layers, and a chain a thousand long are cancelled with it, in bounded steps;
// a leader that dies in the middle leaves nothing half done, nobody is told that
// one of them waits once it is known that it won't run, and whoever submits
// meanwhile is not held up.
func TestCancellationGoesThrough(t *testing.T) {
	tight(t)
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.accept(spec("job-0"), spec("job-1"))
	var all []string
	add := func(needs ...string) string {
		id := fmt.Sprintf("job-%d", 1000+len(all))
		all = append(all, id)
		l.accept(chained(id, needs...))
		return id
	}
	for range 1000 {
		add(add("job-0"), "job-1")
	}
	last := "job-0"
	for range 1000 {
		last = add(last)
	}
	told := controller.Verdict{}
	l.Cancel(l.now, "job-0", func(v controller.Verdict) { told = v })
	for told.Status == 0 {
		l.some(7, 0)
	}
	l.pass(time.Second)
	if l.some(7, 0) == 0 {
		t.Fatal("what follows waits for others to want nothing")
	}
	rounds, worst := 0, 0
	for ended := 0; ended < len(all); rounds++ {
		if rounds == 40 {
			// Most of it is still to be done.
			l = newLeader(t, 6, l.now, l.kept)
		}
		if rounds > 700 {
			t.Fatalf("%d of %d ended", ended, len(all))
		}
		l.pass(200 * time.Millisecond)
		v := l.ask(spec(fmt.Sprintf("job-%d", 10_000+rounds)))
		wait := 0
		for ; v.Status == 0; wait++ {
			l.some(7, 7)
		}
		worst = max(worst, wait)
		l.some(7, 7)
		l.some(7, 7)
		ended = 0
		for _, id := range all {
			if _, ok := l.kept["f/"+id]; ok {
				ended++
			}
			if got := l.state(id); rounds >= 40 && got != wire.JobCancelled && got != "503" {
				t.Fatalf("%s is called %s", id, got)
			}
		}
	}
	if worst > 1 {
		t.Errorf("a submission waited for %d transactions", worst)
	}
	if got := l.state("job-1"); got != wire.JobQueued {
		t.Errorf("an earlier job is called %s", got)
	}
	for range 3000 {
		l.some(7, 7)
	}
	next := newLeader(t, 7, l.now, l.kept)
	for _, id := range all {
		if got := next.state(id); got != wire.JobCancelled {
			t.Fatalf("%s is called %s after all", id, got)
		}
	}
}

// TestCancelledTooLate: a cancellation that is answered with done takes nothing
// along.
func TestCancelledTooLate(t *testing.T) {
	l, tr := running(t)
	l.accept(chained("job-2", "job-1"))
	tr.State, tr.Why = wire.TaskExited, wire.WhyDone
	l.report("m1", 1, tr)
	var v controller.Verdict
	l.Cancel(l.now, "job-1", func(got controller.Verdict) { v = got })
	l.commit()
	if v.State != wire.JobDone {
		t.Fatalf("%+v", v)
	}
	l.pass(time.Second)
	if got := l.state("job-2"); got != wire.JobQueued || l.Counts().Held != 1 {
		t.Fatalf("job-2 is called %s, %d held", got, l.Counts().Held)
	}
}

// TestWaitsStartWhenTheNeedsAreDone: a job that had to wait for another one is no
// older than what came while it did.
func TestWaitsStartWhenTheNeedsAreDone(t *testing.T) {
	l, tr := running(t)
	late, other := chained("job-2", "job-1"), spec("job-3")
	late.CPUs, other.CPUs = 8, 8
	l.accept(late)
	for second := range 60 {
		if second == 30 {
			l.accept(other)
		}
		l.pass(time.Second)
		l.commit()
		if got := ops(l.report("m1", 1, tr)); got != "" {
			t.Fatalf("there is no room: %s", got)
		}
	}
	tr.State, tr.Why = wire.TaskExited, wire.WhyDone
	l.report("m1", 1, tr)
	l.commit()
	l.pass(time.Second)
	l.commit()
	got := ops(l.report("m1", 1))
	if !strings.HasPrefix(got, "run job-3/0") {
		t.Fatalf("job-2 counts as waiting since its submission: %s", got)
	}
}

// TestPathDecides: an idle first stage goes before a normal job when the last
// one of its chain is urgent, and no more once that is cancelled; a successor
// finds the same.
func TestPathDecides(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		for _, succession := range []bool{false, true} {
			l := newLeader(t, 5, start, map[string]json.RawMessage{})
			first, other := spec("job-1"), spec("job-2")
			first.Priority, first.CPUs = wire.PriorityIdle, 8
			other.Priority, other.CPUs = wire.PriorityNormal, 8
			l.accept(first, other, chained("job-3", "job-1"))
			last := chained("job-4", "job-3")
			deadline := 70.0
			last.DeadlineS = &deadline
			l.accept(last)
			l.Tick(l.now, false)
			if cancelled {
				l.Cancel(l.now, "job-4", func(controller.Verdict) {})
				l.Cancel(l.now, "job-3", func(controller.Verdict) {})
				l.commit()
			}
			if succession {
				l = newLeader(t, 6, l.now, l.kept)
			}
			l.report("m1", 1)
			l.pass(time.Second)
			l.commit()
			want := "run job-1/0"
			if cancelled {
				want = "run job-2/0"
			}
			if got := ops(l.report("m1", 1)); got != want {
				t.Errorf("cancelled %v, succession %v: %q, want %q", cancelled, succession, got, want)
			}
		}
	}
}

// TestTightestPath: of two chains of one priority that begin alike the one with
// less time goes first, though its own first stage has no deadline.
func TestTightestPath(t *testing.T) {
	old := params
	defer func() { params = old }()
	params.Teams = []config.Team{{Name: "blue", CPUs: 16, CPUsMax: 16}}
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	for i, deadline := range []float64{400, 200} {
		first, last := spec(fmt.Sprint("job-1", i)), chained(fmt.Sprint("job-3", i), fmt.Sprint("job-2", i))
		first.CPUs = 8
		last.DeadlineS = &deadline
		l.accept(first, chained(fmt.Sprint("job-2", i), first.ID), last)
	}
	l.report("m1", 1)
	l.pass(time.Second)
	l.commit()
	if got := ops(l.report("m1", 1)); got != "run job-11/0" {
		t.Fatal(got)
	}
}

// TestLongNeedsFitSmallValues: a valid job is not refused for the length of what
// it needs or allows. Whenever a leader dies between the writes, there is the
// whole job or none, and pieces that nothing names any more are cleaned up.
func TestLongNeedsFitSmallValues(t *testing.T) {
	tight(t)
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	long := chained("job-999999999")
	for i := range 400 {
		id := fmt.Sprintf("job-%d", 1000+i)
		l.accept(spec(id))
		long.Needs = append(long.Needs, id)
	}
	long.Types = []string{"std-8"}
	for i := range 100 {
		long.Types = append(long.Types, fmt.Sprintf("machine-type-%d", i))
	}
	v := l.ask(long)
	for step := 0; v.Status == 0; step++ {
		kept := maps.Clone(l.kept)
		next := newLeader(t, 6, l.now, kept)
		if next.Query(long.ID).Status != 404 {
			t.Fatal("known before the last write")
		}
		// The same job again, over what the other has left.
		again := next.ask(long)
		next.commit()
		if again.Status != 201 || next.state(long.ID) != wire.JobQueued {
			t.Fatalf("%+v", *again)
		}
		other := newLeader(t, 7, l.now, kept)
		if other.state(long.ID) != wire.JobQueued {
			t.Fatal("lost by a successor")
		}
		other.commit()
		for key := range kept {
			if strings.HasPrefix(key, "n/"+long.ID+"/5-") {
				t.Fatalf("%s is left", key)
			}
		}
		l.some(1, 1)
	}
	if v.Status != 201 {
		t.Fatalf("%+v", *v)
	}
	pieces := 0
	for key, value := range l.kept {
		if len(value) > 2048 {
			t.Errorf("%s has %d bytes", key, len(value))
		}
		if strings.HasPrefix(key, "n/") {
			pieces++
		}
	}
	if pieces < 3 {
		t.Errorf("%d pieces", pieces)
	}
	next := newLeader(t, 8, l.now, l.kept)
	next.Cancel(next.now, long.Needs[17], func(controller.Verdict) {})
	next.commit()
	next.pass(time.Second)
	next.commit()
	if got := next.state(long.ID); got != wire.JobCancelled {
		t.Errorf("a need was lost: called %s", got)
	}
	for key := range next.kept {
		if strings.HasPrefix(key, "n/") {
			t.Errorf("%s is left", key)
		}
	}
}

// formerLeader reads what is kept as the former version does.
func formerLeader(t *testing.T, term uint64, now time.Time, kept map[string]json.RawMessage) *leader {
	t.Helper()
	old := params
	defer func() { params = old }()
	params.State.ValueKB = 16
	read := map[string]json.RawMessage{}
	for key, value := range kept {
		if item, ok := standin.FormerReads(wire.Item{Key: key, Value: value}); ok {
			read[key] = item.Value
		}
	}
	l := newLeader(t, term, now, read)
	l.kept = kept
	return l
}

// formerCommit makes the changes that the former version would make.
func (l *leader) formerCommit() {
	for b := l.NextBatch(10, 10); b != nil; b = l.NextBatch(10, 10) {
		l.keep(standin.FormerWrites(b.Writes))
		l.Committed(b, nil)
	}
}

func formerRecords(t *testing.T) map[string]json.RawMessage {
	t.Helper()
	data, err := os.ReadFile("testdata/former.json")
	if err != nil {
		t.Fatal(err)
	}
	var records, kept map[string]json.RawMessage
	if err := json.Unmarshal(data, &records); err != nil {
		t.Fatal(err)
	}
	kept = map[string]json.RawMessage{}
	for key, value := range records {
		var b bytes.Buffer
		_ = json.Compact(&b, value)
		kept[key] = b.Bytes()
	}
	return kept
}

// TestDoneSetsOfBothVersions: the completions that the former version stored,
// in values larger than they may be now, and new ones in smaller parts, survive
// leaders of both versions in any order, and are gone when the job is.
func TestDoneSetsOfBothVersions(t *testing.T) {
	tight(t)
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		kept := formerRecords(t)
		want := ranges.New(3000)
		for key, value := range kept {
			var text string
			if strings.HasPrefix(key, "d/job-1/") && json.Unmarshal(value, &text) == nil {
				_ = ranges.Each(text, 3000, func(i int) { want.Add(i) })
			}
		}
		if seed == 0 && want.Len() != 1667 {
			t.Fatalf("%d completions in the records", want.Len())
		}
		now := start.Add(time.Minute)
		for term := uint64(8); !want.Full(); term++ {
			former := rng.IntN(2) == 0 && want.Len() < 2900
			var l *leader
			if former {
				l = formerLeader(t, term, now, kept)
			} else {
				l = newLeader(t, term, now, kept)
			}
			if v := l.Query("job-1"); v.Done != want.Len() {
				t.Fatalf("seed %d, term %d, former %v: %d done, want %d", seed, term, former, v.Done, want.Len())
			}
			var list []wire.TaskReport
			for range 150 {
				if i := rng.IntN(3000); want.Add(i) {
					list = append(list, exited(wire.TaskName("job-1", i), 1))
				}
			}
			for i := 0; want.Len() >= 2900 && i < 3000; i++ {
				if want.Add(i) {
					list = append(list, exited(wire.TaskName("job-1", i), 1))
				}
			}
			l.report("m9", 1, list...)
			l.pass(2 * time.Second)
			if former {
				l.formerCommit()
			} else {
				l.commit()
			}
			now = l.now
		}
		next := newLeader(t, 1000, now, kept)
		if got := next.state("job-1"); got != wire.JobDone {
			t.Fatalf("seed %d: %s", seed, got)
		}
		next.pass(40 * time.Second)
		next.commit()
		for key := range kept {
			if strings.HasPrefix(key, "d/") {
				t.Errorf("seed %d: %s is left", seed, key)
			}
		}
	}
}

// TestRecordsOfTheFormerVersion: jobs, ends, starts and the catalogue are taken
// over as they are, and no job without needs is stored in another form.
func TestRecordsOfTheFormerVersion(t *testing.T) {
	tight(t)
	kept := formerRecords(t)
	l := newLeader(t, 8, start.Add(time.Minute), kept)
	for id, want := range map[string]string{"job-1": wire.JobQueued, "job-2": wire.JobDone, "job-3": wire.JobCancelled, "job-4": wire.JobQueued} {
		if got := l.state(id); got != want {
			t.Errorf("%s: %s, want %s", id, got, want)
		}
	}
	if n := l.Counts(); n.Held == 0 || n.Machines != 2 && n.Machines != 1 {
		t.Errorf("%+v", n)
	}
	record := kept["j/job-4"]
	same := newLeader(t, 8, start, map[string]json.RawMessage{})
	same.accept(spec("job-4"))
	if got := same.kept["j/job-4"]; !bytes.Equal(got, record) {
		t.Errorf("stored as\n%s, formerly\n%s", got, record)
	}
}

// TestFormerVersionKeepsChainedJobs: a leader of the former version knows a
// chained job and can cancel it, but has no machine for it, whatever the cloud
// offers; what it does not know of it leaves.
func TestFormerVersionKeepsChainedJobs(t *testing.T) {
	tight(t)
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.accept(spec("job-1"))
	many := chained("job-3", "job-1")
	for i := range 300 {
		many.Types = append(many.Types, fmt.Sprintf("type-%d", i))
	}
	many.Types = append(many.Types, "std-8")
	l.accept(chained("job-2", "job-1"), many)
	for key, value := range l.kept {
		item, ok := standin.FormerReads(wire.Item{Key: key, Value: value})
		var rec struct {
			Job wire.Job `json:"job"`
		}
		if !ok || key == "j/job-1" || json.Unmarshal(item.Value, &rec) != nil || rec.Job.ID == "" {
			continue
		}
		probe := sched.Ready{Types: rec.Job.Types, Zone: rec.Job.Zone, Spot: true, Need: sched.Resources{CPUs: rec.Job.CPUs}, Total: 1}
		if probe.Allowed(&sched.Machine{Type: "std-8", Zone: "a", Total: sched.Resources{CPUs: 8, MemoryGB: 32}}) {
			t.Errorf("%s could be started: %s", key, value)
		}
	}
	before := slices.Sorted(maps.Keys(l.kept))
	former := formerLeader(t, 6, l.now, l.kept)
	for range 2 {
		former.report("m1", 1)
		former.pass(time.Second)
		former.formerCommit()
	}
	if got := former.Counts().Held; got != 1 {
		t.Errorf("%d tasks placed, want that of job-1", got)
	}
	if former.state("job-2") != wire.JobQueued || former.state("job-3") != wire.JobQueued {
		t.Error("not known")
	}
	former.Cancel(former.now, "job-2", func(controller.Verdict) {})
	former.formerCommit()
	next := newLeader(t, 7, former.now, l.kept)
	if next.state("job-2") != wire.JobCancelled || next.state("job-3") != wire.JobQueued {
		t.Errorf("job-2 %s, job-3 %s, of %v", next.state("job-2"), next.state("job-3"), before)
	}
}

// TestDamagedRecords: what can be done without is left out by its key; what
// can't be keeps the service from starting. Jobs that need themselves, which no
// submission can bring about, wait and can be cancelled; nothing loops.
func TestDamagedRecords(t *testing.T) {
	tight(t)
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.accept(spec("job-1"), chained("job-2", "job-1"), chained("job-3", "job-2"))
	load := func(kept map[string]json.RawMessage) (*controller.Controller, string, error) {
		var logs bytes.Buffer
		c := controller.New(zerolog.New(&logs), params, config.Operator{}, 6, l.now, 0)
		for _, prefix := range controller.Prefixes {
			for _, key := range slices.Sorted(maps.Keys(kept)) {
				if !strings.HasPrefix(key, prefix) {
					continue
				}
				if err := c.Load(l.now, l.now, wire.Item{Key: key, Value: kept[key]}); err != nil {
					return nil, logs.String(), err
				}
			}
		}
		c.Loaded(l.now)
		return c, logs.String(), nil
	}
	long := spec("job-5")
	for i := range 200 {
		long.Types = append(long.Types, fmt.Sprint("type-", i))
	}
	long.Types[0] = "std-8"
	l.accept(long)
	for key, named := range map[string]string{"d/job-1/0": "", "c/types": "", "n/job-1/5-0": "", "n/job-5/5-1": "j/job-5", "j/job-1": "j/job-1", "f/job-1": "f/job-1", "s/1-1": "s/1-1"} {
		kept := maps.Clone(l.kept)
		kept[key] = json.RawMessage(`7`)
		_, logs, err := load(kept)
		if (err != nil) != (named != "") || err != nil && !strings.Contains(err.Error(), named) || err == nil && !strings.Contains(logs, key) {
			t.Errorf("%s: %v, logs %s", key, err, logs)
		}
	}
	kept := maps.Clone(l.kept)
	kept["j/job-2"] = bytes.ReplaceAll(kept["j/job-2"], []byte(`"awaits":["job-1"]`), []byte(`"awaits":["job-3"]`))
	c, logs, err := load(kept)
	if err != nil || !strings.Contains(logs, "j/job-2") || !strings.Contains(logs, "j/job-3") {
		t.Fatalf("%v, logs %s", err, logs)
	}
	urgent := chained("job-4", "job-3")
	deadline := 100.0
	urgent.DeadlineS = &deadline
	c.Submit(l.now, l.now, urgent, func(controller.Verdict) {})
	for range 5 {
		c.Tick(l.now, true)
	}
	if n := c.Counts().Chain; n != 0 {
		t.Errorf("%d steps left for jobs that need themselves", n)
	}
	if v := c.Query("job-3"); v.State != wire.JobQueued {
		t.Errorf("%+v", v)
	}
	c.Cancel(l.now, "job-3", func(controller.Verdict) {})
	for b := c.NextBatch(10, 10); b != nil; b = c.NextBatch(10, 10) {
		c.Committed(b, nil)
		c.Tick(l.now, true)
	}
	if v := c.Query("job-2"); v.State != wire.JobCancelled {
		t.Errorf("%+v", v)
	}
}

// TestRefusedRecord: a start record that the state service refuses although it
// should take it holds nothing up: its tasks are placed anew, and all other
// changes are made.
func TestRefusedRecord(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.accept(spec("job-1"))
	l.report("m1", 1)
	l.pass(time.Second)
	b := l.NextBatch(10, 10)
	if b == nil || !strings.HasPrefix(b.Writes[0].Put, "s/") {
		t.Fatal("no start record")
	}
	l.Committed(b, []string{b.Writes[0].Put})
	if cs := l.report("m1", 1); len(cs) != 0 {
		t.Fatalf("started without a record: %s", ops(cs))
	}
	l.pass(time.Second)
	l.commit()
	if got := ops(l.report("m1", 1)); got != "run job-1/0" {
		t.Fatal(got)
	}
}

// TestOversizedChangeIsNotSent: a change above the state service's limit is found
// before it is sent, named in the logs, and holds up no other.
func TestOversizedChangeIsNotSent(t *testing.T) {
	old := params
	defer func() { params = old }()
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.accept(spec("job-1"), spec("job-2"))
	params.State.ValueKB = 0.05 // less than any start record takes
	var logs bytes.Buffer
	c := controller.New(zerolog.New(&logs), params, config.Operator{}, 6, l.now, 0)
	for _, id := range []string{"job-1", "job-2"} {
		if err := c.Load(l.now, l.now, wire.Item{Key: "j/" + id, Value: l.kept["j/"+id]}); err != nil {
			t.Fatal(err)
		}
	}
	c.Loaded(l.now)
	c.SetTypes([]wire.MachineType{bigType})
	next := &leader{Controller: c, t: t, now: l.now, kept: l.kept}
	next.report("m1", 1)
	next.pass(time.Second)
	c.Cancel(next.now, "job-2", func(controller.Verdict) {})
	b := c.NextBatch(10, 10)
	if b == nil || len(b.Writes) != 1 || b.Writes[0].Put != "f/job-2" {
		t.Fatalf("%+v", b)
	}
	c.Committed(b, nil)
	if !strings.Contains(logs.String(), `"key":"s/`) {
		t.Errorf("not named: %s", logs.String())
	}
	if n := c.Counts(); n.Held != 0 || n.Ready != 1 {
		t.Errorf("the task of the record left out is lost: %+v", n)
	}
}

// TestEndedJobsHoldNoGuarantee: what is cancelled, or waits for others, leaves
// its team's guarantee to the next job.
func TestEndedJobsHoldNoGuarantee(t *testing.T) {
	old := params
	defer func() { params = old }()
	params.Teams = []config.Team{{Name: "blue", CPUs: 16, CPUsMax: 32}, {Name: "green", CPUs: 8, CPUsMax: 16}}
	for _, waits := range []bool{false, true} {
		l := newLeader(t, 5, start, map[string]json.RawMessage{})
		first, second, other := spec("job-1"), spec("job-2"), spec("job-3")
		first.Tasks, first.CPUs, second.CPUs, other.CPUs, other.Team = 2, 8, 8, 8, "green"
		if waits {
			running := spec("job-0")
			running.CPUs = 8
			l.accept(running)
			l.report("m2", 1)
			l.pass(time.Second)
			l.commit()
			if got := ops(l.report("m2", 1)); got != "run job-0/0" {
				t.Fatal(got)
			}
			first.Needs = []string{running.ID}
		}
		l.accept(first)
		l.now = l.now.Add(time.Second)
		l.accept(second)
		l.now = l.now.Add(time.Second)
		l.accept(other)
		if !waits {
			l.Cancel(l.now, first.ID, func(controller.Verdict) {})
			l.commit()
		}
		l.report("m1", 1)
		l.pass(time.Second)
		l.commit()
		if got := ops(l.report("m1", 1)); got != "run job-2/0" {
			t.Errorf("waits %v: %q", waits, got)
		}
	}
}
