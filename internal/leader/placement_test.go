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

// TestNoStartsWithoutAuthority: while the state service is out of reach
// reports are answered, but nothing starts.
func TestNoStartsWithoutAuthority(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.submit("job-1")
	l.report("m1", 1)
	l.pass(time.Second)
	l.commit()
	l.seq++
	a, receipt := l.HandleHeartbeat(l.now, &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: l.seq, FencingToken: 5}, false)
	if receipt != leader.HeartbeatApplied || len(a.Commands) != 0 {
		t.Fatalf("%v %+v", receipt, a)
	}
}

// TestTeamAtItsLimitMakesWay: a team whose patient work fills its limit stops
// some of it for its own urgent work, as no other machine would help.
func TestTeamAtItsLimitMakesWay(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	patient := spec("job-1")
	patient.Priority, patient.Tasks, patient.CPUs, patient.CheckpointIntervalS, patient.EstimateS = wire.PriorityNormal, 2, 8, 20, 300
	l.Submit(l.now, l.now, patient, func(leader.Response) {})
	l.commit()
	lists := map[string][]wire.TaskStatus{"m1": nil, "m2": nil, "m3": nil}
	machines := []string{"m1", "m2", "m3"}
	step := func(d time.Duration) (stops, starts string) {
		l.pass(d)
		l.commit()
		for _, m := range machines {
			for _, c := range l.report(m, 1, lists[m]...) {
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

// TestTooSmallTaskMakesNoWay: at its team's limit, a large job's own team has running tasks
// that together leave too little room for it. None is stopped: stopped pass after pass,
// they would never end, and the large job would not begin either. Where they leave enough,
// as many are stopped as it takes.
func TestTooSmallTaskMakesNoWay(t *testing.T) {
	for _, c := range []struct {
		firmCPUs float64 // of each of two tasks that can't be stopped, of a limit of 16
		running  int     // tasks of 1 CPU that can be
		stops    int
	}{{6.5, 1, 0}, {6, 2, 2}} {
		l := newLeader(t, 5, start, map[string]json.RawMessage{})
		firm := spec("job-1")
		firm.Tasks, firm.CPUs, firm.EstimateS = 2, c.firmCPUs, 600
		low := spec("job-2")
		low.Priority, low.Tasks, low.CPUs, low.CheckpointIntervalS, low.EstimateS = wire.PriorityIdle, c.running, 1, 5, 300
		lists := map[string][]wire.TaskStatus{"m1": nil, "m2": nil, "m3": nil}
		stops := 0
		step := func() {
			l.pass(500 * time.Millisecond)
			l.commit()
			for _, m := range []string{"m1", "m2", "m3"} {
				for _, command := range l.report(m, 1, lists[m]...) {
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
		for _, j := range []*wire.Job{firm, low} {
			l.Submit(l.now, l.now, j, func(leader.Response) {})
			l.commit()
			for range 3 {
				step()
			}
		}
		high := spec("job-3")
		high.Priority, high.CPUs = wire.PriorityCritical, 4
		l.Submit(l.now, l.now, high, func(leader.Response) {})
		l.commit()
		for range 8 {
			step()
		}
		if stops != c.stops {
			t.Errorf("beside %d small tasks: %d stops, want %d", c.running, stops, c.stops)
		}
	}
}

// TestRoomBeingMadeIsKept: two tasks are stopped for a larger one of a higher priority,
// and exit one after the other. What the first leaves does not go to work of the lower
// priority again.
func TestRoomBeingMadeIsKept(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	low := spec("job-1")
	low.Priority, low.Tasks, low.CPUs, low.CheckpointIntervalS, low.EstimateS = wire.PriorityIdle, 2, 4, 5, 300
	l.Submit(l.now, l.now, low, func(leader.Response) {})
	l.commit()
	l.report("m1", 1)
	l.pass(time.Second)
	l.commit()
	var running []wire.TaskStatus
	for _, c := range l.report("m1", 1) {
		running = append(running, wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
	}
	if len(running) != 2 {
		t.Fatalf("%d of 2 tasks started", len(running))
	}
	l.report("m1", 1, running...)
	high := spec("job-2")
	high.CPUs = 8
	l.Submit(l.now, l.now, high, func(leader.Response) {})
	l.commit()
	l.pass(time.Second)
	if cs := l.report("m1", 1, running...); len(cs) != 2 || cs[0].Op != wire.OpStop || cs[1].Op != wire.OpStop {
		t.Fatalf("instead of two stops: %s", ops(cs))
	}
	exited := func(r wire.TaskStatus) wire.TaskStatus {
		r.State, r.ExitReason = wire.TaskExited, wire.ExitStopped
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
	for _, waited := range []time.Duration{time.Second, tuning.AgingThreshold} {
		l := newLeader(t, 5, start, map[string]json.RawMessage{})
		idle := spec("job-1")
		idle.Priority, idle.CPUs, idle.CheckpointIntervalS, idle.EstimateS = wire.PriorityIdle, 8, 5, 300
		l.Submit(l.now, l.now, idle, func(leader.Response) {})
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
			if len(l.report("m1", 1, wire.TaskStatus{Task: "job-1/0", Attempt: cs[0].Attempt, State: wire.TaskRunning})) > 0 {
				break
			}
		}
		if ran := l.now.Sub(began); ran > 30*time.Second != (waited == tuning.AgingThreshold) {
			t.Errorf("after a wait of %v: stopped after %v", waited, ran)
		}
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
	lists := map[string][]wire.TaskStatus{"m1": nil, "m2": nil}
	ends := map[string]time.Time{}
	first, begun := time.Duration(0), 0
	for second := range 600 {
		if second == after {
			l.Submit(l.now, l.now, large, func(leader.Response) {})
		}
		// Two machines could do a third of this.
		small := spec(fmt.Sprintf("job-%06d", second))
		small.Tasks, small.EstimateS = 4, 6
		l.Submit(l.now, l.now, small, func(leader.Response) {})
		l.pass(time.Second)
		l.commit()
		for _, m := range []string{"m1", "m2"} {
			for i := range lists[m] {
				if task := &lists[m][i]; !l.now.Before(ends[task.Task]) {
					task.State, task.ExitReason = wire.TaskExited, wire.ExitDone
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
					lists[m] = append(lists[m], wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
				case wire.OpForget:
					lists[m] = slices.DeleteFunc(lists[m], func(r wire.TaskStatus) bool { return r.Task == c.Task })
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
			j.CPUs, j.EstimateS, j.CheckpointIntervalS, j.CheckpointSaveS = 4, estimate, checkpoint, 4
			l.Submit(l.now, l.now, j, func(leader.Response) {})
		}
		submit("job-0", 40) // shares m1 with job-1 at first
		submit("job-1", 300)
		l.ApplyMachineList(l.now, l.now, []wire.ListedMachine{
			{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}, {Name: "m2", Type: "std-8", Zone: "a", State: wire.MachineRunning},
		})
		lists := map[string][]wire.TaskStatus{}
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
						lists[m][i].State, lists[m][i].ExitReason = wire.TaskExited, wire.ExitDone
					}
				}
				for _, c := range l.report(m, 1, lists[m]...) {
					at := slices.IndexFunc(lists[m], func(r wire.TaskStatus) bool { return r.Task == c.Task })
					switch c.Op {
					case wire.OpStart:
						lists[m] = append(lists[m], wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
					case wire.OpStop:
						if c.GracePeriodS == nil || *c.GracePeriodS < 4 {
							t.Fatalf("stopped without time to save: %+v", c)
						}
						moved++
						lists[m][at].State, lists[m][at].ExitReason, lists[m][at].CheckpointSaved = wire.TaskExited, wire.ExitStopped, true
					case wire.OpForget:
						lists[m] = slices.Delete(lists[m], at, at+1)
					}
				}
			}
			for _, c := range l.PlanScaling(l.now) {
				if c.Op == scaling.CloudRelease {
					released = c.Release[0]
					l.ReleaseDone(l.now, c.Release)
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
