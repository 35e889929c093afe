package controller_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/controller"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

var (
	start   = time.Unix(1_700_000_000, 0)
	bigType = wire.MachineType{Name: "std-8", CPUs: 8, MemoryGB: 32, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 10, Zones: []string{"a"}}
	params  = config.Params{
		Teams:   []config.Team{{Name: "blue", CPUs: 8, CPUsMax: 16}},
		Workers: config.Workers{ReportS: 3, LeaseS: 15, CancelS: 45},
		State:   config.State{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 48},
		Cloud:   config.Cloud{RPS: 5, ListLagS: 4},
	}
)

func spec(id string) *wire.Job {
	return &wire.Job{
		ID: id, Class: "c", Team: "blue", Kind: wire.KindArray, Priority: wire.PriorityHigh,
		Tasks: 1, CPUs: 2, MemoryGB: 1, Image: "img", ImageGB: 1, Spot: true, EstimateS: 30,
	}
}

// leader is a controller with a map in the place of the state service.
type leader struct {
	*controller.Controller
	t    *testing.T
	now  time.Time
	kept map[string]json.RawMessage
	seq  uint64
}

func newLeader(t *testing.T, term uint64, now time.Time, kept map[string]json.RawMessage) *leader {
	t.Helper()
	c := controller.New(zerolog.Nop(), params, config.Operator{}, term, now, controller.Grace(params.Workers))
	for _, prefix := range controller.Prefixes {
		for _, k := range slices.Sorted(maps.Keys(kept)) {
			if strings.HasPrefix(k, prefix) {
				if err := c.Load(now, now, wire.Item{Key: k, Value: kept[k]}); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	c.Loaded(now)
	c.SetTypes([]wire.MachineType{bigType})
	return &leader{Controller: c, t: t, now: now, kept: kept}
}

// keep makes changes durable.
func (l *leader) keep(writes []wire.Write) {
	for _, w := range writes {
		if w.Delete != "" {
			delete(l.kept, w.Delete)
		} else {
			l.kept[w.Put] = w.Value
		}
	}
}

// commit makes all queued changes durable.
func (l *leader) commit() {
	for b := l.NextBatch(10, 10); b != nil; b = l.NextBatch(10, 10) {
		l.keep(b.Writes)
		l.Committed(b, nil)
	}
}

func (l *leader) pass(d time.Duration) {
	l.now = l.now.Add(d)
	l.Tick(l.now, true)
}

func (l *leader) report(machine string, session uint64, tasks ...wire.TaskReport) []wire.Command {
	l.t.Helper()
	l.seq++
	a, receipt := l.Report(l.now, &wire.Report{
		Machine: machine, Addr: machine + ":9", Type: "std-8", Zone: "a", Session: session, Seq: l.seq, Token: l.Term(), Tasks: tasks,
	}, true)
	if receipt == controller.Superseded {
		l.t.Fatal("report refused")
	}
	return a.Commands
}

// planned returns the machines of a release that the planner asks for now, if
// the given one is among them.
func (l *leader) planned(machine string) []string {
	for _, c := range l.Plan(l.now) {
		if c.Op == controller.CloudRelease && slices.Contains(c.Release, machine) {
			return c.Release
		}
	}
	return nil
}

// onlyAfterRelease checks that the task of m1 does not go to m2 before m1 is
// released, that it is released, and that the task goes to m2 then. each runs
// in every step.
func (l *leader) onlyAfterRelease(step time.Duration, each func()) {
	l.t.Helper()
	for range 40 {
		l.pass(step)
		each()
		l.report("m2", 1)
		l.commit()
		if cs := l.report("m2", 1); len(cs) != 0 {
			l.t.Fatalf("placed elsewhere before the release: %s", ops(cs))
		}
		if release := l.planned("m1"); release != nil {
			l.Released(l.now, release)
			l.pass(time.Second)
			l.commit()
			if cs := l.report("m2", 1); ops(cs) != "run job-1/0" {
				l.t.Fatalf("after the release: %q", ops(cs))
			}
			return
		}
	}
	l.t.Fatal("not released")
}

func (l *leader) submit(id string) {
	l.t.Helper()
	var got controller.Verdict
	l.Submit(l.now, l.now, spec(id), func(v controller.Verdict) { got = v })
	if got.Status != 0 {
		l.t.Fatalf("answered %d before the job was durable", got.Status)
	}
	l.commit()
	if got.Status != 201 {
		l.t.Fatalf("submission: %+v", got)
	}
}

func ops(cs []wire.Command) string {
	var out []string
	for _, c := range cs {
		out = append(out, c.Op+" "+c.Task)
	}
	return strings.Join(out, ", ")
}

// running brings one job's only task to run on m1.
func running(t *testing.T) (*leader, wire.TaskReport) {
	t.Helper()
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.submit("job-1")
	l.report("m1", 1)
	l.pass(time.Second)
	if cs := l.report("m1", 1); len(cs) != 0 {
		t.Fatalf("started before its record was durable: %s", ops(cs))
	}
	l.commit()
	cs := l.report("m1", 1)
	if ops(cs) != "run job-1/0" {
		t.Fatalf("want a start, got %q", ops(cs))
	}
	tr := wire.TaskReport{Task: "job-1/0", Attempt: cs[0].Attempt, State: wire.TaskRunning}
	if cs := l.report("m1", 1, tr); len(cs) != 0 {
		t.Fatal(ops(cs))
	}
	return l, tr
}

// TestDoneIsDurableBeforeForget: the worker's memory of a completion is the
// only one until the state service has it, and users hear of it only then.
func TestDoneIsDurableBeforeForget(t *testing.T) {
	l, tr := running(t)
	tr.State, tr.Why = wire.TaskExited, wire.WhyDone
	if cs := l.report("m1", 1, tr); len(cs) != 0 {
		t.Fatalf("before it is durable: %s", ops(cs))
	}
	if v := l.Query("job-1"); v.State == wire.JobDone {
		t.Fatal("told before it is durable")
	}
	l.commit()
	if v := l.Query("job-1"); v.State != wire.JobDone || v.Done != 1 {
		t.Fatalf("%+v", v)
	}
	if cs := l.report("m1", 1, tr); ops(cs) != "reap job-1/0" {
		t.Fatal(ops(cs))
	}
	l.commit()
	for key := range l.kept {
		if strings.HasPrefix(key, "s/") || strings.HasPrefix(key, "j/") {
			t.Errorf("%s is still stored", key)
		}
	}
	later := newLeader(t, 6, l.now, l.kept)
	if v := later.Query("job-1"); v.State != wire.JobDone || v.Done != 1 {
		t.Fatalf("after a succession: %+v", v)
	}
}

// TestLostSessionStaysLost: after a machine's lease has run out its task runs
// elsewhere; a late report of the lost session must not bring it back.
func TestLostSessionStaysLost(t *testing.T) {
	l, tr := running(t)
	l.pass(17 * time.Second)
	l.report("m2", 1)
	l.pass(time.Second)
	l.commit()
	cs := l.report("m2", 1)
	if ops(cs) != "run job-1/0" {
		t.Fatalf("want a start elsewhere, got %q", ops(cs))
	}
	if cs := l.report("m1", 1, tr); len(cs) != 0 {
		t.Fatalf("a late report of a lost session got %s", ops(cs))
	}
	l.report("m2", 1, wire.TaskReport{Task: "job-1/0", Attempt: cs[0].Attempt, State: wire.TaskRunning})
	if v := l.Query("job-1"); v.Run != 1 {
		t.Fatalf("running %d", v.Run)
	}
}

// TestSuccessorWaitsForRecordedMachine: a new leader places a task only when
// the machine that may hold it has spoken in its term or its lease is over.
func TestSuccessorWaitsForRecordedMachine(t *testing.T) {
	l, tr := running(t)
	next := newLeader(t, 6, l.now, l.kept)
	next.report("m2", 1)
	next.pass(time.Second)
	next.commit()
	if cs := next.report("m2", 1); len(cs) != 0 {
		t.Fatalf("placed a task that m1 may hold: %s", ops(cs))
	}
	// A report that knows an earlier term only proves nothing yet.
	a, receipt := next.Report(next.now, &wire.Report{Machine: "m1", Type: "std-8", Zone: "a", Session: 1, Seq: 50, Token: 5}, true)
	if receipt != controller.Taken || a.Token != 6 || len(a.Commands) != 0 {
		t.Fatalf("%+v", a)
	}
	next.pass(time.Second)
	next.commit()
	if cs := next.report("m2", 1); len(cs) != 0 {
		t.Fatalf("placed on the word of an old report: %s", ops(cs))
	}
	next.seq = 60
	next.report("m1", 1, tr)
	if v := next.Query("job-1"); v.State != wire.JobRunning {
		t.Fatalf("%+v", v)
	}
	// Without a word from m1 the task is free once its lease is over,
	// counted from the last answer that a predecessor may have given.
	other := newLeader(t, 7, l.now, l.kept)
	wait := controller.Grace(params.Workers) + 15*time.Second
	for other.now.Before(l.now.Add(wait)) {
		other.report("m2", 1)
		other.pass(time.Second)
		other.commit()
		if cs := other.report("m2", 1); len(cs) != 0 {
			t.Fatalf("placed %v after the succession", other.now.Sub(l.now))
		}
	}
	other.pass(3 * time.Second)
	other.report("m2", 1)
	other.pass(time.Second)
	other.commit()
	if cs := other.report("m2", 1); ops(cs) != "run job-1/0" {
		t.Fatalf("after the lease: %q", ops(cs))
	}
}

// TestCancelStopsEverywhere: durable before it is told, stopped in the next
// answer, and forgotten by no successor.
func TestCancelStopsEverywhere(t *testing.T) {
	l, tr := running(t)
	var got controller.Verdict
	l.Cancel(l.now, "job-1", func(v controller.Verdict) { got = v })
	if got.Status != 0 {
		t.Fatal("told before it is durable")
	}
	l.commit()
	if got.State != wire.JobCancelled {
		t.Fatalf("%+v", got)
	}
	if cs := l.report("m1", 1, tr); ops(cs) != "kill job-1/0" {
		t.Fatal(ops(cs))
	}
	next := newLeader(t, 6, l.now, l.kept)
	if cs := next.report("m1", 1, tr); ops(cs) != "kill job-1/0" {
		t.Fatal("successor:", ops(cs))
	}
	if v := next.Query("job-1"); v.State != wire.JobCancelled {
		t.Fatalf("%+v", v)
	}
}

// TestNothingIsToldBeforeItIsDurable: a cancellation asked for while the
// acceptance is on its way doesn't make the job known; a crash now would leave
// no trace of it.
func TestNothingIsToldBeforeItIsDurable(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.Submit(l.now, l.now, spec("job-1"), func(controller.Verdict) {})
	l.Cancel(l.now, "job-1", func(controller.Verdict) {})
	var again controller.Verdict
	l.Submit(l.now, l.now, spec("job-1"), func(v controller.Verdict) { again = v })
	if again.Status != 0 {
		t.Fatalf("repeat answered %+v", again)
	}
	if v := l.Query("job-1"); v.Status != 503 {
		t.Fatalf("query answered %+v", v)
	}
	l.commit()
	if again.Status != 200 || again.State != wire.JobCancelled {
		t.Fatalf("%+v", again)
	}
}

// TestUnwantedTaskIsStopped: a task of a job that nobody knows is ended and
// then forgotten.
func TestUnwantedTaskIsStopped(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	tr := wire.TaskReport{Task: "job-9/3", Attempt: 7, State: wire.TaskRunning}
	if cs := l.report("m1", 1, tr); ops(cs) != "kill job-9/3" {
		t.Fatal(ops(cs))
	}
	tr.State, tr.Why = wire.TaskExited, wire.WhyStopped
	if cs := l.report("m1", 1, tr); ops(cs) != "reap job-9/3" {
		t.Fatal(ops(cs))
	}
}

// TestFailingJobBacksOff: a job that fails everywhere leaves room to others,
// and a machine on which several jobs fail gets no more work.
func TestFailingJobBacksOff(t *testing.T) {
	l, tr := running(t)
	tr.State, tr.Why = wire.TaskExited, wire.WhyError
	if cs := l.report("m1", 1, tr); ops(cs) != "reap job-1/0" {
		t.Fatal(ops(cs))
	}
	l.submit("job-2")
	l.pass(time.Second)
	l.commit()
	cs := l.report("m1", 1)
	if ops(cs) != "run job-2/0" {
		t.Fatalf("want job-2 only, got %q", ops(cs))
	}
	l.report("m1", 1, wire.TaskReport{Task: "job-2/0", Attempt: cs[0].Attempt, State: wire.TaskExited, Why: wire.WhyError})
	l.submit("job-3")
	l.pass(time.Second)
	l.commit()
	if cs := l.report("m1", 1); len(cs) != 0 {
		t.Fatalf("a faulty machine got %s", ops(cs))
	}
}

// TestMistakenJobBlamesNoMachine: a job that fails on every machine is tried on each,
// one task at a time and ever later, but gives none a bad name, however many such
// jobs there are; a machine on which others fail that end elsewhere is still found.
func TestMistakenJobBlamesNoMachine(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	machines := []string{"m1", "m2", "m3"}
	bad := map[string]bool{} // machines that fail everything
	lists := map[string][]wire.TaskReport{}
	tried := map[string]int{}
	turn := func() {
		l.pass(time.Second)
		l.commit()
		for _, m := range machines {
			for _, cmd := range l.report(m, 1, lists[m]...) {
				switch cmd.Op {
				case wire.OpStart:
					id, _, _ := wire.SplitTask(cmd.Task)
					tried[id+" on "+m]++
					why := wire.WhyDone
					if id < "job-5" || bad[m] {
						why = wire.WhyError
					}
					lists[m] = append(lists[m], wire.TaskReport{Task: cmd.Task, Attempt: cmd.Attempt, State: wire.TaskExited, Why: why})
				case wire.OpForget:
					lists[m] = slices.DeleteFunc(lists[m], func(r wire.TaskReport) bool { return r.Task == cmd.Task && r.Attempt == cmd.Attempt })
				}
			}
		}
	}
	for _, id := range []string{"job-1", "job-2", "job-3", "job-4"} {
		l.submit(id)
	}
	for range 300 {
		turn()
	}
	for _, id := range []string{"job-1", "job-2", "job-3", "job-4"} {
		sum := 0
		for _, m := range machines {
			sum += tried[id+" on "+m]
		}
		if sum != len(machines) {
			t.Errorf("%s was tried %d times: %v", id, sum, tried)
		}
	}
	// All machines still take work; then one turns out to be faulty.
	bad["m1"] = true
	for i := range 30 {
		l.submit(fmt.Sprint("job-", 500+i))
		turn()
	}
	for range 5 {
		turn()
	}
	first := 0
	for what, n := range tried {
		if strings.HasPrefix(what, "job-5") && strings.HasSuffix(what, "m1") {
			first += n
		}
	}
	if first < 2 || first > 4 {
		t.Errorf("%d tasks of jobs that can run went to the faulty machine", first)
	}
	for i := range 30 {
		if v := l.Query(fmt.Sprint("job-", 500+i)); v.State != wire.JobDone {
			t.Errorf("job-%d: %+v", 500+i, v)
		}
	}
	l.Listed(l.now, l.now, nil)
	for range 70 {
		l.pass(time.Second)
		if rents(l.Plan(l.now)) {
			return
		}
	}
	t.Error("where all machines have failed it, a job needs another one")
}

// TestPollIsCheap: a question costs the same however many jobs there are, as users ask
// many times as often in some nights: no work that grows, and next to no memory.
func TestPollIsCheap(t *testing.T) {
	l, _ := running(t)
	for i := range 3000 {
		l.Submit(l.now, l.now, spec(fmt.Sprint("job-", 1000+i)), func(controller.Verdict) {})
		l.commit()
	}
	for _, id := range []string{"job-1", "job-2000", "job-999999"} {
		if n := testing.AllocsPerRun(100, func() { l.Query(id) }); n > 0 {
			t.Errorf("%s: %v allocations", id, n)
		}
	}
}

// rents reports whether a plan rents.
func rents(calls []controller.CloudCall) bool {
	return slices.ContainsFunc(calls, func(c controller.CloudCall) bool { return c.Op == controller.CloudRent })
}

// TestNoStartsWithoutAuthority: while the state service is out of reach
// reports are answered, but nothing starts.
func TestNoStartsWithoutAuthority(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.submit("job-1")
	l.report("m1", 1)
	l.pass(time.Second)
	l.commit()
	l.seq++
	a, receipt := l.Report(l.now, &wire.Report{Machine: "m1", Type: "std-8", Zone: "a", Session: 1, Seq: l.seq, Token: 5}, false)
	if receipt != controller.Taken || len(a.Commands) != 0 {
		t.Fatalf("%v %+v", receipt, a)
	}
}

// TestImpossibleJobs: 422 for what can never run, 503 while that can't be told.
func TestImpossibleJobs(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	for name, change := range map[string]func(*wire.Job){
		"team":  func(j *wire.Job) { j.Team = "red" },
		"size":  func(j *wire.Job) { j.CPUs = 9 },
		"limit": func(j *wire.Job) { j.CPUs = 17 },
		"type":  func(j *wire.Job) { j.Types = []string{"other"} },
		"zone":  func(j *wire.Job) { j.Zone = "z" },
		"gpus":  func(j *wire.Job) { j.GPUs = 1 },
	} {
		j := spec("job-1")
		change(j)
		var got controller.Verdict
		l.Submit(l.now, l.now, j, func(v controller.Verdict) { got = v })
		if got.Status != 422 {
			t.Errorf("%s: %+v", name, got)
		}
	}
	fresh := controller.New(zerolog.Nop(), params, config.Operator{}, 1, start, 0)
	var got controller.Verdict
	fresh.Submit(start, start, spec("job-1"), func(v controller.Verdict) { got = v })
	if got.Status != 503 {
		t.Errorf("without machine types: %+v", got)
	}
}

// TestGuestTeam: a guarantee of 0 and a limit of 0 mean that there is none. A guest's
// job is accepted, and runs where there is room.
func TestGuestTeam(t *testing.T) {
	with := params
	with.Teams = append(slices.Clone(params.Teams), config.Team{Name: "guests"})
	c := controller.New(zerolog.Nop(), with, config.Operator{}, 5, start, 0)
	c.SetTypes([]wire.MachineType{bigType})
	l := &leader{Controller: c, t: t, now: start, kept: map[string]json.RawMessage{}}
	j := spec("job-1")
	j.Team, j.Tasks = "guests", 3
	var got controller.Verdict
	l.Submit(l.now, l.now, j, func(v controller.Verdict) { got = v })
	l.commit()
	l.pass(10 * time.Second) // machines of a predecessor would be listed by then
	l.Listed(l.now, l.now, nil)
	if calls := l.Plan(l.now); got.Status != 201 || len(calls) == 0 || calls[0].Op != controller.CloudRent {
		t.Fatalf("%+v, then %+v", got, calls)
	}
	l.report("m1", 1)
	l.pass(time.Second)
	l.commit()
	if cs := l.report("m1", 1); len(cs) != 3 {
		t.Fatalf("want three starts, got %s", ops(cs))
	}
	j = spec("job-2")
	j.Team, j.GPUs = "guests", 1
	if l.Submit(l.now, l.now, j, func(v controller.Verdict) { got = v }); got.Status != 422 {
		t.Fatalf("no machine type has cards: %+v", got)
	}
}

// TestGraceFitsCancellation: an old leader's last answer, a worker's lease
// and a reserve fit into the time for cancellations.
func TestGraceFitsCancellation(t *testing.T) {
	for _, w := range []config.Workers{{LeaseS: 17, CancelS: 47}, {LeaseS: 22, CancelS: 47}, {LeaseS: 30, CancelS: 31}} {
		g := controller.Grace(w)
		if g < 0 || g > 0 && g.Seconds()+w.LeaseS >= w.CancelS {
			t.Errorf("%+v: grace %v", w, g)
		}
	}
}

// called brings a start for m1 into a direct call.
func called(t *testing.T) (*leader, *controller.DirectCall, wire.TaskReport) {
	t.Helper()
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.submit("job-1")
	l.report("m1", 1)
	l.pass(time.Second)
	if calls := l.Direct(l.now); len(calls) != 0 {
		t.Fatal("called before the record was durable")
	}
	l.commit()
	calls := l.Direct(l.now)
	if len(calls) != 1 || ops(calls[0].Request.Commands) != "run job-1/0" || calls[0].Request.Token != 5 || calls[0].Request.Session != 1 {
		t.Fatalf("%+v", calls)
	}
	tr := wire.TaskReport{Task: "job-1/0", Attempt: calls[0].Request.Commands[0].Attempt, State: wire.TaskRunning}
	return l, calls[0], tr
}

// TestUnansweredCallKeepsItsTask: a start that may come minutes late binds
// the task to the machine, and is not forgotten there while it may come.
func TestUnansweredCallKeepsItsTask(t *testing.T) {
	l, call, tr := called(t)
	l.DirectDone(l.now, call, controller.DirectUnknown, nil)
	if cs := l.report("m1", 1); ops(cs) != "run job-1/0" || cs[0].Attempt != tr.Attempt {
		t.Fatalf("want the same start again, got %s", ops(cs))
	}
	l.report("m1", 1)
	l.report("m2", 1)
	l.pass(time.Second)
	l.commit()
	if cs := l.report("m2", 1); len(cs) != 0 {
		t.Fatalf("placed elsewhere: %s", ops(cs))
	}
	l.report("m1", 1, tr)
	tr.State, tr.Why = wire.TaskExited, wire.WhyError
	for range 2 {
		if cs := l.report("m1", 1, tr); len(cs) != 0 {
			t.Fatalf("while the start may come late: %s", ops(cs))
		}
	}
	if cs := l.report("m1", 2, tr); ops(cs) != "reap job-1/0" {
		t.Fatalf("in a new session: %q", ops(cs))
	}
}

// TestOvertakingAnswerIsNoProof: the answer to a direct call can arrive while
// the answer to an earlier report, with a start in it, is still on its way.
func TestOvertakingAnswerIsNoProof(t *testing.T) {
	l, call, _ := called(t)
	l.DirectDone(l.now, call, controller.DirectNever, nil)
	if cs := l.report("m1", 1); ops(cs) != "run job-1/0" {
		t.Fatal(ops(cs))
	}
	l.Cancel(l.now, "job-1", func(controller.Verdict) {})
	l.commit()
	l.seq++
	l.DirectDone(l.now, call, controller.DirectAnswered, &wire.Report{Machine: "m1", Type: "std-8", Zone: "a", Session: 1, Seq: l.seq, Token: 5})
	l.commit()
	if l.kept["j/job-1"] == nil {
		t.Fatal("the task was taken for gone while its start was on its way")
	}
	l.report("m1", 1)
	l.commit()
	if l.kept["j/job-1"] != nil {
		t.Fatal("the next report proves that the start did not run")
	}
}

// TestLateStartOfEndedJobIsFenced: the machine is released well within the
// time for cancellations.
func TestLateStartOfEndedJobIsFenced(t *testing.T) {
	l, call, _ := called(t)
	l.DirectDone(l.now, call, controller.DirectUnknown, nil)
	l.Cancel(l.now, "job-1", func(controller.Verdict) {})
	l.commit()
	l.Listed(l.now, l.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	for range 30 {
		l.report("m1", 1)
		l.pass(time.Second)
		l.commit()
		if l.kept["j/job-1"] == nil {
			t.Fatal("taken for gone while the start may come late")
		}
		for _, c := range l.Plan(l.now) {
			if c.Op == controller.CloudRelease {
				if len(c.Release) != 1 || c.Release[0] != "m1" {
					t.Fatal(c.Release)
				}
				l.Released(l.now, c.Release)
				l.commit()
				if l.kept["j/job-1"] != nil {
					t.Fatal("released, and still held")
				}
				return
			}
		}
	}
	t.Fatal("not released")
}

// TestLateStartOfEndedJobEndsItsSession: a machine to which a start of a cancelled
// job may come late, and that nobody can release as the state service is away, is
// not answered any more once its lease would outlast the time for the cancellation,
// until its worker is in a new session, in which the start is void.
func TestLateStartOfEndedJobEndsItsSession(t *testing.T) {
	l, call, _ := called(t)
	l.DirectDone(l.now, call, controller.DirectUnknown, nil)
	l.Cancel(l.now, "job-1", func(controller.Verdict) {})
	l.commit()
	asked, last := l.now, l.now
	report := func(session uint64) controller.Receipt {
		l.seq++
		_, receipt := l.Report(l.now, &wire.Report{Machine: "m1", Addr: "m1:9", Type: "std-8", Zone: "a", Session: session, Seq: l.seq, Token: l.Term()}, false)
		return receipt
	}
	for l.now.Sub(asked) < 60*time.Second {
		if report(1) == controller.Taken {
			last = l.now
		}
		l.now = l.now.Add(time.Second)
		l.Tick(l.now, false)
	}
	over := last.Sub(asked).Seconds() + params.Workers.LeaseS
	if over >= params.Workers.CancelS || last.Sub(asked) < 5*time.Second {
		t.Fatalf("answered until %v: the session may last until %v s", last.Sub(asked), over)
	}
	if report(2) != controller.Taken {
		t.Fatal("a new session is answered")
	}
}

// TestEveryAnswerStops: every answer renews the lease, so every answer carries the
// stops of what nobody wants: also one to a worker that has not seen this term, and
// one to a report that the answer to a direct call has overtaken.
func TestEveryAnswerStops(t *testing.T) {
	l, tr := running(t)
	l.Cancel(l.now, "job-1", func(controller.Verdict) {})
	l.commit()
	next := newLeader(t, 6, l.now.Add(time.Second), l.kept)
	list := []wire.TaskReport{tr, {Task: "job-9/0", Attempt: 1, State: wire.TaskFetching}, {Task: "job-9/1", Attempt: 1, State: wire.TaskExited, Why: wire.WhyError}}
	a, receipt := next.Report(next.now, &wire.Report{Machine: "m1", Type: "std-8", Zone: "a", Session: 1, Seq: 50, Token: 5, Tasks: list}, false)
	if receipt != controller.Taken || ops(a.Commands) != "kill job-1/0, kill job-9/0" || a.Commands[0].Attempt != tr.Attempt {
		t.Fatalf("first heard in a term: %s", ops(a.Commands))
	}
	l, call, _ := called(t)
	l.seq++
	l.DirectDone(l.now, call, controller.DirectAnswered, &wire.Report{Machine: "m1", Type: "std-8", Zone: "a", Session: 1, Seq: l.seq + 1, Token: 5, Tasks: []wire.TaskReport{tr}})
	l.Cancel(l.now, "job-1", func(controller.Verdict) {})
	if cs := l.report("m1", 1, tr); ops(cs) != "kill job-1/0" {
		t.Fatalf("overtaken by the answer to a direct call: %q", ops(cs))
	}
}

// TestTeamAtItsLimitMakesWay: a team whose patient work fills its limit stops
// some of it for its own urgent work, as no other machine would help.
func TestTeamAtItsLimitMakesWay(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	patient := spec("job-1")
	patient.Priority, patient.Tasks, patient.CPUs, patient.CheckpointS, patient.EstimateS = wire.PriorityNormal, 2, 8, 20, 300
	l.Submit(l.now, l.now, patient, func(controller.Verdict) {})
	l.commit()
	lists := map[string][]wire.TaskReport{"m1": nil, "m2": nil, "m3": nil}
	machines := []string{"m1", "m2", "m3"}
	step := func(d time.Duration) (stops, starts string) {
		l.pass(d)
		l.commit()
		for _, m := range machines {
			for _, c := range l.report(m, 1, lists[m]...) {
				switch c.Op {
				case wire.OpStart:
					starts += c.Task + " "
					lists[m] = append(lists[m], wire.TaskReport{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
				case wire.OpStop:
					stops += c.Task + " "
					lists[m] = nil
				}
			}
		}
		return stops, starts
	}
	step(time.Second)
	if _, starts := step(time.Second); starts == "" {
		t.Fatal("patient work did not start")
	}
	// On to just past the first checkpoint, where stopping loses little.
	for range 11 {
		step(2 * time.Second)
	}
	l.submit("job-2")
	var stops, starts string
	for range 4 {
		a, b := step(500 * time.Millisecond)
		stops, starts = stops+a, starts+b
	}
	if len(strings.Fields(stops)) != 1 || !strings.Contains(starts, "job-2/0") {
		t.Fatalf("stopped %q, started %q", stops, starts)
	}
}

// TestRoomBeingMadeIsKept: two tasks are stopped for a larger one of a higher priority,
// and exit one after the other. What the first leaves does not go to work of the lower
// priority again.
func TestRoomBeingMadeIsKept(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	low := spec("job-1")
	low.Priority, low.Tasks, low.CPUs, low.CheckpointS, low.EstimateS = wire.PriorityIdle, 2, 4, 5, 300
	l.Submit(l.now, l.now, low, func(controller.Verdict) {})
	l.commit()
	l.report("m1", 1)
	l.pass(time.Second)
	l.commit()
	var running []wire.TaskReport
	for _, c := range l.report("m1", 1) {
		running = append(running, wire.TaskReport{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
	}
	if len(running) != 2 {
		t.Fatalf("%d of 2 tasks started", len(running))
	}
	l.report("m1", 1, running...)
	high := spec("job-2")
	high.CPUs = 8
	l.Submit(l.now, l.now, high, func(controller.Verdict) {})
	l.commit()
	l.pass(time.Second)
	if cs := l.report("m1", 1, running...); len(cs) != 2 || cs[0].Op != wire.OpStop || cs[1].Op != wire.OpStop {
		t.Fatalf("instead of two stops: %s", ops(cs))
	}
	exited := func(r wire.TaskReport) wire.TaskReport {
		r.State, r.Why = wire.TaskExited, wire.WhyStopped
		return r
	}
	l.report("m1", 1, exited(running[0]), running[1])
	l.pass(500 * time.Millisecond)
	l.commit()
	for _, c := range l.report("m1", 1, running[1]) {
		if c.Op == wire.OpStart {
			t.Fatalf("%s was started in the room that is being made", c.Task)
		}
	}
	l.report("m1", 1, exited(running[1]))
	l.pass(500 * time.Millisecond)
	l.commit()
	if cs := l.report("m1", 1); ops(cs) != "run job-2/0" {
		t.Fatal(ops(cs))
	}
}

// TestAgedStartIsLeftToRun: a task that began since its job had waited long is not
// stopped for more urgent work before its start counts; after that it is.
func TestAgedStartIsLeftToRun(t *testing.T) {
	for _, waited := range []time.Duration{time.Second, tuning.AgeAfter} {
		l := newLeader(t, 5, start, map[string]json.RawMessage{})
		idle := spec("job-1")
		idle.Priority, idle.CPUs, idle.CheckpointS, idle.EstimateS = wire.PriorityIdle, 8, 5, 300
		l.Submit(l.now, l.now, idle, func(controller.Verdict) {})
		l.commit()
		l.pass(waited)
		l.report("m1", 1)
		l.pass(time.Second)
		l.commit()
		cs := l.report("m1", 1)
		if ops(cs) != "run job-1/0" {
			t.Fatal(ops(cs))
		}
		began := l.now
		l.submit("job-2")
		for {
			l.pass(time.Second)
			l.commit()
			if l.now.Sub(began) > 90*time.Second {
				t.Fatal("never stopped")
			}
			if len(l.report("m1", 1, wire.TaskReport{Task: "job-1/0", Attempt: cs[0].Attempt, State: wire.TaskRunning})) > 0 {
				break
			}
		}
		if ran := l.now.Sub(began); ran > 30*time.Second != (waited == tuning.AgeAfter) {
			t.Errorf("after a wait of %v: stopped after %v", waited, ran)
		}
	}
}

// TestDeafMachineIsReplaced: a machine's reports arrive, but nothing it is told
// gets there. Its task runs elsewhere as soon as its new session shows that its
// lease has run out, it gets no more work, and it is released.
func TestDeafMachineIsReplaced(t *testing.T) {
	l, tr := running(t)
	l.Listed(l.now, l.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	for range 5 {
		l.pass(3 * time.Second)
		l.report("m1", 1, tr)
	}
	// Its lease of 15 s has run out: a new session, and the task is gone.
	l.pass(2 * time.Second)
	l.report("m1", 2)
	l.report("m2", 1)
	l.pass(time.Second)
	l.commit()
	if cs := l.report("m1", 2); len(cs) != 0 {
		t.Fatalf("a deaf machine got %s", ops(cs))
	}
	if cs := l.report("m2", 1); ops(cs) != "run job-1/0" {
		t.Fatalf("want a start elsewhere, got %q", ops(cs))
	}
	for i := range 12 {
		l.pass(3 * time.Second)
		l.report("m2", 1)
		l.report("m1", uint64(2+i/5))
		if l.planned("m1") != nil {
			return
		}
	}
	t.Fatal("not replaced")
}

// TestUnheededStartsGoElsewhere: a machine that ignores several answers in a
// row keeps no task waiting, long before its lease shows why.
func TestUnheededStartsGoElsewhere(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.submit("job-1")
	l.report("m1", 1)
	l.pass(time.Second)
	l.commit()
	for range 4 {
		l.report("m1", 1)
	}
	l.report("m2", 1)
	l.pass(time.Second)
	l.commit()
	if cs := l.report("m2", 1); ops(cs) != "run job-1/0" {
		t.Fatalf("want a start elsewhere, got %q", ops(cs))
	}
}

// TestHeardButNeverInThisTerm: a successor hears a machine whose worker never
// learns of the new term. The task that it may hold does not wait for ever: the
// machine is released, and only that frees the task.
func TestHeardButNeverInThisTerm(t *testing.T) {
	l, tr := running(t)
	next := newLeader(t, 6, l.now, l.kept)
	next.Listed(next.now, next.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	seq := uint64(100)
	next.onlyAfterRelease(3*time.Second, func() {
		seq++
		next.Report(next.now, &wire.Report{Machine: "m1", Type: "std-8", Zone: "a", Session: 1, Seq: seq, Token: 5, Tasks: []wire.TaskReport{tr}}, true)
	})
}

// TestLateCopiesRenewNothing: reports that come again, late, neither keep a
// lease from being presumed over nor get an answer, which would renew it.
func TestLateCopiesRenewNothing(t *testing.T) {
	l, tr := running(t)
	late := &wire.Report{Machine: "m1", Addr: "m1:9", Type: "std-8", Zone: "a", Session: 1, Seq: l.seq, Token: 5, Tasks: []wire.TaskReport{tr}}
	for range 10 {
		l.pass(2 * time.Second)
		if a, receipt := l.Report(l.now, late, true); receipt != controller.Stale || len(a.Commands) != 0 {
			t.Fatalf("a late copy was answered: %v %+v", receipt, a)
		}
		l.report("m2", 1)
	}
	l.pass(time.Second)
	l.commit()
	if cs := l.report("m2", 1); ops(cs) != "run job-1/0" {
		t.Fatalf("want a start elsewhere once the lease is over, got %q", ops(cs))
	}
	late.Seq += 100
	if _, receipt := l.Report(l.now, late, true); receipt != controller.Stale {
		t.Fatal("a session known to be over came back")
	}
}

// TestNewWorkerIsNotTheOldOne: a worker that answers a direct call with less
// than was known before the call is another one on the same machine. What it
// may hold is free only once the machine is released.
func TestNewWorkerIsNotTheOldOne(t *testing.T) {
	l, call, _ := called(t)
	l.DirectDone(l.now, call, controller.DirectAnswered, &wire.Report{
		Machine: "m1", Type: "std-8", Zone: "a", Session: 1, Seq: 1, Token: 5,
		Tasks: []wire.TaskReport{{Task: "job-1/0", Attempt: call.Request.Commands[0].Attempt, State: wire.TaskRunning}},
	})
	l.Listed(l.now, l.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	released := false
	var release []string
	for i := range 20 {
		l.pass(2 * time.Second)
		if i == 11 { // long after its lease would be over
			if len(release) == 0 {
				t.Fatal("not released")
			}
			released = true
			l.Released(l.now, release)
		}
		l.report("m2", 1)
		l.commit()
		if cs := l.report("m2", 1); len(cs) != 0 && !released {
			t.Fatalf("placed elsewhere: %s", ops(cs))
		} else if len(cs) != 0 {
			return
		}
		if planned := l.planned("m1"); planned != nil {
			release = planned
		}
	}
	t.Fatal("not placed after its release")
}

// TestUnansweredCallOutlivesThePresumption: when a machine's lease is presumed
// over, a start sent directly without an answer may still run, should a new
// worker have got it: it stays bound until the machine is released.
func TestUnansweredCallOutlivesThePresumption(t *testing.T) {
	l, call, _ := called(t)
	l.DirectDone(l.now, call, controller.DirectUnknown, nil)
	l.Listed(l.now, l.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	l.onlyAfterRelease(time.Second, func() {})
}

// TestSeenTaskIsRecordedAnew: an older attempt of a task has exited on the
// machine on which a newer one runs. The record of the start is gone with the
// first; a successor must know of the second all the same.
func TestSeenTaskIsRecordedAnew(t *testing.T) {
	l, tr := running(t)
	next := newLeader(t, 6, l.now, l.kept)
	next.seq = 100
	older := wire.TaskReport{Task: tr.Task, Attempt: 1, State: wire.TaskExited, Why: wire.WhyStopped}
	next.report("m1", 1, older, tr)
	next.commit()
	last := newLeader(t, 7, next.now, next.kept)
	last.report("m2", 1)
	last.pass(time.Second)
	last.commit()
	if cs := last.report("m2", 1); len(cs) != 0 {
		t.Fatalf("started a second time: %s", ops(cs))
	}
}

// TestLargeJobBegins: under a lasting backlog of smaller and more urgent work
// of another team a large job of a low priority begins within four minutes, and
// goes on.
func TestLargeJobBegins(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	large := spec("job-999999")
	large.Priority, large.Tasks, large.CPUs, large.EstimateS = wire.PriorityIdle, 40, 8, 20
	const after = 100 // seconds, when the backlog is there
	lists := map[string][]wire.TaskReport{"m1": nil, "m2": nil}
	ends := map[string]time.Time{}
	first, begun := time.Duration(0), 0
	for second := range 600 {
		if second == after {
			l.Submit(l.now, l.now, large, func(controller.Verdict) {})
		}
		// Two machines could do a third of this.
		small := spec(fmt.Sprintf("job-%06d", second))
		small.Tasks, small.EstimateS = 4, 6
		l.Submit(l.now, l.now, small, func(controller.Verdict) {})
		l.pass(time.Second)
		l.commit()
		for _, m := range []string{"m1", "m2"} {
			for i := range lists[m] {
				if task := &lists[m][i]; !l.now.Before(ends[task.Task]) {
					task.State, task.Why = wire.TaskExited, wire.WhyDone
				}
			}
			for _, c := range l.report(m, 1, lists[m]...) {
				switch c.Op {
				case wire.OpStart:
					run := 6 * time.Second
					if strings.HasPrefix(c.Task, large.ID) {
						run = 20 * time.Second
						if begun++; begun == 1 {
							first = l.now.Sub(start) - after*time.Second
						}
					}
					ends[c.Task] = l.now.Add(run)
					lists[m] = append(lists[m], wire.TaskReport{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
				case wire.OpForget:
					lists[m] = slices.DeleteFunc(lists[m], func(r wire.TaskReport) bool { return r.Task == c.Task })
				}
			}
		}
	}
	if begun == 0 || first > 4*time.Minute {
		t.Fatalf("%d tasks begun, the first after %v", begun, first)
	}
	if begun < 2 {
		t.Fatalf("only %d tasks begun, the first after %v: it does not go on", begun, first)
	}
}

// TestHalfEmptyMachineIsEmptied: in a lull two machines are kept by one long
// task each. One task saves and goes on beside the other, and the machine goes
// back; a task that can't save stays where it is.
func TestHalfEmptyMachineIsEmptied(t *testing.T) {
	for _, checkpoint := range []float64{20, 0} {
		l := newLeader(t, 5, start, map[string]json.RawMessage{})
		submit := func(id string, estimate float64) {
			j := spec(id)
			j.CPUs, j.EstimateS, j.CheckpointS, j.SaveS = 4, estimate, checkpoint, 4
			l.Submit(l.now, l.now, j, func(controller.Verdict) {})
		}
		submit("job-0", 40) // shares m1 with job-1 at first
		submit("job-1", 300)
		l.Listed(l.now, l.now, []wire.ListedMachine{
			{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}, {Name: "m2", Type: "std-8", Zone: "a", State: wire.MachineRunning},
		})
		lists := map[string][]wire.TaskReport{}
		moved, released := 0, ""
		for second := range 120 {
			if second == 5 {
				submit("job-2", 300)
			}
			l.pass(time.Second)
			l.commit()
			for _, m := range []string{"m1", "m2"} {
				if released == m || second < 5 && m == "m2" {
					continue
				}
				for i := range lists[m] {
					if second == 45 && lists[m][i].Task == "job-0/0" {
						lists[m][i].State, lists[m][i].Why = wire.TaskExited, wire.WhyDone
					}
				}
				for _, c := range l.report(m, 1, lists[m]...) {
					at := slices.IndexFunc(lists[m], func(r wire.TaskReport) bool { return r.Task == c.Task })
					switch c.Op {
					case wire.OpStart:
						lists[m] = append(lists[m], wire.TaskReport{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
					case wire.OpStop:
						if c.GraceS == nil || *c.GraceS < 4 {
							t.Fatalf("stopped without time to save: %+v", c)
						}
						moved++
						lists[m][at].State, lists[m][at].Why, lists[m][at].Saved = wire.TaskExited, wire.WhyStopped, true
					case wire.OpForget:
						lists[m] = slices.Delete(lists[m], at, at+1)
					}
				}
			}
			for _, c := range l.Plan(l.now) {
				if c.Op == controller.CloudRelease {
					released = c.Release[0]
					l.Released(l.now, c.Release)
				}
			}
		}
		if checkpoint > 0 && (moved != 1 || released == "" || len(lists["m1"])+len(lists["m2"]) != 2) {
			t.Fatalf("moved %d, released %q, left %v", moved, released, lists)
		}
		if checkpoint == 0 && moved != 0 {
			t.Fatal("a task that can't save was moved")
		}
	}
}

// TestAbsentFromTheListIsGone: a machine that was listed and is missing from a
// list that describes a later time has gone with its tasks; a list that may be
// older than the one before it proves nothing.
func TestAbsentFromTheListIsGone(t *testing.T) {
	l, _ := running(t)
	l.Listed(l.now, l.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	try := func(d time.Duration) string {
		l.now = l.now.Add(d)
		l.report("m2", 1)
		l.Listed(l.now, l.now, []wire.ListedMachine{{Name: "m2", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
		l.pass(time.Second)
		l.commit()
		return ops(l.report("m2", 1))
	}
	// The list may be older than the first by twice the lag of 4 s.
	if got := try(7 * time.Second); got != "" {
		t.Fatalf("an old list was taken for proof: %s", got)
	}
	if got := try(time.Second); got != "run job-1/0" {
		t.Fatalf("want a start elsewhere, got %q", got)
	}
}

// TestSuccessorKnowsTheCatalogue: it decides submissions without waiting for
// the cloud to answer.
func TestSuccessorKnowsTheCatalogue(t *testing.T) {
	l, _ := running(t)
	l.commit()
	next := controller.New(zerolog.Nop(), params, config.Operator{}, 6, l.now, 0)
	for key, value := range l.kept {
		if strings.HasPrefix(key, controller.Prefixes[0]) {
			if err := next.Load(l.now, l.now, wire.Item{Key: key, Value: value}); err != nil {
				t.Fatal(err)
			}
		}
	}
	if !next.Ready() {
		t.Fatal("no machine types known")
	}
}

// TestLastRecordHolds: of two records that name a task the later one holds, as
// it was started again only when it was nowhere else. A successor doesn't wait
// for the machine of the earlier one.
func TestLastRecordHolds(t *testing.T) {
	l, _ := running(t)
	for key, value := range maps.Clone(l.kept) {
		if strings.HasPrefix(key, "s/") {
			l.kept[key+"-later"] = json.RawMessage(strings.Replace(string(value), `"m1"`, `"m2"`, 1))
		}
	}
	next := newLeader(t, 6, l.now, l.kept)
	next.report("m2", 1) // knows this term, and hasn't got the task
	next.pass(time.Second)
	next.commit()
	if cs := next.report("m2", 1); ops(cs) != "run job-1/0" {
		t.Fatalf("want a start, got %q", ops(cs))
	}
}

// TestRecordsGoOnlyAfterTheirSuccessors: however full a batch is, no start
// record is deleted while another that has taken over from it waits.
func TestRecordsGoOnlyAfterTheirSuccessors(t *testing.T) {
	for pad := range 60 {
		l, tr := running(t)
		next := newLeader(t, 6, l.now, l.kept)
		next.seq = 100
		older := wire.TaskReport{Task: tr.Task, Attempt: 1, State: wire.TaskExited, Why: wire.WhyStopped}
		next.report("m1", 1, older, tr)
		// What users wait for goes first and nearly fills the transaction.
		for i := range 100 {
			j := spec(fmt.Sprintf("job-%06d", i))
			j.Class = strings.Repeat("x", 120+pad)
			next.Submit(next.now, next.now, j, func(controller.Verdict) {})
		}
		taken := false
		for b := next.NextBatch(500, 500); b != nil; b = next.NextBatch(500, 500) {
			for _, w := range b.Writes {
				if strings.HasPrefix(w.Put, "s/") {
					taken = true
				}
				if strings.HasPrefix(w.Delete, "s/") && !taken {
					t.Fatalf("pad %d: %s deleted before what took over from it", pad, w.Delete)
				}
			}
			next.Committed(b, nil)
		}
		if !taken {
			t.Fatal("the task seen was not recorded")
		}
	}
}

// TestStartRecordsFitTheValueLimit: the starts of one pass on many machines are
// split into records that the state service takes.
func TestStartRecordsFitTheValueLimit(t *testing.T) {
	old := params
	defer func() { params = old }()
	params.State.ValueKB = 1
	params.Teams = []config.Team{{Name: "blue", CPUs: 8, CPUsMax: 1600}}
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	wide := spec("job-1")
	wide.Tasks, wide.CPUs = 40, 8
	l.Submit(l.now, l.now, wide, func(controller.Verdict) {})
	l.commit()
	for i := range wide.Tasks {
		l.report(fmt.Sprintf("i-%06d", i), 1)
	}
	l.pass(time.Second)
	l.commit()
	records := 0
	for key, value := range l.kept {
		if strings.HasPrefix(key, "s/") {
			records++
		}
		if len(value) > 1024 {
			t.Errorf("%s has %d bytes", key, len(value))
		}
	}
	if held := newLeader(t, 6, l.now, l.kept).Counts().Held; held != wide.Tasks || records < 2 {
		t.Errorf("%d records name %d of %d tasks", records, held, wide.Tasks)
	}
}

// TestStrangerIsReplacedSoon: a new worker on the machine sends reports that
// look like late copies. Once the lease of the old one is over the machine is
// replaced; it need not be silent for long on top.
func TestStrangerIsReplacedSoon(t *testing.T) {
	l, _ := running(t)
	l.Listed(l.now, l.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	for i := range 9 {
		l.pass(3 * time.Second)
		_, receipt := l.Report(l.now, &wire.Report{Machine: "m1", Type: "std-8", Zone: "a", Session: 1, Seq: uint64(i%2 + 1)}, true)
		if receipt != controller.Stale {
			t.Fatal("taken for the old worker")
		}
		if l.planned("m1") != nil {
			return
		}
	}
	t.Fatal("not replaced")
}

// TestOvertakenReportIsAnswered: the answer to a direct call can come before an
// older report that takes the way through another node. That report is no late
// copy: refused, its worker would leave its node. A copy of it is one.
func TestOvertakenReportIsAnswered(t *testing.T) {
	l, call, tr := called(t)
	l.seq += 2
	l.DirectDone(l.now, call, controller.DirectAnswered, &wire.Report{Machine: "m1", Type: "std-8", Zone: "a", Session: 1, Seq: l.seq, Token: 5, Tasks: []wire.TaskReport{tr}})
	overtaken := &wire.Report{Machine: "m1", Type: "std-8", Zone: "a", Session: 1, Seq: l.seq - 1, Token: 5}
	if a, receipt := l.Report(l.now, overtaken, true); receipt != controller.Taken || len(a.Commands) != 0 {
		t.Fatalf("%v %+v", receipt, a)
	}
	if v := l.Query("job-1"); v.Run != 1 {
		t.Fatal("an overtaken report moved the state back")
	}
	if _, receipt := l.Report(l.now, overtaken, true); receipt != controller.Stale {
		t.Fatal("its copy was answered")
	}
}
