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

// fleet simulates one leader and several hundred or thousand machines without network faults, in
// steps of 100 ms and within the write budget of the settings.
type fleet struct {
	*testLeader
	agents []*fleetAgent
	byName map[string]*fleetAgent
	rng    *rand.Rand
	tokens float64

	mutations, bytes, starts   int
	accepted                   int
	scoredPairs, maxPassScores int // pairs scored, in total and at most in one pass
	cloudCalls                 int
	submitted                  map[string]time.Time
	startedJobs                map[string]bool
	startDelays                []time.Duration
}

type fleetAgent struct {
	name          string
	tasks         []wire.TaskStatus
	endTimes      []time.Time
	seq           uint64
	nextHeartbeat time.Time
	lastHeartbeat time.Time
	changed       bool
	failed        bool // sends no heartbeats, but is still listed until it is released
	released      bool
	// lastStartTerm is the term of the last start received.
	lastStartTerm uint64
}

// newFleet returns a leader of term 5 and running machines that have not sent a heartbeat.
func newFleet(t *testing.T, machines int) *fleet {
	f := &fleet{
		testLeader: newLeader(t, 5, start, map[string]json.RawMessage{}), rng: rand.New(rand.NewPCG(1, 1)),
		submitted: map[string]time.Time{}, startedJobs: map[string]bool{}, byName: map[string]*fleetAgent{},
	}
	for i := range machines {
		a := &fleetAgent{name: fmt.Sprintf("i-%06d", i)}
		f.agents, f.byName[a.name] = append(f.agents, a), a
	}
	return f
}

