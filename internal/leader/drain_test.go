package leader_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/scaling"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// drainSettings returns operator settings that turn drains on and give every team the disruption
// budget.
func drainSettings(budget drain.Budget) config.OperatorSettings {
	return config.OperatorSettings{Drains: &drain.Budgets{Window: 10 * time.Minute, Default: budget}}
}

// ampleBudget allows every eviction of these tests.
var ampleBudget = drain.Budget{MaxUnavailable: 10, MaxEvictions: 10, MaxLostRunTimeS: 10_000}

// applyMachineList applies a machine list of the cloud that contains exactly the named machines.
func (l *testLeader) applyMachineList(names ...string) {
	var rows []wire.ListedMachine
	for _, name := range names {
		rows = append(rows, wire.ListedMachine{Name: name, Type: "std-8", Zone: "a", State: wire.MachineRunning, AgeS: 100})
	}
	l.ApplyMachineList(l.now, l.now, rows)
}

// sendDrainRequest sends an operator's request to the leader, commits the queued changes and returns
// the response.
func (l *testLeader) sendDrainRequest(request drain.Request) drain.Response {
	l.t.Helper()
	var got drain.Response
	l.HandleDrainRequest(l.now, l.now, &request, func(r drain.Response) { got = r })
	l.commit()
	return got
}

// newApplyRequest returns a request for a drain of the given machines.
func newApplyRequest(name string, machines ...string) drain.Request {
	return drain.Request{Action: drain.Apply, Name: name, Spec: &drain.Spec{
		Name: name, BatchSize: 2, Selector: drain.Selector{Machines: machines},
	}}
}

// runDrains advances the time by d in steps of a second. In each step it calls onStep and then advances
// the drains.
func (l *testLeader) runDrains(d time.Duration, onStep func()) {
	for end := l.now.Add(d); l.now.Before(end); {
		l.tickAfter(time.Second)
		onStep()
		l.AdvanceDrains(l.now, l.now)
	}
}

// storedCharges returns the keys of the stored charges, the records of evictions that count against a
// disruption budget.
func (l *testLeader) storedCharges() []string {
	var keys []string
	for key := range l.store {
		if strings.HasPrefix(key, "b/") {
			keys = append(keys, key)
		}
	}
	return keys
}

// leaderForDrain returns a leader and the status of a task that has run on m1 for 40 s.
func leaderForDrain(t *testing.T, settings config.OperatorSettings) (*testLeader, wire.TaskStatus) {
	t.Helper()
	l := newLeaderWithSettings(t, settings, 5, startTime, map[string]json.RawMessage{})
	l.submit("job-1")
	l.sendHeartbeat("m1", 1)
	l.applyMachineList("m1")
	l.tickAfter(time.Second)
	l.commit()
	task := wire.TaskStatus{Task: "job-1/0", Attempt: l.sendHeartbeat("m1", 1)[0].Attempt, State: wire.TaskRunning}
	l.runDrains(40*time.Second, func() { l.sendHeartbeat("m1", 1, task); l.applyMachineList("m1") })
	return l, task
}

// TestChargeIsDurableBeforeTheStop checks that a drain stops a task only once the charge of its
// eviction is durable. A successor finds the charge in the store and stops the same attempt without a
// second charge. It charges again if the task runs as a new attempt.
func TestChargeIsDurableBeforeTheStop(t *testing.T) {
	l, task := leaderForDrain(t, drainSettings(ampleBudget))
	attempt := task.Attempt
	if r := l.sendDrainRequest(newApplyRequest("maintenance", "m1")); r.HTTPStatus != http.StatusCreated {
		t.Fatalf("got %+v, want status 201", r)
	}
	// The drain first waits for the task to end without a stop.
	l.runDrains(tuning.DrainCompletionWait+5*time.Second, func() {
		if cs := l.sendHeartbeat("m1", 1, task); len(cs) != 0 {
			t.Fatalf("got %s before the charge was durable, want no command", formatCommands(cs))
		}
	})
	if len(l.storedCharges()) != 0 {
		t.Fatal("charge stored before the commit, want none")
	}
	l.commit()
	if cs := l.sendHeartbeat("m1", 1, task); formatCommands(cs) != "kill job-1/0" || len(l.storedCharges()) != 1 {
		t.Fatalf("got %q and the charges %v, want a stop of job-1/0 and one charge", formatCommands(cs), l.storedCharges())
	}
	for _, c := range []struct {
		attempt     uint64
		wantCharges int
	}{{attempt, 1}, {attempt + 1, 2}} {
		store := map[string]json.RawMessage{}
		for key, value := range l.store {
			store[key] = value
		}
		successor := newLeaderWithSettings(t, drainSettings(ampleBudget), 6, l.now.Add(time.Second), store)
		successor.lastSequence = l.lastSequence
		successor.applyMachineList("m1")
		running := task
		running.Attempt = c.attempt
		successor.sendHeartbeat("m1", 1, running)
		var commands []wire.Command
		successor.runDrains(3*time.Second, func() { commands = successor.sendHeartbeat("m1", 1, running); successor.commit() })
		if formatCommands(commands) != "kill job-1/0" || len(successor.storedCharges()) != c.wantCharges {
			t.Errorf("attempt %d: got %q from the successor and the charges %v, want a stop of job-1/0 and a second charge only for a new attempt", c.attempt, formatCommands(commands), successor.storedCharges())
		}
	}
}

