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
	// startTime is the time at which the tests begin.
	startTime = time.Unix(1_700_000_000, 0)
	// std8Type is the only machine type that the cloud offers.
	std8Type = wire.MachineType{Name: "std-8", CPUs: 8, MemoryGB: 32, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootTimeS: 10, Zones: []string{"a"}}
	// testParams are the service parameters. A test that changes them restores them at its end.
	testParams = config.Params{
		Teams:   []config.Team{{Name: "blue", CPUs: 8, CPUsMax: 16}}, // 8 CPUs are guaranteed, 16 the limit
		Workers: config.Workers{HeartbeatIntervalS: 3, LeaseS: 15, CancelDeadlineS: 45},
		KVStore: config.KVStoreLimits{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 48},
		Cloud:   config.CloudLimits{RPS: 5, ListLagS: 4},
	}
)

// newJob returns a job of team blue that has one task of 2 CPUs and an estimated run time of 30 s.
func newJob(id string) *wire.Job {
	return &wire.Job{
		ID: id, Class: "c", Team: "blue", Kind: wire.KindArray, Priority: wire.PriorityHigh,
		Tasks: 1, CPUs: 2, MemoryGB: 1, Image: "img", ImageGB: 1, Spot: true, EstimateS: 30,
	}
}

// testLeader is a leader with a simulated clock and a map in place of the key-value store.
type testLeader struct {
	*leader.Leader
	t   *testing.T
	now time.Time // both the monotonic and the wall-clock time
	// store holds the stored records by key. The prefix of a key is the kind of its record, such as
	// "j/" for jobs, "f/" for final states and "s/" for starts: see records.Kind.
	store        map[string]json.RawMessage
	lastSequence uint64 // sequence number of the last heartbeat of any agent
	lastToken    uint64 // fencing token of the last response to a heartbeat
}

// newLeader returns the leader of a term, which has loaded the stored records.
func newLeader(t *testing.T, term uint64, now time.Time, store map[string]json.RawMessage) *testLeader {
	t.Helper()
	return newLeaderWithSettings(t, config.OperatorSettings{}, term, now, store)
}

