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
	// TaskStarted: the task began to run.
	TaskStarted = "runs"
	// TaskStopped: the task was stopped by command without saving its progress.
	TaskStopped = "stopped"
	// TaskSaved: the task was stopped by command and saves its progress.
	TaskSaved = "saved"
	// TaskLost: the task's machine was released, or its lease expired, while the task ran.
	TaskLost = "lost"
	// TaskCompleted: the task completed.
	TaskCompleted = "done"
)

// TaskEvent is a change of a task on a machine, and a row of the task history.
type TaskEvent struct {
	AtMS    int64  `parquet:"at_ms"`
	Machine string `parquet:"machine,dict"`
	Zone    string `parquet:"zone,dict"`
	Task    string `parquet:"task"`
	Team    string `parquet:"team,dict"`
	Event   string `parquet:"event,dict"`
	// RanMS is how long the task had run, and LostMS the part of that time that is lost.
	RanMS  int64 `parquet:"ran_ms"`
	LostMS int64 `parquet:"lost_ms"`
}

// taskRecorder records the events of an agent's tasks.
type taskRecorder struct {
	cluster *Cluster
	agent   *simulation.Agent
	running map[*simulation.Task]bool
}

// recordTasks returns a recorder for an agent's tasks. It records their stops from now on; the other
// events are recorded when observe is called.
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

// observe records the tasks that started, completed or were lost since the last call.
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

// recordMachineLost records the running tasks as lost, unless the run has ended: then the agent stops
// although its machine is not lost.
func (r *taskRecorder) recordMachineLost() {
	if r.cluster.ctx.Err() != nil {
		return
	}
	for task := range r.running {
		r.record(task, TaskLost)
	}
}

// record appends an event of a task. If the task saves checkpoints, it also adds the saved run time.
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

// lostRunTime returns the part of a task's run time that an event loses: the time since the last
// checkpoint, or all of it if the task saves no checkpoints.
func lostRunTime(job *wire.Job, event string, ran time.Duration) time.Duration {
	if event != TaskStopped && event != TaskLost {
		return 0
	}
	if interval := seconds.Duration(job.CheckpointIntervalS); interval > 0 {
		return ran % interval
	}
	return ran
}

// savedProgress returns the run time that a task has saved in checkpoints.
func (c *Cluster) savedProgress(task string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progress[task]
}

// TaskHistory returns the events recorded so far, in order.
func (c *Cluster) TaskHistory() []TaskEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.taskEvents)
}
