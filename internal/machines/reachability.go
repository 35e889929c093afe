package machines

import (
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// Reachability tracks which zones are probably partitioned from this node. It concludes that from
// the machines whose heartbeats are missing.
type Reachability struct {
	// partitionedZones contains the zones that are probably partitioned, with the time until which
	// they count as partitioned.
	partitionedZones map[string]time.Time
	// isolated: too few machines outside the partitioned zones are reachable.
	isolated bool
}

// NewReachability returns a Reachability without partitions.
func NewReachability() *Reachability {
	return &Reachability{partitionedZones: map[string]time.Time{}}
}

// IsPartitioned reports whether the zone is probably partitioned. Heartbeats of machines that are
// provisioned there would not arrive.
func (r *Reachability) IsPartitioned(now time.Time, zone string) bool {
	return now.Before(r.partitionedZones[zone])
}

// AnyPartitioned reports whether any zone is probably partitioned.
func (r *Reachability) AnyPartitioned(now time.Time) bool {
	for zone := range r.partitionedZones {
		if r.IsPartitioned(now, zone) {
			return true
		}
	}
	return false
}

// IsIsolated reports whether too few machines outside the partitioned zones are reachable. This
// node has then probably lost contact with them, or has not yet applied their heartbeats after a
// failover.
func (r *Reachability) IsIsolated() bool { return r.isolated }

// Update determines the partitioned zones and whether this node is isolated. list contains all
// provisioned machines. A zone counts as partitioned if most of its machines are unreachable and
// most machines in other zones are reachable. This node counts as isolated if a smaller share than
// tuning.ReachableShare of the machines outside the partitioned zones is reachable.
func (r *Reachability) Update(now time.Time, list []*Machine, t *Timing) {
	zones := map[string]*reachabilityCount{}
	all := &reachabilityCount{}
	for _, m := range list {
		if !m.HasJoined() {
			continue
		}
		if zones[m.Zone] == nil {
			zones[m.Zone] = &reachabilityCount{}
		}
		unreachable := m.IsUnreachable(now, t)
		zones[m.Zone].add(unreachable)
		all.add(unreachable)
	}
	outsidePartitions := *all
	for zone, z := range zones {
		switch {
		case z.isPartitioned(all):
			// After the lease expiry, the zone's unreachable machines may have been released.
			r.partitionedZones[zone] = now.Add(t.LeaseExpiry)
			outsidePartitions.joined -= z.joined
			outsidePartitions.unreachable -= z.unreachable
		case z.joined > z.unreachable:
			delete(r.partitionedZones, zone)
		}
	}
	r.isolated = outsidePartitions.joined > 0 && outsidePartitions.reachableShare() < tuning.ReachableShare
}

// reachabilityCount counts machines that have joined, and how many of these are unreachable.
type reachabilityCount struct{ joined, unreachable int }

// add counts one machine.
func (h *reachabilityCount) add(unreachable bool) {
	h.joined++
	if unreachable {
		h.unreachable++
	}
}

// isPartitioned reports whether a zone with this count is probably partitioned. all is the count
// of all zones together.
func (h *reachabilityCount) isPartitioned(all *reachabilityCount) bool {
	others := reachabilityCount{joined: all.joined - h.joined, unreachable: all.unreachable - h.unreachable}
	return h.unreachable >= tuning.PartitionedMachines && h.reachableShare() <= tuning.PartitionedShare && others.reachableShare() >= tuning.ReachableShare
}

// reachableShare returns the share of the joined machines that are reachable, or 0 if none has
// joined.
func (h *reachabilityCount) reachableShare() float64 {
	return float64(h.joined-h.unreachable) / float64(max(h.joined, 1))
}
