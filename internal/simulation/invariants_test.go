package simulation_test

import (
	"strings"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/simulation"
	"switchshore.example/switchshore/wire"
)

// invariantFixture is an invariant checker with one submitted job, and the agents that it checks.
type invariantFixture struct {
	*simulation.InvariantChecker
	now    time.Time
	job    *wire.Job
	agents map[string]*simulation.Agent
}

func newInvariantFixture() *invariantFixture {
	j := &wire.Job{ID: "job-1", Team: "blue", Tasks: 3, CPUs: 4, MemoryGB: 1, Spot: true}
	c := &invariantFixture{
		InvariantChecker: simulation.NewInvariantChecker([]config.Team{{Name: "blue", CPUsMax: 8}}, 45*time.Second),
		now:              time.Unix(1_700_000_000, 0), job: j, agents: map[string]*simulation.Agent{},
	}
	c.RecordSubmission(j)
	return c
}

// addAgent adds the agent of a new machine.
func (c *invariantFixture) addAgent(id, zone string, spot bool) *simulation.Agent {
	a := simulation.NewAgent(c.now, wire.ListedMachine{Name: id, Type: "std-8", Zone: zone, Spot: spot}, machineType, time.Hour)
	c.agents[id] = a
	return a
}

// addTask adds a task to those that an agent lists.
func (c *invariantFixture) addTask(a *simulation.Agent, task, state, exitReason string) {
	a.Tasks[task] = &simulation.Task{Name: task, Attempt: 1, State: state, ExitReason: exitReason}
}

// checkAllAgents checks the tasks on all agents.
func (c *invariantFixture) checkAllAgents() error {
	var agents []*simulation.Agent
	for _, id := range []string{"m1", "m2", "m3"} {
		if a := c.agents[id]; a != nil {
			agents = append(agents, a)
		}
	}
	return c.CheckTasks(c.now, agents)
}

// newStarvationCheck returns a function that advances the time, checks for starvation and appends
// the result to errs.
func (c *invariantFixture) newStarvationCheck(errs *[]error) func(time.Duration) {
	return func(d time.Duration) {
		c.now = c.now.Add(d)
		var agents []*simulation.Agent
		for _, a := range c.agents {
			agents = append(agents, a)
		}
		*errs = append(*errs, c.CheckNoStarvation(c.now, agents))
	}
}

// checkSubmissionResponse checks a response to a submission, sent now and received 10 ms later.
func (c *invariantFixture) checkSubmissionResponse(status int, state string) error {
	sentAt := c.now
	c.now = c.now.Add(10 * time.Millisecond)
	return c.CheckResponse(simulation.ObservedResponse{
		SentAt: sentAt, ReceivedAt: c.now, Job: "job-1", Status: status, State: state, Submission: true,
	})
}

// checkQueryResponse checks a response to a query of a job's state, sent and received now.
func (c *invariantFixture) checkQueryResponse(id string, status int, state string) error {
	return c.CheckResponse(simulation.ObservedResponse{
		SentAt: c.now, ReceivedAt: c.now, Job: id, Status: status, State: state,
	})
}

// violationSteps is a function that performs several checks and returns their results. Only the
// last check must report a violation.
type violationSteps func(c *invariantFixture) []error

