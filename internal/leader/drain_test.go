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

// drainOperator turns drains on with a budget for all teams.
func drainOperator(b drain.Budget) config.Operator {
	return config.Operator{Drains: &drain.Budgets{Window: 10 * time.Minute, Default: b}}
}

var ample = drain.Budget{MaxUnavailable: 10, Evictions: 10, LostS: 10_000}

// list gives the leader a machine list of the cloud with the machines and no other.
func (l *testLeader) list(names ...string) {
	var rows []wire.ListedMachine
	for _, name := range names {
		rows = append(rows, wire.ListedMachine{Name: name, Type: "std-8", Zone: "a", State: wire.MachineRunning, AgeS: 100})
	}
	l.ApplyMachineList(l.now, l.now, rows)
}

// drainRequest carries a request out and makes what it changes durable.
func (l *testLeader) drainRequest(q drain.Request) drain.Response {
	l.t.Helper()
	var got drain.Response
	l.HandleDrainRequest(l.now, l.now, &q, func(r drain.Response) { got = r })
	l.commit()
	return got
}

func drainOf(name string, machines ...string) drain.Request {
	return drain.Request{Action: drain.Apply, Name: name, Spec: &drain.Spec{
		Name: name, BatchSize: 2, Selector: drain.Selector{Machines: machines},
	}}
}

// advance lets the drains take steps for a time, machines reporting on the way.
func (l *testLeader) advance(d time.Duration, each func()) {
	for end := l.now.Add(d); l.now.Before(end); {
		l.pass(time.Second)
		each()
		l.AdvanceDrains(l.now, l.now)
	}
}

// charges are the keys of the stored charges.
func (l *testLeader) charges() []string {
	var keys []string
	for key := range l.store {
		if strings.HasPrefix(key, "b/") {
			keys = append(keys, key)
		}
	}
	return keys
}

// leaderWithTask is a leader with one task that runs on m1 and has done so for a while.
func leaderWithTask(t *testing.T, operator config.Operator) (*testLeader, wire.TaskStatus) {
	t.Helper()
	l := newLeaderWith(t, operator, 5, start, map[string]json.RawMessage{})
	l.submit("job-1")
	l.report("m1", 1)
	l.list("m1")
	l.pass(time.Second)
	l.commit()
	task := wire.TaskStatus{Task: "job-1/0", Attempt: l.report("m1", 1)[0].Attempt, State: wire.TaskRunning}
	l.advance(40*time.Second, func() { l.report("m1", 1, task); l.list("m1") })
	return l, task
}

// TestChargeIsDurableBeforeTheStop: a task is stopped only once the charge is stored. A successor
// that finds the charge stops the attempt without another one; one that finds the task running as
// another attempt has to charge anew.
func TestChargeIsDurableBeforeTheStop(t *testing.T) {
	l, task := leaderWithTask(t, drainOperator(ample))
	attempt := task.Attempt
	if r := l.drainRequest(drainOf("maintenance", "m1")); r.Status != http.StatusCreated {
		t.Fatalf("%+v", r)
	}
	l.advance(tuning.DrainCompletionWait+5*time.Second, func() {
		if cs := l.report("m1", 1, task); len(cs) != 0 {
			t.Fatalf("stopped before the charge was durable: %s", ops(cs))
		}
	})
	if len(l.charges()) != 0 {
		t.Fatal("charged before anything was committed")
	}
	l.commit()
	if cs := l.report("m1", 1, task); ops(cs) != "kill job-1/0" || len(l.charges()) != 1 {
		t.Fatalf("got %q, charges %v", ops(cs), l.charges())
	}
	for _, c := range []struct {
		attempt uint64
		charges int
	}{{attempt, 1}, {attempt + 1, 2}} {
		store := map[string]json.RawMessage{}
		for key, value := range l.store {
			store[key] = value
		}
		next := newLeaderWith(t, drainOperator(ample), 6, l.now.Add(time.Second), store)
		next.seq = l.seq
		next.list("m1")
		running := task
		running.Attempt = c.attempt
		next.report("m1", 1, running)
		var commands []wire.Command
		next.advance(3*time.Second, func() { commands = next.report("m1", 1, running); next.commit() })
		if ops(commands) != "kill job-1/0" || len(next.charges()) != c.charges {
			t.Errorf("attempt %d: got %q, charges %v", c.attempt, ops(commands), next.charges())
		}
	}
}

