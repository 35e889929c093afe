package simulation

import "time"

// noZone is the zone of clients, the cloud's API and the key-value store, which are in none.
const noZone = ""

// network decides which parts of the cluster can reach each other and how long messages take.
type network struct {
	loop                 *eventLoop
	partitionedPairs     map[nodePair]bool
	partitionedZone      string // can communicate only within itself
	partitionedZoneUntil time.Time
	slowLinksUntil       time.Time
}

// nodePair holds the ids of two nodes, the lower one first.
type nodePair [2]int

func newNodePair(a, b *node) nodePair { return nodePair{min(a.id, b.id), max(a.id, b.id)} }

func newNetwork(loop *eventLoop) *network {
	return &network{loop: loop, partitionedPairs: map[nodePair]bool{}}
}

// partitionNodes blocks messages between two nodes for a time.
func (net *network) partitionNodes(a, b *node, span time.Duration) {
	pair := newNodePair(a, b)
	net.partitionedPairs[pair] = true
	net.loop.after(span, func() { delete(net.partitionedPairs, pair) })
}

// nodesPartitioned reports whether two nodes can't reach each other.
func (net *network) nodesPartitioned(a, b *node) bool { return net.partitionedPairs[newNodePair(a, b)] }

// partitionZone separates a zone from all other zones and from noZone.
func (net *network) partitionZone(zone string, until time.Time) {
	net.partitionedZone, net.partitionedZoneUntil = zone, until
}

// zonesPartitioned reports whether two zones can't reach each other; either may be noZone.
func (net *network) zonesPartitioned(a, b string) bool {
	active := net.loop.now.Before(net.partitionedZoneUntil)
	return active && a != b && (a == net.partitionedZone || b == net.partitionedZone)
}

// agentDelay draws how long a message between an agent and a node takes.
func (net *network) agentDelay() time.Duration {
	if net.loop.now.Before(net.slowLinksUntil) {
		return net.loop.between(200, 1800)
	}
	return net.loop.between(1, 50)
}

// SlowDownLinks delays messages between agents and controllers for a time.
func (sim *Simulation) SlowDownLinks(span time.Duration) {
	sim.network.slowLinksUntil = sim.now.Add(span)
}
