package machines

import (
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// Reachability is from which machines heartbeats arrive, by zone.
type Reachability struct {
	// partitionedZones are those that seem to be partitioned, until then.
	partitionedZones map[string]time.Time
	// isolated: this node seems to have lost most machines.
	isolated bool
}

// NewReachability returns one without partitions.
func NewReachability() *Reachability {
	return &Reachability{partitionedZones: map[string]time.Time{}}
}

// IsPartitioned reports whether a zone seems to be partitioned: what is provisioned there could
// not report.
func (r *Reachability) IsPartitioned(now time.Time, zone string) bool {
	return now.Before(r.partitionedZones[zone])
}

// AnyPartitioned reports whether any zone seems to be partitioned.
func (r *Reachability) AnyPartitioned(now time.Time) bool {
	for zone := range r.partitionedZones {
		if r.IsPartitioned(now, zone) {
			return true
		}
	}
	return false
}

// IsIsolated reports whether this node seems to have lost most machines, or
// has not yet applied their heartbeats after a failover.
func (r *Reachability) IsIsolated() bool { return r.isolated }

// Update counts the machines known to be up whose heartbeats are missing. A zone seems to be
// partitioned if most of its machines are unreachable, while those elsewhere are not. If
// many others are unreachable, too, it is this node that is isolated.
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
		missing := m.IsUnreachable(now, t)
		zones[m.Zone].count(missing)
		all.count(missing)
	}
	rest := *all
	for zone, z := range zones {
		switch {
		case z.isPartitioned(all):
			// Its unreachable machines may be released before long.
			r.partitionedZones[zone] = now.Add(t.LeaseExpiry)
			rest.known -= z.known
			rest.missing -= z.missing
		case z.known > z.missing:
			delete(r.partitionedZones, zone)
		}
	}
	r.isolated = rest.known > 0 && rest.share() < tuning.ReachableShare
}

// heartbeatCount counts machines known to be up and those of them that are unreachable.
type heartbeatCount struct{ known, missing int }

func (h *heartbeatCount) count(missing bool) {
	h.known++
	if missing {
		h.missing++
	}
}

// isPartitioned reports whether a zone seems to be partitioned, given the count of all zones.
func (h *heartbeatCount) isPartitioned(all *heartbeatCount) bool {
	others := heartbeatCount{known: all.known - h.known, missing: all.missing - h.missing}
	return h.missing >= tuning.PartitionedMachines && h.share() <= tuning.PartitionedShare && others.share() >= tuning.ReachableShare
}

// share is the part that is reachable, 0 of none.
func (h *heartbeatCount) share() float64 {
	return float64(h.known-h.missing) / float64(max(h.known, 1))
}
