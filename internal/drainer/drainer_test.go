package drainer_test

import (
	"iter"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/autoscale"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/drainer"
	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/scaling"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// testStart is the time at which the tests start, on both clocks.
var testStart = time.Unix(1_700_000_000, 0)

// fixture holds a drainer in a cluster with one machine type in one zone. By default no batch is
// blocked, and a team's budget allows one eviction.
type fixture struct {
	*drainer.Drainer
	t              *testing.T
	now            time.Time
	registry       *machines.Registry
	writes         *records.WriteQueues
	scaler         *scaling.Scaler
	jobs           map[string]*jobs.Job
	blockedCause   drain.Cause // returned by BatchBlockedCause
	scheduledCalls []string    // IDs of the machines to which direct calls were scheduled
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{
		t:        t,
		now:      testStart,
		registry: machines.NewRegistry(),
		writes:   records.NewWriteQueues(zerolog.Nop(), 16<<10),
		jobs:     map[string]*jobs.Job{},
	}
	catalogue := machines.NewCatalogue()
	catalogue.SetOfferedTypes([]wire.MachineType{{Name: "std-8", CPUs: 8, MemoryGB: 32, Price: 1, Zones: []string{"a"}}})
	f.scaler = scaling.New(scaling.Config{Term: 5, CloudRPS: 5}, scaling.Cluster{
		Machines:       f.registry,
		Catalogue:      catalogue,
		BlockedByDrain: func(o autoscale.Offering) bool { return f.BlocksProvisioning(o) },
		Partitioned:    func(time.Time, string) bool { return false },
	})
	f.Drainer = drainer.New(zerolog.Nop(), drainer.Config{
		Term:        5,
		Budgets:     &drain.Budgets{Window: 10 * time.Minute, Default: drain.Budget{MaxUnavailable: 1, Evictions: 1, LostS: 1000}},
		Teams:       []config.Team{{Name: "blue", CPUs: 4}},
		ValueLimit:  16 << 10,
		LeaseExpiry: 15 * time.Second,
		LeaseS:      15,
	}, drainer.Cluster{
		Machines:              f.registry,
		Catalogue:             catalogue,
		Writes:                f.writes,
		Scaler:                f.scaler,
		Job:                   func(id string) *jobs.Job { return f.jobs[id] },
		RunnableJobs:          func() iter.Seq[*jobs.Job] { return func(func(*jobs.Job) bool) {} },
		TeamUsedCPUs:          func(string) float64 { return 0 },
		IsSchedulable:         func(_ time.Time, m *machines.Machine) bool { return m.IsReconciled() && !m.IsCordoned() },
		RemainingS:            func(time.Time, *machines.Attempt) float64 { return 3600 },
		MachinesKnown:         func() bool { return true },
		HasCurrentMachineList: func() bool { return true },
		BatchBlockedCause:     func(time.Time) drain.Cause { return f.blockedCause },
		QueueDirectCall:       func(m *machines.Machine) { f.scheduledCalls = append(f.scheduledCalls, m.ID) },
		RequestSchedulingPass: func() {},
	})
	return f
}

// addMachine adds a schedulable machine that is listed and reconciled.
func (f *fixture) addMachine(id string) *machines.Machine {
	m := machines.New(testStart, id, "std-8", "a", "", false)
	m.SetCapacity(placement.Resources{CPUs: 8, MemoryGB: 32})
	m.RecordHeartbeat(testStart, &wire.Heartbeat{})
	m.MarkReconciled(testStart)
	m.ApplyCloudListing(testStart, testStart, &wire.ListedMachine{})
	f.registry.Add(m)
	return m
}

// handleRequest passes a request to the drainer, commits all writes and returns the response.
func (f *fixture) handleRequest(request *drain.Request) drain.Response {
	f.t.Helper()
	var got drain.Response
	f.Handle(f.now, f.now, request, func(r drain.Response) { got = r })
	f.commitWrites()
	return got
}

// applyDrain requests a drain named maintenance of the given machines, one at a time.
func (f *fixture) applyDrain(replace bool, names ...string) {
	f.t.Helper()
	r := f.handleRequest(&drain.Request{Action: drain.Apply, Spec: &drain.Spec{
		Name: "maintenance", BatchSize: 1, Replace: replace, Selector: drain.Selector{Machines: names},
	}})
	if r.Status != http.StatusCreated {
		f.t.Fatalf("response %+v, want status 201", r)
	}
}

// drainStatus requests the status of the drain maintenance.
func (f *fixture) drainStatus() drain.Status {
	f.t.Helper()
	r := f.handleRequest(&drain.Request{Action: drain.Show, Name: "maintenance"})
	if len(r.Drains) != 1 {
		f.t.Fatalf("response %+v, want one drain", r)
	}
	return r.Drains[0]
}

// commitWrites commits all queued writes and returns their keys.
func (f *fixture) commitWrites() []string {
	var keys []string
	for b := f.writes.NextBatch(10, 10, false); b != nil; b = f.writes.NextBatch(10, 10, false) {
		for _, m := range b.Mutations {
			keys = append(keys, m.Put)
		}
		f.writes.MarkCommitted(b, nil)
	}
	return keys
}

// advance advances the time by d and then runs a step of the drain if one is due.
func (f *fixture) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.Advance(f.now, f.now)
}

// confirmRelease removes a machine as if the cloud had confirmed its release.
func (f *fixture) confirmRelease(id string) {
	f.registry.MarkReleased(id)
	f.registry.Remove(f.registry.Get(id))
}

