package simulation

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/wire"
)

// Task is one attempt of a task on an agent.
type Task struct {
	Name            string
	Attempt         uint64
	State           string
	ExitReason      string
	CheckpointSaved bool
	StateEndsAt     time.Time
	StartedAt       time.Time // when it began to run, after its image was fetched
	Fails           bool      // it fails when it ends
}

// IsExecuting reports whether the task runs or saves its progress. The protocol's invariants count
// the tasks in these states.
func (t *Task) IsExecuting() bool { return t.State == wire.TaskRunning || t.State == wire.TaskSaving }

// exit ends the task.
func (t *Task) exit(reason string) { t.State, t.ExitReason = wire.TaskExited, reason }

// Agent is one machine with its agent. It reads no clock; callers pass the time.
type Agent struct {
	ID      string
	Machine wire.ListedMachine
	Type    wire.MachineType
	Lease   time.Duration
	// LookUpJob returns the job that a user has uploaded under an id, or nil.
	LookUpJob func(id string) *wire.Job
	// RunTime returns the run time of a task of a job.
	RunTime func(*wire.Job) time.Duration
	// SavedProgress, if set, returns the run time that a task has saved on any machine. Without it,
	// a restarted task runs for its full run time.
	SavedProgress func(task string) time.Duration
	// Faulty makes all tasks fail on this machine.
	Faulty bool
	// FailsJob, if set, reports whether a job fails on every machine.
	FailsJob func(id string) bool
	// DrawFailure, if set, draws whether an attempt that starts now fails when it ends.
	DrawFailure func() bool
	// OnStop, if set, is called before a running task is stopped.
	OnStop func(t *Task, saves bool)

	Epoch         uint64
	Sequence      uint64
	FencingToken  uint64
	LeaseEnd      time.Time
	ReclaimNotice *float64
	Tasks         map[string]*Task // by name and attempt
	Completed     map[string]bool  // tasks whose results this machine keeps
	CachedImages  map[string]bool
	// StateChanged tells that the next heartbeat will report a change.
	StateChanged bool
}

// NewAgent returns an agent that has just started.
func NewAgent(now time.Time, machine wire.ListedMachine, t wire.MachineType, lease time.Duration) *Agent {
	return &Agent{
		ID: machine.Name, Machine: machine, Type: t, Lease: lease, Epoch: 1, LeaseEnd: now.Add(lease),
		Tasks: map[string]*Task{}, Completed: map[string]bool{}, CachedImages: map[string]bool{},
	}
}

// attemptKey identifies an attempt. The task name alone is not enough, because exited attempts stay
// listed beside later ones of the same task.
func attemptKey(name string, attempt uint64) string {
	return name + "#" + strconv.FormatUint(attempt, 10)
}

// sortedTasks returns all attempts, sorted by task and number.
func (a *Agent) sortedTasks() []*Task {
	return slices.SortedFunc(maps.Values(a.Tasks), func(t, other *Task) int {
		return cmp.Or(cmp.Compare(t.Name, other.Name), cmp.Compare(t.Attempt, other.Attempt))
	})
}

// Advance updates the agent to the given time: it finishes image fetches, runs and checkpoints, and
// discards all tasks if the lease has expired.
func (a *Agent) Advance(now time.Time) {
	if now.After(a.LeaseEnd) {
		a.Epoch++
		a.Tasks = map[string]*Task{}
		a.LeaseEnd = now.Add(a.Lease)
		a.StateChanged = true
	}
	for _, t := range a.sortedTasks() {
		if t.State != wire.TaskExited && !now.Before(t.StateEndsAt) {
			a.advanceTask(now, t)
		}
	}
}

// advanceTask moves a task to its next state.
func (a *Agent) advanceTask(now time.Time, t *Task) {
	a.StateChanged = true
	switch t.State {
	case wire.TaskFetching:
		a.imageFetched(now, t)
	case wire.TaskRunning:
		if t.Fails {
			t.exit(wire.ExitError)
			return
		}
		t.exit(wire.ExitDone)
		a.Completed[t.Name] = true
	case wire.TaskSaving:
		t.exit(wire.ExitStopped)
		t.CheckpointSaved = true
	}
}

// imageFetched starts a task whose image has been fetched, or ends it if it has completed already
// or must fail.
func (a *Agent) imageFetched(now time.Time, t *Task) {
	job := a.jobOf(t.Name)
	a.CachedImages[job.Image] = true
	switch {
	case a.Completed[t.Name]:
		t.exit(wire.ExitDone)
	case a.Faulty, a.FailsJob != nil && a.FailsJob(job.ID):
		t.exit(wire.ExitError)
	default:
		t.State, t.StartedAt, t.StateEndsAt = wire.TaskRunning, now, now.Add(a.remainingRunTime(t.Name, job))
		t.Fails = a.DrawFailure != nil && a.DrawFailure()
	}
}

// remainingRunTime returns how long a task that starts now will run.
func (a *Agent) remainingRunTime(task string, job *wire.Job) time.Duration {
	left := a.RunTime(job)
	if a.SavedProgress != nil {
		left -= a.SavedProgress(task)
	}
	return max(0, left)
}

