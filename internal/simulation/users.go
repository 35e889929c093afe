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
func (w *World) Submit(after time.Duration, j *wire.Job, cancelAfter time.Duration) {
	w.after(after, func() {
		if !w.Rules.Accepted(j.DependsOn) {
			w.Submit(time.Second, j, cancelAfter)
			return
		}
		w.jobs[j.ID] = j
		w.submittedJobs = append(w.submittedJobs, j)
		w.Rules.Submitted(j)
		w.submit(j)
		w.poll(j)
		if cancelAfter > 0 {
			w.after(cancelAfter, func() { w.requestCancellation(j) })
		}
	})
}

// requestCancellation lets a user ask for a job's cancellation until it is answered.
func (w *World) requestCancellation(j *wire.Job) {
	w.Rules.AskedCancel(j.ID)
	w.cancel(j)
}

// anyNode is where the load balancer sends a user.
func (w *World) anyNode() *node { return w.nodes[w.rng.IntN(len(w.nodes))] }

// request is one question of a user at a node.
type request struct {
	job        *wire.Job
	submission bool
	send       func(n *node, claim *admission.Claim, then func(leader.Response))
	done       func(leader.Response)
}

// ask sends a request to a node and tells the rules what the user hears. As in
// the real node, an answer that is not final leaves the leader only while it
// still has authority: it may have stood still since it found it.
func (w *World) ask(target *node, r request) {
	answered := false
	finish := func(v leader.Response) {
		if !answered {
			answered = true
			r.done(v)
		}
	}
	w.onNode(target, w.between(1, 20), func() {
		if w.zonePartitioned(target.zone, "") {
			return
		}
		n := w.leaderFor(target)
		if n == nil {
			w.after(w.between(1, 20), func() { finish(leader.Response{Status: 503}) })
			return
		}
		pass := w.passGate(target, n, r)
		if pass.refused != nil {
			w.after(w.between(1, 20), func() { finish(*pass.refused) })
			return
		}
		term := n.leadership
		r.send(n, pass.claim, func(v leader.Response) {
			pass.note(w.now, v)
			w.onNode(n, w.between(0, 2), func() {
				if !v.IsTerminal() && !term.HoldsLease(w.clock(n)) {
					v = leader.Response{Status: 503}
				}
				given := w.now
				w.after(w.between(1, 20), func() {
					if answered {
						return
					}
					w.trace(edgeUserAnswer, n, r.job.ID, r.submission, v.Status, v.State, v.Done, v.Running, v.Reason, v.RetryAfter)
					if err := w.Rules.Told(w.now, given, r.job.ID, v.Status, v.State, r.submission); err != nil && w.err == nil {
						w.err = err
					}
					finish(v)
					w.followUp(r.job, v)
				})
			})
		})
	})
	w.after(5*time.Second, func() { finish(leader.Response{Status: 504}) })
}

// submission is the request to take a job.
func (w *World) submission(j *wire.Job, done func(leader.Response)) request {
	return request{j, true, func(n *node, claim *admission.Claim, then func(leader.Response)) {
		if n.previousVersion && len(j.DependsOn) > 0 {
			// As forwarded by a node of a later version.
			then(leader.Response{Status: 503})
			return
		}
		n.leader.SubmitWithClaim(w.clock(n), w.now, j, claim, then)
	}, done}
}

func (w *World) submit(j *wire.Job) {
	w.ask(w.anyNode(), w.submission(j, func(v leader.Response) {
		if v.Status/100 != 2 || w.chance(0.05) {
			w.after(w.between(1000, 5000), func() { w.submit(j) })
		}
	}))
}

// cancellation is the request to cancel a job.
func (w *World) cancellation(j *wire.Job, done func(leader.Response)) request {
	return request{j, false, func(n *node, _ *admission.Claim, then func(leader.Response)) {
		n.leader.Cancel(w.clock(n), j.ID, then)
	}, done}
}

func (w *World) cancel(j *wire.Job) {
	w.ask(w.anyNode(), w.cancellation(j, func(v leader.Response) {
		if v.Status/100 != 2 {
			w.after(w.between(1000, 3000), func() { w.cancel(j) })
		}
	}))
}

// question asks for a job's state.
func (w *World) question(j *wire.Job, done func(leader.Response)) request {
	return request{j, false, func(n *node, _ *admission.Claim, then func(leader.Response)) {
		then(n.leader.Query(j.ID))
	}, done}
}

func (w *World) poll(j *wire.Job) {
	w.ask(w.anyNode(), w.question(j, func(leader.Response) {
		pause := w.between(3000, 6000)
		if w.now.Before(w.pollStormUntil) {
			pause /= 8
			w.Observed[StormPoll]++
		}
		w.after(pause, func() { w.poll(j) })
	}))
}

