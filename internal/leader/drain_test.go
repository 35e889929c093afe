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

// drainOperator returns operator settings that turn drains on, with one budget for all teams.
func drainOperator(b drain.Budget) config.OperatorSettings {
	return config.OperatorSettings{Drains: &drain.Budgets{Window: 10 * time.Minute, Default: b}}
}

var ampleBudget = drain.Budget{MaxUnavailable: 10, Evictions: 10, LostS: 10_000}

// applyList applies a machine list that contains exactly the named machines.
func (l *testLeader) applyList(names ...string) {
	var rows []wire.ListedMachine
	for _, name := range names {
		rows = append(rows, wire.ListedMachine{Name: name, Type: "std-8", Zone: "a", State: wire.MachineRunning, AgeS: 100})
	}
	l.ApplyMachineList(l.now, l.now, rows)
}

// sendDrainRequest handles a request, commits the queued changes and returns the response.
func (l *testLeader) sendDrainRequest(q drain.Request) drain.Response {
	l.t.Helper()
	var got drain.Response
	l.HandleDrainRequest(l.now, l.now, &q, func(r drain.Response) { got = r })
	l.commit()
	return got
}

func newApplyRequest(name string, machines ...string) drain.Request {
	return drain.Request{Action: drain.Apply, Name: name, Spec: &drain.Spec{
		Name: name, BatchSize: 2, Selector: drain.Selector{Machines: machines},
	}}
}

// runDrains advances time and the drains in steps of a second. It calls each in every step.
func (l *testLeader) runDrains(d time.Duration, each func()) {
	for end := l.now.Add(d); l.now.Before(end); {
		l.tickAfter(time.Second)
		each()
		l.AdvanceDrains(l.now, l.now)
	}
}

// storedCharges returns the keys of the stored charges.
func (l *testLeader) storedCharges() []string {
	var keys []string
	for key := range l.store {
		if strings.HasPrefix(key, "b/") {
			keys = append(keys, key)
		}
	}
	return keys
}

// leaderForDrain returns a leader and a task that has run on m1 for 40 s.
func leaderForDrain(t *testing.T, operator config.OperatorSettings) (*testLeader, wire.TaskStatus) {
	t.Helper()
	l := newLeaderWith(t, operator, 5, start, map[string]json.RawMessage{})
	l.submit("job-1")
	l.sendHeartbeat("m1", 1)
	l.applyList("m1")
	l.tickAfter(time.Second)
	l.commit()
	task := wire.TaskStatus{Task: "job-1/0", Attempt: l.sendHeartbeat("m1", 1)[0].Attempt, State: wire.TaskRunning}
	l.runDrains(40*time.Second, func() { l.sendHeartbeat("m1", 1, task); l.applyList("m1") })
	return l, task
}

// TestChargeIsDurableBeforeTheStop checks that a task is stopped only once its charge is durable. A
// successor that loads the charge stops the attempt without another charge. If the task runs as
// another attempt, the successor charges again.
func TestChargeIsDurableBeforeTheStop(t *testing.T) {
	l, task := leaderForDrain(t, drainOperator(ampleBudget))
	attempt := task.Attempt
	if r := l.sendDrainRequest(newApplyRequest("maintenance", "m1")); r.Status != http.StatusCreated {
		t.Fatalf("%+v", r)
	}
	l.runDrains(tuning.DrainCompletionWait+5*time.Second, func() {
		if cs := l.sendHeartbeat("m1", 1, task); len(cs) != 0 {
			t.Fatalf("stopped before the charge was durable: %s", formatCommands(cs))
		}
	})
	if len(l.storedCharges()) != 0 {
		t.Fatal("charge stored before the commit")
	}
	l.commit()
	if cs := l.sendHeartbeat("m1", 1, task); formatCommands(cs) != "kill job-1/0" || len(l.storedCharges()) != 1 {
		t.Fatalf("got %q, charges %v", formatCommands(cs), l.storedCharges())
	}
	for _, c := range []struct {
		attempt uint64
		charges int
	}{{attempt, 1}, {attempt + 1, 2}} {
		store := map[string]json.RawMessage{}
		for key, value := range l.store {
			store[key] = value
		}
		next := newLeaderWith(t, drainOperator(ampleBudget), 6, l.now.Add(time.Second), store)
		next.seq = l.seq
		next.applyList("m1")
		running := task
		running.Attempt = c.attempt
		next.sendHeartbeat("m1", 1, running)
		var commands []wire.Command
		next.runDrains(3*time.Second, func() { commands = next.sendHeartbeat("m1", 1, running); next.commit() })
		if formatCommands(commands) != "kill job-1/0" || len(next.storedCharges()) != c.charges {
			t.Errorf("attempt %d: got %q, charges %v", c.attempt, formatCommands(commands), next.storedCharges())
		}
	}
}

