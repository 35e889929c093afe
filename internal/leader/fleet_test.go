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

// fleet simulates several hundred machines without faults against one leader, in
// steps of a tenth of a second, within the write budget of the settings.
type fleet struct {
	*testLeader
	agents []*fleetAgent
	byName map[string]*fleetAgent
	rng    *rand.Rand
	tokens float64

	changes, bytes, starts int
	accepted               int
	scores, worst          int // pairs scored, in all and in one pass
	cloud                  int // calls
	submitted              map[string]time.Time
	begun                  map[string]bool
	waits                  []time.Duration
}

type fleetAgent struct {
	name     string
	tasks    []wire.TaskStatus
	ends     []time.Time
	seq      uint64
	next     time.Time
	sent     time.Time
	change   bool
	failed   bool // reports no more, but is listed
	released bool
	// startedBy is the term of the last start that came.
	startedBy uint64
}

// newFleet returns a leader of term 5 with machines that are up, but have not reported.
func newFleet(t *testing.T, machines int) *fleet {
	f := &fleet{
		testLeader: newLeader(t, 5, start, map[string]json.RawMessage{}), rng: rand.New(rand.NewPCG(1, 1)),
		submitted: map[string]time.Time{}, begun: map[string]bool{}, byName: map[string]*fleetAgent{},
	}
	for i := range machines {
		w := &fleetAgent{name: fmt.Sprintf("i-%06d", i)}
		f.agents, f.byName[w.name] = append(f.agents, w), w
	}
	return f
}

// submitJob submits a job.
func (f *fleet) submitJob(j *wire.Job) {
	f.submitted[j.ID] = f.now
	f.Submit(f.now, f.now, j, func(v leader.Response) {
		if v.Status == 201 {
			f.accepted++
		}
	})
}

// running counts the tasks on machines that have not failed.
func (f *fleet) running() int {
	on := 0
	for _, w := range f.agents {
		for _, task := range w.tasks {
			if !w.failed && task.State == wire.TaskRunning {
				on++
			}
		}
	}
	return on
}

func (f *fleet) report(w *fleetAgent) *wire.Heartbeat {
	w.seq++
	return &wire.Heartbeat{
		Machine: w.name, Addr: w.name + ":9", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: w.seq, FencingToken: f.Term(),
		Tasks: append([]wire.TaskStatus{}, w.tasks...),
	}
}

// execute carries out the commands of a response on an agent.
func (f *fleet) execute(w *fleetAgent, commands []wire.Command) {
	for _, c := range commands {
		w.change = true
		switch c.Op {
		case wire.OpStart:
			f.start(w, c)
		case wire.OpStop:
			for i := range w.tasks {
				if t := &w.tasks[i]; t.Task == c.Task && t.Attempt == c.Attempt && t.State == wire.TaskRunning {
					t.State, t.ExitReason = wire.TaskExited, wire.ExitStopped
				}
			}
		case wire.OpForget:
			for i, t := range w.tasks {
				if t.Task == c.Task && t.Attempt == c.Attempt {
					w.tasks = append(w.tasks[:i], w.tasks[i+1:]...)
					w.ends = append(w.ends[:i], w.ends[i+1:]...)
					break
				}
			}
		}
	}
}