// taskViolations are steps that end with tasks or commands that violate an invariant. The key is
// the start of the violation's text.
var taskViolations = map[string]violationSteps{
	"ran_twice": func(c *invariantFixture) []error {
		c.addTask(c.addAgent("m1", "a", true), "job-1/0", wire.TaskRunning, "")
		before := c.checkAllAgents()
		c.addTask(c.addAgent("m2", "a", true), "job-1/0", wire.TaskRunning, "")
		return []error{before, c.checkAllAgents()}
	},
	"quota": func(c *invariantFixture) []error {
		c.addTask(c.addAgent("m1", "a", true), "job-1/0", wire.TaskRunning, "")
		c.addTask(c.agents["m1"], "job-1/1", wire.TaskRunning, "")
		before := c.checkAllAgents()
		c.addTask(c.addAgent("m2", "a", true), "job-1/2", wire.TaskSaving, "")
		return []error{before, c.checkAllAgents()}
	},
	"wrong_place: job-1/0 on m1": func(c *invariantFixture) []error {
		c.job.Spot = false
		a := c.addAgent("m1", "a", true)
		before := c.checkAllAgents()
		c.addTask(a, "job-1/0", wire.TaskRunning, "")
		return []error{before, c.checkAllAgents()}
	},
	"wrong_place: job-1/0, a job for one zone": func(c *invariantFixture) []error {
		c.job.OneZone = true
		c.addTask(c.addAgent("m1", "a", true), "job-1/1", wire.TaskRunning, "")
		before := c.checkAllAgents()
		c.addTask(c.addAgent("m2", "b", true), "job-1/0", wire.TaskRunning, "")
		return []error{before, c.checkAllAgents()}
	},
	"wrong_place: job-1/2, a job to be spread": func(c *invariantFixture) []error {
		c.job.SpreadZones, c.job.CPUs = true, 1
		c.addTask(c.addAgent("m1", "a", true), "job-1/0", wire.TaskRunning, "")
		c.addTask(c.agents["m1"], "job-1/1", wire.TaskRunning, "")
		before := c.checkAllAgents()
		c.addTask(c.agents["m1"], "job-1/2", wire.TaskRunning, "")
		return []error{before, c.checkAllAgents()}
	},
	"ran_cancelled": func(c *invariantFixture) []error {
		// The machine hangs, and still executes the task after the deadline.
		c.addTask(c.addAgent("m1", "a", true), "job-1/0", wire.TaskRunning, "")
		c.RecordCancellationRequest("job-1")
		errs := []error{c.checkAllAgents(), c.checkSubmissionResponse(200, wire.JobCancelled)}
		c.now = c.now.Add(44 * time.Second)
		errs = append(errs, c.checkAllAgents())
		c.now = c.now.Add(2 * time.Second)
		return append(errs, c.checkAllAgents())
	},
	"started_cancelled": func(c *invariantFixture) []error {
		c.RecordCancellationRequest("job-1")
		commands := []wire.Command{{Op: wire.OpStop, Task: "job-1/0"}, {Op: wire.OpStart, Task: "job-1/0"}}
		return []error{c.CheckCommands(c.now, commands), c.checkSubmissionResponse(200, wire.JobCancelled), c.CheckCommands(c.now, commands[:1]), c.CheckCommands(c.now, commands)}
	},
	"too_early": func(c *invariantFixture) []error {
		c.RecordSubmission(&wire.Job{ID: "job-2", Team: "blue", Tasks: 1, CPUs: 1, Spot: true, DependsOn: []string{"job-1"}})
		a := c.addAgent("m1", "a", true)
		before := c.checkAllAgents()
		c.addTask(a, "job-2/0", wire.TaskRunning, "")
		return []error{before, c.checkAllAgents()}
	},
}