// newLeaderWithSettings is newLeader with operator settings.
func newLeaderWithSettings(t *testing.T, settings config.OperatorSettings, term uint64, now time.Time, store map[string]json.RawMessage) *testLeader {
	t.Helper()
	l := leader.New(zerolog.Nop(), testParams, settings, term, now, leader.GracePeriod(testParams.Workers))
	for _, prefix := range records.LoadOrder {
		for _, k := range slices.Sorted(maps.Keys(store)) {
			if strings.HasPrefix(k, prefix) {
				if err := l.LoadRecord(now, now, wire.KeyValue{Key: k, Value: store[k]}); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	l.FinishLoading(now)
	l.SetMachineTypes([]wire.MachineType{std8Type})
	return &testLeader{Leader: l, t: t, now: now, store: store}
}

// apply applies writes to the store.
func (l *testLeader) apply(writes []wire.Mutation) {
	for _, w := range writes {
		if w.Delete != "" {
			delete(l.store, w.Delete)
		} else {
			l.store[w.Put] = w.Value
		}
	}
}

// commit commits all queued writes, in batches of at most 10.
func (l *testLeader) commit() {
	for b := l.NextWriteBatch(10, 10); b != nil; b = l.NextWriteBatch(10, 10) {
		l.apply(b.Mutations)
		l.MarkBatchCommitted(b, nil)
		l.MarkTokensReserved(l.LastTokenToReserve())
	}
}

// tickAfter advances the time and runs the leader's periodic work, including scheduling passes.
func (l *testLeader) tickAfter(d time.Duration) {
	l.now = l.now.Add(d)
	l.Tick(l.now, true /* holdsLeaderLease */)
}

// sendHeartbeat sends a heartbeat that lists the given tasks, and returns the commands in the
// response. agentEpoch identifies the session of the agent.
func (l *testLeader) sendHeartbeat(machine string, agentEpoch uint64, tasks ...wire.TaskStatus) []wire.Command {
	l.t.Helper()
	l.lastSequence++
	response, outcome := l.HandleHeartbeat(l.now, &wire.Heartbeat{
		Machine: machine, Addr: machine + ":9", Type: "std-8", Zone: "a", AgentEpoch: agentEpoch, Sequence: l.lastSequence, FencingToken: l.Term(), Tasks: tasks,
	}, true /* holdsLeaderLease */)
	if outcome == leader.HeartbeatFromLaterTerm {
		l.t.Fatal("the leader treats the heartbeat as one from a later term")
	}
	l.lastToken = response.FencingToken
	return response.Commands
}

// planReleaseOf plans the calls to the cloud. If one of them releases the given machine, it returns
// all machines that this call releases, otherwise nil.
func (l *testLeader) planReleaseOf(machine string) []string {
	for _, c := range l.PlanScaling(l.now) {
		if c.Op == scaling.CloudRelease && slices.Contains(c.Release, machine) {
			return c.Release
		}
	}
	return nil
}

// checkPlacedOnlyAfterRelease checks that m1 is released, and that the task on m1 is placed on m2
// after the release and not before. It advances time by interval per step and calls onStep in every
// step.
func (l *testLeader) checkPlacedOnlyAfterRelease(interval time.Duration, onStep func()) {
	l.t.Helper()
	for range 40 {
		l.tickAfter(interval)
		onStep()
		l.sendHeartbeat("m2", 1)
		l.commit()
		if cs := l.sendHeartbeat("m2", 1); len(cs) != 0 {
			l.t.Fatalf("m2 got %s before the release of m1, want no command", formatCommands(cs))
		}
		if release := l.planReleaseOf("m1"); release != nil {
			l.FinishRelease(l.now, release)
			l.tickAfter(time.Second)
			l.commit()
			if cs := l.sendHeartbeat("m2", 1); formatCommands(cs) != "run job-1/0" {
				l.t.Fatalf("after the release of m1: got %q, want a start of job-1/0", formatCommands(cs))
			}
			return
		}
	}
	l.t.Fatal("m1 was not released")
}

// submit submits a job and commits it. It checks that the user gets a response only once the job is
// durable.
func (l *testLeader) submit(id string) {
	l.t.Helper()
	var got leader.JobResponse
	l.Submit(l.now, l.now, newJob(id), func(v leader.JobResponse) { got = v })
	if got.Status != 0 {
		l.t.Fatalf("got response status %d before the job was durable, want none", got.Status)
	}
	l.commit()
	if got.Status != 201 {
		l.t.Fatalf("submission: got %+v, want status 201", got)
	}
}

// formatCommands returns the operation and the task of each command. The operations are written as on
// the wire: "run" is wire.OpStart, "kill" is wire.OpStop and "reap" is wire.OpForget.
func formatCommands(cs []wire.Command) string {
	var out []string
	for _, c := range cs {
		out = append(out, c.Op+" "+c.Task)
	}
	return strings.Join(out, ", ")
}

// leaderWithRunningTask returns a leader and the status of the only task of job-1, which runs on m1.
func leaderWithRunningTask(t *testing.T) (*testLeader, wire.TaskStatus) {
	t.Helper()
	l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
	l.submit("job-1")
	l.sendHeartbeat("m1", 1)
	l.tickAfter(time.Second)
	if cs := l.sendHeartbeat("m1", 1); len(cs) != 0 {
		t.Fatalf("got %s before the start record was durable, want no command", formatCommands(cs))
	}
	l.commit()
	cs := l.sendHeartbeat("m1", 1)
	if formatCommands(cs) != "run job-1/0" {
		t.Fatalf("got %q, want a start of job-1/0", formatCommands(cs))
	}
	task := wire.TaskStatus{Task: "job-1/0", Attempt: cs[0].Attempt, State: wire.TaskRunning}
	if cs := l.sendHeartbeat("m1", 1, task); len(cs) != 0 {
		t.Fatal(formatCommands(cs))
	}
	return l, task
}

// leaderWithStarts submits a job and returns the leader, which knows no machine but m1, and the starts that
// m1 gets in the response to a heartbeat.
func leaderWithStarts(t *testing.T, spec *wire.Job) (*testLeader, []wire.Command) {
	t.Helper()
	l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
	l.ApplyMachineList(l.now, l.now, nil)
	l.Submit(l.now, l.now, spec, func(leader.JobResponse) {})
	l.commit()
	l.sendHeartbeat("m1", 1)
	l.tickAfter(time.Second)
	l.commit()
	return l, l.sendHeartbeat("m1", 1)
}

// hasProvisionCall reports whether any of the calls to the cloud provisions machines.
func hasProvisionCall(calls []scaling.CloudCall) bool {
	return slices.ContainsFunc(calls, func(c scaling.CloudCall) bool { return c.Op == scaling.CloudProvision })
}

// leaderWithDirectCallInFlight submits job-1 and makes a direct call to m1 that starts job-1/0. It
// returns the leader, the call, which is still in flight, and the task status that m1 reports once it has
// executed the call.
func leaderWithDirectCallInFlight(t *testing.T) (*testLeader, *leader.DirectCall, wire.TaskStatus) {
	t.Helper()
	l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
	l.submit("job-1")
	l.sendHeartbeat("m1", 1)
	l.tickAfter(time.Second)
	if calls := l.NextDirectCalls(l.now); len(calls) != 0 {
		t.Fatal("direct call before the start record was durable, want none")
	}
	l.commit()
	calls := l.NextDirectCalls(l.now)
	if len(calls) != 1 || formatCommands(calls[0].Request.Commands) != "run job-1/0" || calls[0].Request.FencingToken != 5 || calls[0].Request.AgentEpoch != 1 {
		t.Fatalf("direct calls: got %+v, want one that starts job-1/0", calls)
	}
	task := wire.TaskStatus{Task: "job-1/0", Attempt: calls[0].Request.Commands[0].Attempt, State: wire.TaskRunning}
	return l, calls[0], task
}
