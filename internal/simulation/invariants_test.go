package simulation_test

import (
	"strings"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/simulation"
	"switchshore.example/switchshore/wire"
)

// invariantCase is a checker with one job, and agents that tasks can be put on.
type invariantCase struct {
	*simulation.InvariantChecker
	now    time.Time
	job    *wire.Job
	agents map[string]*simulation.Agent
}

func newInvariantCase() *invariantCase {
	j := &wire.Job{ID: "job-1", Team: "blue", Tasks: 3, CPUs: 4, MemoryGB: 1, Spot: true}
	c := &invariantCase{
		InvariantChecker: simulation.NewInvariantChecker([]config.Team{{Name: "blue", CPUsMax: 8}}, 45*time.Second),
		now:              time.Unix(1_700_000_000, 0), job: j, agents: map[string]*simulation.Agent{},
	}
	c.RecordSubmission(j)
	return c
}

// agent adds a machine in a zone.
func (c *invariantCase) agent(id, zone string, spot bool) *simulation.Agent {
	a := simulation.NewAgent(c.now, wire.ListedMachine{Name: id, Type: "std-8", Zone: zone, Spot: spot}, machineType, time.Hour)
	c.agents[id] = a
	return a
}

// put lists a task on an agent.
func (c *invariantCase) put(a *simulation.Agent, task, state, why string) {
	a.Tasks[task] = &simulation.Task{Name: task, Attempt: 1, State: state, ExitReason: why}
}

func (c *invariantCase) check() error {
	var agents []*simulation.Agent
	for _, id := range []string{"m1", "m2", "m3"} {
		if a := c.agents[id]; a != nil {
			agents = append(agents, a)
		}
	}
	return c.CheckTasks(c.now, agents)
}

// starvationChecks returns a function that checks for starvation a time later and adds the result.
func (c *invariantCase) starvationChecks(errs *[]error) func(time.Duration) {
	return func(d time.Duration) {
		c.now = c.now.Add(d)
		var agents []*simulation.Agent
		for _, a := range c.agents {
			agents = append(agents, a)
		}
		*errs = append(*errs, c.CheckNoStarvation(c.now, agents))
	}
}

// submitted is a response to a submission that is sent now and received a moment later.
func (c *invariantCase) submitted(status int, state string) error {
	sentAt := c.now
	c.now = c.now.Add(10 * time.Millisecond)
	return c.CheckResponse(simulation.ObservedResponse{
		SentAt: sentAt, ReceivedAt: c.now, Job: "job-1", Status: status, State: state, Submission: true,
	})
}

// queried is a response to a query of a job's state, sent and received now.
func (c *invariantCase) queried(id string, status int, state string) error {
	return c.CheckResponse(simulation.ObservedResponse{
		SentAt: c.now, ReceivedAt: c.now, Job: id, Status: status, State: state,
	})
}

// invariantSteps returns the results of checks, of which only the last may be a violation.
type invariantSteps func(c *invariantCase) []error