// responseViolations are steps that end with a response to a user, or a lack of responses, that
// violates an invariant. The key is the start of the violation's text.
var responseViolations = map[string]violationSteps{
	"forgotten: response about job-1 with status 404": func(c *invariantFixture) []error {
		return []error{c.checkSubmissionResponse(503, ""), c.checkSubmissionResponse(404, ""), c.checkSubmissionResponse(201, wire.JobQueued), c.checkSubmissionResponse(404, "")}
	},
	"forgotten: response about job-1 with status 422": func(c *invariantFixture) []error {
		return []error{c.checkSubmissionResponse(422, ""), c.checkSubmissionResponse(201, wire.JobQueued), c.checkSubmissionResponse(422, "")}
	},
	"forgotten: no request": func(c *invariantFixture) []error {
		faultsOverAt := c.now
		errs := []error{c.checkSubmissionResponse(201, wire.JobQueued)}
		c.now = c.now.Add(74 * time.Second)
		errs = append(errs, c.CheckRequestsSucceed(c.now, faultsOverAt))
		c.now = c.now.Add(2 * time.Second)
		return append(errs, c.CheckRequestsSucceed(c.now, faultsOverAt))
	},
	"invented": func(c *invariantFixture) []error {
		return []error{c.checkQueryResponse("job-2", 404, ""), c.checkQueryResponse("job-2", 200, wire.JobQueued)}
	},
	"not_done": func(c *invariantFixture) []error {
		for _, task := range []string{"job-1/0", "job-1/1"} {
			c.addTask(c.addAgent("m1", "a", true), task, wire.TaskExited, wire.ExitDone)
			_ = c.checkAllAgents()
		}
		return []error{c.checkSubmissionResponse(200, wire.JobRunning), c.checkSubmissionResponse(200, wire.JobDone)}
	},
	"went_back: job-1 is reported as queued": func(c *invariantFixture) []error {
		// The checker ignores a response that was sent before the user received the previous one,
		// but not a response that was sent later.
		c.RecordCancellationRequest("job-1")
		olderSentAt := c.now
		errs := []error{c.checkSubmissionResponse(200, wire.JobCancelled), c.CheckResponse(simulation.ObservedResponse{
			SentAt: olderSentAt, ReceivedAt: c.now.Add(time.Millisecond), Job: "job-1", Status: 200, State: wire.JobRunning,
		})}
		c.now = c.now.Add(time.Second)
		return append(errs, c.checkSubmissionResponse(200, wire.JobQueued))
	},
	"went_back: job-1 is reported as running": func(c *invariantFixture) []error {
		for _, task := range []string{"job-1/0", "job-1/1", "job-1/2"} {
			c.addTask(c.addAgent("m1", "a", true), task, wire.TaskExited, wire.ExitDone)
			_ = c.checkAllAgents()
		}
		return []error{c.checkSubmissionResponse(200, wire.JobRunning), c.checkSubmissionResponse(200, wire.JobDone), c.checkSubmissionResponse(200, wire.JobRunning)}
	},
	"went_back: job-1 is reported as cancelled although its user did not": func(c *invariantFixture) []error {
		return []error{c.checkSubmissionResponse(201, wire.JobQueued), c.checkSubmissionResponse(200, wire.JobCancelled)}
	},
	"set_back": func(c *invariantFixture) []error {
		store := func(change wire.Mutation) error { return c.CheckTransaction(wire.Txn{Then: []wire.Mutation{change}}) }
		older, newer := wire.Mutation{Put: "d/job-1/0", Value: []byte(`"0"`)}, wire.Mutation{Put: "d/job-1/0", Value: []byte(`"0-1"`)}
		return []error{store(older), store(newer), store(wire.Mutation{Delete: "d/job-1/0"}), store(older), store(newer), store(older)}
	},
	"orphaned": func(c *invariantFixture) []error {
		c.RecordSubmission(&wire.Job{ID: "job-2", Team: "blue", Tasks: 1, CPUs: 1, Spot: true, DependsOn: []string{"job-1"}})
		c.RecordCancellationRequest("job-1")
		errs := []error{c.checkSubmissionResponse(200, wire.JobCancelled), c.checkQueryResponse("job-2", 200, wire.JobQueued)}
		c.now = c.now.Add(46 * time.Second)
		return append(errs, c.checkQueryResponse("job-2", 200, wire.JobQueued))
	},
}