func (f *fleet) submitJob(j *wire.Job) {
	f.submitted[j.ID] = f.now
	f.Submit(f.now, f.now, j, func(v leader.JobResponse) {
		if v.Status == 201 {
			f.accepted++
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

func (f *fleet) newHeartbeat(a *fleetAgent) *wire.Heartbeat {
	a.seq++
	return &wire.Heartbeat{
		Machine: a.name, Addr: a.name + ":9", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: a.seq, FencingToken: f.Term(),
		Tasks: append([]wire.TaskStatus{}, a.tasks...),
	}
}

// execute executes the commands of a response or a direct call on an agent.
func (f *fleet) execute(a *fleetAgent, commands []wire.Command) {
	for _, c := range commands {
		a.changed = true
		switch c.Op {
		case wire.OpStart:
			f.start(a, c)
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

// start runs a task on an agent for 5 to 14 s, or seven times as long if it is of a long job.
func (f *fleet) start(a *fleetAgent, c wire.Command) {
	a.tasks = append(a.tasks, wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
	f.starts++
	a.lastStartTerm = f.Term()
	job, _, _ := wire.SplitTask(c.Task)
	f.startedJobs[job] = true
	duration := time.Duration(5+f.rng.IntN(10)) * time.Second
	if strings.HasPrefix(job, "job-9") {
		duration *= 7
	}
	a.endTimes = append(a.endTimes, f.now.Add(duration))
	f.startDelays = append(f.startDelays, f.now.Sub(f.submitted[job]))
}

// step simulates 100 ms.
func (f *fleet) step() {
	f.t.Helper()
	f.now = f.now.Add(100 * time.Millisecond)
	for _, a := range f.agents {
		if !a.failed {
			f.runAgent(a)
		}
	}
	before := f.scoredPairs
	f.Tick(f.now, true)
	f.scoredPairs = f.Summary().ScoredPairs
	f.maxPassScores = max(f.maxPassScores, f.scoredPairs-before)
	f.commitWithinBudget()
	f.scale()
	f.callAgents()
}

// runAgent completes the tasks of an agent whose run time is over and sends a heartbeat if one is
// due.
func (f *fleet) runAgent(a *fleetAgent) {
	f.t.Helper()
	for i := range a.tasks {
		if a.tasks[i].State == wire.TaskRunning && !f.now.Before(a.endTimes[i]) {
			a.tasks[i].State, a.tasks[i].ExitReason = wire.TaskExited, wire.ExitDone
			a.changed = true
		}
	}
	if f.now.Before(a.nextHeartbeat) && (!a.changed || f.now.Sub(a.lastHeartbeat) < 500*time.Millisecond) {
		return
	}
	a.changed, a.lastHeartbeat, a.nextHeartbeat = false, f.now, f.now.Add(3*time.Second)
	response, outcome := f.HandleHeartbeat(f.now, f.newHeartbeat(a), true)
	if outcome != leader.HeartbeatApplied {
		f.t.Fatalf("%s: outcome %d", a.name, outcome)
	}
	f.execute(a, response.Commands)
}

// scale responds to the calls to the cloud, which has no capacity for new machines.
func (f *fleet) scale() {
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

// callAgents makes the direct calls to agents.
func (f *fleet) callAgents() {
	for _, call := range f.NextDirectCalls(f.now) {
		a := f.byName[call.Machine]
		if a.failed {
			f.FinishDirectCall(f.now, call, leader.DirectCallUncertain, nil)
			continue
		}
		f.execute(a, call.Request.Commands)
		f.FinishDirectCall(f.now, call, leader.DirectCallReplied, f.newHeartbeat(a))
	}
}

// commitWithinBudget commits as many changes as the write budget allows.
func (f *fleet) commitWithinBudget() {
	f.t.Helper()
	s := params.KVStore
	perSecond := s.WriteRPS * tuning.StoreWriteShare
	f.tokens = min(f.tokens+perSecond/10, perSecond/2)
	for f.tokens >= 1 {
		b := f.NextWriteBatch(min(s.TxnOps, int(f.tokens)), max(0, int(f.tokens-perSecond/4)))
		if b == nil {
			return
		}
		f.tokens -= float64(len(b.Mutations))
		total := 0
		for _, w := range b.Mutations {
			f.mutations++
			total += len(w.Key()) + len(w.Value) + 40
			if float64(len(w.Value)) > s.ValueKB*1024 {
				f.t.Fatalf("%s has %d bytes", w.Put, len(w.Value))
			}
			if w.Delete != "" {
				delete(f.store, w.Delete)
			} else {
				f.store[w.Put] = w.Value
			}
		}
		if f.bytes += total; total > 64<<10 {
			f.t.Fatalf("transaction of %d bytes", total)
		}
		f.MarkBatchCommitted(b, nil)
	}
}

// applyList applies the cloud's machine list, which still contains failed machines.
func (f *fleet) applyList() {
	var rows []wire.ListedMachine
	for _, a := range f.agents {
		if !a.released {
			rows = append(rows, wire.ListedMachine{Name: a.name, Addr: a.name + ":9", Type: "std-8", Zone: "a", State: wire.MachineRunning, AgeS: f.now.Sub(start).Seconds()})
		}
	}
	f.ApplyMachineList(f.now, f.now, rows)
}

// checkAllMachinesGetStarts checks that every machine that has not failed got a start in the given
// term, unless it is still full of tasks started earlier.
func (f *fleet) checkAllMachinesGetStarts(term uint64) {
	f.t.Helper()
	idle := 0
	for _, a := range f.agents {
		if !a.failed && a.lastStartTerm < term && a.usedCPUs() < bigType.CPUs {
			idle++
		}
	}
	if idle > 0 {
		f.t.Errorf("%d machines that have not failed got no start in term %d", idle, term)
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

// checkWorkPerRequest limits the allocations for a heartbeat and for a query. They must not grow
// with the number of machines, jobs or ended jobs.
func (f *fleet) checkWorkPerRequest() {
	f.t.Helper()
	a := f.agents[1]
	limit := 40 + 8*len(a.tasks)
	if got := testing.AllocsPerRun(50, func() { f.HandleHeartbeat(f.now, f.newHeartbeat(a), true) }); got > float64(limit) {
		f.t.Errorf("a heartbeat with %d tasks allocates %.0f times, want at most %d", len(a.tasks), got, limit)
	}
	for id := range f.submitted {
		if got := testing.AllocsPerRun(50, func() { f.Query(id) }); got > 0 {
			f.t.Errorf("a query allocates %.0f times", got)
		}
		break
	}
}