// TestDrainRequests: what is wrong is rejected before anything is stored; repeating a request
// changes nothing.
func TestDrainRequests(t *testing.T) {
	off := newLeader(t, 5, start, map[string]json.RawMessage{})
	off.list("m1")
	if r := off.drainRequest(drainOf("maintenance", "m1")); r.Status != http.StatusForbidden {
		t.Errorf("off: %+v", r)
	}
	l := newLeaderWith(t, drainOperator(ample), 5, start, map[string]json.RawMessage{
		"e/damaged": json.RawMessage(`{"version":1}`), "e/newer": json.RawMessage(`{"version":9}`),
	})
	l.list("m1")
	change := func(f func(*drain.Spec)) drain.Request {
		q := drainOf("maintenance", "m1")
		f(q.Spec)
		return q
	}
	for name, c := range map[string]struct {
		q      drain.Request
		status int
		why    string
	}{
		"unknown zone":    {change(func(s *drain.Spec) { s.Selector.Zone = "z" }), http.StatusUnprocessableEntity, "selector/zone"},
		"unknown type":    {change(func(s *drain.Spec) { s.Selector.Type = "z" }), http.StatusUnprocessableEntity, "selector/type"},
		"unknown machine": {drainOf("maintenance", "m9"), http.StatusUnprocessableEntity, "selector/machine"},
		"too large":       {change(func(s *drain.Spec) { s.BatchSize = 900 }), http.StatusUnprocessableEntity, "batchSize"},
		"no batch":        {change(func(s *drain.Spec) { s.BatchSize = 0 }), http.StatusUnprocessableEntity, "batchSize"},
		"damaged record":  {drainOf("damaged", "m1"), http.StatusConflict, "can't be read"},
		"newer record":    {drainOf("newer", "m1"), http.StatusConflict, "can't be read"},
		"nothing":         {drain.Request{Action: drain.Apply}, http.StatusBadRequest, "no drain"},
		"unknown drain":   {drain.Request{Action: drain.Pause, Name: "none"}, http.StatusNotFound, "none"},
	} {
		if r := l.drainRequest(c.q); r.Status != c.status || !strings.Contains(r.Reason, c.why) || strings.Contains(r.Reason, "\n") {
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
		{drainOf("maintenance", "m1"), http.StatusCreated, drain.Pending},
		{drainOf("maintenance", "m1"), http.StatusOK, drain.Pending},
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
		r := l.drainRequest(s.q)
		if r.Status != s.status || s.state != "" && (len(r.Drains) != 1 || r.Drains[0].State != s.state) {
			t.Errorf("step %d: %+v", i, r)
		}
	}
}

// TestDrainStepExaminesItsBatchOnly: with 4,000 machines, all of them to be drained, a step examines
// the machines of the batch and what is on them.
func TestDrainStepExaminesItsBatchOnly(t *testing.T) {
	l := newLeaderWith(t, drainOperator(drain.Budget{}), 1, start, map[string]json.RawMessage{})
	names := make([]string, 4000)
	for i := range names {
		names[i] = fmt.Sprintf("m%04d", i)
		l.report(names[i], 1)
	}
	l.list(names...)
	l.submit("job-1")
	l.now = l.now.Add(time.Minute)
	for _, name := range names {
		l.report(name, 1)
	}
	l.list(names...)
	l.pass(time.Second)
	l.commit()
	l.drainRequest(drain.Request{Action: drain.Apply, Spec: &drain.Spec{Name: "all", BatchSize: 5, Selector: drain.Selector{Type: "std-8"}}})
	l.AdvanceDrains(l.now, l.now)
	if r := l.drainRequest(drain.Request{Action: drain.Show, Name: "all"}); len(r.Drains) != 1 || r.Drains[0].Batch == nil || r.Drains[0].MachinesLeft != 4000 {
		t.Fatalf("no batch: %+v", r)
	}
	before := l.Counts().DrainSteps
	const steps = 20
	for range steps {
		l.now = l.now.Add(time.Second)
		l.AdvanceDrains(l.now, l.now)
	}
	if looks := l.Counts().DrainSteps - before; looks > steps*5*2 {
		t.Errorf("%d looks in %d steps", looks, steps)
	}
}

// TestDrainOfAnEmptyZoneEnds: where there is no machine a drain is done, and its zone closed to
// provisioning until it is cancelled. A leader without any machine took itself for isolated, and the drain
// waited for ever.
func TestDrainOfAnEmptyZoneEnds(t *testing.T) {
	l := newLeaderWith(t, drainOperator(ample), 5, start, map[string]json.RawMessage{})
	l.list()
	l.drainRequest(drain.Request{Action: drain.Apply, Spec: &drain.Spec{Name: "zone", BatchSize: 1, Selector: drain.Selector{Zone: "a"}}})
	l.advance(2*time.Minute, func() { l.list(); l.PlanScaling(l.now); l.commit() })
	if r := l.drainRequest(drain.Request{Action: drain.Show, Name: "zone"}); r.Drains[0].State != drain.Done {
		t.Fatalf("%+v", r.Drains[0])
	}
	l.submit("job-1")
	for _, cancelled := range []bool{false, true} {
		if cancelled {
			l.drainRequest(drain.Request{Action: drain.Cancel, Name: "zone"})
		}
		l.pass(time.Minute)
		if rented := provisions(l.PlanScaling(l.now)); rented != cancelled {
			t.Errorf("cancelled: %v, rented: %v", cancelled, rented)
		}
	}
}

// TestZoneBoundWorkBlocksADrain: a task whose job may run nowhere else is not stopped; past the
// deadline the drain is paused with the team's name, or with force the task is stopped.
func TestZoneBoundWorkBlocksADrain(t *testing.T) {
	for _, force := range []bool{false, true} {
		l, task := leaderWithTask(t, drainOperator(ample))
		deadline := l.now.Add(2 * time.Minute)
		l.drainRequest(drain.Request{Action: drain.Apply, Spec: &drain.Spec{
			Name: "zone", BatchSize: 1, Selector: drain.Selector{Zone: "a"}, Deadline: &deadline, Force: force,
		}})
		var commands []wire.Command
		report := func() { commands = append(commands, l.report("m1", 1, task)...); l.commit() }
		l.advance(110*time.Second, report)
		if len(commands) > 0 {
			t.Fatalf("stopped before the deadline: %s", ops(commands))
		}
		l.advance(30*time.Second, report)
		r := l.drainRequest(drain.Request{Action: drain.Show, Name: "zone"}).Drains[0]
		stopped := slices.ContainsFunc(commands, func(c wire.Command) bool { return c.Op == wire.OpStop })
		if stopped != force || (r.State == drain.Paused) == force || !force && !strings.Contains(r.Reason, "(team blue)") {
			t.Errorf("force %v: stopped %v, %s, %s", force, stopped, r.State, r.Reason)
		}
	}
}

// TestReplacementsThatNeverCome: while the cloud has none the batch waits and is not cordoned; after
// the timeout the drain is paused with that reason, and once resumed it tries again.
func TestReplacementsThatNeverCome(t *testing.T) {
	l, task := leaderWithTask(t, drainOperator(ample))
	rentals := 0
	step := func() {
		l.report("m1", 1, task)
		l.list("m1")
		for _, call := range l.PlanScaling(l.now) {
			if call.Op == scaling.CloudProvision {
				rentals++
				l.ProvisionDone(l.now, call.Provision, nil)
			}
		}
		l.commit()
	}
	q := drainOf("maintenance", "m1")
	q.Spec.Replace = true
	l.drainRequest(q)
	l.advance(tuning.ReplacementTimeout-10*time.Second, step)
	show := drain.Request{Action: drain.Show, Name: "maintenance"}
	if s := l.drainRequest(show).Drains[0]; s.State != drain.Running || s.Batch == nil || s.Batch.Cordoned || rentals < 10 {
		t.Fatalf("%+v after %d rentals", s, rentals)
	}
	l.advance(20*time.Second, step)
	if s := l.drainRequest(show).Drains[0]; s.State != drain.Paused || s.Reason != string(drain.ReplacementTimedOut) {
		t.Fatalf("%+v", s)
	}
	paused := rentals
	l.advance(time.Minute, step)
	if rentals != paused {
		t.Error("rented for a drain that is paused")
	}
	l.drainRequest(drain.Request{Action: drain.Resume, Name: "maintenance"})
	l.advance(time.Minute, step)
	if rentals == paused {
		t.Error("not tried again")
	}
}

// TestReplacementsAreProvisionedOnce: a batch waits for as many replacements as it has machines, and is
// cordoned once they take work. A successor that finds them in the record, and not yet in a list,
// provisions none.
func TestReplacementsAreProvisionedOnce(t *testing.T) {
	l, task := leaderWithTask(t, drainOperator(ample))
	listed := func(l *testLeader, names ...string) {
		for _, name := range names {
			if name == "m1" {
				l.report(name, 1, task)
			} else {
				l.report(name, 1)
			}
		}
		l.list(names...)
	}
	q := drainOf("maintenance", "m1")
	q.Spec.Replace = true
	l.drainRequest(q)
	var rentals []wire.ProvisionRequest
	l.advance(10*time.Second, func() {
		listed(l, "m1")
		for _, call := range l.PlanScaling(l.now) {
			if call.Op == scaling.CloudProvision {
				rentals = append(rentals, call.Provision)
				l.ProvisionDone(l.now, call.Provision, []string{"m2"})
			}
		}
		l.commit()
	})
	if len(rentals) != 1 || rentals[0].Count != 1 {
		t.Fatalf("rented %+v", rentals)
	}
	next := newLeaderWith(t, drainOperator(ample), 6, l.now, l.store)
	next.seq = l.seq
	next.advance(6*time.Second, func() {
		listed(next, "m1")
		if provisions(next.PlanScaling(next.now)) {
			t.Fatal("a successor rents again what is not listed yet")
		}
	})
	state := func() drain.Status {
		return next.drainRequest(drain.Request{Action: drain.Show, Name: "maintenance"}).Drains[0]
	}
	if s := state(); s.Batch == nil || s.Batch.Cordoned {
		t.Fatalf("cordoned before the replacement is up: %+v", s.Batch)
	}
	next.advance(5*time.Second, func() { listed(next, "m1", "m2") })
	if s := state(); s.Batch == nil || !s.Batch.Cordoned {
		t.Errorf("not cordoned though the replacement is up: %+v, %s", s.Batch, s.Reason)
	}
}

// TestNextDrainKeepsTheCordonOfAPausedOne: a machine that a paused drain has cordoned takes no work,
// also while the next drain waits for a replacement before it cordons the same machine.
func TestNextDrainKeepsTheCordonOfAPausedOne(t *testing.T) {
	l, task := leaderWithTask(t, drainOperator(ample))
	step := func() { l.report("m1", 1, task); l.list("m1"); l.commit() }
	l.drainRequest(drainOf("first", "m1"))
	l.advance(5*time.Second, step)
	l.drainRequest(drain.Request{Action: drain.Pause, Name: "first"})
	next := drainOf("next", "m1")
	next.Spec.Replace = true
	l.drainRequest(next)
	l.advance(5*time.Second, step)
	s := l.drainRequest(drain.Request{Action: drain.Show, Name: "next"}).Drains[0]
	if s.Batch == nil || s.Batch.Cordoned {
		t.Fatalf("the next drain does not wait for a replacement: %+v", s)
	}
	l.submit("job-2")
	l.advance(3*time.Second, func() {
		if commands := l.report("m1", 1, task); len(commands) > 0 {
			t.Fatalf("a cordoned machine got %s", ops(commands))
		}
		l.commit()
	})
}
