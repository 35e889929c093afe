package simulation

import (
	"fmt"
	"time"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/election"
	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/records"
)

// node is a simulated controller process. It performs the same steps as the real one, as events.
type node struct {
	sim         *Simulation
	id          int
	name        string
	zone        string
	clockDrift  float64 // deviation of its clock per unit of elapsed time
	up          bool
	incarnation int // incremented by every crash; callbacks of earlier incarnations are dropped

	nonce      uint64
	leadership *election.Leadership
	leader     *leader.Leader
	lease      uint64
	writer     *kvstore.FencedWriter
	batch      *records.Batch // being written, or nil
	budget     writeBudget

	storeUnreachableUntil time.Time // requests to the key-value store get no response
	storeRefusesUntil     time.Time // the key-value store responds with 503 to this node
	frozenUntil           time.Time // the process is suspended while its clocks continue

	previousVersion   bool // runs the version without dependent jobs
	drainsDisabled    bool // the settings of this node have no drains
	admissionDisabled bool // the settings of this node have no admission control
	gate              *admission.Gate
	peerLoads         map[string]admission.NodeOfferedLoad // from the latest heartbeats of the other nodes
}

// newNode returns a node whose process is running.
func newNode(sim *Simulation, id int, zone string) *node {
	return &node{
		sim: sim, id: id, name: fmt.Sprintf("node-%d", id), zone: zone, up: true,
		clockDrift: (sim.rng.Float64() - 0.5) * 0.001, peerLoads: map[string]admission.NodeOfferedLoad{},
	}
}

// after calls run on the node after a time, or once the node resumes if it is frozen then. A frozen
// leader thus sends its earlier decisions only after it has resumed.
func (n *node) after(d time.Duration, run func()) {
	n.sim.after(d, func() {
		if n.sim.now.Before(n.frozenUntil) {
			n.after(n.frozenUntil.Sub(n.sim.now), run)
			return
		}
		run()
	})
}

// clock returns the time of the node's monotonic clock.
func (n *node) clock() time.Time {
	elapsed := n.sim.elapsed()
	return n.sim.start.Add(elapsed + time.Duration(float64(elapsed)*n.clockDrift))
}

// isRunning reports whether the process is up and has not crashed since the given incarnation.
func (n *node) isRunning(incarnation int) bool { return n.up && n.incarnation == incarnation }

// crash ends the process and restarts it after a time.
func (n *node) crash(down time.Duration) {
	if !n.up {
		return
	}
	n.up = false
	n.incarnation++
	n.frozenUntil = time.Time{}
	n.clearLeadership()
	n.sim.copies.processEnded(n)
	n.sim.after(down, func() {
		if n.sim.faultsAllowed() && n.sim.chance(n.sim.VersionFlipRate) {
			n.previousVersion = !n.previousVersion
		}
		n.up = true
		n.gate, n.peerLoads = nil, map[string]admission.NodeOfferedLoad{}
		n.electionStep(n.incarnation)
	})
}

// isolate separates the node from the key-value store and all other nodes for a time.
func (n *node) isolate(span time.Duration) {
	n.storeUnreachableUntil = n.sim.now.Add(span)
	for _, other := range n.sim.nodes {
		if n != other {
			n.sim.network.partitionNodes(n, other, span)
		}
	}
}

// settings returns the operators' settings of the node, without admission control and drains if the
// node runs the previous version or they are disabled there.
func (n *node) settings() config.OperatorSettings {
	operator := n.sim.Operator
	if n.previousVersion || n.admissionDisabled {
		operator.Admission = nil
	}
	if n.previousVersion || n.drainsDisabled {
		operator.Drains = nil
	}
	return operator
}

// storeLimits returns the limits of the key-value store that the node's version respects: the
// previous version ignores announced limits.
func (n *node) storeLimits() config.KVStoreLimits {
	if n.previousVersion {
		return n.sim.Params.KVStore
	}
	return n.sim.Params.KVStore.Tightest()
}

// drawNode draws the node to which the load balancer sends a client's request.
func (sim *Simulation) drawNode() *node { return sim.nodes[sim.rng.IntN(len(sim.nodes))] }

// forEachLeader calls do for every node that leads or has not noticed yet that it was deposed.
func (sim *Simulation) forEachLeader(do func(*node)) {
	for _, n := range sim.nodes {
		if n.leader != nil {
			do(n)
		}
	}
}

// leaderFor returns the leader that responds to a client's request sent to a node, or nil.
func (sim *Simulation) leaderFor(target *node) *node {
	return target.findLeader(func(n *node) bool { return n.leadership.HoldsLease(n.clock()) })
}

// leaderForHeartbeat returns the leader that responds to an agent's heartbeat sent to a node, or
// nil. It may be in its grace period.
func (sim *Simulation) leaderForHeartbeat(target *node) *node {
	grace := leader.GracePeriod(sim.Params.Workers)
	return target.findLeader(func(n *node) bool { return n.leadership.MayRespondToHeartbeats(n.clock(), grace) })
}

// findLeader returns the node itself if it leads, else the leader of the highest term to which it
// can forward a request, or nil; mayRespond selects the leaders that may respond.
func (n *node) findLeader(mayRespond func(*node) bool) *node {
	if !n.up {
		return nil
	}
	if n.leader != nil && mayRespond(n) {
		return n
	}
	var newest *node
	for _, other := range n.sim.nodes {
		if other.leader == nil || !mayRespond(other) || !n.canForwardTo(other) {
			continue
		}
		if newest == nil || other.leadership.Term > newest.leadership.Term {
			newest = other
		}
	}
	return newest
}

// canForwardTo reports whether requests that the node forwards reach another node.
func (n *node) canForwardTo(other *node) bool {
	net := n.sim.network
	responsive := other.up && !n.sim.now.Before(other.frozenUntil)
	return responsive && !net.nodesPartitioned(n, other) && !net.zonesPartitioned(other.zone, n.zone)
}
