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

// replacementCount counts, by machine type, what a batch needs and what there is for it.
type replacementCount struct {
	needed, ready, coming map[string]int
}

// countReplacements counts the replacements of a batch. Those that will take no work are left
// out; one is ready only once it has reported and takes work.
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
		case m == nil || m.IsReleasing() || m.CordonedFor(machines.RetiringReasons|machines.CordonReplaced):
		case d.cluster.AcceptsWork(now, m):
			n.ready[m.Type]++
		default:
			n.coming[m.Type]++
		}
	}
	return n
}

// missing is how many more machines of a type have to come.
func (n *replacementCount) missing(machineType string) int {
	return max(0, n.needed[machineType]-n.ready[machineType]-n.coming[machineType])
}

// complete reports whether every machine of the batch has a replacement that is ready.
func (n *replacementCount) complete() bool {
	for machineType, needed := range n.needed {
		if n.ready[machineType] < needed {
			return false
		}
	}
	return true
}

// awaitReplacements cordons the batch once its replacements are ready. If they don't come in
// time the drain is paused.
func (s *step) awaitReplacements() {
	n := s.d.countReplacements(s.now, s.record.Batch)
	switch {
	case n.complete():
		s.cordonBatch()
	case s.wall.Sub(time.UnixMilli(s.record.Batch.SinceMS)) > tuning.ReplacementTimeout:
		if s.record.Pause(drain.Reason{Cause: drain.ReplacementTimedOut}) {
			s.reportPaused()
		}
	default:
		s.wait(drain.WaitReplacement, "")
	}
}

// cordonBatch lets the machines of the batch take no new work any more.
func (s *step) cordonBatch() {
	s.record.Batch.Cordoned, s.record.Batch.SinceMS = true, s.wall.UnixMilli()
	s.applyBatchCordon()
	s.d.storeDrain(s.record, nil)
}

// awaitingReplacements is the drain whose batch waits for replacements, nil if none does.
func (d *Drainer) awaitingReplacements() *storedDrain {
	for _, r := range d.drains {
		if r.durable && r.State == drain.Running && r.Batch != nil && !r.Batch.Cordoned {
			return r
		}
	}
	return nil
}

// ReplacementCalls returns the calls for the machines that the running drain's batch waits for.
func (d *Drainer) ReplacementCalls(now time.Time) []scaling.CloudCall {
	r := d.awaitingReplacements()
	if r == nil || !d.cluster.ListsComplete() {
		// A new leader must not provision again what an earlier one has and no list has
		// shown yet.
		return nil
	}
	if d.cluster.Scaler.AnyPending(func(p *scaling.Provision) bool { return p.ReplacementFor != "" }) {
		return nil
	}
	n := d.countReplacements(now, r.Batch)
	var calls []scaling.CloudCall
	for _, machineType := range slices.Sorted(maps.Keys(n.needed)) {
		missing := n.missing(machineType)
		if most := d.config.MaxMachines; most > 0 {
			missing = min(missing, most-d.cluster.Machines.Len())
		}
		if o, ok := d.replacementOffer(now, r.Batch, machineType); ok && missing > 0 {
			calls = append(calls, d.cluster.Scaler.Provision(now, o, missing, r.Spec.Name))
		}
	}
	return calls
}

// replacementOffer is where to provision a replacement of a type: as the machine of the batch
// is, or else in another zone, or else not as a spot machine.
func (d *Drainer) replacementOffer(now time.Time, b *drain.Batch, machineType string) (autoscale.Offer, bool) {
	i := slices.IndexFunc(b.Machines, func(name string) bool {
		m := d.cluster.Machines.Get(name)
		return m != nil && m.Type == machineType
	})
	m := d.cluster.Machines.Get(b.Machines[i])
	offered := d.cluster.Catalogue.Type(machineType).Zones
	for _, spot := range []bool{m.Spot, false} {
		for _, zone := range slices.Concat([]string{m.Zone}, offered) {
			o := autoscale.Offer{Type: machineType, Zone: zone, Spot: spot}
			if slices.Contains(offered, zone) && d.cluster.Scaler.CanProvision(now, o) {
				return o, true
			}
		}
	}
	return autoscale.Offer{}, false
}

// AddReplacements adds machines that were provisioned for a drain to its batch.
func (d *Drainer) AddReplacements(drainName string, replacements []string) {
	r := d.drains[drainName]
	if r == nil || r.Batch == nil || len(replacements) == 0 {
		return
	}
	// Those that no longer exist make space in the record.
	r.Batch.Replacements = slices.DeleteFunc(r.Batch.Replacements, d.provablyGone)
	r.Batch.Replacements = append(r.Batch.Replacements, replacements...)
	r.Counts.Replacements += len(replacements)
	d.storeDrain(r, nil)
}
