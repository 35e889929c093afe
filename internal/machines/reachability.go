package machines

import (
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// Reachability tracks which zones are probably partitioned from this node, by the heartbeats that
// arrive.
type Reachability struct {
	// partitionedZones maps each zone that is probably partitioned to the time until which it
	// counts as such.
	partitionedZones map[string]time.Time
	// isolated: this node has probably lost contact with most machines.
	isolated bool
}

// NewReachability returns a Reachability without partitions.
func NewReachability() *Reachability {
	return &Reachability{partitionedZones: map[string]time.Time{}}
}

// IsPartitioned reports whether the zone is probably partitioned, so that machines provisioned
// in it could not send heartbeats.
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

// IsIsolated reports whether this node has probably lost contact with most machines, or has not
// yet applied their heartbeats after a failover.
func (r *Reachability) IsIsolated() bool { return r.isolated }

// Update determines the partitioned zones from the unreachable machines. A zone counts as
// partitioned if most of its machines are unreachable while most machines elsewhere are
// reachable. If too many machines outside the partitioned zones are unreachable, this node
// counts as isolated.
func (r *Reachability) Update(now time.Time, list []*Machine, t *Timing) {
	zones := map[string]*heartbeatCount{}
	all := &heartbeatCount{}
	for _, m := range list {
		if !m.HasJoined() {
			continue
		}
		if zones[m.Zone] == nil {
			zones[m.Zone] = &heartbeatCount{}
		}
		unreachable := m.IsUnreachable(now, t)
		zones[m.Zone].count(unreachable)
		all.count(unreachable)
	}
	rest := *all
	for zone, z := range zones {
		switch {
		case z.isPartitioned(all):
			// After that time its unreachable machines may have been released.
			r.partitionedZones[zone] = now.Add(t.LeaseExpiry)
			rest.joined -= z.joined
			rest.unreachable -= z.unreachable
		case z.joined > z.unreachable:
			delete(r.partitionedZones, zone)
		}
	}
	r.isolated = rest.joined > 0 && rest.reachableShare() < tuning.OtherZonesMinReachableShare
}

// heartbeatCount counts the machines that have joined and those of them that are unreachable.
type heartbeatCount struct{ joined, unreachable int }

func (h *heartbeatCount) count(unreachable bool) {
	h.joined++
	if unreachable {
		h.unreachable++
	}
}

// isPartitioned reports whether a zone is probably partitioned, given the count of all zones.
func (h *heartbeatCount) isPartitioned(all *heartbeatCount) bool {
	others := heartbeatCount{joined: all.joined - h.joined, unreachable: all.unreachable - h.unreachable}
	return h.unreachable >= tuning.PartitionMinUnreachable && h.reachableShare() <= tuning.PartitionMaxReachableShare && others.reachableShare() >= tuning.OtherZonesMinReachableShare
}

// reachableShare returns the share of the joined machines that is reachable, 0 if none has
// joined.
func (h *heartbeatCount) reachableShare() float64 {
	return float64(h.joined-h.unreachable) / float64(max(h.joined, 1))
}
