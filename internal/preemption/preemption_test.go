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

// baseTime is when the machine is provisioned and the jobs are submitted.
var baseTime = time.Unix(1_700_000_000, 0)

// cluster contains one machine with eight CPUs, and the jobs with running tasks.
type cluster struct {
	registry     *machines.Registry
	machine      *machines.Machine
	teamFreeCPUs float64
	onStopCalls  int
	running      []*jobs.Job
}

func newCluster() *cluster {
	m := machines.New(baseTime, "m1", "std-8", "a", "", false)
	m.SetCapacity(placement.Resources{CPUs: 8, MemoryGB: 32})
	c := &cluster{registry: machines.NewRegistry(), machine: m, teamFreeCPUs: 100}
	c.registry.Add(m)
	return c
}

// newJob returns a job of team blue with one task that saves checkpoints every 30 s.
func newJob(id string, priority string, cpus float64) *jobs.Job {
	return jobs.New(wire.Job{ID: id, Team: "blue", Priority: priority, Tasks: 1, CPUs: cpus, CheckpointIntervalS: 30}, 0, baseTime)
}

// addRunning adds an attempt of the job to the machine. It has been running since the given time.
func (c *cluster) addRunning(j *jobs.Job, since time.Time) *machines.Attempt {
	return c.addRunningWithAge(j, since, false)
}

// addRunningWithAge is like addRunning, and sets whether the attempt was placed while its job
// counted as aged.
func (c *cluster) addRunningWithAge(j *jobs.Job, since time.Time, placedWhileAged bool) *machines.Attempt {
	a := machines.NewPendingAttempt(c.machine, j, 0, since, 1, placedWhileAged)
	a.ApplyReport(since, machines.Running)
	c.machine.AddAttempt(a)
	j.AddRunningAttempt()
	c.running = append(c.running, j)
	return a
}

// preempt runs the preemptor for a job with one waiting task, and returns the number of requested
// stops.
func (c *cluster) preempt(now time.Time, j *jobs.Job) int {
	j.RebuildReadyTasks()
	pending := j.PlacementConstraints()
	pending.JobID, pending.Team, pending.PriorityRank = j.ID, j.Team, j.PriorityRank()
	preemptor := preemption.New(preemption.Cluster{
		Machines:        c.registry,
		IsSchedulable:   func(time.Time, *machines.Machine) bool { return true },
		RemainingS:      func(time.Time, *machines.Attempt) float64 { return 600 },
		RunnableJobs:    func() iter.Seq[*jobs.Job] { return slices.Values(c.running) },
		FetchGBPerS:     func(string) float64 { return 1 },
		TeamFreeCPUs:    func(string) (float64, bool) { return c.teamFreeCPUs, true },
		OnStopRequested: func(*machines.Machine) { c.onStopCalls++ },
	})
	return preemptor.Run(now, []*placement.PendingJob{pending}, map[string]*jobs.Job{j.ID: j})
}

// TestPreemptionStopsAttemptWithLeastLoss: of two attempts with a lower priority, the preemptor stops
// the one with the more recent checkpoint, and reserves the capacity for the waiting task.
func TestPreemptionStopsAttemptWithLeastLoss(t *testing.T) {
	c := newCluster()
	now := baseTime.Add(tuning.AgedMinRunTime + 600*time.Second)
	moreLoss := c.addRunning(newJob("job-1", wire.PriorityIdle, 4), now.Add(-620*time.Second))
	lessLoss := c.addRunning(newJob("job-2", wire.PriorityIdle, 4), now.Add(-605*time.Second))
	if n := c.preempt(now, newJob("job-3", wire.PriorityHigh, 4)); n != 1 || c.onStopCalls != 1 {
		t.Fatalf("%d stops requested, %d calls of OnStopRequested, want 1 of each", n, c.onStopCalls)
	}
	if moreLoss.IsStopping() || !lessLoss.IsStopping() {
		t.Error("want a stop of the attempt that loses less progress, and of no other")
	}
	if _, reserved := c.machine.Reservation(now); !reserved {
		t.Error("the machine has no reservation, want one for the waiting task")
	}
}

// TestPreemptionStopsNothingWithoutBenefit: no attempt is stopped if the waiting task could not
// start even after the stops, or if the running attempts have the same priority.
func TestPreemptionStopsNothingWithoutBenefit(t *testing.T) {
	now := baseTime.Add(tuning.AgedMinRunTime + 600*time.Second)
	for name, test := range map[string]struct {
		waitingPriority string
		runningPriority string
		waitingCPUs     float64
		teamFreeCPUs    float64
		runTime         time.Duration
	}{
		"equal priority":       {wire.PriorityIdle, wire.PriorityIdle, 4, 100, 600 * time.Second},
		"too large":            {wire.PriorityHigh, wire.PriorityIdle, 16, 100, 600 * time.Second},
		"team limit too small": {wire.PriorityHigh, wire.PriorityIdle, 8, -20, 600 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster()
			c.teamFreeCPUs = test.teamFreeCPUs
			a := c.addRunning(newJob("job-1", test.runningPriority, 4), now.Add(-test.runTime))
			b := c.addRunning(newJob("job-2", test.runningPriority, 4), now.Add(-test.runTime))
			if n := c.preempt(now, newJob("job-3", test.waitingPriority, test.waitingCPUs)); n != 0 || a.IsStopping() || b.IsStopping() {
				t.Errorf("%d stops requested, want 0; attempts stopping: %v and %v, want false", n, a.IsStopping(), b.IsStopping())
			}
		})
	}
}

// TestAttemptPlacedWhileAgedRunsMinimumTime: an attempt that was placed while its job counted as aged
// may be stopped only after tuning.AgedMinRunTime.
func TestAttemptPlacedWhileAgedRunsMinimumTime(t *testing.T) {
	c := newCluster()
	c.addRunningWithAge(newJob("job-1", wire.PriorityIdle, 8), baseTime, true)
	early := baseTime.Add(tuning.AgedMinRunTime - time.Second)
	if n := c.preempt(early, newJob("job-2", wire.PriorityHigh, 4)); n != 0 {
		t.Fatalf("%d stops requested before the minimum run time, want 0", n)
	}
	// At this time a checkpoint, saved every 30 s, has just been written, so no progress is lost.
	late := baseTime.Add(tuning.AgedMinRunTime.Truncate(30*time.Second) + 60*time.Second)
	if n := c.preempt(late, newJob("job-2", wire.PriorityHigh, 4)); n != 1 {
		t.Fatalf("%d stops requested after the minimum run time, want 1", n)
	}
}