// PollStorm lets users, for a time, ask eight times as often.
func (w *World) PollStorm(span time.Duration) { w.pollStormUntil = w.now.Add(span) }

// FailEverywhere makes a job one that fails on every machine.
func (w *World) FailEverywhere(j *wire.Job) { w.failingJobs[j.ID] = true }

// ignoreVerdict is who has no use for an answer; the rules are told of it all the same.
func ignoreVerdict(leader.Response) {}

// FollowUps lets users, for a time, ask at all nodes within milliseconds of
// hearing that a job was accepted, done or cancelled, repeat the submission, and
// call some jobs off right after the acceptance.
func (w *World) FollowUps(span time.Duration) { w.followUpsUntil = w.now.Add(span) }

// followUp is told of every answer that a user gets.
func (w *World) followUp(j *wire.Job, v leader.Response) {
	if v.Status/100 != 2 || !w.now.Before(w.followUpsUntil) || w.jobs[j.ID] != j {
		return
	}
	state := v.State
	if state == wire.JobRunning {
		state = wire.JobQueued // accepted
	}
	seen := j.ID + " " + state
	if w.followedUp[seen] {
		return
	}
	w.followedUp[seen] = true
	w.Observed[FollowUpQuery]++
	for range 3 {
		for _, n := range w.nodes {
			w.after(w.between(0, 30), func() { w.ask(n, w.question(j, ignoreVerdict)) })
		}
	}
	w.after(w.between(0, 10), func() { w.ask(w.anyNode(), w.submission(j, ignoreVerdict)) })
	if state == wire.JobQueued && w.chance(0.1) {
		w.requestCancellation(j)
	}
}

// CancelAtCompletion lets users, for a time, call a share of the jobs off at the moment
// at which their last task ends.
func (w *World) CancelAtCompletion(share float64, span time.Duration) {
	until := w.now.Add(span)
	w.Rules.Ended = func(id string) {
		if w.now.Before(until) && w.chance(share) {
			w.Observed[CancelledAtEnd]++
			w.after(w.between(0, 200), func() { w.requestCancellation(w.jobs[id]) })
		}
	}
}

// CancelRunning lets users call off, within a fifth of a second, so many jobs that
// have tasks on machines; up to eight of these machines hang for a time.
func (w *World) CancelRunning(count int, hang time.Duration) {
	hung := map[string]bool{}
	for _, j := range w.submittedJobs {
		if count == 0 {
			return
		}
		machines := w.Rules.Holders(j.ID)
		if len(machines) == 0 || w.Rules.CancelRequested(j.ID) {
			continue
		}
		count--
		w.Observed[CancelledWhileRunning]++
		w.after(w.between(0, 200), func() { w.requestCancellation(j) })
		for _, id := range machines {
			if hang > 0 && len(hung) < 8 && w.workers[id] != nil {
				hung[id] = true
				w.workers[id].hungUntil = w.now.Add(hang)
			}
		}
	}
}

// InvalidRequests lets users, for a time, repeat submissions, cancel jobs that are
// done, ask for and cancel jobs that nobody submitted, and submit some that can
// never run.
func (w *World) InvalidRequests(span time.Duration) {
	until := w.now.Add(span)
	number := 900_000
	var next func()
	next = func() {
		if !w.now.Before(until) {
			return
		}
		w.after(w.between(100, 700), next)
		number++
		w.Observed[InvalidRequest]++
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
				if w.err == nil {
					w.err = fmt.Errorf("bad input: %s answered %d instead of %v", odd.ID, v.Status, statuses)
				}
			}
		}
		switch w.rng.IntN(7) {
		case 0:
			odd.Team = "nobody's"
			w.ask(w.anyNode(), w.submission(odd, only(422)))
		case 1:
			odd.CPUs = 1000
			w.ask(w.anyNode(), w.submission(odd, only(422)))
		case 2:
			odd.Zone = "nowhere"
			w.ask(w.anyNode(), w.submission(odd, only(422)))
		case 3:
			w.ask(w.anyNode(), w.question(odd, only(404)))
		case 4:
			w.ask(w.anyNode(), w.cancellation(odd, only(404)))
		default:
			if len(w.submittedJobs) == 0 {
				return
			}
			j := w.submittedJobs[w.rng.IntN(len(w.submittedJobs))]
			w.ask(w.anyNode(), w.submission(j, ignoreVerdict))
			if w.Rules.KnownDone(j.ID) {
				w.ask(w.anyNode(), w.cancellation(j, ignoreVerdict))
			}
		}
	}
	next()
}
