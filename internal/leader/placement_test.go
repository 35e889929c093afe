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

// TestNoStartsWithoutLeaderLease checks that heartbeats still get a response while the leader does not
// hold its lease, because the key-value store can't be reached, but that the response starts no task.
func TestNoStartsWithoutLeaderLease(t *testing.T) {
	l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
	l.submit("job-1")
	l.sendHeartbeat("m1", 1)
	l.tickAfter(time.Second)
	l.commit()
	l.lastSequence++
	response, outcome := l.HandleHeartbeat(l.now, &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: l.lastSequence, FencingToken: 5}, false /* holdsLeaderLease */)
	if outcome != leader.HeartbeatApplied || len(response.Commands) != 0 {
		t.Fatalf("got outcome %v and response %+v, want HeartbeatApplied and no commands", outcome, response)
	}
}

// TestTeamAtLimitPreemptsOwnTasks checks that a team at its CPU limit preempts one of its own less urgent
// tasks for an urgent job. This is necessary even if machines are free, because the limit prevents the
// start.
func TestTeamAtLimitPreemptsOwnTasks(t *testing.T) {
	l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
	normal := newJob("job-1")
	normal.Priority, normal.Tasks, normal.CPUs, normal.CheckpointIntervalS, normal.EstimateS = wire.PriorityNormal, 2, 8, 20, 300
	l.Submit(l.now, l.now, normal, func(leader.JobResponse) {})
	l.commit()
	tasksByMachine := map[string][]wire.TaskStatus{"m1": nil, "m2": nil, "m3": nil}
	machines := []string{"m1", "m2", "m3"}
	advance := func(d time.Duration) (stops, starts string) {
		l.tickAfter(d)
		l.commit()
		for _, m := range machines {
			for _, c := range l.sendHeartbeat(m, 1, tasksByMachine[m]...) {
				switch c.Op {
				case wire.OpStart:
					starts += c.Task + " "
					tasksByMachine[m] = append(tasksByMachine[m], wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
				case wire.OpStop:
					stops += c.Task + " "
					tasksByMachine[m] = []wire.TaskStatus{{Task: c.Task, Attempt: c.Attempt, State: wire.TaskExited, ExitReason: wire.ExitStopped}}
				case wire.OpForget:
					tasksByMachine[m] = nil
				}
			}
		}
		return stops, starts
	}
	advance(time.Second)
	if _, starts := advance(time.Second); starts == "" {
		t.Fatal("the less urgent job did not start")
	}
	// Advance to just after the first checkpoint: a stop then loses little progress.
	for range 11 {
		advance(2 * time.Second)
	}
	l.submit("job-2")
	var stops, starts string
	for range 4 {
		newStops, newStarts := advance(500 * time.Millisecond)
		stops, starts = stops+newStops, starts+newStarts
	}
	if len(strings.Fields(stops)) != 1 || !strings.Contains(starts, "job-2/0") {
		t.Fatalf("stopped %q, want one task; started %q, want job-2/0", stops, starts)
	}
}

// TestNoPreemptionWithoutEnoughRoom checks that a team at its CPU limit preempts tasks for a large job of
// high priority only if that makes enough room for the job. If stopping all preemptible tasks would not
// suffice, none is stopped. If they were stopped nevertheless, they would be stopped again in every pass
// and never complete, and the large job would not start either. If they make enough room, as many are
// stopped as needed.
func TestNoPreemptionWithoutEnoughRoom(t *testing.T) {
	for _, c := range []struct {
		nonPreemptibleCPUs float64 // CPUs of each of two tasks that can't be preempted; the limit is 16
		preemptibleTasks   int     // number of tasks of 1 CPU that can be preempted
		wantStops          int
	}{{6.5, 1, 0}, {6, 2, 2}} {
		l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
		nonPreemptible := newJob("job-1") // saves no checkpoints, so its tasks are not preempted
		nonPreemptible.Tasks, nonPreemptible.CPUs, nonPreemptible.EstimateS = 2, c.nonPreemptibleCPUs, 600
		low := newJob("job-2")
		low.Priority, low.Tasks, low.CPUs, low.CheckpointIntervalS, low.EstimateS = wire.PriorityIdle, c.preemptibleTasks, 1, 5, 300
		tasksByMachine := map[string][]wire.TaskStatus{"m1": nil, "m2": nil, "m3": nil}
		stops := 0
		advance := func() {
			l.tickAfter(500 * time.Millisecond)
			l.commit()
			for _, m := range []string{"m1", "m2", "m3"} {
				for _, command := range l.sendHeartbeat(m, 1, tasksByMachine[m]...) {
					switch command.Op {
					case wire.OpStart:
						tasksByMachine[m] = append(tasksByMachine[m], wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskRunning})
					case wire.OpStop:
						stops++
						tasksByMachine[m] = slices.DeleteFunc(tasksByMachine[m], func(r wire.TaskStatus) bool { return r.Task == command.Task })
					}
				}
			}
		}
		for _, j := range []*wire.Job{nonPreemptible, low} {
			l.Submit(l.now, l.now, j, func(leader.JobResponse) {})
			l.commit()
			for range 3 {
				advance()
			}
		}
		high := newJob("job-3")
		high.Priority, high.CPUs = wire.PriorityCritical, 4
		l.Submit(l.now, l.now, high, func(leader.JobResponse) {})
		l.commit()
		for range 8 {
			advance()
		}
		if stops != c.wantStops {
			t.Errorf("with %d preemptible tasks: %d stops, want %d", c.preemptibleTasks, stops, c.wantStops)
		}
	}
}

