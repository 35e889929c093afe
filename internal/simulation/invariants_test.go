package simulation_test

import (
	"strings"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/simulation"
	"switchshore.example/switchshore/wire"
)

// ruleCase is a checker with one job, and a way to put tasks on machines.
type ruleCase struct {
	*simulation.InvariantChecker
	now time.Time
	job *wire.Job
	at  map[string]*simulation.Agent
}

func newRuleCase() *ruleCase {
	j := &wire.Job{ID: "job-1", Team: "blue", Tasks: 3, CPUs: 4, MemoryGB: 1, Spot: true}
	c := &ruleCase{
		InvariantChecker: simulation.NewInvariantChecker([]config.Team{{Name: "blue", CPUsMax: 8}}, 45*time.Second),
		now:              time.Unix(1_700_000_000, 0), job: j, at: map[string]*simulation.Agent{},
	}
	c.JobSubmitted(j)
	return c
}

// worker adds a machine in a zone.
func (c *ruleCase) worker(id, zone string, spot bool) *simulation.Agent {
	w := simulation.NewAgent(c.now, wire.ListedMachine{Name: id, Type: "std-8", Zone: zone, Spot: spot}, machineType, time.Hour)
	c.at[id] = w
	return w
}

// put lists a task on a machine.
func (c *ruleCase) put(w *simulation.Agent, task, state, why string) {
	w.Tasks[task] = &simulation.Task{Name: task, Attempt: 1, State: state, ExitReason: why}
}

func (c *ruleCase) check() error {
	var ws []*simulation.Agent
	for _, id := range []string{"m1", "m2", "m3"} {
		if w := c.at[id]; w != nil {
			ws = append(ws, w)
		}
	}
	return c.CheckTasks(c.now, ws)
}

// looks returns a look, a time later, for jobs that are left waiting.
func (c *ruleCase) looks(errs *[]error) func(time.Duration) {
	return func(d time.Duration) {
		c.now = c.now.Add(d)
		var ws []*simulation.Agent
		for _, w := range c.at {
			ws = append(ws, w)
		}
		*errs = append(*errs, c.CheckNoStarvation(c.now, ws))
	}
}

// told is an answer that leaves its node now and reaches the user in a moment.
func (c *ruleCase) told(status int, state string) error {
	given := c.now
	c.now = c.now.Add(10 * time.Millisecond)
	return c.ResponseReceived(c.now, given, "job-1", status, state, true)
}

