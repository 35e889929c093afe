package simulation

import (
	"net/http"
	"time"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/wire"
)

// clientTimeout is how long a client waits for a response.
const clientTimeout = 5 * time.Second

// Responses that no leader gives.
var (
	unavailable = leader.JobResponse{Status: http.StatusServiceUnavailable}
	timedOut    = leader.JobResponse{Status: http.StatusGatewayTimeout}
)

// succeeded reports whether a status is one of success.
func succeeded(status int) bool { return status/100 == 2 }

// ignoreResponse is for requests that are sent only to be checked.
func ignoreResponse(leader.JobResponse) {}

// request is a user's request about a job.
type request struct {
	job        *wire.Job
	submission bool
	execute    func(n *node, claim *admission.Claim, respond func(leader.JobResponse))
	done       func(leader.JobResponse)
}

// pendingRequest is a request that was sent to a node and whose user waits for the response.
type pendingRequest struct {
	request
	clients *clients
	sim     *Simulation
	target  *node
	settled bool
}

// send sends a request to a node. All responses are checked against the invariants.
func (c *clients) send(target *node, r request) {
	p := &pendingRequest{request: r, clients: c, sim: c.sim, target: target}
	target.after(c.sim.between(1, 20), p.arrive)
	c.sim.after(clientTimeout, func() { p.finish(timedOut) })
}

// finish gives the user the first response.
func (p *pendingRequest) finish(response leader.JobResponse) {
	if !p.settled {
		p.settled = true
		p.done(response)
	}
}

// arrive is called as the request gets to its node, which forwards it to the leader.
func (p *pendingRequest) arrive() {
	sim := p.sim
	if sim.network.zonesPartitioned(p.target.zone, outside) {
		return
	}
	leading := sim.leaderFor(p.target)
	if leading == nil {
		sim.after(sim.between(1, 20), func() { p.finish(unavailable) })
		return
	}
	check := p.target.admit(leading, p.request)
	if check.refused != nil {
		sim.after(sim.between(1, 20), func() { p.finish(*check.refused) })
		return
	}
	term := leading.leadership
	p.execute(leading, check.claim, func(response leader.JobResponse) {
		check.recordResponse(response)
		leading.after(sim.between(0, 2), func() {
			// As in the real node, a response that is not terminal is sent only while the leader
			// still holds its lease: it may have been frozen since it decided.
			if !response.IsTerminal() && !term.HoldsLease(leading.clock()) {
				response = unavailable
			}
			sentAt := sim.now
			sim.after(sim.between(1, 20), func() { p.receive(leading, sentAt, response) })
		})
	})
}

// receive is called as the leader's response gets to the user.
func (p *pendingRequest) receive(from *node, sentAt time.Time, response leader.JobResponse) {
	if p.settled {
		return
	}
	sim, id := p.sim, p.job.ID
	sim.trace(boundaryUserResponse, from, id, p.submission, response.Status, response.State, response.CompletedTasks,
		response.RunningTasks, response.Reason, response.RetryAfter)
	sim.fail(sim.Invariants.ResponseReceived(ObservedResponse{
		SentAt: sentAt, ReceivedAt: sim.now, Job: id,
		Status: response.Status, State: response.State, Submission: p.submission,
	}))
	p.finish(response)
	p.clients.followUp(p.job, response)
}
