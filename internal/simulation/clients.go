package simulation

import (
	"time"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// clients simulates the users, who submit, poll and cancel jobs at any node.
type clients struct {
	sim       *Simulation
	jobs      map[string]*wire.Job // uploaded jobs, by id
	submitted []*wire.Job          // by Submit, in order
	failing   map[string]bool      // jobs that fail on every machine

	pollStormUntil time.Time
	followUpsUntil time.Time
	followUpsSent  map[string]bool // job ids with the states already followed up
}

func newClients(sim *Simulation) *clients {
	return &clients{sim: sim, jobs: map[string]*wire.Job{}, failing: map[string]bool{}, followUpsSent: map[string]bool{}}
}

// Submit makes a user submit a job after a time, once its dependencies are accepted. The user
// repeats the submission until it succeeds, polls the job's state, and cancels it later if
// cancelAfter is set.
func (c *clients) Submit(after time.Duration, job *wire.Job, cancelAfter time.Duration) {
	c.sim.after(after, func() {
		if !c.sim.Invariants.AllAccepted(job.DependsOn) {
			c.Submit(time.Second, job, cancelAfter)
			return
		}
		c.jobs[job.ID] = job
		c.submitted = append(c.submitted, job)
		c.sim.Invariants.RecordSubmission(job)
		c.submitUntilAccepted(job)
		c.pollLoop(job)
		if cancelAfter > 0 {
			c.sim.after(cancelAfter, func() { c.requestCancellation(job) })
		}
	})
}

// submitUntilAccepted repeats a submission until it succeeds, and sometimes once more after that.
func (c *clients) submitUntilAccepted(job *wire.Job) {
	c.send(c.sim.drawNode(), c.submission(job, func(response leader.JobResponse) {
		if !succeeded(response.Status) || c.sim.chance(0.05) {
			c.sim.after(c.sim.between(1000, 5000), func() { c.submitUntilAccepted(job) })
		}
	}))
}

// pollLoop makes a user query a job's state every few seconds.
func (c *clients) pollLoop(job *wire.Job) {
	c.send(c.sim.drawNode(), c.query(job, func(leader.JobResponse) {
		pause := c.sim.between(3000, 6000)
		if c.sim.now.Before(c.pollStormUntil) {
			pause /= 8
			c.sim.Observed[PollStormQuery]++
		}
		c.sim.after(pause, func() { c.pollLoop(job) })
	}))
}

// requestCancellation makes a user cancel a job and repeat the request until it succeeds.
func (c *clients) requestCancellation(job *wire.Job) {
	c.sim.Invariants.RecordCancellationRequest(job.ID)
	c.cancelUntilConfirmed(job)
}

func (c *clients) cancelUntilConfirmed(job *wire.Job) {
	c.send(c.sim.drawNode(), c.cancellation(job, func(response leader.JobResponse) {
		if !succeeded(response.Status) {
			c.sim.after(c.sim.between(1000, 3000), func() { c.cancelUntilConfirmed(job) })
		}
	}))
}

// submission returns the request to submit a job.
func (c *clients) submission(job *wire.Job, done func(leader.JobResponse)) request {
	return request{job, true, func(n *node, claim *admission.Claim, respond func(leader.JobResponse)) {
		if n.previousVersion && len(job.DependsOn) > 0 {
			// A later version forwards the request in a form that the previous version rejects.
			respond(unavailable)
			return
		}
		n.leader.SubmitWithClaim(n.clock(), c.sim.now, job, claim, respond)
	}, done}
}

// cancellation returns the request to cancel a job.
func (c *clients) cancellation(job *wire.Job, done func(leader.JobResponse)) request {
	return request{job, false, func(n *node, _ *admission.Claim, respond func(leader.JobResponse)) {
		n.leader.Cancel(n.clock(), job.ID, respond)
	}, done}
}

// query returns the request for a job's state.
func (c *clients) query(job *wire.Job, done func(leader.JobResponse)) request {
	return request{job, false, func(n *node, _ *admission.Claim, respond func(leader.JobResponse)) {
		respond(n.leader.Query(job.ID))
	}, done}
}

// FailOnEveryMachine makes the tasks of a job fail on every machine.
func (c *clients) FailOnEveryMachine(job *wire.Job) { c.failing[job.ID] = true }

// SubmissionOutcome is the outcome of a submission whose user follows the protocol.
type SubmissionOutcome struct {
	Job         *wire.Job
	SubmittedAt time.Duration // since the start of the run
	Accepted    bool
	// FinishedAt is when the job was accepted or the user gave up, since the start of the run.
	FinishedAt time.Duration
	Tries      int
}

// SubmitWithRetryWindow makes a user submit a job as the protocol requires: the user retries after
// the time in the response, for at most a minute in total, and polls the job's state once it is
// accepted.
func (c *clients) SubmitWithRetryWindow(after time.Duration, job *wire.Job, done func(SubmissionOutcome)) {
	c.sim.after(after, func() {
		c.jobs[job.ID] = job
		c.sim.Invariants.RecordSubmission(job)
		c.submitWithinWindow(&SubmissionOutcome{Job: job, SubmittedAt: c.sim.elapsed()}, done)
	})
}

func (c *clients) submitWithinWindow(outcome *SubmissionOutcome, done func(SubmissionOutcome)) {
	outcome.Tries++
	c.send(c.sim.drawNode(), c.submission(outcome.Job, func(response leader.JobResponse) {
		outcome.FinishedAt = c.sim.elapsed()
		pause := max(time.Duration(response.RetryAfter)*time.Second, time.Second) + c.sim.between(0, 300)
		switch {
		case succeeded(response.Status):
			outcome.Accepted = true
			done(*outcome)
			c.slowingPollLoop(outcome.Job)
		case outcome.FinishedAt+pause-outcome.SubmittedAt > tuning.AdmissionRetryWindow:
			done(*outcome)
		default:
			c.sim.after(pause, func() { c.submitWithinWindow(outcome, done) })
		}
	}))
}

// slowingPollLoop makes a user query a job's state, less often once it is terminal.
func (c *clients) slowingPollLoop(job *wire.Job) {
	c.send(c.sim.drawNode(), c.query(job, func(response leader.JobResponse) {
		pause := c.sim.between(3000, 6000)
		if response.IsTerminal() {
			pause *= 5
		}
		c.sim.after(pause, func() { c.slowingPollLoop(job) })
	}))
}
