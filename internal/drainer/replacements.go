package drainer

import (
	"maps"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/autoscale"
	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/scaling"
	"switchshore.example/switchshore/internal/tuning"
)

// replacementCount counts the replacements of a batch by machine type. notReady counts those that were
// provisioned but are not ready yet.
type replacementCount struct {
	needed, ready, notReady map[string]int
}

// countReplacements counts the replacements of a batch. Each machine of the batch needs one of its
// type. A replacement is ready once it is schedulable. Replacements that are being released, or that
// will be, don't count.
func (d *Drainer) countReplacements(now time.Time, b *drain.Batch) replacementCount {
	n := replacementCount{map[string]int{}, map[string]int{}, map[string]int{}}
	for _, name := range b.Machines {
		if m := d.cluster.Machines.Get(name); m != nil {
			n.needed[m.Type]++
		}
	}
	for _, name := range b.Replacements {
		m := d.cluster.Machines.Get(name)
		switch {
		case m == nil || m.IsBeingReleased() || m.IsCordonedFor(machines.ReleaseWhenEmptyReasons|machines.CordonAgentReplaced):
		case d.cluster.IsSchedulable(now, m):
			n.ready[m.Type]++
		default:
			n.notReady[m.Type]++
		}
	}
	return n
}

// missingOfType returns the number of replacements of a type that have not been provisioned yet.
func (n *replacementCount) missingOfType(machineType string) int {
	return max(0, n.needed[machineType]-n.ready[machineType]-n.notReady[machineType])
}

// allReady reports whether as many replacements of each type are ready as are needed.
func (n *replacementCount) allReady() bool {
	for machineType, needed := range n.needed {
		if n.ready[machineType] < needed {
			return false
		}
	}
	return true
}

// cordonOnceReplaced cordons the batch if all of its replacements are ready, and otherwise records that
// the drain waits for them. After tuning.ReplacementTimeout it pauses the drain.
func (s *drainStep) cordonOnceReplaced() {
	n := s.d.countReplacements(s.now, s.record.Batch)
	switch {
	case n.allReady():
		s.cordonBatch()
	case s.wall.Sub(time.UnixMilli(s.record.Batch.SinceMS)) > tuning.ReplacementTimeout:
		if s.record.Pause(drain.Reason{Cause: drain.ReplacementTimedOut}) {
			s.logAndStorePaused()
		}
	default:
		s.setWaitReason(drain.WaitReplacement, "")
	}
}

// cordonBatch cordons the machines of the batch and stores the record.
func (s *drainStep) cordonBatch() {
	s.record.Batch.Cordoned, s.record.Batch.SinceMS = true, s.wall.UnixMilli()
	s.applyBatchCordon()
	s.d.storeDrain(s.record, nil)
}

// drainWaitingForReplacements returns the drain whose batch waits for replacements, or nil if there is
// none.
func (d *Drainer) drainWaitingForReplacements() *storedDrain {
	for _, r := range d.drains {
		if r.durable && r.State == drain.Running && r.Batch != nil && !r.Batch.Cordoned {
			return r
		}
	}
	return nil
}

// ReplacementCalls returns the cloud calls that provision the missing replacements for the batch of
// the running drain. It returns none while such a call is in flight.
func (d *Drainer) ReplacementCalls(now time.Time) []scaling.CloudCall {
	r := d.drainWaitingForReplacements()
	if r == nil || !d.cluster.HasCurrentMachineList() {
		// An earlier leader may have provisioned replacements that no machine list shows yet. Without
		// this check, a new leader could provision them a second time.
		return nil
	}
	if d.cluster.Scaler.AnyProvisionInFlight(func(p *scaling.InFlightProvision) bool { return p.ReplacementFor != "" }) {
		return nil
	}
	n := d.countReplacements(now, r.Batch)
	var calls []scaling.CloudCall
	for _, machineType := range slices.Sorted(maps.Keys(n.needed)) {
		missing := n.missingOfType(machineType)
		if limit := d.config.MaxMachines; limit > 0 {
			missing = min(missing, limit-d.cluster.Machines.Len())
		}
		if o, ok := d.replacementOffering(now, r.Batch, machineType); ok && missing > 0 {
			calls = append(calls, d.cluster.Scaler.Provision(now, o, missing, r.Spec.Name))
		}
	}
	return calls
}

// replacementOffering returns the offering of which to provision a replacement of a type, and false if
// none can be provisioned now. It prefers the zone of the replaced machine to other zones. For a spot
// machine it tries the spot offerings of all zones before the on-demand ones.
func (d *Drainer) replacementOffering(now time.Time, b *drain.Batch, machineType string) (autoscale.Offering, bool) {
	i := slices.IndexFunc(b.Machines, func(name string) bool {
		m := d.cluster.Machines.Get(name)
		return m != nil && m.Type == machineType
	})
	m := d.cluster.Machines.Get(b.Machines[i])
	offeredZones := d.cluster.Catalogue.Type(machineType).Zones
	for _, spot := range []bool{m.Spot, false} {
		for _, zone := range slices.Concat([]string{m.Zone}, offeredZones) {
			o := autoscale.Offering{Type: machineType, Zone: zone, Spot: spot}
			if slices.Contains(offeredZones, zone) && d.cluster.Scaler.CanProvision(now, o) {
				return o, true
			}
		}
	}
	return autoscale.Offering{}, false
}

// AddReplacements records machines that were provisioned for a drain as replacements of its current
// batch.
func (d *Drainer) AddReplacements(drainName string, machineIDs []string) {
	r := d.drains[drainName]
	if r == nil || r.Batch == nil || len(machineIDs) == 0 {
		return
	}
	// Replacements that no longer exist would only make the record larger.
	r.Batch.Replacements = slices.DeleteFunc(r.Batch.Replacements, d.noLongerExists)
	r.Batch.Replacements = append(r.Batch.Replacements, machineIDs...)
	r.Counts.Replacements += len(machineIDs)
	d.storeDrain(r, nil)
}
