package leader_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// TestLargeFleet: 600 machines, some 70 starts a second. The key-value store gets
// few requests per start, no value or transaction is too large, a pass is
// bounded, urgent work starts at once, and a successor knows of every task.
func TestLargeFleet(t *testing.T) {
	old := params
	defer func() { params = old }()
	params.Teams = []config.Team{{Name: "blue", CPUs: 4000, CPUsMax: 4800}}
	params.KVStore = config.KVStoreLimits{RPS: 150, WriteRPS: 60, ValueKB: 8, TxnOps: 24}
	f := newFleet(t, 600)
	for tick := range 900 {
		if tick%10 == 0 {
			for k := range 2 {
				j := spec(fmt.Sprintf("job-%06d", 2*tick+k))
				j.Tasks, j.CPUs, j.EstimateS, j.Image, j.ImageGB = 35, 2, 10, fmt.Sprint("img", f.rng.IntN(5)), 0.5
				f.submitJob(j)
			}
		}
		f.step()
	}
	if f.accepted < 175 || f.starts < 5500 {
		t.Fatalf("accepted %d jobs, started %d tasks", f.accepted, f.starts)
	}
	// A pass that reaches its bound ends with the line of jobs at hand.
	if f.worst > 2*tuning.PassMaxScoredPairs {
		t.Fatalf("one pass scored %d pairs", f.worst)
	}
	late := 0
	for _, wait := range f.waits {
		if wait > 2*time.Second {
			late++
		}
	}
	if late > f.starts/100 {
		t.Errorf("%d of %d tasks started later than 2 s", late, f.starts)
	}
	if perStart := float64(f.changes) / float64(f.starts); perStart > 0.6 {
		t.Errorf("%.2f changes a start", perStart)
	}
	if perStart := f.bytes / f.starts; perStart > 300 {
		t.Errorf("%d bytes written a start", perStart)
	}
	on, records := f.running(), 0
	for key := range f.store {
		if strings.HasPrefix(key, "s/") {
			records++
		}
	}
	if records > 400 {
		t.Errorf("%d start records for a successor to read", records)
	}
	next := newLeader(t, 6, f.now, f.store)
	if known := next.Counts().AllocatedTasks; known < on {
		t.Errorf("a successor knows of %d tasks, %d run", known, on)
	}
	t.Logf("%d starts, %.2f changes and %d bytes each, %d records, %d scores", f.starts, float64(f.changes)/float64(f.starts), f.bytes/f.starts, records, f.Counts().ScoredPairs)
}

// TestFleetBeyondPlannedSize: 4,000 machines under a lasting backlog of long tasks that
// save and of urgent ones, some hundred starts a second. A tenth of the machines
// fail with all on them, and the leader soon after; every machine gets work of its successor. What it
// costs stays bounded and the machines stay in use: a pass that scored every machine for every job
// that had waited long once left 39,000 of 46,000 CPUs idle.
func TestFleetBeyondPlannedSize(t *testing.T) {
	oldParams, oldType := params, bigType
	defer func() { params, bigType = oldParams, oldType }()
	bigType.CPUs, bigType.MemoryGB = 32, 128
	params.Teams = nil
	for k := range 10 {
		params.Teams = append(params.Teams, config.Team{Name: fmt.Sprint("team", k), CPUs: 11000, CPUsMax: 22000})
	}
	params.Workers = config.Workers{HeartbeatIntervalS: 6, LeaseS: 31, CancelDeadlineS: 56}
	params.KVStore = config.KVStoreLimits{RPS: 400, WriteRPS: 180, ValueKB: 8, TxnOps: 24}
	params.Cloud = config.CloudLimits{RPS: 2, ListLagS: 8}
	const machines = 4000
	f := newFleet(t, machines)
	for tick := range 1800 {
		for k := range 10 {
			number := 10*tick + k
			var j *wire.Job
			switch {
			case tick%10 == 0 && k < 4:
				j = spec(fmt.Sprintf("job-%06d", number))
				j.Tasks, j.CPUs, j.MemoryGB, j.EstimateS = 30+f.rng.IntN(60), 4, 14, 10
				deadline := 60.0
				j.DeadlineS = &deadline
			case tick%3 == 0 && k == 5 || tick == 0:
				j = spec(fmt.Sprintf("job-9%05d", number))
				j.Tasks, j.CPUs, j.MemoryGB, j.EstimateS, j.Priority = 50+f.rng.IntN(150), 8, 28, 70, wire.PriorityNormal
				j.CheckpointIntervalS, j.CheckpointSaveS = 20, 4
			default:
				continue
			}
			j.Class, j.Team = j.Priority, fmt.Sprint("team", f.rng.IntN(10))
			j.Image, j.ImageGB = fmt.Sprint("img", f.rng.IntN(20)), 1.5
			f.submitJob(j)
		}
		if tick%60 == 0 {
			f.list()
		}
		switch tick {
		case 1000:
			for i := range machines / 10 {
				f.agents[10*i].failed = true
			}
		case 1050:
			on := f.running()
			f.testLeader = newLeader(t, 6, f.now, f.store)
			if n := f.Counts(); n.AllocatedTasks < on {
				t.Errorf("a successor knows of %d tasks, %d run", n.AllocatedTasks, on)
			}
			f.scores = 0
			f.list()
		}
		f.step()
	}
	f.checkAllStartAgain(6)
	f.checkWorkPerRequest()
	f.checkBounds(machines)
}