// TestPreemptedCapacityIsReserved checks that capacity freed by preemption is reserved for the preempting
// task and does not go to tasks of lower priority. Two tasks are preempted for a larger task of higher
// priority, and exit one after the other. The capacity freed by the first exit must stay free until the
// second exit.
func TestPreemptedCapacityIsReserved(t *testing.T) {
	l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
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
		t.Fatalf("%d tasks started, want 2", len(running))
	}
	l.sendHeartbeat("m1", 1, running...)
	high := newJob("job-2")
	high.CPUs = 8
	l.Submit(l.now, l.now, high, func(leader.JobResponse) {})
	l.commit()
	l.tickAfter(time.Second)
	if cs := l.sendHeartbeat("m1", 1, running...); len(cs) != 2 || cs[0].Op != wire.OpStop || cs[1].Op != wire.OpStop {
		t.Fatalf("got %s, want two stops", formatCommands(cs))
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
			t.Fatalf("%s was started, want its capacity reserved for job-2", c.Task)
		}
	}
	l.sendHeartbeat("m1", 1, exited(running[1]))
	l.tickAfter(500 * time.Millisecond)
	l.commit()
	if cs := l.sendHeartbeat("m1", 1); formatCommands(cs) != "run job-2/0" {
		t.Fatal(formatCommands(cs))
	}
}

// TestTaskOfAgedJobIsNotPreemptedEarly checks that a task that was placed because its job had waited
// for tuning.AgingThreshold is not preempted in its first 30 s, because a start counts for the user
// only if the task runs for at least that long. Later the task is preempted. A task of a job that has
// not waited is preempted within 30 s.
func TestTaskOfAgedJobIsNotPreemptedEarly(t *testing.T) {
	for _, jobWait := range []time.Duration{time.Second, tuning.AgingThreshold} {
		l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
		idle := newJob("job-1")
		idle.Priority, idle.CPUs, idle.CheckpointIntervalS, idle.EstimateS = wire.PriorityIdle, 8, 5, 300
		l.Submit(l.now, l.now, idle, func(leader.JobResponse) {})
		l.commit()
		l.tickAfter(jobWait)
		l.sendHeartbeat("m1", 1)
		l.tickAfter(time.Second)
		l.commit()
		cs := l.sendHeartbeat("m1", 1)
		if formatCommands(cs) != "run job-1/0" {
			t.Fatal(formatCommands(cs))
		}
		startedAt := l.now
		l.submit("job-2")
		for {
			l.tickAfter(time.Second)
			l.commit()
			if l.now.Sub(startedAt) > 90*time.Second {
				t.Fatal("job-1/0 was not stopped within 90 s")
			}
			if len(l.sendHeartbeat("m1", 1, wire.TaskStatus{Task: "job-1/0", Attempt: cs[0].Attempt, State: wire.TaskRunning})) > 0 {
				break
			}
		}
		if runTime := l.now.Sub(startedAt); runTime > 30*time.Second != (jobWait == tuning.AgingThreshold) {
			t.Errorf("job waited %v: task stopped after %v, want more than 30s after a wait of tuning.AgingThreshold and at most 30s after a shorter one", jobWait, runTime)
		}
	}
}