// TestEachRuleCheckFires: each check of the rules fires where its rule is broken, and not on
// what comes before.
func TestEachRuleCheckFires(t *testing.T) {
	cases := map[string]func(c *ruleCase) []error{
		"ran_twice": func(c *ruleCase) []error {
			c.put(c.worker("m1", "a", true), "job-1/0", wire.TaskRunning, "")
			before := c.check()
			c.put(c.worker("m2", "a", true), "job-1/0", wire.TaskRunning, "")
			return []error{before, c.check()}
		},
		"quota": func(c *ruleCase) []error {
			c.put(c.worker("m1", "a", true), "job-1/0", wire.TaskRunning, "")
			c.put(c.at["m1"], "job-1/1", wire.TaskRunning, "")
			before := c.check()
			c.put(c.worker("m2", "a", true), "job-1/2", wire.TaskSaving, "")
			return []error{before, c.check()}
		},
		"wrong_place: job-1/0 on m1": func(c *ruleCase) []error {
			c.job.Spot = false
			w := c.worker("m1", "a", true)
			before := c.check()
			c.put(w, "job-1/0", wire.TaskRunning, "")
			return []error{before, c.check()}
		},
		"wrong_place: job-1/0, a job for one zone": func(c *ruleCase) []error {
			c.job.OneZone = true
			c.put(c.worker("m1", "a", true), "job-1/1", wire.TaskRunning, "")
			before := c.check()
			c.put(c.worker("m2", "b", true), "job-1/0", wire.TaskRunning, "")
			return []error{before, c.check()}
		},
		"wrong_place: job-1/2, a job to be spread": func(c *ruleCase) []error {
			c.job.SpreadZones, c.job.CPUs = true, 1
			c.put(c.worker("m1", "a", true), "job-1/0", wire.TaskRunning, "")
			c.put(c.at["m1"], "job-1/1", wire.TaskRunning, "")
			before := c.check()
			c.put(c.at["m1"], "job-1/2", wire.TaskRunning, "")
			return []error{before, c.check()}
		},
		"ran_cancelled": func(c *ruleCase) []error {
			// The machine hangs, and goes on with the task later.
			c.put(c.worker("m1", "a", true), "job-1/0", wire.TaskRunning, "")
			c.CancellationRequested("job-1")
			errs := []error{c.check(), c.told(200, wire.JobCancelled)}
			c.now = c.now.Add(44 * time.Second)
			errs = append(errs, c.check())
			c.now = c.now.Add(2 * time.Second)
			return append(errs, c.check())
		},
		"started_cancelled": func(c *ruleCase) []error {
			c.CancellationRequested("job-1")
			order := []wire.Command{{Op: wire.OpStop, Task: "job-1/0"}, {Op: wire.OpStart, Task: "job-1/0"}}
			return []error{c.CheckCommands(c.now, order), c.told(200, wire.JobCancelled), c.CheckCommands(c.now, order[:1]), c.CheckCommands(c.now, order)}
		},
		"forgotten: job-1 answered 404": func(c *ruleCase) []error {
			return []error{c.told(503, ""), c.told(404, ""), c.told(201, wire.JobQueued), c.told(404, "")}
		},
		"forgotten: job-1 answered 422": func(c *ruleCase) []error {
			return []error{c.told(422, ""), c.told(201, wire.JobQueued), c.told(422, "")}
		},
		"forgotten: no question": func(c *ruleCase) []error {
			settled := c.now
			errs := []error{c.told(201, wire.JobQueued)}
			c.now = c.now.Add(74 * time.Second)
			errs = append(errs, c.CheckJobsAnswered(c.now, settled))
			c.now = c.now.Add(2 * time.Second)
			return append(errs, c.CheckJobsAnswered(c.now, settled))
		},
		"invented": func(c *ruleCase) []error {
			return []error{c.ResponseReceived(c.now, c.now, "job-2", 404, "", false), c.ResponseReceived(c.now, c.now, "job-2", 200, wire.JobQueued, false)}
		},
		"not_done": func(c *ruleCase) []error {
			for _, task := range []string{"job-1/0", "job-1/1"} {
				c.put(c.worker("m1", "a", true), task, wire.TaskExited, wire.ExitDone)
				_ = c.check()
			}
			return []error{c.told(200, wire.JobRunning), c.told(200, wire.JobDone)}
		},
		"went_back: job-1 is called queued": func(c *ruleCase) []error {
			// An older answer that crossed the newer one says nothing; one that left
			// another node after the user had the newer one does.
			c.CancellationRequested("job-1")
			crossed := c.now
			errs := []error{c.told(200, wire.JobCancelled), c.ResponseReceived(c.now.Add(time.Millisecond), crossed, "job-1", 200, wire.JobRunning, false)}
			c.now = c.now.Add(time.Second)
			return append(errs, c.told(200, wire.JobQueued))
		},
		"went_back: job-1 is called running": func(c *ruleCase) []error {
			for _, task := range []string{"job-1/0", "job-1/1", "job-1/2"} {
				c.put(c.worker("m1", "a", true), task, wire.TaskExited, wire.ExitDone)
				_ = c.check()
			}
			return []error{c.told(200, wire.JobRunning), c.told(200, wire.JobDone), c.told(200, wire.JobRunning)}
		},
		"went_back: job-1 is called cancelled, and its user did not": func(c *ruleCase) []error {
			return []error{c.told(201, wire.JobQueued), c.told(200, wire.JobCancelled)}
		},
		"too_early": func(c *ruleCase) []error {
			c.JobSubmitted(&wire.Job{ID: "job-2", Team: "blue", Tasks: 1, CPUs: 1, Spot: true, DependsOn: []string{"job-1"}})
			w := c.worker("m1", "a", true)
			before := c.check()
			c.put(w, "job-2/0", wire.TaskRunning, "")
			return []error{before, c.check()}
		},
		"orphaned": func(c *ruleCase) []error {
			c.JobSubmitted(&wire.Job{ID: "job-2", Team: "blue", Tasks: 1, CPUs: 1, Spot: true, DependsOn: []string{"job-1"}})
			c.CancellationRequested("job-1")
			errs := []error{c.told(200, wire.JobCancelled), c.ResponseReceived(c.now, c.now, "job-2", 200, wire.JobQueued, false)}
			c.now = c.now.Add(46 * time.Second)
			return append(errs, c.ResponseReceived(c.now, c.now, "job-2", 200, wire.JobQueued, false))
		},
		"left_waiting: job-1 for 1m31s": func(c *ruleCase) []error {
			w := c.worker("m1", "a", true)
			errs := []error{c.told(201, wire.JobQueued)}
			look := c.looks(&errs)
			look(time.Second)
			look(89 * time.Second)
			// No room for a while: the wait is nobody's fault, and begins anew.
			c.put(w, "job-1/9", wire.TaskRunning, "")
			c.put(w, "job-1/8", wire.TaskRunning, "")
			look(2 * time.Second)
			clear(w.Tasks)
			look(time.Second)
			look(89 * time.Second)
			look(2 * time.Second)
			return errs
		},
		"left_waiting: job-1 for 1m32s": func(c *ruleCase) []error {
			// One task runs, and a start of another one ends the wait of the rest.
			w := c.worker("m1", "a", true)
			c.Teams[0].CPUsMax, c.job.CPUs = 0, 1
			errs := []error{c.told(201, wire.JobQueued)}
			look := c.looks(&errs)
			c.put(w, "job-1/0", wire.TaskRunning, "")
			look(time.Second)
			look(89 * time.Second)
			c.put(w, "job-1/1", wire.TaskFetching, "")
			look(time.Second)
			look(90 * time.Second)
			look(2 * time.Second)
			return errs
		},
		"left_waiting: job-1 for 1m33s": func(c *ruleCase) []error {
			// A job for one zone has none where there is room, until a machine of its
			// zone comes; the machine of the other zone is full.
			c.Teams[0].CPUsMax, c.job.OneZone, c.job.CPUs = 0, true, 8
			c.put(c.worker("m1", "a", true), "job-1/0", wire.TaskRunning, "")
			errs := []error{c.told(201, wire.JobQueued)}
			look := c.looks(&errs)
			c.worker("m2", "b", true)
			look(time.Second)
			look(200 * time.Second)
			c.worker("m3", "a", true)
			look(time.Second)
			look(89 * time.Second)
			look(4 * time.Second)
			return errs
		},
		"left_waiting: job-1 for 1m34s": func(c *ruleCase) []error {
			// At most half of a job to be spread may be in one zone.
			c.Teams[0].CPUsMax, c.job.SpreadZones, c.job.CPUs = 0, true, 1
			w := c.worker("m1", "a", true)
			c.put(w, "job-1/0", wire.TaskRunning, "")
			c.put(w, "job-1/1", wire.TaskRunning, "")
			errs := []error{c.told(201, wire.JobQueued)}
			look := c.looks(&errs)
			look(time.Second)
			look(200 * time.Second)
			c.worker("m2", "b", true)
			look(time.Second)
			look(89 * time.Second)
			look(5 * time.Second)
			return errs
		},
	}
	for want, play := range cases {
		t.Run(want, func(t *testing.T) {
			errs := play(newRuleCase())
			for i, err := range errs {
				if last := i == len(errs)-1; last != (err != nil) || last && !strings.HasPrefix(err.Error(), want) {
					t.Errorf("step %d of %d: %v", i+1, len(errs), err)
				}
			}
		})
	}
}
