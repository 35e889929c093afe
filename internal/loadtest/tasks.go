package loadtest

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/internal/simulation"
	"switchshore.example/switchshore/wire"
)

// Events of a task on a machine. The values are stored in histories.
const (
	// TaskStarted: it began to run.
	TaskStarted = "runs"
	// TaskStopped: it was stopped by command.
	TaskStopped = "stopped"
	// TaskSaved: it was stopped by command and saved its progress.
	TaskSaved = "saved"
	// TaskLost: its machine was released, or the lease expired, while it ran.
	TaskLost = "lost"
	// TaskCompleted: it has completed.
	TaskCompleted = "done"
)

// TaskEvent is a change of a task that an agent observed: a row of the tasks' history.
type TaskEvent struct {
	AtMS    int64  `parquet:"at_ms"`
	Machine string `parquet:"machine,dict"`
	Zone    string `parquet:"zone,dict"`
	Task    string `parquet:"task"`
	Team    string `parquet:"team,dict"`
	Event   string `parquet:"event,dict"`
	// RanMS is for how long it had run, LostMS what of that is lost.
	RanMS  int64 `parquet:"ran_ms"`
	LostMS int64 `parquet:"lost_ms"`
}

// taskRecorder records the events of one agent's tasks.
type taskRecorder struct {
	cluster *Cluster
	agent   *simulation.Agent
	running map[*simulation.Task]bool
}

// recordTasks records the events of an agent's tasks from now on.
func (c *Cluster) recordTasks(agent *simulation.Agent) *taskRecorder {
	r := &taskRecorder{c, agent, map[*simulation.Task]bool{}}
	agent.OnStop = func(task *simulation.Task, saves bool) {
		event := TaskStopped
		if saves {
			event = TaskSaved
		}
		delete(r.running, task)
		r.record(task, event)
	}
	return r
}

// observe records the tasks that have started, completed or been lost since the last call.
func (r *taskRecorder) observe() {
	listed := map[*simulation.Task]bool{}
	for _, task := range r.agent.Tasks {
		listed[task] = true
		completed := task.State == wire.TaskExited && task.ExitReason == wire.ExitDone
		switch {
		case task.State == wire.TaskRunning && !r.running[task]:
			r.running[task] = true
			r.record(task, TaskStarted)
		case completed && r.running[task]:
			delete(r.running, task)
			r.record(task, TaskCompleted)
		}
	}
	for task := range r.running {
		if !listed[task] {
			delete(r.running, task)
			r.record(task, TaskLost)
		}
	}
}

// recordMachineLost records all running tasks as lost, unless the measurement has ended.
func (r *taskRecorder) recordMachineLost() {
	if r.cluster.ctx.Err() != nil {
		return
	}
	for task := range r.running {
		r.record(task, TaskLost)
	}
}

// record adds an event of a task, and its progress if it saves checkpoints.
func (r *taskRecorder) record(task *simulation.Task, event string) {
	id, _, _ := wire.SplitTask(task.Name)
	job := r.cluster.job(id)
	now := time.Now()
	ran := now.Sub(task.StartedAt)
	lost := lostRunTime(job, event, ran)
	e := TaskEvent{
		AtMS: now.Sub(r.cluster.startedAt).Milliseconds(), Machine: r.agent.ID, Zone: r.agent.Machine.Zone,
		Task: task.Name, Team: job.Team, Event: event, RanMS: ran.Milliseconds(), LostMS: lost.Milliseconds(),
	}
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	r.cluster.taskEvents = append(r.cluster.taskEvents, e)
	if job.CheckpointIntervalS > 0 && event != TaskStarted {
		r.cluster.progress[task.Name] += ran - lost
	}
}

// lostRunTime is the part of a task's run time that an event loses: what came after the last
// checkpoint, if it saves any.
func lostRunTime(job *wire.Job, event string, ran time.Duration) time.Duration {
	if event != TaskStopped && event != TaskLost {
		return 0
	}
	if interval := seconds.Duration(job.CheckpointIntervalS); interval > 0 {
		return ran % interval
	}
	return ran
}

// savedProgress is the run time that a task has saved.
func (c *Cluster) savedProgress(task string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progress[task]
}

// TaskHistory is the events recorded so far, in order.
func (c *Cluster) TaskHistory() []TaskEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.taskEvents)
}