// start runs a task on an agent for some seconds, those of the long jobs of some tests for longer.
func (f *fleet) start(w *fleetAgent, c wire.Command) {
	w.tasks = append(w.tasks, wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
	f.starts++
	w.startedBy = f.Term()
	job, _, _ := wire.SplitTask(c.Task)
	f.begun[job] = true
	lasts := time.Duration(5+f.rng.IntN(10)) * time.Second
	if strings.HasPrefix(job, "job-9") {
		lasts *= 7
	}
	w.ends = append(w.ends, f.now.Add(lasts))
	f.waits = append(f.waits, f.now.Sub(f.submitted[job]))
}

// step is a tenth of a second.
func (f *fleet) step() {
	f.t.Helper()
	f.now = f.now.Add(100 * time.Millisecond)
	for _, w := range f.agents {
		if !w.failed {
			f.runAgent(w)
		}
	}
	before := f.scores
	f.Tick(f.now, true)
	f.scores = f.Counts().ScoredPairs
	f.worst = max(f.worst, f.scores-before)
	f.write()
	f.scale()
	f.callAgents()
}

// runAgent ends the tasks of an agent that are over, and lets it report if it is time.
func (f *fleet) runAgent(w *fleetAgent) {
	f.t.Helper()
	for i := range w.tasks {
		if w.tasks[i].State == wire.TaskRunning && !f.now.Before(w.ends[i]) {
			w.tasks[i].State, w.tasks[i].ExitReason = wire.TaskExited, wire.ExitDone
			w.change = true
		}
	}
	if f.now.Before(w.next) && (!w.change || f.now.Sub(w.sent) < 500*time.Millisecond) {
		return
	}
	w.change, w.sent, w.next = false, f.now, f.now.Add(3*time.Second)
	response, outcome := f.HandleHeartbeat(f.now, f.report(w), true)
	if outcome != leader.HeartbeatApplied {
		f.t.Fatalf("%s: outcome %d", w.name, outcome)
	}
	f.execute(w, response.Commands)
}

// scale answers the calls to the cloud, which has no machine left.
func (f *fleet) scale() {
	for _, call := range f.PlanScaling(f.now) {
		f.cloud++
		if call.Op == scaling.CloudProvision {
			f.ProvisionDone(f.now, call.Provision, nil)
			continue
		}
		for _, id := range call.Release {
			f.byName[id].failed, f.byName[id].released = true, true
		}
		f.ReleaseDone(f.now, call.Release)
	}
}

// callAgents makes the direct calls to agents.
func (f *fleet) callAgents() {
	for _, call := range f.NextDirectCalls(f.now) {
		w := f.byName[call.Machine]
		if w.failed {
			f.DirectCallDone(f.now, call, leader.DirectUnknown, nil)
			continue
		}
		f.execute(w, call.Request.Commands)
		f.DirectCallDone(f.now, call, leader.DirectReplied, f.report(w))
	}
}

// write commits what the budget allows.
func (f *fleet) write() {
	f.t.Helper()
	s := params.KVStore
	perSecond := s.WriteRPS * tuning.StoreWriteShare
	f.tokens = min(f.tokens+perSecond/10, perSecond/2)
	for f.tokens >= 1 {
		b := f.NextBatch(min(s.TxnOps, int(f.tokens)), max(0, int(f.tokens-perSecond/4)))
		if b == nil {
			return
		}
		f.tokens -= float64(len(b.Mutations))
		total := 0
		for _, w := range b.Mutations {
			f.changes++
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
			f.t.Fatalf("a transaction of %d bytes", total)
		}
		f.BatchCommitted(b, nil)
	}
}

// list gives the leader the cloud's list, which still has the failed machines.
func (f *fleet) list() {
	var rows []wire.ListedMachine
	for _, w := range f.agents {
		if !w.released {
			rows = append(rows, wire.ListedMachine{Name: w.name, Addr: w.name + ":9", Type: "std-8", Zone: "a", State: wire.MachineRunning, AgeS: f.now.Sub(start).Seconds()})
		}
	}
	f.ApplyMachineList(f.now, f.now, rows)
}

// checkAllStartAgain checks that every machine that has not failed has been given work by the
// leader of the given term, unless it is still full of its predecessor's.
func (f *fleet) checkAllStartAgain(term uint64) {
	f.t.Helper()
	idle := 0
	for _, w := range f.agents {
		if !w.failed && w.startedBy < term && w.usedCPUs() < bigType.CPUs {
			idle++
		}
	}
	if idle > 0 {
		f.t.Errorf("%d machines that have not failed got no start in term %d", idle, term)
	}
}

// usedCPUs are those of its running tasks: the jobs with long tasks ask for 8 a task, the others for 4.
func (w *fleetAgent) usedCPUs() float64 {
	cpus := 0.0
	for _, task := range w.tasks {
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

// checkWorkPerRequest counts the allocations of a heartbeat and of a query: neither may
// grow with the number of machines, jobs or ended jobs.
func (f *fleet) checkWorkPerRequest() {
	f.t.Helper()
	w := f.agents[1]
	most := 40 + 8*len(w.tasks)
	if got := testing.AllocsPerRun(50, func() { f.HandleHeartbeat(f.now, f.report(w), true) }); got > float64(most) {
		f.t.Errorf("a report of %d tasks allocates %.0f times, at most %d wanted", len(w.tasks), got, most)
	}
	for id := range f.submitted {
		if got := testing.AllocsPerRun(50, func() { f.Query(id) }); got > 0 {
			f.t.Errorf("a question allocates %.0f times", got)
		}
		break
	}
}
