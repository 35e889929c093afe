package loadtest

import (
	"time"

	"switchshore.example/switchshore/internal/simulation"
	"switchshore.example/switchshore/wire"
)

// Events of a task on a machine.
const (
	// TaskRuns: it began to run.
	TaskRuns = "runs"
	// TaskStopped: it was stopped by command, and TaskSaved that it saved its progress.
	TaskStopped = "stopped"
	TaskSaved   = "saved"
	// TaskLost: its machine went away, or its lease ran out, while it ran.
	TaskLost = "lost"
	TaskDone = "done"
)

// TaskEvent is something that a stand-in worker saw of a task: a row of the workers' history.
type TaskEvent struct {
	AtMS    int64  `parquet:"at_ms"`
	Machine string `parquet:"machine,dict"`
	Zone    string `parquet:"zone,dict"`
	Task    string `parquet:"task"`
	Team    string `parquet:"team,dict"`
	Event   string `parquet:"event,dict"`
	// RanMS is for how long it had run, LostMS what of that is thrown away.
	RanMS  int64 `parquet:"ran_ms"`
	LostMS int64 `parquet:"lost_ms"`
}

// taskWatch notes what becomes of the tasks of one worker.
type taskWatch struct {
	cluster *Cluster
	worker  *simulation.Agent
	running map[*simulation.Task]bool
}

// watchTasks notes from now on what becomes of a worker's tasks.
func (c *Cluster) watchTasks(w *simulation.Agent) *taskWatch {
	t := &taskWatch{c, w, map[*simulation.Task]bool{}}
	w.OnStop = func(task *simulation.Task, saves bool) {
		event := TaskStopped
		if saves {
			event = TaskSaved
		}
		delete(t.running, task)
		t.note(task, event)
	}
	return t
}

// look notes the tasks that have begun to run, ended, or gone since the last look.
func (t *taskWatch) look() {
	there := map[*simulation.Task]bool{}
	for _, task := range t.worker.Tasks {
		there[task] = true
		done := task.State == wire.TaskExited && task.ExitReason == wire.ExitDone
		switch {
		case task.State == wire.TaskRunning && !t.running[task]:
			t.running[task] = true
			t.note(task, TaskRuns)
		case done && t.running[task]:
			delete(t.running, task)
			t.note(task, TaskDone)
		}
	}
	for task := range t.running {
		if !there[task] {
			delete(t.running, task)
			t.note(task, TaskLost)
		}
	}
}

// lost notes all running tasks as lost: the machine is gone.
func (t *taskWatch) lost() {
	if t.cluster.ctx.Err() != nil {
		return // the measurement has ended
	}
	for task := range t.running {
		t.note(task, TaskLost)
	}
}

func (t *taskWatch) note(task *simulation.Task, event string) {
	id, _, _ := wire.SplitTask(task.Name)
	job := t.cluster.job(id)
	now := time.Now()
	ran := now.Sub(task.StartedAt)
	lost := time.Duration(0)
	if event == TaskStopped || event == TaskLost {
		lost = ran
		if interval := time.Duration(job.CheckpointIntervalS * float64(time.Second)); interval > 0 {
			lost = ran % interval
		}
	}
	e := TaskEvent{
		AtMS: now.Sub(t.cluster.begun).Milliseconds(), Machine: t.worker.ID, Zone: t.worker.Machine.Zone, Task: task.Name,
		Team: job.Team, Event: event, RanMS: ran.Milliseconds(), LostMS: lost.Milliseconds(),
	}
	t.cluster.mu.Lock()
	defer t.cluster.mu.Unlock()
	t.cluster.tasks = append(t.cluster.tasks, e)
	if job.CheckpointIntervalS > 0 && event != TaskRuns {
		t.cluster.progress[task.Name] += ran - lost
	}
}

// savedProgress is the run time that a task has saved.
func (c *Cluster) savedProgress(task string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progress[task]
}

// TaskHistory is what the workers have seen so far, in order.
func (c *Cluster) TaskHistory() []TaskEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]TaskEvent(nil), c.tasks...)
}