// TestDrainRequests checks that invalid requests are rejected before anything is stored, and that a
// repeated request changes nothing.
func TestDrainRequests(t *testing.T) {
	drainsOff := newLeader(t, 5, startTime, map[string]json.RawMessage{})
	drainsOff.applyMachineList("m1")
	if r := drainsOff.sendDrainRequest(newApplyRequest("maintenance", "m1")); r.HTTPStatus != http.StatusForbidden {
		t.Errorf("with drains off: got %+v, want status 403", r)
	}
	l := newLeaderWithSettings(t, drainSettings(ampleBudget), 5, startTime, map[string]json.RawMessage{
		"e/damaged": json.RawMessage(`{"version":1}`), "e/newer": json.RawMessage(`{"version":9}`),
	})
	l.applyMachineList("m1")
	change := func(f func(*drain.Spec)) drain.Request {
		request := newApplyRequest("maintenance", "m1")
		f(request.Spec)
		return request
	}
	for name, c := range map[string]struct {
		request    drain.Request
		wantStatus int
		wantReason string
	}{
		"unknown zone":          {change(func(s *drain.Spec) { s.Selector.Zone = "z" }), http.StatusUnprocessableEntity, "selector/zone"},
		"unknown type":          {change(func(s *drain.Spec) { s.Selector.Type = "z" }), http.StatusUnprocessableEntity, "selector/type"},
		"unknown machine":       {newApplyRequest("maintenance", "m9"), http.StatusUnprocessableEntity, "selector/machine"},
		"batch too large":       {change(func(s *drain.Spec) { s.BatchSize = 900 }), http.StatusUnprocessableEntity, "batchSize"},
		"batch size 0":          {change(func(s *drain.Spec) { s.BatchSize = 0 }), http.StatusUnprocessableEntity, "batchSize"},
		"damaged record":        {newApplyRequest("damaged", "m1"), http.StatusConflict, "can't be read"},
		"newer record":          {newApplyRequest("newer", "m1"), http.StatusConflict, "can't be read"},
		"request without drain": {drain.Request{Action: drain.Apply}, http.StatusBadRequest, "no drain"},
		"unknown drain":         {drain.Request{Action: drain.Pause, Name: "none"}, http.StatusNotFound, "none"},
	} {
		if r := l.sendDrainRequest(c.request); r.HTTPStatus != c.wantStatus || !strings.Contains(r.Reason, c.wantReason) || strings.Contains(r.Reason, "\n") {
			t.Errorf("%s: got %+v, want the status and a one-line reason of the table", name, r)
		}
	}
	if _, stored := l.store["e/maintenance"]; stored || len(l.store) != 2+1 {
		t.Errorf("records in the store: %v, want only the two unreadable drains and the machine types", l.store)
	}
	requests := []struct {
		request    drain.Request
		wantStatus int
		wantState  drain.State
	}{
		{newApplyRequest("maintenance", "m1"), http.StatusCreated, drain.Pending},
		{newApplyRequest("maintenance", "m1"), http.StatusOK, drain.Pending},
		{change(func(s *drain.Spec) { s.BatchSize = 1 }), http.StatusConflict, ""},
		{drain.Request{Action: drain.Pause, Name: "maintenance"}, http.StatusOK, drain.Paused},
		{drain.Request{Action: drain.Pause, Name: "maintenance"}, http.StatusOK, drain.Paused},
		{drain.Request{Action: drain.Resume, Name: "maintenance"}, http.StatusOK, drain.Pending},
		{drain.Request{Action: drain.Cancel, Name: "maintenance"}, http.StatusOK, drain.Cancelled},
		{drain.Request{Action: drain.Cancel, Name: "maintenance"}, http.StatusOK, drain.Cancelled},
		{drain.Request{Action: drain.Resume, Name: "maintenance"}, http.StatusConflict, ""},
		{drain.Request{Action: drain.List}, http.StatusOK, drain.Cancelled},
	}
	for i, s := range requests {
		r := l.sendDrainRequest(s.request)
		if r.HTTPStatus != s.wantStatus || s.wantState != "" && (len(r.Drains) != 1 || r.Drains[0].State != s.wantState) {
			t.Errorf("request %d: got %+v, want the status and the drain state of the table", i, r)
		}
	}
}

