package simulation

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/wire"
)

// PollStorm lets users, for a time, poll eight times as often.
func (c *clients) PollStorm(span time.Duration) { c.pollStormUntil = c.sim.now.Add(span) }

// EnableFollowUps lets users, for a time, query all nodes within milliseconds of the response that
// a job was accepted, done or cancelled, repeat the submission, and cancel some jobs right after
// the acceptance.
func (c *clients) EnableFollowUps(span time.Duration) { c.followUpsUntil = c.sim.now.Add(span) }

// followUp is called with every response that a user receives.
func (c *clients) followUp(job *wire.Job, response leader.JobResponse) {
	sim := c.sim
	if !succeeded(response.Status) || !sim.now.Before(c.followUpsUntil) || c.jobs[job.ID] != job {
		return
	}
	state := response.State
	if state == wire.JobRunning {
		state = wire.JobQueued // both are accepted
	}
	key := job.ID + " " + state
	if c.followedUp[key] {
		return
	}
	c.followedUp[key] = true
	sim.Observed[FollowUpQuery]++
	for range 3 {
		for _, n := range sim.nodes {
			sim.after(sim.between(0, 30), func() { c.send(n, c.query(job, ignoreResponse)) })
		}
	}
	sim.after(sim.between(0, 10), func() { c.send(sim.anyNode(), c.submission(job, ignoreResponse)) })
	if state == wire.JobQueued && sim.chance(0.1) {
		c.requestCancellation(job)
	}
}

// CancelAtCompletion lets users, for a time, cancel a share of the jobs at the moment at which
// their last task completes.
func (c *clients) CancelAtCompletion(share float64, span time.Duration) {
	sim := c.sim
	until := sim.now.Add(span)
	sim.Invariants.OnJobCompleted = func(id string) {
		if sim.now.Before(until) && sim.chance(share) {
			sim.Observed[CancelledAtLastTask]++
			sim.after(sim.between(0, 200), func() { c.requestCancellation(c.jobs[id]) })
		}
	}
}

// maxHungMachines is how many machines of cancelled jobs hang at most.
const maxHungMachines = 8

// CancelRunning lets users cancel, within a fifth of a second, so many jobs that have tasks on
// machines; some of these machines hang for a time.
func (c *clients) CancelRunning(count int, hang time.Duration) {
	sim := c.sim
	hung := map[string]bool{}
	for _, job := range c.submitted {
		if count == 0 {
			return
		}
		machines := sim.Invariants.MachinesRunning(job.ID)
		if len(machines) == 0 || sim.Invariants.HasCancellationRequest(job.ID) {
			continue
		}
		count--
		sim.Observed[CancelledWhileRunning]++
		sim.after(sim.between(0, 200), func() { c.requestCancellation(job) })
		for _, id := range machines {
			if a := sim.fleet.agents[id]; hang > 0 && len(hung) < maxHungMachines && a != nil {
				hung[id] = true
				a.hungUntil = sim.now.Add(hang)
			}
		}
	}
}

// firstInvalidJob is the number of the first job that only invalid requests name.
const firstInvalidJob = 900_001

// InvalidRequests lets users, for a time, repeat submissions, cancel jobs that are done, query and
// cancel jobs that nobody submitted, and submit some that can never run.
func (c *clients) InvalidRequests(span time.Duration) {
	until := c.sim.now.Add(span)
	number := firstInvalidJob
	var next func()
	next = func() {
		if !c.sim.now.Before(until) {
			return
		}
		c.sim.after(c.sim.between(100, 700), next)
		c.sim.Observed[InvalidRequest]++
		c.sendInvalidRequest(number)
		number++
	}
	next()
}

// sendInvalidRequest draws a request that must be refused or change nothing, about the unknown job
// of the given number or a submitted one.
func (c *clients) sendInvalidRequest(number int) {
	sim := c.sim
	unknown := &wire.Job{
		ID: fmt.Sprintf("job-%06d", number), Class: "c", Team: "blue", Kind: wire.KindArray,
		Priority: wire.PriorityNormal, Tasks: 2, CPUs: 1, MemoryGB: 1, Image: "img-0", Spot: true,
	}
	unprocessable := c.expectStatus(unknown.ID, http.StatusUnprocessableEntity)
	notFound := c.expectStatus(unknown.ID, http.StatusNotFound)
	switch sim.rng.IntN(7) {
	case 0:
		unknown.Team = "nobody's"
		c.send(sim.anyNode(), c.submission(unknown, unprocessable))
	case 1:
		unknown.CPUs = 1000
		c.send(sim.anyNode(), c.submission(unknown, unprocessable))
	case 2:
		unknown.Zone = "nowhere"
		c.send(sim.anyNode(), c.submission(unknown, unprocessable))
	case 3:
		c.send(sim.anyNode(), c.query(unknown, notFound))
	case 4:
		c.send(sim.anyNode(), c.cancellation(unknown, notFound))
	default:
		c.repeatRequest()
	}
}

// repeatRequest repeats the submission of a job, and cancels it if it is done.
func (c *clients) repeatRequest() {
	sim := c.sim
	if len(c.submitted) == 0 {
		return
	}
	job := c.submitted[sim.rng.IntN(len(c.submitted))]
	c.send(sim.anyNode(), c.submission(job, ignoreResponse))
	if sim.Invariants.ReportedDone(job.ID) {
		c.send(sim.anyNode(), c.cancellation(job, ignoreResponse))
	}
}

// expectStatus lets a run fail if a response has another status, unless there is no leader.
func (c *clients) expectStatus(id string, status int) func(leader.JobResponse) {
	allowed := []int{status, unavailable.Status, timedOut.Status}
	return func(response leader.JobResponse) {
		if !slices.Contains(allowed, response.Status) {
			c.sim.fail(fmt.Errorf("invalid request: %s answered %d instead of %d", id, response.Status, status))
		}
	}
}
