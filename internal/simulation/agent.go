package simulation

import (
	"sort"
	"strconv"
	"time"

	"switchshore.example/switchshore/wire"
)

// Task is a task on a worker.
type Task struct {
	Name            string
	Attempt         uint64
	State           string
	ExitReason      string
	CheckpointSaved bool
	StateEndsAt     time.Time // when the present state ends
	StartedAt       time.Time // when it began to run
}

// IsExecuting reports whether the task is on its machine in the sense of the rules.
func (t *Task) IsExecuting() bool { return t.State == wire.TaskRunning || t.State == wire.TaskSaving }

// Agent is one machine with its worker.
type Agent struct {
	ID        string
	Machine   wire.ListedMachine
	Type      wire.MachineType
	LookUpJob func(id string) *wire.Job // what users uploaded
	RunTime   func(*wire.Job) time.Duration
	// SavedProgress, if set, tells the run time that a task has saved, on whatever machine; without it
	// a task that is started again runs for its whole time.
	SavedProgress func(task string) time.Duration
	Faulty        bool
	// FailsJob, if set, tells jobs that fail on every machine.
	FailsJob func(id string) bool
	// OnStop, if set, is told of a running task that is about to be stopped.
	OnStop func(t *Task, saves bool)
	Lease  time.Duration

	Epoch         uint64
	Sequence      uint64
	FencingToken  uint64
	LeaseEnd      time.Time
	ReclaimNotice *float64
	Tasks         map[string]*Task
	Completed     map[string]bool // completed tasks whose result is kept
	CachedImages  map[string]bool
	HeartbeatDue  bool
}

// NewAgent returns a worker that has just come up.
func NewAgent(now time.Time, row wire.ListedMachine, t wire.MachineType, lease time.Duration) *Agent {
	return &Agent{
		ID: row.Name, Machine: row, Type: t, Lease: lease, Epoch: 1, LeaseEnd: now.Add(lease),
		Tasks: map[string]*Task{}, Completed: map[string]bool{}, CachedImages: map[string]bool{},
	}
}

// attemptKey keeps several attempts of one task apart: exited ones stay listed.
func attemptKey(name string, attempt uint64) string {
	return name + "#" + strconv.FormatUint(attempt, 10)
}

func (a *Agent) sortedTasks() []*Task {
	var ts []*Task
	for _, t := range a.Tasks {
		ts = append(ts, t)
	}
	sort.Slice(ts, func(i, j int) bool {
		if ts[i].Name != ts[j].Name {
			return ts[i].Name < ts[j].Name
		}
		return ts[i].Attempt < ts[j].Attempt
	})
	return ts
}

// Advance lets time pass: fetches, runs and saves end, the lease may run out.
func (a *Agent) Advance(now time.Time) {
	if now.After(a.LeaseEnd) {
		a.Epoch++
		a.Tasks = map[string]*Task{}
		a.LeaseEnd = now.Add(a.Lease)
		a.HeartbeatDue = true
	}
	for _, t := range a.sortedTasks() {
		if t.State == wire.TaskExited || now.Before(t.StateEndsAt) {
			continue
		}
		job := a.jobOf(t.Name)
		a.HeartbeatDue = true
		switch t.State {
		case wire.TaskFetching:
			a.CachedImages[job.Image] = true
			switch {
			case a.Completed[t.Name]:
				t.State, t.ExitReason = wire.TaskExited, wire.ExitDone
			case a.Faulty, a.FailsJob != nil && a.FailsJob(job.ID):
				t.State, t.ExitReason = wire.TaskExited, wire.ExitError
			default:
				t.State, t.StateEndsAt, t.StartedAt = wire.TaskRunning, now.Add(a.remainingRunTime(t.Name, job)), now
			}
		case wire.TaskRunning:
			t.State, t.ExitReason = wire.TaskExited, wire.ExitDone
			a.Completed[t.Name] = true
		case wire.TaskSaving:
			t.State, t.ExitReason, t.CheckpointSaved = wire.TaskExited, wire.ExitStopped, true
		}
	}
}

// remainingRunTime is for how long a task that begins now runs.
func (a *Agent) remainingRunTime(task string, job *wire.Job) time.Duration {
	left := a.RunTime(job)
	if a.SavedProgress != nil {
		left -= a.SavedProgress(task)
	}
	return max(0, left)
}

func (a *Agent) jobOf(task string) *wire.Job {
	id, _, _ := wire.SplitTask(task)
	return a.LookUpJob(id)
}