// TestCopyOfDrainRequestChangesNothing guards against a drain that goes on although an operator has paused it:
// a copy of an executed request arrives after a later one, at the same leader or at its successor.
func TestCopyOfDrainRequestChangesNothing(t *testing.T) {
	l := newLeaderWithSettings(t, drainSettings(ampleBudget), 5, startTime, map[string]json.RawMessage{})
	l.applyMachineList("m1")
	l.sendDrainRequest(newApplyRequest("maintenance", "m1"))
	change := func(id string, action drain.Action) drain.Request {
		return drain.Request{ID: id, Action: action, Name: "maintenance"}
	}
	pause, resume, pauseAgain := change("a", drain.Pause), change("b", drain.Resume), change("c", drain.Pause)
	checkState := func(l *testLeader, request drain.Request, want drain.State) {
		t.Helper()
		if r := l.sendDrainRequest(request); r.HTTPStatus != http.StatusOK || r.Drains[0].State != want {
			t.Errorf("request %+v: got %+v, want status 200 and state %s", request, r, want)
		}
	}
	checkState(l, pause, drain.Paused)
	checkState(l, resume, drain.Pending)
	checkState(l, pause, drain.Pending)
	checkState(l, pauseAgain, drain.Paused)
	checkState(l, resume, drain.Paused)
	successor := newLeaderWithSettings(t, drainSettings(ampleBudget), 6, l.now, l.store)
	successor.applyMachineList("m1")
	checkState(successor, resume, drain.Paused)
	checkState(successor, change("", drain.Resume), drain.Pending) // a request of an earlier version
	for i := range tuning.MaxExecutedDrainRequests {
		successor.sendDrainRequest(change(fmt.Sprint("d", i), drain.Pause))
	}
	if r := successor.sendDrainRequest(change(strings.Repeat("x", tuning.MaxDrainRequestIDBytes+1), drain.Resume)); r.HTTPStatus != http.StatusBadRequest {
		t.Errorf("ID that is too long: got %+v, want status 400", r)
	}
	if size := len(successor.store["e/maintenance"]); size > 1024 {
		t.Errorf("record of %d bytes after many requests, want at most 1,024", size)
	}
}

// TestDrainStepExaminesItsBatchOnly checks that each step of a drain examines only the machines of the
// current batch and the attempts on them. The drain has 4,000 machines, in batches of 5.
func TestDrainStepExaminesItsBatchOnly(t *testing.T) {
	l := newLeaderWithSettings(t, drainSettings(drain.Budget{}), 1, startTime, map[string]json.RawMessage{})
	names := make([]string, 4000)
	for i := range names {
		names[i] = fmt.Sprintf("m%04d", i)
		l.sendHeartbeat(names[i], 1)
	}
	l.applyMachineList(names...)
	l.submit("job-1")
	l.now = l.now.Add(time.Minute)
	for _, name := range names {
		l.sendHeartbeat(name, 1)
	}
	l.applyMachineList(names...)
	l.tickAfter(time.Second)
	l.commit()
	l.sendDrainRequest(drain.Request{Action: drain.Apply, Spec: &drain.Spec{Name: "all", BatchSize: 5, Selector: drain.Selector{Type: "std-8"}}})
	l.AdvanceDrains(l.now, l.now)
	if r := l.sendDrainRequest(drain.Request{Action: drain.Show, Name: "all"}); len(r.Drains) != 1 || r.Drains[0].Batch == nil || r.Drains[0].MachinesLeft != 4000 {
		t.Fatalf("got %+v, want a drain of 4000 machines with a batch", r)
	}
	examinedBefore := l.Summary().DrainExaminations
	const steps = 20
	for range steps {
		l.now = l.now.Add(time.Second)
		l.AdvanceDrains(l.now, l.now)
	}
	if examined := l.Summary().DrainExaminations - examinedBefore; examined > steps*5*2 {
		t.Errorf("%d machines and attempts examined in %d steps, want at most 10 per step", examined, steps)
	}
}

