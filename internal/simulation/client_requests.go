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

// Responses to requests that no leader handled.
var (
	unavailable = leader.JobResponse{Status: http.StatusServiceUnavailable}
	timedOut    = leader.JobResponse{Status: http.StatusGatewayTimeout}
)

// succeeded reports whether a status code means success.
func succeeded(status int) bool { return status/100 == 2 }

// ignoreResponse is the callback for requests whose responses only the invariant checks need.
func ignoreResponse(leader.JobResponse) {}

// request is a user's request about a job.
type request struct {
	job        *wire.Job
	submission bool
	execute    func(n *node, claim *admission.Claim, respond func(leader.JobResponse))
	done       func(leader.JobResponse)
}

// pendingRequest is a request that was sent to a node and waits for its response.
type pendingRequest struct {
	request
	clients  *clients
	sim      *Simulation
	target   *node
	finished bool
}

// send sends a request to a node. Every response is checked against the invariants.
func (c *clients) send(target *node, r request) {
	p := &pendingRequest{request: r, clients: c, sim: c.sim, target: target}
	target.after(c.sim.between(1, 20), p.arrive)
	c.sim.after(clientTimeout, func() { p.finish(timedOut) })
}

// finish passes the first response to the user and ignores later ones.
func (p *pendingRequest) finish(response leader.JobResponse) {
	if !p.finished {
		p.finished = true
		p.done(response)
	}
}

// arrive handles the request's arrival at its node, which forwards it to the leader.
func (p *pendingRequest) arrive() {
	sim := p.sim
	if sim.network.zonesPartitioned(p.target.zone, noZone) {
		return
	}
	leading := sim.leaderFor(p.target)
	if leading == nil {
		sim.after(sim.between(1, 20), func() { p.finish(unavailable) })
		return
	}
	check := p.target.admit(leading, p.request)
	if check.rejection != nil {
		sim.after(sim.between(1, 20), func() { p.finish(*check.rejection) })
		return
	}
	term := leading.leadership
	sim.copies.answered(peerRequest, p.target, func() { p.executeCopy(leading) })
	p.execute(leading, check.claim, func(response leader.JobResponse) {
		check.recordResponse(response)
		leading.after(sim.between(0, 2), func() {
			// Like the real node, send a response that is not terminal only while the leader still
			// holds its lease, because it may have been frozen since its decision.
			if !response.IsTerminal() && !term.HoldsLease(leading.clock()) {
				response = unavailable
			}
			if final, ended := leading.finalResponse(p.job.ID); ended && succeeded(response.Status) {
				response = final // the job has ended since the decision
			}
			sentAt := sim.now
			sim.after(sim.between(1, 20), func() { p.receive(leading, sentAt, response) })
		})
	})
}

// executeCopy executes a copy of the request, which arrives at a node that has led, if a leader can be
// reached from there. Nobody waits for its response.
func (p *pendingRequest) executeCopy(at *node) {
	if leading := p.sim.leaderFor(at); leading != nil {
		p.execute(leading, nil, ignoreResponse)
	}
}

// finalResponse returns a response with the final state of a job, if the node leads and knows it.
func (n *node) finalResponse(id string) (response leader.JobResponse, ended bool) {
	if n.leader == nil {
		return leader.JobResponse{}, false
	}
	return n.leader.FinalResponse(id)
}

// receive handles the arrival of the leader's response at the user.
func (p *pendingRequest) receive(from *node, sentAt time.Time, response leader.JobResponse) {
	if p.finished {
		return
	}
	sim, id := p.sim, p.job.ID
	sim.trace(boundaryUserResponse, from, id, p.submission, response.Status, response.State, response.CompletedTasks,
		response.RunningTasks, response.Reason, response.RetryAfterS)
	sim.fail(sim.Invariants.CheckResponse(ObservedResponse{
		SentAt: sentAt, ReceivedAt: sim.now, Job: id,
		Status: response.Status, State: response.State, Submission: p.submission,
	}))
	p.finish(response)
	p.clients.sendFollowUps(p.job, response)
}
