package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// plays are the cases by name.
var plays = map[string]play{
	"quota":    {newsroom, playQuota},
	"onefails": {newsroom, playOneFails},
	"restart":  {newsroomFleet, playRestart},
}

// playOneFails: one of a job's tasks fails once, the others are done. The job has to be done at last.
func playOneFails(w *world, trouble bool) error {
	const waitLimit = 90 * time.Second
	if _, err := w.leaderNode(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(time.Second)
	j := newJob("job-000412", "bill-inserts", "michanikoi", "normal", 3, 4, 8)
	var failed atomic.Bool
	// The first task ends half a second before the others.
	j.runTime = func(index int) time.Duration {
		return 8*time.Second + time.Duration(min(index, 1))*500*time.Millisecond
	}
	j.fails = func(_ string, index int) bool { return trouble && index == 0 && failed.CompareAndSwap(false, true) }
	if err := w.submit(j); err != nil {
		return err
	}
	var waitsSince time.Time
	for end := time.Now().Add(110 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Second) {
		code, s := w.poll(j.Ref)
		switch {
		case code != http.StatusOK: // asked again
		case s.Bearing == "done":
			return nil
		case w.anyOn(j) || !w.hasRoom(j) || s.Done == 0:
			waitsSince = time.Time{}
		case waitsSince.IsZero():
			waitsSince = time.Now()
		case time.Since(waitsSince) > waitLimit:
			w.mu.Lock()
			w.breaks("left waiting: no task of %s began for %.0f s while a machine that fits has room and its team uses nothing", j.Ref, time.Since(waitsSince).Seconds())
			w.mu.Unlock()
			return nil
		}
	}
	return fmt.Errorf("%s is neither done nor left waiting for %v", j.Ref, waitLimit)
}

// anyOn reports whether a task of the job is on a machine.
func (w *world) anyOn(j *job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, on := range w.on {
		if on.job == j {
			return true
		}
	}
	return false
}

// hasRoom reports whether a worker that is up has no task and fits the job.
func (w *world) hasRoom(*job) bool {
	w.mu.Lock()
	workers := make([]*worker, 0, len(w.workers))
	for _, k := range w.workers {
		workers = append(workers, k)
	}
	w.mu.Unlock()
	for _, k := range workers {
		k.mu.Lock()
		free := !k.ended && k.knot > 0
		for _, t := range k.tasks {
			free = free && t.Bearing == exited
		}
		k.mu.Unlock()
		if free {
			return true
		}
	}
	return false
}