// NextHeartbeat is the worker's next heartbeat.
func (a *Agent) NextHeartbeat() *wire.Heartbeat {
	a.Sequence++
	r := &wire.Heartbeat{
		Machine: a.ID, Addr: a.Machine.Addr, Type: a.Machine.Type, Zone: a.Machine.Zone, Spot: a.Machine.Spot,
		AgentEpoch: a.Epoch, Sequence: a.Sequence, FencingToken: a.FencingToken, ReclaimNoticeS: a.ReclaimNotice, Tasks: []wire.TaskStatus{},
	}
	for _, t := range a.sortedTasks() {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: t.Name, Attempt: t.Attempt, State: t.State, ExitReason: t.ExitReason, CheckpointSaved: t.CheckpointSaved})
	}
	return r
}

// HandleHeartbeatResponse applies the response to the heartbeat that the agent sent in the given
// epoch at the given time.
func (a *Agent) HandleHeartbeatResponse(now, sent time.Time, epoch uint64, response wire.HeartbeatResponse) {
	if epoch != a.Epoch || response.FencingToken < a.FencingToken {
		return
	}
	if response.FencingToken > a.FencingToken {
		a.FencingToken = response.FencingToken
		a.HeartbeatDue = true
	}
	if end := sent.Add(a.Lease); end.After(a.LeaseEnd) {
		a.LeaseEnd = end
	}
	a.Execute(now, response.Commands)
}

// HandleCommandRequest takes in a direct request: executed if token and session match.
func (a *Agent) HandleCommandRequest(now time.Time, r wire.CommandRequest) {
	if r.FencingToken < a.FencingToken || r.AgentEpoch != a.Epoch {
		return
	}
	if r.FencingToken > a.FencingToken {
		a.FencingToken = r.FencingToken
	}
	a.Execute(now, r.Commands)
}

// Execute runs commands in order.
func (a *Agent) Execute(now time.Time, commands []wire.Command) {
	for _, c := range commands {
		k := attemptKey(c.Task, c.Attempt)
		t := a.Tasks[k]
		switch c.Op {
		case wire.OpStart:
			if t == nil {
				a.Tasks[k] = a.start(now, c)
				a.HeartbeatDue = true
			}
		case wire.OpStop:
			if t == nil || t.State == wire.TaskExited {
				continue
			}
			a.HeartbeatDue = true
			job := a.jobOf(c.Task)
			grace := 0.0
			if c.GracePeriodS != nil {
				grace = *c.GracePeriodS
			}
			saves := job.CheckpointIntervalS > 0 && grace >= job.CheckpointSaveS
			if a.OnStop != nil && t.State == wire.TaskRunning {
				a.OnStop(t, saves)
			}
			if t.State == wire.TaskRunning && saves {
				t.State, t.StateEndsAt = wire.TaskSaving, now.Add(time.Duration(job.CheckpointSaveS*float64(time.Second)))
			} else if t.State != wire.TaskSaving || grace == 0 {
				t.State, t.ExitReason = wire.TaskExited, wire.ExitStopped
			}
		case wire.OpForget:
			if t != nil && t.State == wire.TaskExited {
				delete(a.Tasks, k)
				a.HeartbeatDue = true
			}
		}
	}
}

func (a *Agent) start(now time.Time, c wire.Command) *Task {
	t := &Task{Name: c.Task, Attempt: c.Attempt, State: wire.TaskExited}
	job := a.jobOf(c.Task)
	if job == nil {
		t.ExitReason = wire.ExitUnknown
		return t
	}
	cpus, memory := job.CPUs, job.MemoryGB
	for _, o := range a.Tasks {
		if o.State == wire.TaskExited {
			continue
		}
		if o.Name == c.Task {
			t.ExitReason = wire.ExitTaskBusy
			return t
		}
		other := a.jobOf(o.Name)
		cpus += other.CPUs
		memory += other.MemoryGB
	}
	if cpus > a.Type.CPUs+1e-6 || memory > a.Type.MemoryGB+1e-6 {
		t.ExitReason = wire.ExitNoCapacity
		return t
	}
	t.State, t.StateEndsAt = wire.TaskFetching, now
	if !a.CachedImages[job.Image] {
		t.StateEndsAt = now.Add(time.Duration(job.ImageGB / a.Type.FetchGBPerS * float64(time.Second)))
	}
	return t
}
