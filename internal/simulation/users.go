package simulation

import (
	"fmt"
	"time"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/wire"
)

// Submit lets a user submit a job once those that it needs are accepted, repeat
// the request until it is answered, and poll.
func (sim *Simulation) Submit(after time.Duration, j *wire.Job, cancelAfter time.Duration) {
	sim.after(after, func() {
		if !sim.Invariants.Accepted(j.DependsOn) {
			sim.Submit(time.Second, j, cancelAfter)
			return
		}
		sim.uploadedJobs[j.ID] = j
		sim.submittedJobs = append(sim.submittedJobs, j)
		sim.Invariants.JobSubmitted(j)
		sim.submit(j)
		sim.pollLoop(j)
		if cancelAfter > 0 {
			sim.after(cancelAfter, func() { sim.requestCancellation(j) })
		}
	})
}

// requestCancellation lets a user ask for a job's cancellation until it is answered.
func (sim *Simulation) requestCancellation(j *wire.Job) {
	sim.Invariants.CancellationRequested(j.ID)
	sim.cancel(j)
}

// anyNode is where the load balancer sends a user.
func (sim *Simulation) anyNode() *node { return sim.nodes[sim.rng.IntN(len(sim.nodes))] }

// request is one question of a user at a node.
type request struct {
	job        *wire.Job
	submission bool
	send       func(n *node, claim *admission.Claim, then func(leader.Response))
	done       func(leader.Response)
}

// sendRequest sends a request to a node and tells the rules what the user hears. As in
// the real node, an answer that is not final leaves the leader only while it
// still has authority: it may have stood still since it found it.
func (sim *Simulation) sendRequest(target *node, r request) {
	answered := false
	finish := func(v leader.Response) {
		if !answered {
			answered = true
			r.done(v)
		}
	}
	sim.onNode(target, sim.between(1, 20), func() {
		if sim.zonePartitioned(target.zone, "") {
			return
		}
		n := sim.leaderFor(target)
		if n == nil {
			sim.after(sim.between(1, 20), func() { finish(leader.Response{Status: 503}) })
			return
		}
		pass := sim.admit(target, n, r)
		if pass.refused != nil {
			sim.after(sim.between(1, 20), func() { finish(*pass.refused) })
			return
		}
		term := n.leadership
		r.send(n, pass.claim, func(v leader.Response) {
			pass.recordResponse(sim.now, v)
			sim.onNode(n, sim.between(0, 2), func() {
				if !v.IsTerminal() && !term.HoldsLease(sim.clock(n)) {
					v = leader.Response{Status: 503}
				}
				given := sim.now
				sim.after(sim.between(1, 20), func() {
					if answered {
						return
					}
					sim.trace(boundaryUserResponse, n, r.job.ID, r.submission, v.Status, v.State, v.Done, v.Running, v.Reason, v.RetryAfter)
					if err := sim.Invariants.ResponseReceived(sim.now, given, r.job.ID, v.Status, v.State, r.submission); err != nil && sim.failure == nil {
						sim.failure = err
					}
					finish(v)
					sim.followUp(r.job, v)
				})
			})
		})
	})
	sim.after(5*time.Second, func() { finish(leader.Response{Status: 504}) })
}

// submission is the request to take a job.
func (sim *Simulation) submission(j *wire.Job, done func(leader.Response)) request {
	return request{j, true, func(n *node, claim *admission.Claim, then func(leader.Response)) {
		if n.previousVersion && len(j.DependsOn) > 0 {
			// As forwarded by a node of a later version.
			then(leader.Response{Status: 503})
			return
		}
		n.leader.SubmitWithClaim(sim.clock(n), sim.now, j, claim, then)
	}, done}
}

func (sim *Simulation) submit(j *wire.Job) {
	sim.sendRequest(sim.anyNode(), sim.submission(j, func(v leader.Response) {
		if v.Status/100 != 2 || sim.chance(0.05) {
			sim.after(sim.between(1000, 5000), func() { sim.submit(j) })
		}
	}))
}

// cancellation is the request to cancel a job.
func (sim *Simulation) cancellation(j *wire.Job, done func(leader.Response)) request {
	return request{j, false, func(n *node, _ *admission.Claim, then func(leader.Response)) {
		n.leader.Cancel(sim.clock(n), j.ID, then)
	}, done}
}

func (sim *Simulation) cancel(j *wire.Job) {
	sim.sendRequest(sim.anyNode(), sim.cancellation(j, func(v leader.Response) {
		if v.Status/100 != 2 {
			sim.after(sim.between(1000, 3000), func() { sim.cancel(j) })
		}
	}))
}

// query asks for a job's state.
func (sim *Simulation) query(j *wire.Job, done func(leader.Response)) request {
	return request{j, false, func(n *node, _ *admission.Claim, then func(leader.Response)) {
		then(n.leader.Query(j.ID))
	}, done}
}

func (sim *Simulation) pollLoop(j *wire.Job) {
	sim.sendRequest(sim.anyNode(), sim.query(j, func(leader.Response) {
		pause := sim.between(3000, 6000)
		if sim.now.Before(sim.pollStormUntil) {
			pause /= 8
			sim.Observed[PollStormQuery]++
		}
		sim.after(pause, func() { sim.pollLoop(j) })
	}))
}

// PollStorm lets users, for a time, ask eight times as often.
func (sim *Simulation) PollStorm(span time.Duration) { sim.pollStormUntil = sim.now.Add(span) }

