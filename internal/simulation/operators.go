package simulation

import (
	"net/http"
	"strconv"
	"time"

	"switchshore.example/switchshore/internal/drain"
)

// operatorTimeout is the time for which an operator waits for a response.
const operatorTimeout = 5 * time.Second

// RequestDrain makes an operator send a drain request after a time and repeat it until a response
// arrives.
func (sim *Simulation) RequestDrain(after time.Duration, request *drain.Request, done func(drain.Response)) {
	sim.drainRequests++
	request.ID = strconv.Itoa(sim.drainRequests)
	sim.after(after, func() { sim.tryDrainRequest(request, done) })
}

func (sim *Simulation) tryDrainRequest(request *drain.Request, done func(drain.Response)) {
	finished := false
	finish := func(response drain.Response) {
		if finished {
			return
		}
		finished = true
		if drainsUnavailable(response.HTTPStatus) || sim.chance(0.2) {
			// No leader with enabled drains was reached, or the response is lost.
			sim.after(sim.between(500, 3000), func() { sim.tryDrainRequest(request, done) })
			return
		}
		if done != nil {
			done(response)
		}
	}
	sim.after(operatorTimeout, func() { finish(drain.Response{HTTPStatus: http.StatusServiceUnavailable}) })
	n := sim.leaderFor(sim.drawNode())
	if n == nil || n.previousVersion {
		return
	}
	sim.copies.answered(peerRequest, n, func() { sim.executeDrainRequestCopy(n, request) })
	n.after(sim.between(1, 30), func() {
		if n.leader == nil {
			return
		}
		n.leader.HandleDrainRequest(n.clock(), sim.now, request, func(response drain.Response) {
			sim.trace(boundaryOperatorResponse, n, request, response.HTTPStatus, response.Reason, response.Drains)
			finish(response)
		})
	})
}

// executeDrainRequestCopy executes a copy of an operator's request, which arrives at a node that has led, if a
// leader can be reached from there. Nobody waits for its response.
func (sim *Simulation) executeDrainRequestCopy(at *node, request *drain.Request) {
	if n := sim.leaderFor(at); n != nil && !n.previousVersion {
		n.leader.HandleDrainRequest(n.clock(), sim.now, request, func(drain.Response) {})
	}
}

// drainsUnavailable reports whether a status code means that there is no leader or that drains are
// disabled.
func drainsUnavailable(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusForbidden
}