// jobOf returns the job of a task, or nil if it was not uploaded.
func (a *Agent) jobOf(task string) *wire.Job {
	id, _, _ := wire.SplitTask(task)
	return a.LookUpJob(id)
}

// NextHeartbeat returns the agent's next heartbeat.
func (a *Agent) NextHeartbeat() *wire.Heartbeat {
	a.Sequence++
	heartbeat := &wire.Heartbeat{
		Machine: a.ID, Addr: a.Machine.Addr, Type: a.Machine.Type, Zone: a.Machine.Zone, Spot: a.Machine.Spot,
		AgentEpoch: a.Epoch, Sequence: a.Sequence, FencingToken: a.FencingToken,
		ReclaimNoticeS: a.ReclaimNotice, Tasks: []wire.TaskStatus{},
	}
	for _, t := range a.sortedTasks() {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{
			Task: t.Name, Attempt: t.Attempt, State: t.State, ExitReason: t.ExitReason, CheckpointSaved: t.CheckpointSaved,
		})
	}
	return heartbeat
}

// HandleHeartbeatResponse applies the response to the heartbeat that the agent sent in the given
// epoch at the given time.
func (a *Agent) HandleHeartbeatResponse(now, sent time.Time, epoch uint64, response wire.HeartbeatResponse) {
	if epoch != a.Epoch || response.FencingToken < a.FencingToken {
		return
	}
	if response.FencingToken > a.FencingToken {
		a.FencingToken = response.FencingToken
		a.StateChanged = true
	}
	if end := sent.Add(a.Lease); end.After(a.LeaseEnd) {
		a.LeaseEnd = end
	}
	a.execute(now, response.Commands)
}

// HandleCommandRequest handles a direct call: it executes the commands unless the fencing token is
// outdated or the epoch is not the agent's.
func (a *Agent) HandleCommandRequest(now time.Time, r wire.CommandRequest) {
	if r.FencingToken < a.FencingToken || r.AgentEpoch != a.Epoch {
		return
	}
	a.FencingToken = r.FencingToken
	a.execute(now, r.Commands)
}

// execute executes commands in order.
func (a *Agent) execute(now time.Time, commands []wire.Command) {
	for _, command := range commands {
		key := attemptKey(command.Task, command.Attempt)
		t := a.Tasks[key]
		exited := t != nil && t.State == wire.TaskExited
		switch {
		case command.Op == wire.OpStart && t == nil:
			a.Tasks[key] = a.startTask(now, command)
			a.StateChanged = true
		case command.Op == wire.OpStop && t != nil && !exited:
			a.stopTask(now, t, command.GracePeriodS)
			a.StateChanged = true
		case command.Op == wire.OpForget && exited:
			delete(a.Tasks, key)
			a.StateChanged = true
		}
	}
}

// stopTask stops a task, which saves its progress first if the grace period is long enough. A task
// that is saving already continues to save, unless the grace period is zero.
func (a *Agent) stopTask(now time.Time, t *Task, gracePeriodS *float64) {
	job := a.jobOf(t.Name)
	grace := 0.0
	if gracePeriodS != nil {
		grace = *gracePeriodS
	}
	saves := job.CheckpointIntervalS > 0 && grace >= job.CheckpointSaveS
	running := t.State == wire.TaskRunning
	if a.OnStop != nil && running {
		a.OnStop(t, saves)
	}
	switch {
	case running && saves:
		t.State, t.StateEndsAt = wire.TaskSaving, now.Add(seconds.Duration(job.CheckpointSaveS))
	case t.State != wire.TaskSaving || grace == 0:
		t.exit(wire.ExitStopped)
	}
}

// startTask returns a new attempt, which is in the exited state if it can't be started.
func (a *Agent) startTask(now time.Time, command wire.Command) *Task {
	t := &Task{Name: command.Task, Attempt: command.Attempt}
	job := a.jobOf(command.Task)
	if job == nil {
		t.exit(wire.ExitUnknown)
		return t
	}
	if reason := a.startFailure(t.Name, job); reason != "" {
		t.exit(reason)
		return t
	}
	t.State, t.StateEndsAt = wire.TaskFetching, now
	if !a.CachedImages[job.Image] {
		t.StateEndsAt = now.Add(seconds.Duration(job.ImageGB / a.Type.FetchGBPerS))
	}
	return t
}

// startFailure returns the reason why a task can't be started, or "" if it can.
func (a *Agent) startFailure(task string, job *wire.Job) string {
	cpus, memoryGB := job.CPUs, job.MemoryGB
	for _, other := range a.Tasks {
		if other.State == wire.TaskExited {
			continue
		}
		if other.Name == task {
			return wire.ExitTaskBusy
		}
		otherJob := a.jobOf(other.Name)
		cpus += otherJob.CPUs
		memoryGB += otherJob.MemoryGB
	}
	if cpus > a.Type.CPUs+roundingTolerance || memoryGB > a.Type.MemoryGB+roundingTolerance {
		return wire.ExitNoCapacity
	}
	return ""
}

// roundingTolerance is the excess over a limit that sums of resources may have by rounding errors.
const roundingTolerance = 1e-6