// taskViolations are steps of which the last ones violate an invariant by what agents execute or leaders command, by the start of the violation's text.
var taskViolations = map[string]invariantSteps{
	"ran_twice": func(c *invariantCase) []error {
		c.put(c.agent("m1", "a", true), "job-1/0", wire.TaskRunning, "")
		before := c.check()
		c.put(c.agent("m2", "a", true), "job-1/0", wire.TaskRunning, "")
		return []error{before, c.check()}
	},
	"quota": func(c *invariantCase) []error {
		c.put(c.agent("m1", "a", true), "job-1/0", wire.TaskRunning, "")
		c.put(c.agents["m1"], "job-1/1", wire.TaskRunning, "")
		before := c.check()
		c.put(c.agent("m2", "a", true), "job-1/2", wire.TaskSaving, "")
		return []error{before, c.check()}
	},
	"wrong_place: job-1/0 on m1": func(c *invariantCase) []error {
		c.job.Spot = false
		a := c.agent("m1", "a", true)
		before := c.check()
		c.put(a, "job-1/0", wire.TaskRunning, "")
		return []error{before, c.check()}
	},
	"wrong_place: job-1/0, a job for one zone": func(c *invariantCase) []error {
		c.job.OneZone = true
		c.put(c.agent("m1", "a", true), "job-1/1", wire.TaskRunning, "")
		before := c.check()
		c.put(c.agent("m2", "b", true), "job-1/0", wire.TaskRunning, "")
		return []error{before, c.check()}
	},
	"wrong_place: job-1/2, a job to be spread": func(c *invariantCase) []error {
		c.job.SpreadZones, c.job.CPUs = true, 1
		c.put(c.agent("m1", "a", true), "job-1/0", wire.TaskRunning, "")
		c.put(c.agents["m1"], "job-1/1", wire.TaskRunning, "")
		before := c.check()
		c.put(c.agents["m1"], "job-1/2", wire.TaskRunning, "")
		return []error{before, c.check()}
	},
	"ran_cancelled": func(c *invariantCase) []error {
		// The machine hangs, and continues the task later.
		c.put(c.agent("m1", "a", true), "job-1/0", wire.TaskRunning, "")
		c.RecordCancellationRequest("job-1")
		errs := []error{c.check(), c.submitted(200, wire.JobCancelled)}
		c.now = c.now.Add(44 * time.Second)
		errs = append(errs, c.check())
		c.now = c.now.Add(2 * time.Second)
		return append(errs, c.check())
	},
	"started_cancelled": func(c *invariantCase) []error {
		c.RecordCancellationRequest("job-1")
		order := []wire.Command{{Op: wire.OpStop, Task: "job-1/0"}, {Op: wire.OpStart, Task: "job-1/0"}}
		return []error{c.CheckCommands(c.now, order), c.submitted(200, wire.JobCancelled), c.CheckCommands(c.now, order[:1]), c.CheckCommands(c.now, order)}
	},
	"too_early": func(c *invariantCase) []error {
		c.RecordSubmission(&wire.Job{ID: "job-2", Team: "blue", Tasks: 1, CPUs: 1, Spot: true, DependsOn: []string{"job-1"}})
		a := c.agent("m1", "a", true)
		before := c.check()
		c.put(a, "job-2/0", wire.TaskRunning, "")
		return []error{before, c.check()}
	},
}

// responseViolations are steps of which the last ones violate an invariant by what users are told, by the start of the violation's text.
var responseViolations = map[string]invariantSteps{
	"forgotten: response about job-1 with status 404": func(c *invariantCase) []error {
		return []error{c.submitted(503, ""), c.submitted(404, ""), c.submitted(201, wire.JobQueued), c.submitted(404, "")}
	},
	"forgotten: response about job-1 with status 422": func(c *invariantCase) []error {
		return []error{c.submitted(422, ""), c.submitted(201, wire.JobQueued), c.submitted(422, "")}
	},
	"forgotten: no request": func(c *invariantCase) []error {
		settled := c.now
		errs := []error{c.submitted(201, wire.JobQueued)}
		c.now = c.now.Add(74 * time.Second)
		errs = append(errs, c.CheckRequestsSucceed(c.now, settled))
		c.now = c.now.Add(2 * time.Second)
		return append(errs, c.CheckRequestsSucceed(c.now, settled))
	},
	"invented": func(c *invariantCase) []error {
		return []error{c.queried("job-2", 404, ""), c.queried("job-2", 200, wire.JobQueued)}
	},
	"not_done": func(c *invariantCase) []error {
		for _, task := range []string{"job-1/0", "job-1/1"} {
			c.put(c.agent("m1", "a", true), task, wire.TaskExited, wire.ExitDone)
			_ = c.check()
		}
		return []error{c.submitted(200, wire.JobRunning), c.submitted(200, wire.JobDone)}
	},
	"went_back: job-1 is reported as queued": func(c *invariantCase) []error {
		// An older response that crossed the newer one is ignored; one that was sent after
		// the user received the newer one is not.
		c.RecordCancellationRequest("job-1")
		crossed := c.now
		errs := []error{c.submitted(200, wire.JobCancelled), c.CheckResponse(simulation.ObservedResponse{
			SentAt: crossed, ReceivedAt: c.now.Add(time.Millisecond), Job: "job-1", Status: 200, State: wire.JobRunning,
		})}
		c.now = c.now.Add(time.Second)
		return append(errs, c.submitted(200, wire.JobQueued))
	},
	"went_back: job-1 is reported as running": func(c *invariantCase) []error {
		for _, task := range []string{"job-1/0", "job-1/1", "job-1/2"} {
			c.put(c.agent("m1", "a", true), task, wire.TaskExited, wire.ExitDone)
			_ = c.check()
		}
		return []error{c.submitted(200, wire.JobRunning), c.submitted(200, wire.JobDone), c.submitted(200, wire.JobRunning)}
	},
	"went_back: job-1 is reported as cancelled although its user did not": func(c *invariantCase) []error {
		return []error{c.submitted(201, wire.JobQueued), c.submitted(200, wire.JobCancelled)}
	},
	"orphaned": func(c *invariantCase) []error {
		c.RecordSubmission(&wire.Job{ID: "job-2", Team: "blue", Tasks: 1, CPUs: 1, Spot: true, DependsOn: []string{"job-1"}})
		c.RecordCancellationRequest("job-1")
		errs := []error{c.submitted(200, wire.JobCancelled), c.queried("job-2", 200, wire.JobQueued)}
		c.now = c.now.Add(46 * time.Second)
		return append(errs, c.queried("job-2", 200, wire.JobQueued))
	},
}