// TestDrainRequests checks that invalid requests are rejected before anything is stored, and that a
// repeated request changes nothing.
func TestDrainRequests(t *testing.T) {
	off := newLeader(t, 5, start, map[string]json.RawMessage{})
	off.applyList("m1")
	if r := off.sendDrainRequest(newApplyRequest("maintenance", "m1")); r.Status != http.StatusForbidden {
		t.Errorf("off: %+v", r)
	}
	l := newLeaderWith(t, drainOperator(ampleBudget), 5, start, map[string]json.RawMessage{
		"e/damaged": json.RawMessage(`{"version":1}`), "e/newer": json.RawMessage(`{"version":9}`),
	})
	l.applyList("m1")
	change := func(f func(*drain.Spec)) drain.Request {
		q := newApplyRequest("maintenance", "m1")
		f(q.Spec)
		return q
	}
	for name, c := range map[string]struct {
		q      drain.Request
		status int
		reason string
	}{
		"unknown zone":    {change(func(s *drain.Spec) { s.Selector.Zone = "z" }), http.StatusUnprocessableEntity, "selector/zone"},
		"unknown type":    {change(func(s *drain.Spec) { s.Selector.Type = "z" }), http.StatusUnprocessableEntity, "selector/type"},
		"unknown machine": {newApplyRequest("maintenance", "m9"), http.StatusUnprocessableEntity, "selector/machine"},
		"too large":       {change(func(s *drain.Spec) { s.BatchSize = 900 }), http.StatusUnprocessableEntity, "batchSize"},
		"no batch":        {change(func(s *drain.Spec) { s.BatchSize = 0 }), http.StatusUnprocessableEntity, "batchSize"},
		"damaged record":  {newApplyRequest("damaged", "m1"), http.StatusConflict, "can't be read"},
		"newer record":    {newApplyRequest("newer", "m1"), http.StatusConflict, "can't be read"},
		"nothing":         {drain.Request{Action: drain.Apply}, http.StatusBadRequest, "no drain"},
		"unknown drain":   {drain.Request{Action: drain.Pause, Name: "none"}, http.StatusNotFound, "none"},
	} {
		if r := l.sendDrainRequest(c.q); r.Status != c.status || !strings.Contains(r.Reason, c.reason) || strings.Contains(r.Reason, "\n") {
			t.Errorf("%s: %+v", name, r)
		}
	}
	if _, stored := l.store["e/maintenance"]; stored || len(l.store) != 2+1 {
		t.Errorf("stored: %v", l.store)
	}
	steps := []struct {
		q      drain.Request
		status int
		state  drain.State
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
	for i, s := range steps {
		r := l.sendDrainRequest(s.q)
		if r.Status != s.status || s.state != "" && (len(r.Drains) != 1 || r.Drains[0].State != s.state) {
			t.Errorf("step %d: %+v", i, r)
		}
	}
}

// TestDrainStepExaminesItsBatchOnly checks that a step of a drain of 4,000 machines examines only
// the machines of the batch and the attempts on them.
func TestDrainStepExaminesItsBatchOnly(t *testing.T) {
	l := newLeaderWith(t, drainOperator(drain.Budget{}), 1, start, map[string]json.RawMessage{})
	names := make([]string, 4000)
	for i := range names {
		names[i] = fmt.Sprintf("m%04d", i)
		l.sendHeartbeat(names[i], 1)
	}
	l.applyList(names...)
	l.submit("job-1")
	l.now = l.now.Add(time.Minute)
	for _, name := range names {
		l.sendHeartbeat(name, 1)
	}
	l.applyList(names...)
	l.tickAfter(time.Second)
	l.commit()
	l.sendDrainRequest(drain.Request{Action: drain.Apply, Spec: &drain.Spec{Name: "all", BatchSize: 5, Selector: drain.Selector{Type: "std-8"}}})
	l.AdvanceDrains(l.now, l.now)
	if r := l.sendDrainRequest(drain.Request{Action: drain.Show, Name: "all"}); len(r.Drains) != 1 || r.Drains[0].Batch == nil || r.Drains[0].MachinesLeft != 4000 {
		t.Fatalf("no batch formed: %+v", r)
	}
	before := l.Summary().DrainExaminations
	const steps = 20
	for range steps {
		l.now = l.now.Add(time.Second)
		l.AdvanceDrains(l.now, l.now)
	}
	if examined := l.Summary().DrainExaminations - before; examined > steps*5*2 {
		t.Errorf("%d machines and attempts examined in %d steps", examined, steps)
	}
}

// TestDrainOfAnEmptyZoneEnds checks that a drain of a zone without machines is done, and blocks
// provisioning in the zone until it is cancelled. A leader without machines used to presume that it
// was isolated, so that the drain never ended.
func TestDrainOfAnEmptyZoneEnds(t *testing.T) {
	l := newLeaderWith(t, drainOperator(ampleBudget), 5, start, map[string]json.RawMessage{})
	l.applyList()
	l.sendDrainRequest(drain.Request{Action: drain.Apply, Spec: &drain.Spec{Name: "zone", BatchSize: 1, Selector: drain.Selector{Zone: "a"}}})
	l.runDrains(2*time.Minute, func() { l.applyList(); l.PlanScaling(l.now); l.commit() })
	if r := l.sendDrainRequest(drain.Request{Action: drain.Show, Name: "zone"}); r.Drains[0].State != drain.Done {
		t.Fatalf("%+v", r.Drains[0])
	}
	l.submit("job-1")
	for _, cancelled := range []bool{false, true} {
		if cancelled {
			l.sendDrainRequest(drain.Request{Action: drain.Cancel, Name: "zone"})
		}
		l.tickAfter(time.Minute)
		if provisioned := provisions(l.PlanScaling(l.now)); provisioned != cancelled {
			t.Errorf("cancelled: %v, provisioned: %v", cancelled, provisioned)
		}
	}
}

// TestZoneBoundWorkBlocksADrain checks that a task whose job may run in no other zone is not stopped
// before the deadline of the drain. After it, the drain is paused and names the team or, with force,
// stops the task.
func TestZoneBoundWorkBlocksADrain(t *testing.T) {
	for _, force := range []bool{false, true} {
		l, task := leaderForDrain(t, drainOperator(ampleBudget))
		deadline := l.now.Add(2 * time.Minute)
		l.sendDrainRequest(drain.Request{Action: drain.Apply, Spec: &drain.Spec{
			Name: "zone", BatchSize: 1, Selector: drain.Selector{Zone: "a"}, Deadline: &deadline, Force: force,
		}})
		var commands []wire.Command
		step := func() { commands = append(commands, l.sendHeartbeat("m1", 1, task)...); l.commit() }
		l.runDrains(110*time.Second, step)
		if len(commands) > 0 {
			t.Fatalf("stopped before the deadline: %s", formatCommands(commands))
		}
		l.runDrains(30*time.Second, step)
		r := l.sendDrainRequest(drain.Request{Action: drain.Show, Name: "zone"}).Drains[0]
		stopped := slices.ContainsFunc(commands, func(c wire.Command) bool { return c.Op == wire.OpStop })
		if stopped != force || (r.State == drain.Paused) == force || !force && !strings.Contains(r.Reason, "(team blue)") {
			t.Errorf("force %v: stopped %v, %s, %s", force, stopped, r.State, r.Reason)
		}
	}
}

// TestReplacementTimeout checks that a batch is not cordoned while the cloud has no replacements,
// that the drain is paused after the timeout, and that it tries again once it is resumed.
func TestReplacementTimeout(t *testing.T) {
	l, task := leaderForDrain(t, drainOperator(ampleBudget))
	provisionCalls := 0
	step := func() {
		l.sendHeartbeat("m1", 1, task)
		l.applyList("m1")
		for _, call := range l.PlanScaling(l.now) {
			if call.Op == scaling.CloudProvision {
				provisionCalls++
				l.FinishProvision(l.now, call.Provision, nil)
			}
		}
		l.commit()
	}
	q := newApplyRequest("maintenance", "m1")
	q.Spec.Replace = true
	l.sendDrainRequest(q)
	l.runDrains(tuning.ReplacementTimeout-10*time.Second, step)
	show := drain.Request{Action: drain.Show, Name: "maintenance"}
	if s := l.sendDrainRequest(show).Drains[0]; s.State != drain.Running || s.Batch == nil || s.Batch.Cordoned || provisionCalls < 10 {
		t.Fatalf("%+v after %d provision calls", s, provisionCalls)
	}
	l.runDrains(20*time.Second, step)
	if s := l.sendDrainRequest(show).Drains[0]; s.State != drain.Paused || s.Reason != string(drain.ReplacementTimedOut) {
		t.Fatalf("%+v", s)
	}
	paused := provisionCalls
	l.runDrains(time.Minute, step)
	if provisionCalls != paused {
		t.Error("provisioned replacements for a paused drain")
	}
	l.sendDrainRequest(drain.Request{Action: drain.Resume, Name: "maintenance"})
	l.runDrains(time.Minute, step)
	if provisionCalls == paused {
		t.Error("did not try again")
	}
}

// TestReplacementsAreProvisionedOnce checks that a batch gets as many replacements as it has
// machines, and is cordoned once they are schedulable. A successor that loads them from the record
// provisions none, even if the machine list lacks them.
func TestReplacementsAreProvisionedOnce(t *testing.T) {
	l, task := leaderForDrain(t, drainOperator(ampleBudget))
	sendAndList := func(l *testLeader, names ...string) {
		for _, name := range names {
			if name == "m1" {
				l.sendHeartbeat(name, 1, task)
			} else {
				l.sendHeartbeat(name, 1)
			}
		}
		l.applyList(names...)
	}
	q := newApplyRequest("maintenance", "m1")
	q.Spec.Replace = true
	l.sendDrainRequest(q)
	var provisionCalls []wire.ProvisionRequest
	l.runDrains(10*time.Second, func() {
		sendAndList(l, "m1")
		for _, call := range l.PlanScaling(l.now) {
			if call.Op == scaling.CloudProvision {
				provisionCalls = append(provisionCalls, call.Provision)
				l.FinishProvision(l.now, call.Provision, []string{"m2"})
			}
		}
		l.commit()
	})
	if len(provisionCalls) != 1 || provisionCalls[0].Count != 1 {
		t.Fatalf("provision calls: %+v", provisionCalls)
	}
	next := newLeaderWith(t, drainOperator(ampleBudget), 6, l.now, l.store)
	next.seq = l.seq
	next.runDrains(6*time.Second, func() {
		sendAndList(next, "m1")
		if provisions(next.PlanScaling(next.now)) {
			t.Fatal("the successor provisions again although replacements are recorded")
		}
	})
	status := func() drain.Status {
		return next.sendDrainRequest(drain.Request{Action: drain.Show, Name: "maintenance"}).Drains[0]
	}
	if s := status(); s.Batch == nil || s.Batch.Cordoned {
		t.Fatalf("cordoned before the replacement is up: %+v", s.Batch)
	}
	next.runDrains(5*time.Second, func() { sendAndList(next, "m1", "m2") })
	if s := status(); s.Batch == nil || !s.Batch.Cordoned {
		t.Errorf("not cordoned though the replacement is up: %+v, %s", s.Batch, s.Reason)
	}
}

// TestNextDrainKeepsCordonOfPausedDrain checks that a machine cordoned by a paused drain gets no
// work, even while another drain waits for a replacement before it cordons the same machine.
func TestNextDrainKeepsCordonOfPausedDrain(t *testing.T) {
	l, task := leaderForDrain(t, drainOperator(ampleBudget))
	step := func() { l.sendHeartbeat("m1", 1, task); l.applyList("m1"); l.commit() }
	l.sendDrainRequest(newApplyRequest("first", "m1"))
	l.runDrains(5*time.Second, step)
	l.sendDrainRequest(drain.Request{Action: drain.Pause, Name: "first"})
	next := newApplyRequest("next", "m1")
	next.Spec.Replace = true
	l.sendDrainRequest(next)
	l.runDrains(5*time.Second, step)
	s := l.sendDrainRequest(drain.Request{Action: drain.Show, Name: "next"}).Drains[0]
	if s.Batch == nil || s.Batch.Cordoned {
		t.Fatalf("the next drain does not wait for a replacement: %+v", s)
	}
	l.submit("job-2")
	l.runDrains(3*time.Second, func() {
		if commands := l.sendHeartbeat("m1", 1, task); len(commands) > 0 {
			t.Fatalf("a cordoned machine got %s", formatCommands(commands))
		}
		l.commit()
	})
}
