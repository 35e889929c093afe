package main

import (
	"sync"
	"time"
)

// newJob returns a job of one task without checkpoints.
func newJob(ref, rank string, cores, runS float64) *job {
	return &job{
		Ref: ref, Muster: "bill-inserts", Crew: "logariasmoi", Rig: "batch", Rank: rank, Oars: 1,
		Cores: cores, MemoryGB: 4, Image: "img-1", ImageGB: 0.5, Spot: true, ReckonS: runS, RunS: runS,
	}
}

// lateCopy lets a task be stopped on one machine for a job of higher priority and start again on
// another. Then the leader's process is killed, and a late copy of the direct command that had
// started the task on the first machine follows.
func lateCopy(t *test) error {
	const task = "job-000003/0"
	first := &commandRecord{task: task}
	if err := t.until(10*time.Second, "workers up", func() bool { return t.cloud.worker("i-000001") != nil && t.cloud.worker("i-000002") != nil }); err != nil {
		return err
	}
	for _, name := range []string{"i-000001", "i-000002"} {
		t.cloud.worker(name).record(first)
	}
	if err := t.startAll(); err != nil {
		return err
	}
	// One machine of 16 CPUs gets a small task that stays and the task of the test, the other one
	// a task that takes all of it for a while.
	stopped := newJob("job-000003", "idle", 12, 300)
	stopped.LoglineS, stopped.StowS = 20, 2
	for _, j := range []*job{newJob("job-000001", "normal", 4, 300), newJob("job-000002", "normal", 16, 25), stopped} {
		if err := t.submit(j); err != nil {
			return err
		}
		if err := t.until(20*time.Second, "runs "+j.Ref, func() bool { return len(t.tasksOn(j.Ref+"/0")) == 1 }); err != nil {
			return err
		}
	}
	if err := t.submit(newJob("job-000004", "high", 12, 35)); err != nil {
		return err
	}
	if err := t.until(20*time.Second, "stopped "+task, func() bool { return len(t.tasksOn(task)) == 0 }); err != nil {
		return err
	}
	if err := t.until(40*time.Second, "runs elsewhere "+task, func() bool { return len(t.tasksOn(task)) == 1 }); err != nil {
		return err
	}
	if err := t.until(60*time.Second, "done job-000004", func() bool { return t.finished("job-000004/0") }); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if t.trouble {
		leader := t.currentLeader()
		t.kill(leader)
		time.Sleep(200 * time.Millisecond)
		if err := first.repeat(t); err != nil {
			return err
		}
		time.Sleep(2800 * time.Millisecond)
		if err := t.start(leader); err != nil {
			return err
		}
	}
	time.Sleep(8 * time.Second)
	t.query(0, "job-000003")
	return nil
}

// commandRecord keeps the first direct command that started a task, with its worker.
type commandRecord struct {
	task string

	mu     sync.Mutex
	body   *orders
	worker *worker
}

// record makes a worker pass its direct commands to the record.
func (k *worker) record(r *commandRecord) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.onCommands = func(body orders) { r.add(k, body) }
}

// add keeps a direct command if it is the first one that starts the task.
func (r *commandRecord) add(k *worker, body orders) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range body.Orders {
		if r.body == nil && o.Call == "run" && o.Task == r.task {
			r.body, r.worker = &body, k
		}
	}
}

// repeat delivers a copy of the command to its worker. Nobody waits for the answer.
func (r *commandRecord) repeat(t *test) error {
	r.mu.Lock()
	body, k := r.body, r.worker
	r.mu.Unlock()
	if body == nil {
		t.rec.log("test", "missed", "no direct command started", r.task)
		return errTimeout
	}
	t.rec.log("network", "late copy", "to", k.name)
	k.direct(*body)
	return nil
}
