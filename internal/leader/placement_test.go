package leader_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/scaling"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// TestNoStartsWithoutAuthority checks that heartbeats still get a response while the key-value store
// can't be reached, but no task is started.
func TestNoStartsWithoutAuthority(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.submit("job-1")
	l.sendHeartbeat("m1", 1)
	l.tickAfter(time.Second)
	l.commit()
	l.seq++
	response, outcome := l.HandleHeartbeat(l.now, &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: l.seq, FencingToken: 5}, false)
	if outcome != leader.HeartbeatApplied || len(response.Commands) != 0 {
		t.Fatalf("%v %+v", outcome, response)
	}
}

// TestTeamAtLimitPreemptsOwnTasks checks that a team whose less urgent tasks use its whole limit has
// one of them stopped for its own urgent job, because no other machine would help.
func TestTeamAtLimitPreemptsOwnTasks(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	normal := newJob("job-1")
	normal.Priority, normal.Tasks, normal.CPUs, normal.CheckpointIntervalS, normal.EstimateS = wire.PriorityNormal, 2, 8, 20, 300
	l.Submit(l.now, l.now, normal, func(leader.JobResponse) {})
	l.commit()
	lists := map[string][]wire.TaskStatus{"m1": nil, "m2": nil, "m3": nil}
	machines := []string{"m1", "m2", "m3"}
	step := func(d time.Duration) (stops, starts string) {
		l.tickAfter(d)
		l.commit()
		for _, m := range machines {
			for _, c := range l.sendHeartbeat(m, 1, lists[m]...) {
				switch c.Op {
				case wire.OpStart:
					starts += c.Task + " "
					lists[m] = append(lists[m], wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
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
		t.Fatal("the less urgent job did not start")
	}
	// Advances to just after the first checkpoint, when stopping loses little progress.
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

// TestNoPreemptionWithoutEnoughRoom checks a team at its limit with a large job of high priority. If
// its preemptible tasks are too small to make room for the job, none is stopped: they would be
// stopped in every pass and never complete, and the large job would not start either. If they are
// large enough, as many are stopped as needed.
func TestNoPreemptionWithoutEnoughRoom(t *testing.T) {
	for _, c := range []struct {
		nonPreemptibleCPUs float64 // CPUs of each of two tasks that can't be stopped; the limit is 16
		running            int     // number of tasks of 1 CPU that can be stopped
		stops              int
	}{{6.5, 1, 0}, {6, 2, 2}} {
		l := newLeader(t, 5, start, map[string]json.RawMessage{})
		nonPreemptible := newJob("job-1")
		nonPreemptible.Tasks, nonPreemptible.CPUs, nonPreemptible.EstimateS = 2, c.nonPreemptibleCPUs, 600
		low := newJob("job-2")
		low.Priority, low.Tasks, low.CPUs, low.CheckpointIntervalS, low.EstimateS = wire.PriorityIdle, c.running, 1, 5, 300
		lists := map[string][]wire.TaskStatus{"m1": nil, "m2": nil, "m3": nil}
		stops := 0
		step := func() {
			l.tickAfter(500 * time.Millisecond)
			l.commit()
			for _, m := range []string{"m1", "m2", "m3"} {
				for _, command := range l.sendHeartbeat(m, 1, lists[m]...) {
					switch command.Op {
					case wire.OpStart:
						lists[m] = append(lists[m], wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskRunning})
					case wire.OpStop:
						stops++
						lists[m] = slices.DeleteFunc(lists[m], func(r wire.TaskStatus) bool { return r.Task == command.Task })
					}
				}
			}
		}
		for _, j := range []*wire.Job{nonPreemptible, low} {
			l.Submit(l.now, l.now, j, func(leader.JobResponse) {})
			l.commit()
			for range 3 {
				step()
			}
		}
		high := newJob("job-3")
		high.Priority, high.CPUs = wire.PriorityCritical, 4
		l.Submit(l.now, l.now, high, func(leader.JobResponse) {})
		l.commit()
		for range 8 {
			step()
		}
		if stops != c.stops {
			t.Errorf("with %d preemptible tasks: %d stops, want %d", c.running, stops, c.stops)
		}
	}
}

// TestPreemptedCapacityIsReserved checks two tasks that are stopped for a larger one of a higher
// priority and exit one after the other: the capacity that the first exit frees does not go to tasks
// of lower priority.
func TestPreemptedCapacityIsReserved(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	low := newJob("job-1")
	low.Priority, low.Tasks, low.CPUs, low.CheckpointIntervalS, low.EstimateS = wire.PriorityIdle, 2, 4, 5, 300
	l.Submit(l.now, l.now, low, func(leader.JobResponse) {})
	l.commit()
	l.sendHeartbeat("m1", 1)
	l.tickAfter(time.Second)
	l.commit()
	var running []wire.TaskStatus
	for _, c := range l.sendHeartbeat("m1", 1) {
		running = append(running, wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
	}
	if len(running) != 2 {
		t.Fatalf("%d of 2 tasks started", len(running))
	}
	l.sendHeartbeat("m1", 1, running...)
	high := newJob("job-2")
	high.CPUs = 8
	l.Submit(l.now, l.now, high, func(leader.JobResponse) {})
	l.commit()
	l.tickAfter(time.Second)
	if cs := l.sendHeartbeat("m1", 1, running...); len(cs) != 2 || cs[0].Op != wire.OpStop || cs[1].Op != wire.OpStop {
		t.Fatalf("want two stops, got %s", formatCommands(cs))
	}
	exited := func(r wire.TaskStatus) wire.TaskStatus {
		r.State, r.ExitReason = wire.TaskExited, wire.ExitStopped
		return r
	}
	l.sendHeartbeat("m1", 1, exited(running[0]), running[1])
	l.tickAfter(500 * time.Millisecond)
	l.commit()
	for _, c := range l.sendHeartbeat("m1", 1, running[1]) {
		if c.Op == wire.OpStart {
			t.Fatalf("%s was started in capacity reserved for job-2", c.Task)
		}
	}
	l.sendHeartbeat("m1", 1, exited(running[1]))
	l.tickAfter(500 * time.Millisecond)
	l.commit()
	if cs := l.sendHeartbeat("m1", 1); formatCommands(cs) != "run job-2/0" {
		t.Fatal(formatCommands(cs))
	}
}

// TestAgedStartIsProtectedFromPreemption checks that a task that was placed because of its job's age
// is not stopped for more urgent work in its first 30 s, because a start counts to the user only
// once it has run for that long. After that it is stopped.
func TestAgedStartIsProtectedFromPreemption(t *testing.T) {
	for _, waited := range []time.Duration{time.Second, tuning.AgingThreshold} {
		l := newLeader(t, 5, start, map[string]json.RawMessage{})
		idle := newJob("job-1")
		idle.Priority, idle.CPUs, idle.CheckpointIntervalS, idle.EstimateS = wire.PriorityIdle, 8, 5, 300
		l.Submit(l.now, l.now, idle, func(leader.JobResponse) {})
		l.commit()
		l.tickAfter(waited)
		l.sendHeartbeat("m1", 1)
		l.tickAfter(time.Second)
		l.commit()
		cs := l.sendHeartbeat("m1", 1)
		if formatCommands(cs) != "run job-1/0" {
			t.Fatal(formatCommands(cs))
		}
		began := l.now
		l.submit("job-2")
		for {
			l.tickAfter(time.Second)
			l.commit()
			if l.now.Sub(began) > 90*time.Second {
				t.Fatal("not stopped within 90 s")
			}
			if len(l.sendHeartbeat("m1", 1, wire.TaskStatus{Task: "job-1/0", Attempt: cs[0].Attempt, State: wire.TaskRunning})) > 0 {
				break
			}
		}
		if ran := l.now.Sub(began); ran > 30*time.Second != (waited == tuning.AgingThreshold) {
			t.Errorf("after a wait of %v: stopped after %v", waited, ran)
		}
	}
}

// TestLargeJobIsNotStarved checks that, under a lasting backlog of smaller and more urgent jobs, a
// large job of low priority starts within four minutes, and that more of its tasks start later.
func TestLargeJobIsNotStarved(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	large := newJob("job-999999")
	large.Priority, large.Tasks, large.CPUs, large.EstimateS = wire.PriorityIdle, 40, 8, 20
	const submitAfterS = 100 // the backlog exists by then
	lists := map[string][]wire.TaskStatus{"m1": nil, "m2": nil}
	ends := map[string]time.Time{}
	firstDelay, starts := time.Duration(0), 0
	for second := range 600 {
		if second == submitAfterS {
			l.Submit(l.now, l.now, large, func(leader.JobResponse) {})
		}
		// The two machines have capacity for a third of these tasks.
		small := newJob(fmt.Sprintf("job-%06d", second))
		small.Tasks, small.EstimateS = 4, 6
		l.Submit(l.now, l.now, small, func(leader.JobResponse) {})
		l.tickAfter(time.Second)
		l.commit()
		for _, m := range []string{"m1", "m2"} {
			for i := range lists[m] {
				if task := &lists[m][i]; !l.now.Before(ends[task.Task]) {
					task.State, task.ExitReason = wire.TaskExited, wire.ExitDone
				}
			}
			for _, c := range l.sendHeartbeat(m, 1, lists[m]...) {
				switch c.Op {
				case wire.OpStart:
					run := 6 * time.Second
					if strings.HasPrefix(c.Task, large.ID) {
						run = 20 * time.Second
						if starts++; starts == 1 {
							firstDelay = l.now.Sub(start) - submitAfterS*time.Second
						}
					}
					ends[c.Task] = l.now.Add(run)
					lists[m] = append(lists[m], wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
				case wire.OpForget:
					lists[m] = slices.DeleteFunc(lists[m], func(r wire.TaskStatus) bool { return r.Task == c.Task })
				}
			}
		}
	}
	if starts == 0 || firstDelay > 4*time.Minute {
		t.Fatalf("%d tasks started, the first after %v", starts, firstDelay)
	}
	if starts < 2 {
		t.Fatalf("only %d tasks started, the first after %v", starts, firstDelay)
	}
}

// TestUnderusedMachineIsConsolidated checks two machines that run one long task each. A task that
// saves checkpoints is moved to the other machine, and its own machine is released. A task that
// can't save is not moved.
func TestUnderusedMachineIsConsolidated(t *testing.T) {
	for _, checkpoint := range []float64{20, 0} {
		l := newLeader(t, 5, start, map[string]json.RawMessage{})
		submit := func(id string, estimate float64) {
			j := newJob(id)
			j.CPUs, j.EstimateS, j.CheckpointIntervalS, j.CheckpointSaveS = 4, estimate, checkpoint, 4
			l.Submit(l.now, l.now, j, func(leader.JobResponse) {})
		}
		submit("job-0", 40) // runs on m1 beside job-1 until it completes
		submit("job-1", 300)
		l.ApplyMachineList(l.now, l.now, []wire.ListedMachine{
			{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}, {Name: "m2", Type: "std-8", Zone: "a", State: wire.MachineRunning},
		})
		lists := map[string][]wire.TaskStatus{}
		stops, released := 0, ""
		for second := range 120 {
			if second == 5 {
				submit("job-2", 300)
			}
			l.tickAfter(time.Second)
			l.commit()
			for _, m := range []string{"m1", "m2"} {
				if released == m || second < 5 && m == "m2" {
					continue
				}
				for i := range lists[m] {
					if second == 45 && lists[m][i].Task == "job-0/0" {
						lists[m][i].State, lists[m][i].ExitReason = wire.TaskExited, wire.ExitDone
					}
				}
				for _, c := range l.sendHeartbeat(m, 1, lists[m]...) {
					at := slices.IndexFunc(lists[m], func(r wire.TaskStatus) bool { return r.Task == c.Task })
					switch c.Op {
					case wire.OpStart:
						lists[m] = append(lists[m], wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
					case wire.OpStop:
						if c.GracePeriodS == nil || *c.GracePeriodS < 4 {
							t.Fatalf("stopped without time to save a checkpoint: %+v", c)
						}
						stops++
						lists[m][at].State, lists[m][at].ExitReason, lists[m][at].CheckpointSaved = wire.TaskExited, wire.ExitStopped, true
					case wire.OpForget:
						lists[m] = slices.Delete(lists[m], at, at+1)
					}
				}
			}
			for _, c := range l.PlanScaling(l.now) {
				if c.Op == scaling.CloudRelease {
					released = c.Release[0]
					l.FinishRelease(l.now, c.Release)
				}
			}
		}
		if checkpoint > 0 && (stops != 1 || released == "" || len(lists["m1"])+len(lists["m2"]) != 2) {
			t.Fatalf("stops: %d, released: %q, tasks: %v", stops, released, lists)
		}
		if checkpoint == 0 && stops != 0 {
			t.Fatal("a task that can't save a checkpoint was moved")
		}
	}
}
