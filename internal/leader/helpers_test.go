package leader_test

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/scaling"
	"switchshore.example/switchshore/wire"
)

var (
	start   = time.Unix(1_700_000_000, 0)
	bigType = wire.MachineType{Name: "std-8", CPUs: 8, MemoryGB: 32, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootTimeS: 10, Zones: []string{"a"}}
	params  = config.Params{
		Teams:   []config.Team{{Name: "blue", CPUs: 8, CPUsMax: 16}},
		Workers: config.Workers{HeartbeatIntervalS: 3, LeaseS: 15, CancelDeadlineS: 45},
		KVStore: config.KVStoreLimits{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 48},
		Cloud:   config.CloudLimits{RPS: 5, ListLagS: 4},
	}
)

func newJob(id string) *wire.Job {
	return &wire.Job{
		ID: id, Class: "c", Team: "blue", Kind: wire.KindArray, Priority: wire.PriorityHigh,
		Tasks: 1, CPUs: 2, MemoryGB: 1, Image: "img", ImageGB: 1, Spot: true, EstimateS: 30,
	}
}

// testLeader is a leader with a map in place of the key-value store.
type testLeader struct {
	*leader.Leader
	t     *testing.T
	now   time.Time
	store map[string]json.RawMessage
	seq   uint64
}

func newLeader(t *testing.T, term uint64, now time.Time, store map[string]json.RawMessage) *testLeader {
	t.Helper()
	return newLeaderWith(t, config.OperatorSettings{}, term, now, store)
}

func newLeaderWith(t *testing.T, operator config.OperatorSettings, term uint64, now time.Time, store map[string]json.RawMessage) *testLeader {
	t.Helper()
	c := leader.New(zerolog.Nop(), params, operator, term, now, leader.GracePeriod(params.Workers))
	for _, prefix := range records.LoadOrder {
		for _, k := range slices.Sorted(maps.Keys(store)) {
			if strings.HasPrefix(k, prefix) {
				if err := c.LoadRecord(now, now, wire.KeyValue{Key: k, Value: store[k]}); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	c.FinishLoading(now)
	c.SetMachineTypes([]wire.MachineType{bigType})
	return &testLeader{Leader: c, t: t, now: now, store: store}
}

// apply applies changes to the store.
func (l *testLeader) apply(writes []wire.Mutation) {
	for _, w := range writes {
		if w.Delete != "" {
			delete(l.store, w.Delete)
		} else {
			l.store[w.Put] = w.Value
		}
	}
}

// commit commits all queued changes.
func (l *testLeader) commit() {
	for b := l.NextWriteBatch(10, 10); b != nil; b = l.NextWriteBatch(10, 10) {
		l.apply(b.Mutations)
		l.MarkBatchCommitted(b, nil)
	}
}

func (l *testLeader) tickAfter(d time.Duration) {
	l.now = l.now.Add(d)
	l.Tick(l.now, true)
}

func (l *testLeader) sendHeartbeat(machine string, session uint64, tasks ...wire.TaskStatus) []wire.Command {
	l.t.Helper()
	l.seq++
	response, outcome := l.HandleHeartbeat(l.now, &wire.Heartbeat{
		Machine: machine, Addr: machine + ":9", Type: "std-8", Zone: "a", AgentEpoch: session, Sequence: l.seq, FencingToken: l.Term(), Tasks: tasks,
	}, true)
	if outcome == leader.HeartbeatFromLaterTerm {
		l.t.Fatal("heartbeat superseded")
	}
	return response.Commands
}

// plannedRelease returns the machines that the planner releases now if the given machine is among
// them, otherwise nil.
func (l *testLeader) plannedRelease(machine string) []string {
	for _, c := range l.PlanScaling(l.now) {
		if c.Op == scaling.CloudRelease && slices.Contains(c.Release, machine) {
			return c.Release
		}
	}
	return nil
}

// checkPlacedOnlyAfterRelease checks that m1 is released, and that the task on m1 is placed on m2
// after the release and not before. It calls each in every step.
func (l *testLeader) checkPlacedOnlyAfterRelease(step time.Duration, each func()) {
	l.t.Helper()
	for range 40 {
		l.tickAfter(step)
		each()
		l.sendHeartbeat("m2", 1)
		l.commit()
		if cs := l.sendHeartbeat("m2", 1); len(cs) != 0 {
			l.t.Fatalf("placed elsewhere before the release: %s", formatCommands(cs))
		}
		if release := l.plannedRelease("m1"); release != nil {
			l.FinishRelease(l.now, release)
			l.tickAfter(time.Second)
			l.commit()
			if cs := l.sendHeartbeat("m2", 1); formatCommands(cs) != "run job-1/0" {
				l.t.Fatalf("after the release: %q", formatCommands(cs))
			}
			return
		}
	}
	l.t.Fatal("m1 not released")
}

func (l *testLeader) submit(id string) {
	l.t.Helper()
	var got leader.JobResponse
	l.Submit(l.now, l.now, newJob(id), func(v leader.JobResponse) { got = v })
	if got.Status != 0 {
		l.t.Fatalf("status %d before the job was durable", got.Status)
	}
	l.commit()
	if got.Status != 201 {
		l.t.Fatalf("submission: %+v", got)
	}
}

func formatCommands(cs []wire.Command) string {
	var out []string
	for _, c := range cs {
		out = append(out, c.Op+" "+c.Task)
	}
	return strings.Join(out, ", ")
}

// leaderWithRunningTask returns a leader and the only task of a job, which runs on m1.
func leaderWithRunningTask(t *testing.T) (*testLeader, wire.TaskStatus) {
	t.Helper()
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.submit("job-1")
	l.sendHeartbeat("m1", 1)
	l.tickAfter(time.Second)
	if cs := l.sendHeartbeat("m1", 1); len(cs) != 0 {
		t.Fatalf("started before its record was durable: %s", formatCommands(cs))
	}
	l.commit()
	cs := l.sendHeartbeat("m1", 1)
	if formatCommands(cs) != "run job-1/0" {
		t.Fatalf("want a start, got %q", formatCommands(cs))
	}
	task := wire.TaskStatus{Task: "job-1/0", Attempt: cs[0].Attempt, State: wire.TaskRunning}
	if cs := l.sendHeartbeat("m1", 1, task); len(cs) != 0 {
		t.Fatal(formatCommands(cs))
	}
	return l, task
}

// provisions reports whether any of the calls provisions machines.
func provisions(calls []scaling.CloudCall) bool {
	return slices.ContainsFunc(calls, func(c scaling.CloudCall) bool { return c.Op == scaling.CloudProvision })
}

// leaderWithCallInFlight returns a leader with a direct call to m1 in flight, the call, and the task
// as m1 lists it once it has executed the start in the call.
func leaderWithCallInFlight(t *testing.T) (*testLeader, *leader.DirectCall, wire.TaskStatus) {
	t.Helper()
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.submit("job-1")
	l.sendHeartbeat("m1", 1)
	l.tickAfter(time.Second)
	if calls := l.NextDirectCalls(l.now); len(calls) != 0 {
		t.Fatal("direct call before the record was durable")
	}
	l.commit()
	calls := l.NextDirectCalls(l.now)
	if len(calls) != 1 || formatCommands(calls[0].Request.Commands) != "run job-1/0" || calls[0].Request.FencingToken != 5 || calls[0].Request.AgentEpoch != 1 {
		t.Fatalf("%+v", calls)
	}
	task := wire.TaskStatus{Task: "job-1/0", Attempt: calls[0].Request.Commands[0].Attempt, State: wire.TaskRunning}
	return l, calls[0], task
}
