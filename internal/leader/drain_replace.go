package leader

import (
	"maps"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/autoscale"
	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
)

// replacementCount counts, by machine type, what a batch needs and what there is for it.
type replacementCount struct {
	needed, ready, coming map[string]int
}

// countReplacements counts the replacements of a batch. Those that will take no work are left
// out; one is ready only once it has reported and takes work.
func (l *Leader) countReplacements(now time.Time, b *drain.Batch) replacementCount {
	n := replacementCount{map[string]int{}, map[string]int{}, map[string]int{}}
	for _, name := range b.Machines {
		if m := l.machines.Get(name); m != nil {
			n.needed[m.Type]++
		}
	}
	for _, name := range b.Replacements {
		m := l.machines.Get(name)
		switch {
		case m == nil || m.Releasing || m.CordonedFor(machines.RetiringReasons|machines.CordonReplaced):
		case l.acceptsWork(now, m):
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
func (s *drainStep) awaitReplacements() {
	n := s.countReplacements(s.now, s.record.Batch)
	switch {
	case n.complete():
		s.cordonBatch()
	case s.wall.Sub(time.UnixMilli(s.record.Batch.Since)) > tuning.ReplacementTimeout:
		if s.record.Pause(drain.Reason{Cause: drain.ReplacementTimedOut}) {
			s.notePaused()
		}
	default:
		s.wait(drain.WaitReplacement, "")
	}
}

// cordonBatch lets the machines of the batch take no new work any more.
func (s *drainStep) cordonBatch() {
	s.record.Batch.Cordoned, s.record.Batch.Since = true, s.wall.UnixMilli()
	s.applyBatchCordon()
	s.storeDrain(s.record, nil)
}

// awaitingReplacements is the drain whose batch waits for replacements, nil if none does.
func (l *Leader) awaitingReplacements() *storedDrain {
	for _, d := range l.drains {
		if d.durable && d.State == drain.Running && d.Batch != nil && !d.Batch.Cordoned {
			return d
		}
	}
	return nil
}

// replacementCalls are the rentals that the running drain's batch waits for.
func (l *Leader) replacementCalls(now time.Time) []CloudCall {
	d := l.awaitingReplacements()
	if d == nil || !l.listsComplete {
		// A new leader must not rent anew what an earlier one has rented and no list has told yet.
		return nil
	}
	for _, r := range l.pendingProvisions {
		if r.replacementFor != "" {
			return nil
		}
	}
	n := l.countReplacements(now, d.Batch)
	var calls []CloudCall
	for _, machineType := range slices.Sorted(maps.Keys(n.needed)) {
		missing := n.missing(machineType)
		if most := l.operator.MaxMachines; most > 0 {
			missing = min(missing, most-l.machines.Len())
		}
		if o, ok := l.replacementOffer(now, d.Batch, machineType); ok && missing > 0 {
			calls = append(calls, l.provision(now, o, missing, d.Spec.Name))
		}
	}
	return calls
}

// replacementOffer is where to rent a replacement of a type: as the machine of the batch is,
// or else in another zone, or else not as a spot machine.
func (l *Leader) replacementOffer(now time.Time, b *drain.Batch, machineType string) (autoscale.Offer, bool) {
	i := slices.IndexFunc(b.Machines, func(name string) bool {
		return l.machines.Get(name) != nil && l.machines.Get(name).Type == machineType
	})
	m := l.machines.Get(b.Machines[i])
	zones := slices.Concat([]string{m.Zone}, l.catalogue.Type(machineType).Zones)
	for _, spot := range []bool{m.Spot, false} {
		for _, zone := range zones {
			o := autoscale.Offer{Type: machineType, Zone: zone, Spot: spot}
			if slices.Contains(l.catalogue.Type(machineType).Zones, zone) && l.offered(now, o) {
				return o, true
			}
		}
	}
	return autoscale.Offer{}, false
}

// noteReplacements adds machines that were rented for a drain to its batch.
func (l *Leader) noteReplacements(name string, replacements []string) {
	d := l.drains[name]
	if d == nil || d.Batch == nil || len(replacements) == 0 {
		return
	}
	// Those that have gone meanwhile make room in the record.
	d.Batch.Replacements = slices.DeleteFunc(d.Batch.Replacements, l.provablyGone)
	d.Batch.Replacements = append(d.Batch.Replacements, replacements...)
	d.Counts.Replacements += len(replacements)
	l.storeDrain(d, nil)
}
