package leader_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/scaling"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// fleet simulates one leader and several hundred or thousand machines, in steps of 100 ms. The network
// has no faults. The leader writes to the key-value store at the rate that testParams allow.
type fleet struct {
	*testLeader
	agents      []*fleetAgent
	byName      map[string]*fleetAgent
	rng         *rand.Rand
	writeTokens float64 // number of writes that may be committed now

	committedMutations, committedBytes, startedTasks int
	acceptedJobs                                     int
	scoredPairs, maxScoredPairsPerStep               int                  // pairs of job and machine scored: so far, and the most in any one step
	cloudCalls                                       int                  // number of calls to the cloud
	submittedAt                                      map[string]time.Time // by job
	startedJobs                                      map[string]bool      // jobs of which a task has started
	refusedCalls                                     int                  // direct calls with an outdated fencing token
	maxExitedListed                                  int                  // most exited attempts in any one heartbeat
	startDelays                                      []time.Duration      // time from the submission of each started task's job to the task's start
}

// fleetAgent is the agent of one machine. endTimes[i] is when tasks[i] completes.
type fleetAgent struct {
	name          string
	tasks         []wire.TaskStatus
	endTimes      []time.Time
	seq           uint64
	nextHeartbeat time.Time
	lastHeartbeat time.Time
	tasksChanged  bool // since the last heartbeat
	failed        bool // sends no heartbeats; the cloud still lists the machine until it is released
	released      bool
	fencingToken  uint64 // highest one seen
	// lastStartTerm is the term of the last start received.
	lastStartTerm uint64
}

// newFleet returns a leader of term 5 and the given number of machines. Their agents have not sent a
// heartbeat yet.
func newFleet(t *testing.T, machines int) *fleet {
	f := &fleet{
		testLeader: newLeader(t, 5, startTime, map[string]json.RawMessage{}), rng: rand.New(rand.NewPCG(1, 1)),
		submittedAt: map[string]time.Time{}, startedJobs: map[string]bool{}, byName: map[string]*fleetAgent{},
	}
	for i := range machines {
		a := &fleetAgent{name: fmt.Sprintf("i-%06d", i)}
		f.agents, f.byName[a.name] = append(f.agents, a), a
	}
	return f
}

// submitJob submits a job. A later step commits it, and acceptedJobs then counts it.
func (f *fleet) submitJob(j *wire.Job) {
	f.submittedAt[j.ID] = f.now
	f.Submit(f.now, f.now, j, func(v leader.JobResponse) {
		if v.Status == 201 {
			f.acceptedJobs++
		}
	})
}

// runningTasks returns the number of tasks that run on machines that have not failed.
func (f *fleet) runningTasks() int {
	count := 0
	for _, a := range f.agents {
		for _, task := range a.tasks {
			if !a.failed && task.State == wire.TaskRunning {
				count++
			}
		}
	}
	return count
}

// newHeartbeat returns the next heartbeat of an agent.
func (f *fleet) newHeartbeat(a *fleetAgent) *wire.Heartbeat {
	a.seq++
	a.fencingToken = max(a.fencingToken, f.Term())
	exited := 0
	for _, task := range a.tasks {
		if task.State == wire.TaskExited {
			exited++
		}
	}
	f.maxExitedListed = max(f.maxExitedListed, exited)
	return &wire.Heartbeat{
		Machine: a.name, Addr: a.name + ":9", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: a.seq, FencingToken: a.fencingToken,
		Tasks: append([]wire.TaskStatus{}, a.tasks...),
	}
}

// execute executes the commands of a response or a direct call on an agent.
func (f *fleet) execute(a *fleetAgent, commands []wire.Command) {
	for _, c := range commands {
		a.tasksChanged = true
		switch c.Op {
		case wire.OpStart:
			f.startTask(a, c)
		case wire.OpStop:
			for i := range a.tasks {
				if t := &a.tasks[i]; t.Task == c.Task && t.Attempt == c.Attempt && t.State == wire.TaskRunning {
					t.State, t.ExitReason = wire.TaskExited, wire.ExitStopped
				}
			}
		case wire.OpForget:
			for i, t := range a.tasks {
				if t.Task == c.Task && t.Attempt == c.Attempt {
					a.tasks = append(a.tasks[:i], a.tasks[i+1:]...)
					a.endTimes = append(a.endTimes[:i], a.endTimes[i+1:]...)
					break
				}
			}
		}
	}
}

