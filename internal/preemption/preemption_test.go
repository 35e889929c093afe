package preemption_test

import (
	"iter"
	"slices"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/preemption"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

var start = time.Unix(1_700_000_000, 0)

// cluster is one with a full machine of eight CPUs, and what was done to it.
type cluster struct {
	registry *machines.Registry
	machine  *machines.Machine
	teamFree float64 // CPUs
	called   int
	running  []*jobs.Job
}

func newCluster() *cluster {
	m := machines.New(start, "m1", "std-8", "a", "", false)
	m.SetCapacity(placement.Resources{CPUs: 8, MemoryGB: 32})
	c := &cluster{registry: machines.NewRegistry(), machine: m, teamFree: 100}
	c.registry.Add(m)
	return c
}

func newJob(id string, priority string, cpus float64) *jobs.Job {
	return jobs.New(wire.Job{ID: id, Team: "blue", Priority: priority, Tasks: 1, CPUs: cpus, CheckpointIntervalS: 30}, 0, start)
}

// runs puts a running attempt on the machine.
func (c *cluster) runs(j *jobs.Job, since time.Time) *machines.Attempt {
	return c.runsAfterWait(j, since, false)
}

// runsAfterWait puts a running attempt on the machine, placed since its job had waited long or not.
func (c *cluster) runsAfterWait(j *jobs.Job, since time.Time, afterLongWait bool) *machines.Attempt {
	a := machines.NewPendingAttempt(c.machine, j, 0, since, 1, afterLongWait)
	a.ApplyReport(since, machines.Running)
	c.machine.AddAttempt(a)
	j.AddRunning()
	c.running = append(c.running, j)
	return a
}

// preempt makes capacity for a job with one waiting task.
func (c *cluster) preempt(now time.Time, j *jobs.Job) int {
	j.FillReady()
	r := j.Constraints()
	r.Job, r.Team, r.PriorityRank = j.ID, j.Team, j.PriorityRank()
	p := preemption.New(preemption.Cluster{
		Machines:       c.registry,
		IsSchedulable:  func(time.Time, *machines.Machine) bool { return true },
		RemainingS:     func(time.Time, *machines.Attempt) float64 { return 600 },
		UnfinishedJobs: func() iter.Seq[*jobs.Job] { return slices.Values(c.running) },
		FetchGBPerS:    func(string) float64 { return 1 },
		TeamFreeCPUs:   func(string) (float64, bool) { return c.teamFree, true },
		OnStop:         func(*machines.Machine) { c.called++ },
	})
	return p.Run(now, []*placement.PendingJob{r}, map[string]*jobs.Job{j.ID: j})
}

// TestPreemptionStopsWhatLosesLeast: of the attempts of a lower priority the one whose last
// checkpoint is newest.
func TestPreemptionStopsWhatLosesLeast(t *testing.T) {
	c := newCluster()
	now := start.Add(tuning.AgedMinRunTime + 600*time.Second)
	more := c.runs(newJob("job-1", wire.PriorityIdle, 4), now.Add(-620*time.Second))
	less := c.runs(newJob("job-2", wire.PriorityIdle, 4), now.Add(-605*time.Second))
	if n := c.preempt(now, newJob("job-3", wire.PriorityHigh, 4)); n != 1 || c.called != 1 {
		t.Fatalf("%d stopped, %d calls", n, c.called)
	}
	if more.IsStopping() || !less.IsStopping() {
		t.Error("the one that loses more was stopped")
	}
	if _, reserved := c.machine.Reservation(now); !reserved {
		t.Error("the capacity is not reserved")
	}
}

// TestPreemptionStopsNothingInVain: where it would not help, or is not allowed, all goes on.
func TestPreemptionStopsNothingInVain(t *testing.T) {
	now := start.Add(tuning.AgedMinRunTime + 600*time.Second)
	for name, test := range map[string]struct {
		priority string
		running  string
		cpus     float64
		teamFree float64
		since    time.Duration
	}{
		"equal priority":       {wire.PriorityIdle, wire.PriorityIdle, 4, 100, 600 * time.Second},
		"too large":            {wire.PriorityHigh, wire.PriorityIdle, 16, 100, 600 * time.Second},
		"team limit too small": {wire.PriorityHigh, wire.PriorityIdle, 8, -20, 600 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster()
			c.teamFree = test.teamFree
			a := c.runs(newJob("job-1", test.running, 4), now.Add(-test.since))
			b := c.runs(newJob("job-2", test.running, 4), now.Add(-test.since))
			if n := c.preempt(now, newJob("job-3", test.priority, test.cpus)); n != 0 || a.IsStopping() || b.IsStopping() {
				t.Errorf("%d stopped: %v, %v", n, a.IsStopping(), b.IsStopping())
			}
		})
	}
}

// TestPreemptionSparesJobsThatWaitedLong: an attempt placed since its job had waited long runs
// for some time before it may be stopped.
func TestPreemptionSparesJobsThatWaitedLong(t *testing.T) {
	c := newCluster()
	c.runsAfterWait(newJob("job-1", wire.PriorityIdle, 8), start, true)
	early := start.Add(tuning.AgedMinRunTime - time.Second)
	if n := c.preempt(early, newJob("job-2", wire.PriorityHigh, 4)); n != 0 {
		t.Fatalf("%d stopped too early", n)
	}
	late := start.Add(tuning.AgedMinRunTime.Truncate(30*time.Second) + 60*time.Second)
	if n := c.preempt(late, newJob("job-2", wire.PriorityHigh, 4)); n != 1 {
		t.Fatalf("%d stopped afterwards", n)
	}
}
