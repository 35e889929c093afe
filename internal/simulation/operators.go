package simulation

import (
	"net/http"
	"time"

	"switchshore.example/switchshore/internal/drain"
)

// operatorTimeout is how long an operator waits for a response.
const operatorTimeout = 5 * time.Second

// RequestDrain lets an operator send a request after a time, and repeat it until it is answered.
func (sim *Simulation) RequestDrain(after time.Duration, request *drain.Request, done func(drain.Response)) {
	sim.after(after, func() { sim.tryDrainRequest(request, done) })
}

func (sim *Simulation) tryDrainRequest(request *drain.Request, done func(drain.Response)) {
	settled := false
	finish := func(response drain.Response) {
		if settled {
			return
		}
		settled = true
		if noDrains(response.Status) || sim.chance(0.2) {
			// There is no leader with drains, or the response is lost.
			sim.RequestDrain(sim.between(500, 3000), request, done)
			return
		}
		if done != nil {
			done(response)
		}
	}
	sim.after(operatorTimeout, func() { finish(drain.Response{Status: http.StatusServiceUnavailable}) })
	n := sim.leaderFor(sim.anyNode())
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

// noDrains reports whether a status is that of a node without a leader or with drains off.
func noDrains(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusForbidden
}