// starvationViolations are steps of which the last ones let a job wait that could start, by the start of the violation's text.
var starvationViolations = map[string]invariantSteps{
	"left_waiting: job-1 for 1m31s": func(c *invariantCase) []error {
		a := c.agent("m1", "a", true)
		errs := []error{c.submitted(201, wire.JobQueued)}
		checkAfter := c.starvationChecks(&errs)
		checkAfter(time.Second)
		checkAfter(89 * time.Second)
		// Without capacity for a while the wait is justified, and starts anew.
		c.put(a, "job-1/9", wire.TaskRunning, "")
		c.put(a, "job-1/8", wire.TaskRunning, "")
		checkAfter(2 * time.Second)
		clear(a.Tasks)
		checkAfter(time.Second)
		checkAfter(89 * time.Second)
		checkAfter(2 * time.Second)
		return errs
	},
	"left_waiting: job-1 for 1m32s": func(c *invariantCase) []error {
		// The start of another task ends the wait of the rest.
		a := c.agent("m1", "a", true)
		c.Teams[0].CPUsMax, c.job.CPUs = 0, 1
		errs := []error{c.submitted(201, wire.JobQueued)}
		checkAfter := c.starvationChecks(&errs)
		c.put(a, "job-1/0", wire.TaskRunning, "")
		checkAfter(time.Second)
		checkAfter(89 * time.Second)
		c.put(a, "job-1/1", wire.TaskFetching, "")
		checkAfter(time.Second)
		checkAfter(90 * time.Second)
		checkAfter(2 * time.Second)
		return errs
	},
	"left_waiting: job-1 for 1m33s": func(c *invariantCase) []error {
		// A job for one zone can use no capacity of another zone: it waits only once there is
		// a machine in its zone.
		c.Teams[0].CPUsMax, c.job.OneZone, c.job.CPUs = 0, true, 8
		c.put(c.agent("m1", "a", true), "job-1/0", wire.TaskRunning, "")
		errs := []error{c.submitted(201, wire.JobQueued)}
		checkAfter := c.starvationChecks(&errs)
		c.agent("m2", "b", true)
		checkAfter(time.Second)
		checkAfter(200 * time.Second)
		c.agent("m3", "a", true)
		checkAfter(time.Second)
		checkAfter(89 * time.Second)
		checkAfter(4 * time.Second)
		return errs
	},
	"left_waiting: job-1 for 1m34s": func(c *invariantCase) []error {
		// At most half of a job to be spread may be in one zone.
		c.Teams[0].CPUsMax, c.job.SpreadZones, c.job.CPUs = 0, true, 1
		a := c.agent("m1", "a", true)
		c.put(a, "job-1/0", wire.TaskRunning, "")
		c.put(a, "job-1/1", wire.TaskRunning, "")
		errs := []error{c.submitted(201, wire.JobQueued)}
		checkAfter := c.starvationChecks(&errs)
		checkAfter(time.Second)
		checkAfter(200 * time.Second)
		c.agent("m2", "b", true)
		checkAfter(time.Second)
		checkAfter(89 * time.Second)
		checkAfter(5 * time.Second)
		return errs
	},
}

// TestEachRuleCheckFires: each check reports a violation of its invariant, and nothing in the steps
// before.
func TestEachRuleCheckFires(t *testing.T) {
	for _, cases := range []map[string]invariantSteps{taskViolations, responseViolations, starvationViolations} {
		for want, steps := range cases {
			t.Run(want, func(t *testing.T) { checkOnlyLast(t, steps(newInvariantCase()), want) })
		}
	}
}

// checkOnlyLast fails the test unless the last error, and no other, is the violation.
func checkOnlyLast(t *testing.T, errs []error, want string) {
	t.Helper()
	for i, err := range errs {
		if last := i == len(errs)-1; last != (err != nil) || last && !strings.HasPrefix(err.Error(), want) {
			t.Errorf("step %d of %d: %v", i+1, len(errs), err)
		}
	}
}
