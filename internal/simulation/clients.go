package simulation

import (
	"time"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// clients are the users, who submit, poll and cancel jobs at any node.
type clients struct {
	sim       *Simulation
	jobs      map[string]*wire.Job // uploaded, by id
	submitted []*wire.Job          // by Submit, in order
	failing   map[string]bool      // jobs that fail on every machine

	pollStormUntil time.Time
	followUpsUntil time.Time
	followedUp     map[string]bool // jobs with the states that were followed up
}

func newClients(sim *Simulation) *clients {
	return &clients{sim: sim, jobs: map[string]*wire.Job{}, failing: map[string]bool{}, followedUp: map[string]bool{}}
}

// Submit lets a user submit a job after a time and once its dependencies are accepted, repeat the
// request until it succeeds, poll the job's state, and cancel it later if cancelAfter is set.
func (c *clients) Submit(after time.Duration, job *wire.Job, cancelAfter time.Duration) {
	c.sim.after(after, func() {
		if !c.sim.Invariants.Accepted(job.DependsOn) {
			c.Submit(time.Second, job, cancelAfter)
			return
		}
		c.jobs[job.ID] = job
		c.submitted = append(c.submitted, job)
		c.sim.Invariants.JobSubmitted(job)
		c.submit(job)
		c.pollLoop(job)
		if cancelAfter > 0 {
			c.sim.after(cancelAfter, func() { c.requestCancellation(job) })
		}
	})
}

// submit repeats a submission until it succeeds, and sometimes once more.
func (c *clients) submit(job *wire.Job) {
	c.send(c.sim.anyNode(), c.submission(job, func(response leader.JobResponse) {
		if !succeeded(response.Status) || c.sim.chance(0.05) {
			c.sim.after(c.sim.between(1000, 5000), func() { c.submit(job) })
		}
	}))
}

// pollLoop lets a user query a job's state every few seconds.
func (c *clients) pollLoop(job *wire.Job) {
	c.send(c.sim.anyNode(), c.query(job, func(leader.JobResponse) {
		pause := c.sim.between(3000, 6000)
		if c.sim.now.Before(c.pollStormUntil) {
			pause /= 8
			c.sim.Observed[PollStormQuery]++
		}
		c.sim.after(pause, func() { c.pollLoop(job) })
	}))
}

// requestCancellation lets a user cancel a job, and repeat the request until it succeeds.
func (c *clients) requestCancellation(job *wire.Job) {
	c.sim.Invariants.CancellationRequested(job.ID)
	c.cancel(job)
}

func (c *clients) cancel(job *wire.Job) {
	c.send(c.sim.anyNode(), c.cancellation(job, func(response leader.JobResponse) {
		if !succeeded(response.Status) {
			c.sim.after(c.sim.between(1000, 3000), func() { c.cancel(job) })
		}
	}))
}

// submission is the request to accept a job.
func (c *clients) submission(job *wire.Job, done func(leader.JobResponse)) request {
	return request{job, true, func(n *node, claim *admission.Claim, respond func(leader.JobResponse)) {
		if n.previousVersion && len(job.DependsOn) > 0 {
			// As forwarded by a node of a later version.
			respond(unavailable)
			return
		}
		n.leader.SubmitWithClaim(n.clock(), c.sim.now, job, claim, respond)
	}, done}
}

// cancellation is the request to cancel a job.
func (c *clients) cancellation(job *wire.Job, done func(leader.JobResponse)) request {
	return request{job, false, func(n *node, _ *admission.Claim, respond func(leader.JobResponse)) {
		n.leader.Cancel(n.clock(), job.ID, respond)
	}, done}
}

// query is the request for a job's state.
func (c *clients) query(job *wire.Job, done func(leader.JobResponse)) request {
	return request{job, false, func(n *node, _ *admission.Claim, respond func(leader.JobResponse)) {
		respond(n.leader.Query(job.ID))
	}, done}
}

// FailOnEveryMachine makes a job one that fails on every machine.
func (c *clients) FailOnEveryMachine(job *wire.Job) { c.failing[job.ID] = true }

// SubmissionOutcome is what became of a submission whose user keeps to the protocol.
type SubmissionOutcome struct {
	Job         *wire.Job
	SubmittedAt time.Duration // since the start
	Accepted    bool
	// SettledAt is when it was accepted, or given up after the users' patience.
	SettledAt time.Duration
	Tries     int
}

// SubmitWithPatience lets a user submit a job as the protocol says: retry when the response says
// so, for a minute in total, and poll the job's state once it is accepted.
func (c *clients) SubmitWithPatience(after time.Duration, job *wire.Job, done func(SubmissionOutcome)) {
	c.sim.after(after, func() {
		c.jobs[job.ID] = job
		c.sim.Invariants.JobSubmitted(job)
		c.submitPatiently(&SubmissionOutcome{Job: job, SubmittedAt: c.sim.elapsed()}, done)
	})
}

func (c *clients) submitPatiently(outcome *SubmissionOutcome, done func(SubmissionOutcome)) {
	outcome.Tries++
	c.send(c.sim.anyNode(), c.submission(outcome.Job, func(response leader.JobResponse) {
		outcome.SettledAt = c.sim.elapsed()
		pause := max(time.Duration(response.RetryAfter)*time.Second, time.Second) + c.sim.between(0, 300)
		switch {
		case succeeded(response.Status):
			outcome.Accepted = true
			done(*outcome)
			c.patientPollLoop(outcome.Job)
		case outcome.SettledAt+pause-outcome.SubmittedAt > tuning.AdmissionRetryWindow:
			done(*outcome)
		default:
			c.sim.after(pause, func() { c.submitPatiently(outcome, done) })
		}
	}))
}

// patientPollLoop lets a user query a job's state, and less often once it is terminal.
func (c *clients) patientPollLoop(job *wire.Job) {
	c.send(c.sim.anyNode(), c.query(job, func(response leader.JobResponse) {
		pause := c.sim.between(3000, 6000)
		if response.IsTerminal() {
			pause *= 5
		}
		c.sim.after(pause, func() { c.patientPollLoop(job) })
	}))
}