// starvationViolations are steps that end after a job has waited too long although it could start.
// The key is the start of the violation's text.
var starvationViolations = map[string]violationSteps{
	"left_waiting: job-1 for 1m31s": func(c *invariantFixture) []error {
		a := c.addAgent("m1", "a", true)
		errs := []error{c.checkSubmissionResponse(201, wire.JobQueued)}
		checkAfter := c.newStarvationCheck(&errs)
		checkAfter(time.Second)
		checkAfter(89 * time.Second)
		// While no machine has capacity, the job can't start. Its wait starts anew when there is
		// capacity again.
		c.addTask(a, "job-1/9", wire.TaskRunning, "")
		c.addTask(a, "job-1/8", wire.TaskRunning, "")
		checkAfter(2 * time.Second)
		clear(a.Tasks)
		checkAfter(time.Second)
		checkAfter(89 * time.Second)
		checkAfter(2 * time.Second)
		return errs
	},
	"left_waiting: job-1 for 1m32s": func(c *invariantFixture) []error {
		// The start of one task resets the wait of the other tasks.
		a := c.addAgent("m1", "a", true)
		c.Teams[0].CPUsMax, c.job.CPUs = 0, 1
		errs := []error{c.checkSubmissionResponse(201, wire.JobQueued)}
		checkAfter := c.newStarvationCheck(&errs)
		c.addTask(a, "job-1/0", wire.TaskRunning, "")
		checkAfter(time.Second)
		checkAfter(89 * time.Second)
		c.addTask(a, "job-1/1", wire.TaskFetching, "")
		checkAfter(time.Second)
		checkAfter(90 * time.Second)
		checkAfter(2 * time.Second)
		return errs
	},
	"left_waiting: job-1 for 1m33s": func(c *invariantFixture) []error {
		// A job for one zone can't use capacity in another zone. Its wait starts when a machine in
		// its zone has capacity.
		c.Teams[0].CPUsMax, c.job.OneZone, c.job.CPUs = 0, true, 8
		c.addTask(c.addAgent("m1", "a", true), "job-1/0", wire.TaskRunning, "")
		errs := []error{c.checkSubmissionResponse(201, wire.JobQueued)}
		checkAfter := c.newStarvationCheck(&errs)
		c.addAgent("m2", "b", true)
		checkAfter(time.Second)
		checkAfter(200 * time.Second)
		c.addAgent("m3", "a", true)
		checkAfter(time.Second)
		checkAfter(89 * time.Second)
		checkAfter(4 * time.Second)
		return errs
	},
	"left_waiting: job-1 for 1m34s": func(c *invariantFixture) []error {
		// At most half of the tasks of a job that is spread over zones, rounded up, may run in one
		// zone. The wait of the third task starts when there is a machine in another zone.
		c.Teams[0].CPUsMax, c.job.SpreadZones, c.job.CPUs = 0, true, 1
		a := c.addAgent("m1", "a", true)
		c.addTask(a, "job-1/0", wire.TaskRunning, "")
		c.addTask(a, "job-1/1", wire.TaskRunning, "")
		errs := []error{c.checkSubmissionResponse(201, wire.JobQueued)}
		checkAfter := c.newStarvationCheck(&errs)
		checkAfter(time.Second)
		checkAfter(200 * time.Second)
		c.addAgent("m2", "b", true)
		checkAfter(time.Second)
		checkAfter(89 * time.Second)
		checkAfter(5 * time.Second)
		return errs
	},
}

// TestEveryInvariantIsChecked: for each kind of violation, the checker reports it, and reports
// nothing in the steps before.
func TestEveryInvariantIsChecked(t *testing.T) {
	for _, cases := range []map[string]violationSteps{taskViolations, responseViolations, starvationViolations} {
		for want, steps := range cases {
			t.Run(want, func(t *testing.T) { checkOnlyLastFails(t, steps(newInvariantFixture()), want) })
		}
	}
}

// checkOnlyLastFails fails the test unless the last error starts with want and all others are nil.
func checkOnlyLastFails(t *testing.T, errs []error, want string) {
	t.Helper()
	for i, err := range errs {
		if last := i == len(errs)-1; last != (err != nil) || last && !strings.HasPrefix(err.Error(), want) {
			t.Errorf("check %d of %d returned %v; want nil, and from the last check the violation in the subtest's name", i+1, len(errs), err)
		}
	}
}