// TestDrainOfAnEmptyZoneEnds checks that a drain of a zone without machines reaches the state done. A
// done drain still prevents provisioning in its zone until it is cancelled. Earlier, a leader without
// machines concluded that it had lost contact with them, and the drain never ended.
func TestDrainOfAnEmptyZoneEnds(t *testing.T) {
	l := newLeaderWithSettings(t, drainSettings(ampleBudget), 5, startTime, map[string]json.RawMessage{})
	l.applyMachineList()
	l.sendDrainRequest(drain.Request{Action: drain.Apply, Spec: &drain.Spec{Name: "zone", BatchSize: 1, Selector: drain.Selector{Zone: "a"}}})
	l.runDrains(2*time.Minute, func() { l.applyMachineList(); l.PlanScaling(l.now); l.commit() })
	if r := l.sendDrainRequest(drain.Request{Action: drain.Show, Name: "zone"}); r.Drains[0].State != drain.Done {
		t.Fatalf("got %+v, want state done", r.Drains[0])
	}
	l.submit("job-1")
	for _, cancelled := range []bool{false, true} {
		if cancelled {
			l.sendDrainRequest(drain.Request{Action: drain.Cancel, Name: "zone"})
		}
		l.tickAfter(time.Minute)
		if provisioned := hasProvisionCall(l.PlanScaling(l.now)); provisioned != cancelled {
			t.Errorf("drain cancelled: %v, machines provisioned: %v, want the same value", cancelled, provisioned)
		}
	}
}

// TestZoneBoundWorkBlocksADrain checks that a drain of the only zone that the cloud offers stops no task
// before the drain's deadline, because the tasks can run in no other zone. After the deadline, a drain
// with force stops the task. A drain without force is paused, and its reason names the team.
func TestZoneBoundWorkBlocksADrain(t *testing.T) {
	for _, force := range []bool{false, true} {
		l, task := leaderForDrain(t, drainSettings(ampleBudget))
		deadline := l.now.Add(2 * time.Minute)
		l.sendDrainRequest(drain.Request{Action: drain.Apply, Spec: &drain.Spec{
			Name: "zone", BatchSize: 1, Selector: drain.Selector{Zone: "a"}, Deadline: &deadline, Force: force,
		}})
		var commands []wire.Command
		step := func() { commands = append(commands, l.sendHeartbeat("m1", 1, task)...); l.commit() }
		l.runDrains(110*time.Second, step)
		if len(commands) > 0 {
			t.Fatalf("got %s before the deadline, want no command", formatCommands(commands))
		}
		l.runDrains(30*time.Second, step)
		r := l.sendDrainRequest(drain.Request{Action: drain.Show, Name: "zone"}).Drains[0]
		stopped := slices.ContainsFunc(commands, func(c wire.Command) bool { return c.Op == wire.OpStop })
		if stopped != force || (r.State == drain.Paused) == force || !force && !strings.Contains(r.Reason, "(team blue)") {
			t.Errorf("force: %v, stopped: %v, want the same value; drain state %s, reason %q", force, stopped, r.State, r.Reason)
		}
	}
}

// TestReplacementTimeout checks that a drain is paused after a timeout if it needs replacement machines
// and the cloud has none. Its batch is not cordoned meanwhile. Once resumed, the drain calls the cloud
// again.
func TestReplacementTimeout(t *testing.T) {
	l, task := leaderForDrain(t, drainSettings(ampleBudget))
	provisionCalls := 0
	step := func() {
		l.sendHeartbeat("m1", 1, task)
		l.applyMachineList("m1")
		for _, call := range l.PlanScaling(l.now) {
			if call.Op == scaling.CloudProvision {
				provisionCalls++
				l.FinishProvision(l.now, call.Provision, nil)
			}
		}
		l.commit()
	}
	request := newApplyRequest("maintenance", "m1")
	request.Spec.Replace = true
	l.sendDrainRequest(request)
	l.runDrains(tuning.ReplacementTimeout-10*time.Second, step)
	show := drain.Request{Action: drain.Show, Name: "maintenance"}
	if s := l.sendDrainRequest(show).Drains[0]; s.State != drain.Running || s.Batch == nil || s.Batch.Cordoned || provisionCalls < 10 {
		t.Fatalf("got %+v after %d provision calls, want a running drain with a batch that is not cordoned, and 10 calls", s, provisionCalls)
	}
	l.runDrains(20*time.Second, step)
	if s := l.sendDrainRequest(show).Drains[0]; s.State != drain.Paused || s.Reason != string(drain.ReplacementTimedOut) {
		t.Fatalf("after the timeout: got %+v, want a paused drain", s)
	}
	callsWhenPaused := provisionCalls
	l.runDrains(time.Minute, step)
	if provisionCalls != callsWhenPaused {
		t.Error("provision calls for a paused drain, want none")
	}
	l.sendDrainRequest(drain.Request{Action: drain.Resume, Name: "maintenance"})
	l.runDrains(time.Minute, step)
	if provisionCalls == callsWhenPaused {
		t.Error("no provision call after the drain was resumed, want one")
	}
}

