package simulation

import (
	"net/http"
	"time"

	"switchshore.example/switchshore/internal/drain"
)

// operatorTimeout is the time for which an operator waits for a response.
const operatorTimeout = 5 * time.Second

// RequestDrain makes an operator send a drain request after a time and repeat it until a response
// arrives.
func (sim *Simulation) RequestDrain(after time.Duration, request *drain.Request, done func(drain.Response)) {
	sim.after(after, func() { sim.tryDrainRequest(request, done) })
}

func (sim *Simulation) tryDrainRequest(request *drain.Request, done func(drain.Response)) {
	finished := false
	finish := func(response drain.Response) {
		if finished {
			return
		}
		finished = true
		if drainsUnavailable(response.Status) || sim.chance(0.2) {
			// No leader with enabled drains was reached, or the response is lost.
			sim.RequestDrain(sim.between(500, 3000), request, done)
			return
		}
		if done != nil {
			done(response)
		}
	}
	sim.after(operatorTimeout, func() { finish(drain.Response{Status: http.StatusServiceUnavailable}) })
	n := sim.leaderFor(sim.drawNode())
	if n == nil || n.previousVersion {
		return
	}
	n.after(sim.between(1, 30), func() {
		if n.leader == nil {
			return
		}
		n.leader.HandleDrainRequest(n.clock(), sim.now, request, func(response drain.Response) {
			sim.trace(boundaryOperatorResponse, n, request, response.Status, response.Reason, response.Drains)
			finish(response)
		})
	})
}

// drainsUnavailable reports whether a status code means that there is no leader or that drains are
// disabled.
func drainsUnavailable(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusForbidden
}
