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

// TestLargeFleet runs 600 machines with about 70 starts per second. It checks that the key-value
// store gets few writes per start, that values, transactions and passes are bounded, that urgent
// tasks start at once, and that a successor knows of every task.
func TestLargeFleet(t *testing.T) {
	old := params
	defer func() { params = old }()
	params.Teams = []config.Team{{Name: "blue", CPUs: 4000, CPUsMax: 4800}}
	params.KVStore = config.KVStoreLimits{RPS: 150, WriteRPS: 60, ValueKB: 8, TxnOps: 24}
	f := newFleet(t, 600)
	for tick := range 900 {
		if tick%10 == 0 {
			for k := range 2 {
				j := newJob(fmt.Sprintf("job-%06d", 2*tick+k))
				j.Tasks, j.CPUs, j.EstimateS, j.Image, j.ImageGB = 35, 2, 10, fmt.Sprint("img", f.rng.IntN(5)), 0.5
				f.submitJob(j)
			}
		}
		f.step()
	}
	if f.accepted < 175 || f.starts < 5500 {
		t.Fatalf("accepted %d jobs, started %d tasks", f.accepted, f.starts)
	}
	// A pass that reaches its limit still completes the current group of jobs.
	if f.maxPassScores > 2*tuning.PassMaxScoredPairs {
		t.Fatalf("one pass scored %d pairs", f.maxPassScores)
	}
	lateStarts := 0
	for _, wait := range f.startDelays {
		if wait > 2*time.Second {
			lateStarts++
		}
	}
	if lateStarts > f.starts/100 {
		t.Errorf("%d of %d tasks started after more than 2 s", lateStarts, f.starts)
	}
	if perStart := float64(f.mutations) / float64(f.starts); perStart > 0.6 {
		t.Errorf("%.2f changes per start", perStart)
	}
	if perStart := f.bytes / f.starts; perStart > 300 {
		t.Errorf("%d bytes written per start", perStart)
	}
	running, records := f.runningTasks(), 0
	for key := range f.store {
		if strings.HasPrefix(key, "s/") {
			records++
		}
	}
	if records > 400 {
		t.Errorf("%d start records for a successor to read", records)
	}
	next := newLeader(t, 6, f.now, f.store)
	if known := next.Summary().AllocatedTasks; known < running {
		t.Errorf("a successor knows of %d tasks, %d are running", known, running)
	}
	t.Logf("%d starts, %.2f changes and %d bytes per start, %d records, %d scored pairs", f.starts, float64(f.mutations)/float64(f.starts), f.bytes/f.starts, records, f.Summary().ScoredPairs)
}

// TestFleetBeyondPlannedSize runs 4,000 machines under a lasting backlog of urgent tasks and of long
// ones with checkpoints, with several hundred starts per second. A tenth of the machines fail, and
// the leader fails soon after. It checks that the successor starts tasks on every machine, that its
// work is bounded and that the machines stay in use. A pass that scored every machine for every aged
// job once left 39,000 of 46,000 CPUs idle.
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
				j = newJob(fmt.Sprintf("job-%06d", number))
				j.Tasks, j.CPUs, j.MemoryGB, j.EstimateS = 30+f.rng.IntN(60), 4, 14, 10
				deadline := 60.0
				j.DeadlineS = &deadline
			case tick%3 == 0 && k == 5 || tick == 0:
				j = newJob(fmt.Sprintf("job-9%05d", number))
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
			f.applyList()
		}
		switch tick {
		case 1000:
			for i := range machines / 10 {
				f.agents[10*i].failed = true
			}
		case 1050:
			running := f.runningTasks()
			f.testLeader = newLeader(t, 6, f.now, f.store)
			if n := f.Summary(); n.AllocatedTasks < running {
				t.Errorf("a successor knows of %d tasks, %d are running", n.AllocatedTasks, running)
			}
			f.scoredPairs = 0
			f.applyList()
		}
		f.step()
	}
	f.checkAllMachinesGetStarts(6)
	f.checkWorkPerRequest()
	f.checkBounds(machines)
}