// TestLargeJobIsNotStarved checks that, under a permanent backlog of smaller and more urgent jobs, a
// large job of low priority starts within four minutes, and that more of its tasks start later.
func TestLargeJobIsNotStarved(t *testing.T) {
	l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
	large := newJob("job-999999") // no small job has this ID
	large.Priority, large.Tasks, large.CPUs, large.EstimateS = wire.PriorityIdle, 40, 8, 20
	const submitAfterS = 100 // after this time there is a backlog of small jobs
	tasksByMachine := map[string][]wire.TaskStatus{"m1": nil, "m2": nil}
	endTimes := map[string]time.Time{}
	firstStartDelay, starts := time.Duration(0), 0
	for second := range 600 {
		if second == submitAfterS {
			l.Submit(l.now, l.now, large, func(leader.JobResponse) {})
		}
		// The two machines have capacity for only a third of these tasks.
		small := newJob(fmt.Sprintf("job-%06d", second))
		small.Tasks, small.EstimateS = 4, 6
		l.Submit(l.now, l.now, small, func(leader.JobResponse) {})
		l.tickAfter(time.Second)
		l.commit()
		for _, m := range []string{"m1", "m2"} {
			for i := range tasksByMachine[m] {
				if task := &tasksByMachine[m][i]; !l.now.Before(endTimes[task.Task]) {
					task.State, task.ExitReason = wire.TaskExited, wire.ExitDone
				}
			}
			for _, c := range l.sendHeartbeat(m, 1, tasksByMachine[m]...) {
				switch c.Op {
				case wire.OpStart:
					runTime := 6 * time.Second
					if strings.HasPrefix(c.Task, large.ID) {
						runTime = 20 * time.Second
						if starts++; starts == 1 {
							firstStartDelay = l.now.Sub(startTime) - submitAfterS*time.Second
						}
					}
					endTimes[c.Task] = l.now.Add(runTime)
					tasksByMachine[m] = append(tasksByMachine[m], wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
				case wire.OpForget:
					tasksByMachine[m] = slices.DeleteFunc(tasksByMachine[m], func(r wire.TaskStatus) bool { return r.Task == c.Task })
				}
			}
		}
	}
	if starts == 0 || firstStartDelay > 4*time.Minute {
		t.Fatalf("%d tasks of the large job started, the first after %v, want the first within 4m", starts, firstStartDelay)
	}
	if starts < 2 {
		t.Fatalf("%d tasks of the large job started, the first after %v, want more than one", starts, firstStartDelay)
	}
}

// TestUnderusedMachineIsConsolidated checks that, if two machines run one long task each and the tasks save
// checkpoints, one task is moved to the other machine and the machine without tasks is released. Tasks
// that save no checkpoints are not moved.
func TestUnderusedMachineIsConsolidated(t *testing.T) {
	for _, checkpointIntervalS := range []float64{20, 0} {
		l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
		submit := func(id string, estimateS float64) {
			j := newJob(id)
			j.CPUs, j.EstimateS, j.CheckpointIntervalS, j.CheckpointSaveS = 4, estimateS, checkpointIntervalS, 4
			l.Submit(l.now, l.now, j, func(leader.JobResponse) {})
		}
		submit("job-0", 40) // runs on m1 beside job-1 until it completes
		submit("job-1", 300)
		l.ApplyMachineList(l.now, l.now, []wire.ListedMachine{
			{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}, {Name: "m2", Type: "std-8", Zone: "a", State: wire.MachineRunning},
		})
		tasksByMachine := map[string][]wire.TaskStatus{}
		stops, released := 0, ""
		for second := range 120 {
			if second == 5 {
				submit("job-2", 300)
			}
			l.tickAfter(time.Second)
			l.commit()
			for _, m := range []string{"m1", "m2"} {
				// m2 sends heartbeats only from second 5 on, so that job-0 and job-1 are placed on m1.
				if released == m || second < 5 && m == "m2" {
					continue
				}
				for i := range tasksByMachine[m] {
					if second == 45 && tasksByMachine[m][i].Task == "job-0/0" {
						tasksByMachine[m][i].State, tasksByMachine[m][i].ExitReason = wire.TaskExited, wire.ExitDone
					}
				}
				for _, c := range l.sendHeartbeat(m, 1, tasksByMachine[m]...) {
					index := slices.IndexFunc(tasksByMachine[m], func(r wire.TaskStatus) bool { return r.Task == c.Task })
					switch c.Op {
					case wire.OpStart:
						tasksByMachine[m] = append(tasksByMachine[m], wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
					case wire.OpStop:
						if c.GracePeriodS == nil || *c.GracePeriodS < 4 {
							t.Fatalf("got the stop %+v, want a grace period of at least 4 s for saving a checkpoint", c)
						}
						stops++
						tasksByMachine[m][index].State, tasksByMachine[m][index].ExitReason, tasksByMachine[m][index].CheckpointSaved = wire.TaskExited, wire.ExitStopped, true
					case wire.OpForget:
						tasksByMachine[m] = slices.Delete(tasksByMachine[m], index, index+1)
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
		if checkpointIntervalS > 0 && (stops != 1 || released == "" || len(tasksByMachine["m1"])+len(tasksByMachine["m2"]) != 2) {
			t.Fatalf("%d stops, want 1; released machine %q, want one; tasks %v, want 2", stops, released, tasksByMachine)
		}
		if checkpointIntervalS == 0 && stops != 0 {
			t.Fatal("a task that saves no checkpoints was stopped, want no stop")
		}
	}
}