// TestBatchesRunInSequence checks that a batch stays cordoned until its machines no longer exist, that
// the next batch is cordoned only after that, and that the drain is done after the last batch.
func TestBatchesRunInSequence(t *testing.T) {
	f := newFixture(t)
	for _, id := range []string{"m1", "m2", "m3"} {
		f.addMachine(id)
	}
	f.applyDrain(false, "m1", "m2")
	for _, id := range []string{"m1", "m2"} {
		f.advance(tuning.DrainBatchInterval)
		status := f.drainStatus()
		if status.State != drain.Running || status.Batch == nil || !slices.Equal(status.Batch.Machines, []string{id}) {
			t.Fatalf("got %+v with batch %+v, want a running drain with a batch of one machine", status, status.Batch)
		}
		for _, m := range f.registry.All() {
			if m.IsCordonedFor(machines.CordonDrained) != (m.ID == id) {
				t.Errorf("batch of %s: wrong cordon of machine %s, want only the batch's machine cordoned", id, m.ID)
			}
		}
		f.confirmRelease(id)
		f.advance(tuning.DrainStepInterval)
	}
	f.advance(tuning.DrainBatchInterval)
	if status := f.drainStatus(); status.State != drain.Done || status.Counts.Machines != 2 || status.Counts.Batches != 2 {
		t.Errorf("got %+v, want a drain that is done with 2 machines in 2 batches", status)
	}
}

// TestNoBatchStartsWhileBlocked checks that a blocked drain starts no batch and shows the cause.
func TestNoBatchStartsWhileBlocked(t *testing.T) {
	f := newFixture(t)
	m := f.addMachine("m1")
	f.applyDrain(false, "m1")
	f.blockedCause = drain.BlockedByOverload
	f.advance(tuning.DrainBatchInterval)
	if status := f.drainStatus(); status.Batch != nil || m.IsCordoned() || status.Reason != string(drain.BlockedByOverload) {
		t.Errorf("while blocked: got %+v, want no batch and the cause as the reason", status)
	}
	f.blockedCause = ""
	f.advance(tuning.DrainBatchInterval)
	if status := f.drainStatus(); status.Batch == nil || !m.IsCordoned() {
		t.Errorf("no longer blocked: got %+v, want a cordoned batch", status)
	}
}

// TestEvictionsStayWithinBudget checks that no attempt is stopped before its charge is durable, and that
// no second task is evicted once the first eviction has used up the budget.
func TestEvictionsStayWithinBudget(t *testing.T) {
	f := newFixture(t)
	m := f.addMachine("m1")
	j := jobs.New(wire.Job{ID: "job-1", Team: "blue", Tasks: 2, CPUs: 2, CheckpointIntervalS: 30, CheckpointSaveS: 5}, 0, testStart)
	f.jobs[j.ID] = j
	j.MarkAccepted()
	for i := range int32(2) {
		a := machines.NewPendingAttempt(m, j, i, testStart, 5<<32|uint64(i+1), false)
		a.ApplyReport(testStart, machines.Running)
		m.AddAttempt(a)
	}
	f.applyDrain(false, "m1")
	f.advance(tuning.DrainBatchInterval)
	f.advance(tuning.DrainCheckpointWait + time.Second)
	if len(f.scheduledCalls) != 0 {
		t.Fatal("an attempt was stopped before its charge was durable")
	}
	charged := slices.ContainsFunc(f.commitWrites(), func(key string) bool { return strings.HasPrefix(key, records.KindCharge.Prefix()) })
	stopping := slices.DeleteFunc(slices.Clone(m.Attempts()), func(a *machines.Attempt) bool { return !a.IsStopping() })
	if !charged || len(f.scheduledCalls) != 1 || len(stopping) != 1 || stopping[0].GracePeriodS() != 5 {
		t.Fatalf("charge stored: %v, calls to %v, %d attempts stopping; want a stored charge, 1 call, and 1 attempt", charged, f.scheduledCalls, len(stopping))
	}
	f.advance(tuning.DrainCheckpointWait)
	f.commitWrites()
	if len(f.scheduledCalls) != 1 {
		t.Error("a second attempt was stopped beyond the budget")
	}
}

// TestBatchWaitsForReplacements checks that a single replacement is provisioned for the machine of the
// batch, and that the batch is cordoned only once the replacement is schedulable.
func TestBatchWaitsForReplacements(t *testing.T) {
	f := newFixture(t)
	m := f.addMachine("m1")
	f.applyDrain(true, "m1")
	f.advance(tuning.DrainBatchInterval)
	calls := f.ReplacementCalls(f.now)
	if len(calls) != 1 || calls[0].Provision.Type != "std-8" || calls[0].Provision.Count != 1 {
		t.Fatalf("got calls %+v, want one for one machine of type std-8", calls)
	}
	if again := f.ReplacementCalls(f.now); len(again) != 0 {
		t.Fatalf("got further calls %+v, want none while one is in flight", again)
	}
	p := f.scaler.FinishProvision(f.now, calls[0].Provision, 1)
	f.AddReplacements(p.ReplacementFor, []string{"m2"})
	f.advance(tuning.DrainStepInterval)
	if m.IsCordoned() || !f.IsReplacement("m2") {
		t.Fatal("the batch is cordoned before its replacement is ready, or m2 is not a replacement")
	}
	f.addMachine("m2")
	f.advance(tuning.DrainStepInterval)
	if !m.IsCordonedFor(machines.CordonDrained) {
		t.Error("the batch is not cordoned although its replacement is ready")
	}
}