// TestReplacementsAreProvisionedOnce checks that a batch gets as many replacements as it has machines,
// and is cordoned once they are schedulable. A successor that loads the record of the drain
// provisions no further replacements, even if the machine list lacks the recorded ones.
func TestReplacementsAreProvisionedOnce(t *testing.T) {
	l, task := leaderForDrain(t, drainSettings(ampleBudget))
	sendHeartbeatsAndMachineList := func(l *testLeader, names ...string) {
		for _, name := range names {
			if name == "m1" {
				l.sendHeartbeat(name, 1, task)
			} else {
				l.sendHeartbeat(name, 1)
			}
		}
		l.applyMachineList(names...)
	}
	request := newApplyRequest("maintenance", "m1")
	request.Spec.Replace = true
	l.sendDrainRequest(request)
	var provisionCalls []wire.ProvisionRequest
	l.runDrains(10*time.Second, func() {
		sendHeartbeatsAndMachineList(l, "m1")
		for _, call := range l.PlanScaling(l.now) {
			if call.Op == scaling.CloudProvision {
				provisionCalls = append(provisionCalls, call.Provision)
				l.FinishProvision(l.now, call.Provision, []string{"m2"})
			}
		}
		l.commit()
	})
	if len(provisionCalls) != 1 || provisionCalls[0].Count != 1 {
		t.Fatalf("provision calls: got %+v, want one call for one machine", provisionCalls)
	}
	successor := newLeaderWithSettings(t, drainSettings(ampleBudget), 6, l.now, l.store)
	successor.lastSequence = l.lastSequence
	successor.runDrains(6*time.Second, func() {
		sendHeartbeatsAndMachineList(successor, "m1")
		if hasProvisionCall(successor.PlanScaling(successor.now)) {
			t.Fatal("the successor provisions machines although replacements are recorded, want no provision call")
		}
	})
	status := func() drain.Status {
		return successor.sendDrainRequest(drain.Request{Action: drain.Show, Name: "maintenance"}).Drains[0]
	}
	if s := status(); s.Batch == nil || s.Batch.Cordoned {
		t.Fatalf("batch is missing or was cordoned before the replacement was schedulable: %+v", s.Batch)
	}
	successor.runDrains(5*time.Second, func() { sendHeartbeatsAndMachineList(successor, "m1", "m2") })
	if s := status(); s.Batch == nil || !s.Batch.Cordoned {
		t.Errorf("batch is missing or was not cordoned although the replacement is schedulable: %+v, reason %q", s.Batch, s.Reason)
	}
}

// TestNextDrainKeepsCordonOfPausedDrain checks that a machine cordoned by a paused drain stays cordoned
// when another drain selects it. That drain has not cordoned the machine itself, because it still
// waits for a replacement.
func TestNextDrainKeepsCordonOfPausedDrain(t *testing.T) {
	l, task := leaderForDrain(t, drainSettings(ampleBudget))
	step := func() { l.sendHeartbeat("m1", 1, task); l.applyMachineList("m1"); l.commit() }
	l.sendDrainRequest(newApplyRequest("first", "m1"))
	l.runDrains(5*time.Second, step)
	l.sendDrainRequest(drain.Request{Action: drain.Pause, Name: "first"})
	next := newApplyRequest("next", "m1")
	next.Spec.Replace = true
	l.sendDrainRequest(next)
	l.runDrains(5*time.Second, step)
	s := l.sendDrainRequest(drain.Request{Action: drain.Show, Name: "next"}).Drains[0]
	if s.Batch == nil || s.Batch.Cordoned {
		t.Fatalf("got %+v, want the second drain to wait for a replacement with a batch that is not cordoned", s)
	}
	l.submit("job-2")
	l.runDrains(3*time.Second, func() {
		if commands := l.sendHeartbeat("m1", 1, task); len(commands) > 0 {
			t.Fatalf("a cordoned machine got %s, want no command", formatCommands(commands))
		}
		l.commit()
	})
}