// startTask starts a task on an agent. The task runs for 5 to 14 s, or seven times as long if it
// belongs to a long job, whose ID begins with "job-9".
func (f *fleet) startTask(a *fleetAgent, c wire.Command) {
	a.tasks = append(a.tasks, wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
	f.startedTasks++
	a.lastStartTerm = f.Term()
	job, _, _ := wire.SplitTask(c.Task)
	f.startedJobs[job] = true
	duration := time.Duration(5+f.rng.IntN(10)) * time.Second
	if strings.HasPrefix(job, "job-9") {
		duration *= 7
	}
	a.endTimes = append(a.endTimes, f.now.Add(duration))
	f.startDelays = append(f.startDelays, f.now.Sub(f.submittedAt[job]))
}

// step simulates 100 ms of the agents, the leader, the key-value store and the cloud.
func (f *fleet) step() {
	f.t.Helper()
	f.now = f.now.Add(100 * time.Millisecond)
	for _, a := range f.agents {
		if !a.failed {
			f.runAgent(a)
		}
	}
	scoredBefore := f.scoredPairs
	f.Tick(f.now, true /* holdsLeaderLease */)
	f.scoredPairs = f.Summary().ScoredPairs
	f.maxScoredPairsPerStep = max(f.maxScoredPairsPerStep, f.scoredPairs-scoredBefore)
	f.commitWithinBudget()
	f.executeCloudCalls()
	f.executeDirectCalls()
}

// runAgent completes those tasks of an agent that have reached their end times. It then sends a
// heartbeat if one is due: every 3 s, or 500 ms after the last one if a task has changed.
func (f *fleet) runAgent(a *fleetAgent) {
	f.t.Helper()
	for i := range a.tasks {
		if a.tasks[i].State == wire.TaskRunning && !f.now.Before(a.endTimes[i]) {
			a.tasks[i].State, a.tasks[i].ExitReason = wire.TaskExited, wire.ExitDone
			a.tasksChanged = true
		}
	}
	if f.now.Before(a.nextHeartbeat) && (!a.tasksChanged || f.now.Sub(a.lastHeartbeat) < 500*time.Millisecond) {
		return
	}
	a.tasksChanged, a.lastHeartbeat, a.nextHeartbeat = false, f.now, f.now.Add(3*time.Second)
	response, outcome := f.HandleHeartbeat(f.now, f.newHeartbeat(a), true /* holdsLeaderLease */)
	if outcome != leader.HeartbeatApplied {
		f.t.Fatalf("heartbeat of %s: got outcome %d, want HeartbeatApplied", a.name, outcome)
	}
	if response.FencingToken < a.fencingToken {
		f.t.Fatalf("response to %s: got fencing token %d, lower than %d before", a.name, response.FencingToken, a.fencingToken)
	}
	a.fencingToken = response.FencingToken
	f.execute(a, response.Commands)
}

// executeCloudCalls executes the calls to the cloud, which releases machines but has no capacity for
// new ones.
func (f *fleet) executeCloudCalls() {
	for _, call := range f.PlanScaling(f.now) {
		f.cloudCalls++
		if call.Op == scaling.CloudProvision {
			f.FinishProvision(f.now, call.Provision, nil)
			continue
		}
		for _, id := range call.Release {
			f.byName[id].failed, f.byName[id].released = true, true
		}
		f.FinishRelease(f.now, call.Release)
	}
}

// executeDirectCalls executes the direct calls to agents. A call to a failed agent has an uncertain
// outcome.
func (f *fleet) executeDirectCalls() {
	for _, call := range f.NextDirectCalls(f.now) {
		a := f.byName[call.Machine]
		if a.failed {
			f.FinishDirectCall(f.now, call, leader.DirectCallUncertain, nil)
			continue
		}
		if call.Request.FencingToken < a.fencingToken {
			f.refusedCalls++
		} else {
			a.fencingToken = call.Request.FencingToken
			f.execute(a, call.Request.Commands)
		}
		f.FinishDirectCall(f.now, call, leader.DirectCallReplied, f.newHeartbeat(a))
	}
}

// commitWithinBudget commits as many writes as the write budget allows. The budget is a token bucket
// that holds at most the writes of half a second. Writes that no user waits for are limited to the
// tokens beyond those of a quarter second, which are kept for the other writes.
func (f *fleet) commitWithinBudget() {
	f.t.Helper()
	limits := testParams.KVStore
	writesPerSecond := limits.WriteRPS * tuning.StoreLeaderWriteShare
	f.writeTokens = min(f.writeTokens+writesPerSecond/10, writesPerSecond/2)
	for f.writeTokens >= 1 {
		b := f.NextWriteBatch(min(limits.TxnOps, int(f.writeTokens)), max(0, int(f.writeTokens-writesPerSecond/4)))
		if b == nil {
			return
		}
		f.writeTokens -= float64(len(b.Mutations))
		batchBytes := 0
		for _, w := range b.Mutations {
			f.committedMutations++
			batchBytes += len(w.Key()) + len(w.Value) + 40 // an overhead of 40 bytes per write
			if float64(len(w.Value)) > limits.ValueKB*1024 {
				f.t.Fatalf("value of %s has %d bytes, want at most the value limit", w.Put, len(w.Value))
			}
			if w.Delete != "" {
				delete(f.store, w.Delete)
			} else {
				f.store[w.Put] = w.Value
			}
		}
		if f.committedBytes += batchBytes; batchBytes > 64<<10 {
			f.t.Fatalf("transaction has %d bytes, want at most 64 KiB", batchBytes)
		}
		f.MarkBatchCommitted(b, nil)
		f.MarkTokensReserved(f.LastTokenToReserve())
	}
}

// applyFleetMachineList applies the cloud's machine list, which contains all machines that are not
// released, also failed ones.
func (f *fleet) applyFleetMachineList() {
	var rows []wire.ListedMachine
	for _, a := range f.agents {
		if !a.released {
			rows = append(rows, wire.ListedMachine{Name: a.name, Addr: a.name + ":9", Type: "std-8", Zone: "a", State: wire.MachineRunning, AgeS: f.now.Sub(startTime).Seconds()})
		}
	}
	f.ApplyMachineList(f.now, f.now, rows)
}

// checkAllMachinesGetStarts checks that every machine that has not failed got a start in the given
// term, unless tasks that started earlier still use all its CPUs.
func (f *fleet) checkAllMachinesGetStarts(term uint64) {
	f.t.Helper()
	withoutStart := 0
	for _, a := range f.agents {
		if !a.failed && a.lastStartTerm < term && a.usedCPUs() < std8Type.CPUs {
			withoutStart++
		}
	}
	if withoutStart > 0 {
		f.t.Errorf("%d machines that have not failed and have free CPUs got no start in term %d, want none", withoutStart, term)
	}
}

// usedCPUs returns the CPUs of the agent's running tasks: 8 for a task of a long job, 4 for any
// other.
func (a *fleetAgent) usedCPUs() float64 {
	cpus := 0.0
	for _, task := range a.tasks {
		switch {
		case task.State != wire.TaskRunning:
		case strings.HasPrefix(task.Task, "job-9"):
			cpus += 8
		default:
			cpus += 4
		}
	}
	return cpus
}

// checkAllocationsPerRequest checks the number of memory allocations for one heartbeat and for one
// query. It must not grow with the number of machines, jobs or ended jobs.
func (f *fleet) checkAllocationsPerRequest() {
	f.t.Helper()
	a := f.agents[1]
	limit := 40 + 8*len(a.tasks)
	if got := testing.AllocsPerRun(50, func() { f.HandleHeartbeat(f.now, f.newHeartbeat(a), true /* holdsLeaderLease */) }); got > float64(limit) {
		f.t.Errorf("a heartbeat with %d tasks allocates %.0f times, want at most %d", len(a.tasks), got, limit)
	}
	for id := range f.submittedAt {
		if got := testing.AllocsPerRun(50, func() { f.Query(id) }); got > 0 {
			f.t.Errorf("a query allocates %.0f times, want 0", got)
		}
		break
	}
}
