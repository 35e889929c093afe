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

// replacementCount counts the replacements of a batch by machine type: those needed, those ready,
// and those provisioned that are not ready yet.
type replacementCount struct {
	needed, ready, notReady map[string]int
}

// countReplacements counts the replacements of a batch. A replacement is ready once it is
// schedulable. Replacements that are being released or will not become schedulable don't count.
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
		case m == nil || m.IsReleasing() || m.CordonedFor(machines.ReleaseWhenEmptyReasons|machines.CordonAgentReplaced):
		case d.cluster.IsSchedulable(now, m):
			n.ready[m.Type]++
		default:
			n.notReady[m.Type]++
		}
	}
	return n
}

// missingOfType returns the number of replacements of a type that are yet to be provisioned.
func (n *replacementCount) missingOfType(machineType string) int {
	return max(0, n.needed[machineType]-n.ready[machineType]-n.notReady[machineType])
}

// allReady reports whether every machine of the batch has a replacement that is ready.
func (n *replacementCount) allReady() bool {
	for machineType, needed := range n.needed {
		if n.ready[machineType] < needed {
			return false
		}
	}
	return true
}

// cordonOnceReplaced cordons the batch once its replacements are ready. If they are not ready
// within ReplacementTimeout, it pauses the drain.
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

// cordonBatch cordons the machines of the batch and stores that.
func (s *drainStep) cordonBatch() {
	s.record.Batch.Cordoned, s.record.Batch.SinceMS = true, s.wall.UnixMilli()
	s.applyBatchCordon()
	s.d.storeDrain(s.record, nil)
}

// drainWaitingForReplacements returns the drain whose batch waits for replacements, nil if there is none.
func (d *Drainer) drainWaitingForReplacements() *storedDrain {
	for _, r := range d.drains {
		if r.durable && r.State == drain.Running && r.Batch != nil && !r.Batch.Cordoned {
			return r
		}
	}
	return nil
}

// ReplacementCalls returns the cloud calls that provision the replacements missing for the running
// drain's batch.
func (d *Drainer) ReplacementCalls(now time.Time) []scaling.CloudCall {
	r := d.drainWaitingForReplacements()
	if r == nil || !d.cluster.MachineListCurrent() {
		// Before the lists are complete, a new leader could provision a second time what an
		// earlier leader has provisioned and no list shows yet.
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

// replacementOffering returns the offer from which to provision a replacement of a type. It prefers
// the zone of the replaced machine, then any other zone, and falls back from spot to on-demand.
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

// AddReplacements adds machines that were provisioned for a drain to its current batch.
func (d *Drainer) AddReplacements(drainName string, machineIDs []string) {
	r := d.drains[drainName]
	if r == nil || r.Batch == nil || len(machineIDs) == 0 {
		return
	}
	// Replacements that no longer exist would only take space in the record.
	r.Batch.Replacements = slices.DeleteFunc(r.Batch.Replacements, d.noLongerExists)
	r.Batch.Replacements = append(r.Batch.Replacements, machineIDs...)
	r.Counts.Replacements += len(machineIDs)
	d.storeDrain(r, nil)
}