// checkBounds checks that the work of the leader was bounded and that its machines, of which a
// tenth has failed, are in use.
func (f *fleet) checkBounds(machines int) {
	f.t.Helper()
	waiting := 0
	for id, at := range f.submitted {
		if !f.begun[id] && f.now.Sub(at) > tuning.AgingThreshold+30*time.Second {
			waiting++
		}
	}
	if waiting > 0 {
		f.t.Errorf("%d jobs wait for long and have not begun", waiting)
	}
	n := f.Counts()
	f.t.Logf("%d accepted, %d starts, %.2f changes and %d bytes each, %d pairs in one pass at most, %d calls to the cloud, %+v",
		f.accepted, f.starts, float64(f.changes)/float64(f.starts), f.bytes/f.starts, f.worst, f.cloud, n)
	if f.worst > 2*tuning.PassMaxScoredPairs {
		f.t.Errorf("one pass scored %d pairs", f.worst)
	}
	if f.changes > f.starts {
		f.t.Errorf("%d changes for %d starts", f.changes, f.starts)
	}
	if n.WantedCPUs < n.CPUs || n.UsedCPUs < 0.95*n.CPUs {
		f.t.Errorf("%.0f of %.0f CPUs in use with work for %.0f waiting", n.UsedCPUs, n.CPUs, n.WantedCPUs)
	}
	if n.UpMachines > machines-machines/10 {
		f.t.Errorf("%d machines count as up", n.UpMachines)
	}
	if n.PendingWrites > 200 {
		f.t.Errorf("%d changes wait", n.PendingWrites)
	}
}

// TestPlanCountsTheTimeThatStartsTake: a place is taken from the placement of a task, not only
// while it runs. Short tasks that are slow to start need more machines to begin in time;
// planned with their run time alone, urgent jobs under a backlog were late.
func TestPlanCountsTheTimeThatStartsTake(t *testing.T) {
	for _, slow := range []bool{false, true} {
		l := newLeader(t, 1, start, map[string]json.RawMessage{})
		l.ApplyMachineList(l.now, l.now, nil)
		l.report("m1", 1)
		var tasks []wire.TaskStatus
		for i := range 60 {
			tasks = l.startOneSlowly(fmt.Sprintf("job-%d", i+10), slow)
			tasks[0].State, tasks[0].ExitReason = wire.TaskExited, wire.ExitDone
			l.report("m1", 1, tasks...)
			l.commit()
		}
		backlog := spec("job-1")
		backlog.Tasks, backlog.CPUs, backlog.EstimateS = 16, 1, 28 // within the limit of the team
		l.Submit(l.now, l.now, backlog, func(leader.Response) {})
		l.commit()
		l.pass(2 * time.Second)
		l.report("m1", 1)
		if provisioned := provisions(l.PlanScaling(l.now)); provisioned != slow {
			t.Errorf("starts slow: %v, provisioned: %v", slow, provisioned)
		}
	}
}

// startOneSlowly brings a short task to run on m1, some seconds after it was placed if slow.
func (l *testLeader) startOneSlowly(id string, slow bool) []wire.TaskStatus {
	l.t.Helper()
	j := spec(id)
	j.EstimateS = 4
	l.Submit(l.now, l.now, j, func(leader.Response) {})
	l.commit()
	l.pass(time.Second)
	l.commit()
	commands := l.report("m1", 1)
	started := slices.IndexFunc(commands, func(c wire.Command) bool { return c.Op == wire.OpStart })
	if started < 0 {
		l.t.Fatalf("not started: %s", ops(commands))
	}
	if slow {
		l.now = l.now.Add(5 * time.Second)
	}
	running := []wire.TaskStatus{{Task: commands[started].Task, Attempt: commands[started].Attempt, State: wire.TaskRunning}}
	l.report("m1", 1, running...)
	l.now = l.now.Add(4 * time.Second)
	return running
}