// checkBounds checks that the leader's work was bounded and that its machines, a tenth of which have
// failed, are in use.
func (f *fleet) checkBounds(machines int) {
	f.t.Helper()
	waiting := 0
	for id, at := range f.submitted {
		if !f.startedJobs[id] && f.now.Sub(at) > tuning.AgingThreshold+30*time.Second {
			waiting++
		}
	}
	if waiting > 0 {
		f.t.Errorf("%d aged jobs have not started", waiting)
	}
	n := f.Summary()
	f.t.Logf("%d accepted, %d starts, %.2f changes and %d bytes per start, at most %d pairs per pass, %d cloud calls, %+v",
		f.accepted, f.starts, float64(f.mutations)/float64(f.starts), f.bytes/f.starts, f.maxPassScores, f.cloudCalls, n)
	if f.maxPassScores > 2*tuning.PassMaxScoredPairs {
		f.t.Errorf("one pass scored %d pairs", f.maxPassScores)
	}
	if f.mutations > f.starts {
		f.t.Errorf("%d changes for %d starts", f.mutations, f.starts)
	}
	if n.WantedCPUs < n.CPUs || n.UsedCPUs < 0.95*n.CPUs {
		f.t.Errorf("%.0f of %.0f CPUs in use, ready tasks need %.0f", n.UsedCPUs, n.CPUs, n.WantedCPUs)
	}
	if n.UpMachines > machines-machines/10 {
		f.t.Errorf("%d machines count as up", n.UpMachines)
	}
	if n.PendingWrites > 200 {
		f.t.Errorf("%d changes pending", n.PendingWrites)
	}
}

// TestPlanIncludesStartDelay checks that the plan counts the time from the placement of a task to
// its start, during which its CPUs are allocated. Short tasks with slow starts need more machines.
// When the plan counted run times alone, urgent jobs under a backlog were late.
func TestPlanIncludesStartDelay(t *testing.T) {
	for _, slow := range []bool{false, true} {
		l := newLeader(t, 1, start, map[string]json.RawMessage{})
		l.ApplyMachineList(l.now, l.now, nil)
		l.sendHeartbeat("m1", 1)
		var tasks []wire.TaskStatus
		for i := range 60 {
			tasks = l.runShortTask(fmt.Sprintf("job-%d", i+10), slow)
			tasks[0].State, tasks[0].ExitReason = wire.TaskExited, wire.ExitDone
			l.sendHeartbeat("m1", 1, tasks...)
			l.commit()
		}
		backlog := newJob("job-1")
		backlog.Tasks, backlog.CPUs, backlog.EstimateS = 16, 1, 28 // within the team's limit
		l.Submit(l.now, l.now, backlog, func(leader.JobResponse) {})
		l.commit()
		l.tickAfter(2 * time.Second)
		l.sendHeartbeat("m1", 1)
		if provisioned := provisions(l.PlanScaling(l.now)); provisioned != slow {
			t.Errorf("slow starts: %v, provisioned: %v", slow, provisioned)
		}
	}
}

// runShortTask runs a short task on m1 and returns its status. With slow, m1 lists the task as
// running only 5 s after the start was sent.
func (l *testLeader) runShortTask(id string, slow bool) []wire.TaskStatus {
	l.t.Helper()
	j := newJob(id)
	j.EstimateS = 4
	l.Submit(l.now, l.now, j, func(leader.JobResponse) {})
	l.commit()
	l.tickAfter(time.Second)
	l.commit()
	commands := l.sendHeartbeat("m1", 1)
	started := slices.IndexFunc(commands, func(c wire.Command) bool { return c.Op == wire.OpStart })
	if started < 0 {
		l.t.Fatalf("not started: %s", formatCommands(commands))
	}
	if slow {
		l.now = l.now.Add(5 * time.Second)
	}
	running := []wire.TaskStatus{{Task: commands[started].Task, Attempt: commands[started].Attempt, State: wire.TaskRunning}}
	l.sendHeartbeat("m1", 1, running...)
	l.now = l.now.Add(4 * time.Second)
	return running
}
