package main

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"
)

// playRestart: a machine is back a fraction of a second after it stopped, and a copy of a direct command
// that its earlier worker carried out follows.
func playRestart(w *world, trouble bool) error {
	if _, err := w.leaderNode(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(time.Second)
	// Three long tasks and a short one fill the first machine, so the next task gets another one.
	long := newJob("job-000001", "page-renders", "michanikoi", "normal", 3, 4, 100)
	short := newJob("job-000002", "page-renders", "michanikoi", "normal", 1, 4, 100)
	short.runTime = func(int) time.Duration { return 3 * time.Second }
	for _, j := range []*job{long, short} {
		if err := w.submit(j); err != nil {
			return err
		}
	}
	if err := waitFor(15*time.Second, "the short task runs", func() bool { return w.locate("job-000002/0") != "" }); err != nil {
		return err
	}
	single := newJob("job-000003", "page-renders", "michanikoi", "normal", 1, 4, 100)
	const oar = "job-000003/0"
	if err := w.submit(single); err != nil {
		return err
	}
	if err := waitFor(15*time.Second, "the single task runs", func() bool { return w.locate(oar) != "" }); err != nil {
		return err
	}
	if err := waitFor(15*time.Second, "the short task is over", func() bool { return w.locate("job-000002/0") == "" }); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	machine := w.workerNamed(w.locate(oar))
	if machine == nil {
		return errors.New("the single task is on no machine")
	}
	command := machine.lastStart()
	if command == nil || !bytes.Contains(command, []byte(oar)) {
		return errors.New("the single task was not started by a direct command")
	}
	if !trouble {
		time.Sleep(40 * time.Second)
		return nil
	}
	machine.restart(300 * time.Millisecond)
	if err := waitFor(40*time.Second, "the single task runs again", func() bool { return w.locate(oar) != "" }); err != nil {
		return err
	}
	time.Sleep(time.Second)
	w.rec.printf("network: a copy of the command %s arrives at %s", command, machine.deck)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	code, _ := post(ctx, http.DefaultClient, "http://"+machine.endpoint+"/commands", command)
	w.rec.printf("network: the answer to the copy is %d", code)
	time.Sleep(10 * time.Second)
	return nil
}

// workerNamed returns the worker of a machine, or nil.
func (w *world) workerNamed(deck string) *worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.workers[deck]
}
