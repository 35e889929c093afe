package simulation

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/wire"
)

// StartPollStorm makes users poll eight times as often for a time.
func (c *clients) StartPollStorm(span time.Duration) { c.pollStormUntil = c.sim.now.Add(span) }

// EnableFollowUps makes users send further requests for a time, within milliseconds of a response
// that a job was accepted, done or cancelled: they query all nodes, repeat the submission, and
// cancel some of the jobs that were just accepted.
func (c *clients) EnableFollowUps(span time.Duration) { c.followUpsUntil = c.sim.now.Add(span) }

// sendFollowUps handles every response that a user receives, and sends the requests that
// EnableFollowUps describes.
func (c *clients) sendFollowUps(job *wire.Job, response leader.JobResponse) {
	sim := c.sim
	if !succeeded(response.Status) || !sim.now.Before(c.followUpsUntil) || c.jobs[job.ID] != job {
		return
	}
	state := response.State
	if state == wire.JobRunning {
		state = wire.JobQueued // both mean that the job was accepted
	}
	key := job.ID + " " + state
	if c.followUpsSent[key] {
		return
	}
	c.followUpsSent[key] = true
	sim.Observed[FollowUpQuery]++
	for range 3 {
		for _, n := range sim.nodes {
			sim.after(sim.between(0, 30), func() { c.send(n, c.query(job, ignoreResponse)) })
		}
	}
	sim.after(sim.between(0, 10), func() { c.send(sim.drawNode(), c.submission(job, ignoreResponse)) })
	if state == wire.JobQueued && sim.chance(0.1) {
		c.requestCancellation(job)
	}
}

// CancelAtCompletion makes users cancel a share of the jobs, for a time, just when their last task
// completes.
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

// maxHungMachines is the maximum number of machines of cancelled jobs that hang.
const maxHungMachines = 8

// CancelRunning makes users cancel count jobs with executing tasks within a fifth of a second. Some
// of the machines of these tasks hang for a time.
func (c *clients) CancelRunning(count int, hang time.Duration) {
	sim := c.sim
	hung := map[string]bool{}
	for _, job := range c.submitted {
		if count == 0 {
			return
		}
		machines := sim.Invariants.MachinesOfJob(job.ID)
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

// firstInvalidJobNumber is the number of the first job that only invalid requests refer to.
const firstInvalidJobNumber = 900_001

// SendInvalidRequests makes users send invalid requests for a time: they repeat submissions, cancel
// jobs that are done, query and cancel jobs that were not submitted, and submit jobs that can never
// run.
func (c *clients) SendInvalidRequests(span time.Duration) {
	until := c.sim.now.Add(span)
	number := firstInvalidJobNumber
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

// sendInvalidRequest sends a random request that must be rejected or have no effect, about an
// unknown job with the given number or a submitted job.
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
		c.send(sim.drawNode(), c.submission(unknown, unprocessable))
	case 1:
		unknown.CPUs = 1000
		c.send(sim.drawNode(), c.submission(unknown, unprocessable))
	case 2:
		unknown.Zone = "nowhere"
		c.send(sim.drawNode(), c.submission(unknown, unprocessable))
	case 3:
		c.send(sim.drawNode(), c.query(unknown, notFound))
	case 4:
		c.send(sim.drawNode(), c.cancellation(unknown, notFound))
	default:
		c.repeatRequest()
	}
}

// repeatRequest repeats the submission of a random job, and cancels the job if it is done.
func (c *clients) repeatRequest() {
	sim := c.sim
	if len(c.submitted) == 0 {
		return
	}
	job := c.submitted[sim.rng.IntN(len(c.submitted))]
	c.send(sim.drawNode(), c.submission(job, ignoreResponse))
	if sim.Invariants.IsReportedDone(job.ID) {
		c.send(sim.drawNode(), c.cancellation(job, ignoreResponse))
	}
}

// expectStatus returns a callback that fails the run if a response has another status. It allows
// the responses to requests that no leader handled.
func (c *clients) expectStatus(id string, status int) func(leader.JobResponse) {
	allowed := []int{status, unavailable.Status, timedOut.Status}
	return func(response leader.JobResponse) {
		if !slices.Contains(allowed, response.Status) {
			c.sim.fail(fmt.Errorf("invalid request: response about %s has status %d instead of %d", id, response.Status, status))
		}
	}
}