// FailOnEveryMachine makes a job one that fails on every machine.
func (sim *Simulation) FailOnEveryMachine(j *wire.Job) { sim.failingJobs[j.ID] = true }

// ignoreResponse is who has no use for an answer; the rules are told of it all the same.
func ignoreResponse(leader.Response) {}

// EnableFollowUps lets users, for a time, ask at all nodes within milliseconds of
// hearing that a job was accepted, done or cancelled, repeat the submission, and
// call some jobs off right after the acceptance.
func (sim *Simulation) EnableFollowUps(span time.Duration) { sim.followUpsUntil = sim.now.Add(span) }

// followUp is told of every answer that a user gets.
func (sim *Simulation) followUp(j *wire.Job, v leader.Response) {
	if v.Status/100 != 2 || !sim.now.Before(sim.followUpsUntil) || sim.uploadedJobs[j.ID] != j {
		return
	}
	state := v.State
	if state == wire.JobRunning {
		state = wire.JobQueued // accepted
	}
	seen := j.ID + " " + state
	if sim.followedUp[seen] {
		return
	}
	sim.followedUp[seen] = true
	sim.Observed[FollowUpQuery]++
	for range 3 {
		for _, n := range sim.nodes {
			sim.after(sim.between(0, 30), func() { sim.sendRequest(n, sim.query(j, ignoreResponse)) })
		}
	}
	sim.after(sim.between(0, 10), func() { sim.sendRequest(sim.anyNode(), sim.submission(j, ignoreResponse)) })
	if state == wire.JobQueued && sim.chance(0.1) {
		sim.requestCancellation(j)
	}
}

// CancelAtCompletion lets users, for a time, call a share of the jobs off at the moment
// at which their last task ends.
func (sim *Simulation) CancelAtCompletion(share float64, span time.Duration) {
	until := sim.now.Add(span)
	sim.Invariants.OnJobCompleted = func(id string) {
		if sim.now.Before(until) && sim.chance(share) {
			sim.Observed[CancelledAtLastTask]++
			sim.after(sim.between(0, 200), func() { sim.requestCancellation(sim.uploadedJobs[id]) })
		}
	}
}

// CancelRunning lets users call off, within a fifth of a second, so many jobs that
// have tasks on machines; up to eight of these machines hang for a time.
func (sim *Simulation) CancelRunning(count int, hang time.Duration) {
	hung := map[string]bool{}
	for _, j := range sim.submittedJobs {
		if count == 0 {
			return
		}
		machines := sim.Invariants.MachinesRunning(j.ID)
		if len(machines) == 0 || sim.Invariants.HasCancellationRequest(j.ID) {
			continue
		}
		count--
		sim.Observed[CancelledWhileRunning]++
		sim.after(sim.between(0, 200), func() { sim.requestCancellation(j) })
		for _, id := range machines {
			if hang > 0 && len(hung) < 8 && sim.agents[id] != nil {
				hung[id] = true
				sim.agents[id].hungUntil = sim.now.Add(hang)
			}
		}
	}
}

// InvalidRequests lets users, for a time, repeat submissions, cancel jobs that are
// done, ask for and cancel jobs that nobody submitted, and submit some that can
// never run.
func (sim *Simulation) InvalidRequests(span time.Duration) {
	until := sim.now.Add(span)
	number := 900_000
	var next func()
	next = func() {
		if !sim.now.Before(until) {
			return
		}
		sim.after(sim.between(100, 700), next)
		number++
		sim.Observed[InvalidRequest]++
		odd := &wire.Job{
			ID: fmt.Sprintf("job-%06d", number), Class: "c", Team: "blue", Kind: wire.KindArray,
			Priority: wire.PriorityNormal, Tasks: 2, CPUs: 1, MemoryGB: 1, Image: "img-0", Spot: true,
		}
		// only allows the answers given, or none.
		only := func(statuses ...int) func(leader.Response) {
			return func(v leader.Response) {
				for _, s := range append(statuses, 503, 504) {
					if v.Status == s {
						return
					}
				}
				if sim.failure == nil {
					sim.failure = fmt.Errorf("bad input: %s answered %d instead of %v", odd.ID, v.Status, statuses)
				}
			}
		}
		switch sim.rng.IntN(7) {
		case 0:
			odd.Team = "nobody's"
			sim.sendRequest(sim.anyNode(), sim.submission(odd, only(422)))
		case 1:
			odd.CPUs = 1000
			sim.sendRequest(sim.anyNode(), sim.submission(odd, only(422)))
		case 2:
			odd.Zone = "nowhere"
			sim.sendRequest(sim.anyNode(), sim.submission(odd, only(422)))
		case 3:
			sim.sendRequest(sim.anyNode(), sim.query(odd, only(404)))
		case 4:
			sim.sendRequest(sim.anyNode(), sim.cancellation(odd, only(404)))
		default:
			if len(sim.submittedJobs) == 0 {
				return
			}
			j := sim.submittedJobs[sim.rng.IntN(len(sim.submittedJobs))]
			sim.sendRequest(sim.anyNode(), sim.submission(j, ignoreResponse))
			if sim.Invariants.ReportedDone(j.ID) {
				sim.sendRequest(sim.anyNode(), sim.cancellation(j, ignoreResponse))
			}
		}
	}
	next()
}
