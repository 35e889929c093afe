package drainer

import (
	"cmp"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/scaling"
	"switchshore.example/switchshore/internal/tuning"
)

// beginBatch chooses the machines to be drained next, those with the fewest tasks first.
func (s *step) beginBatch() {
	if cause := s.d.cluster.BlockedCause(s.now); cause != "" {
		s.wait(cause, "")
		return
	}
	if s.now.Before(s.d.nextBatch) {
		return
	}
	s.d.nextBatch = s.now.Add(tuning.DrainBatchInterval)
	selected, leaving := s.selectedMachines()
	if len(selected) == 0 {
		s.finish(leaving)
		return
	}
	slices.SortStableFunc(selected, func(a, b *machines.Machine) int { return cmp.Compare(len(a.Attempts()), len(b.Attempts())) })
	batch := selected[:min(s.record.Spec.BatchSize, len(selected))]
	if team := s.unmetGuarantee(batch); team != "" {
		s.wait(drain.BlockedByGuarantee, team)
		return
	}
	s.record.Batch = &drain.Batch{SinceMS: s.wall.UnixMilli(), Cordoned: !s.record.Spec.Replace}
	for _, m := range batch {
		s.record.Batch.Machines = append(s.record.Batch.Machines, m.ID)
	}
	s.applyBatchCordon()
	s.record.Reason = drain.Reason{}
	s.d.log.Info().Str("drain", s.record.Spec.Name).Strs("machines", s.record.Batch.Machines).Int("left", len(selected)).Msg("drain batch started")
	s.d.storeDrain(s.record, nil)
}

// applyBatchCordon cordons the machines of the batch if the record says so.
func (s *step) applyBatchCordon() {
	for _, name := range s.record.Batch.Machines {
		if m := s.d.cluster.Machines.Get(name); m != nil {
			s.d.ApplyCordon(m)
		}
	}
}

// finish ends a drain that finds no machine any more, once those that are being released no
// longer exist.
func (s *step) finish(leaving int) {
	if leaving > 0 || s.provisioningSelected() {
		s.wait(drain.WaitMachineRelease, "")
		return
	}
	s.record.State, s.record.Reason = drain.Done, drain.Reason{}
	s.d.log.Info().Str("drain", s.record.Spec.Name).Int("machines", s.record.Counts.Machines).Int("evicted", s.record.Counts.Evicted).Msg("drain done")
	s.d.storeDrain(s.record, nil)
}

// provisioningSelected reports whether a provisioning call under way may bring machines that
// are selected.
func (s *step) provisioningSelected() bool {
	return s.d.cluster.Scaler.AnyPending(func(p *scaling.Provision) bool {
		return s.record.Spec.Selector.SelectsAllOf(p.Offer.Type, p.Offer.Zone)
	})
}

// selectedMachines are those to be drained that the cloud has listed, and how many of the
// selected ones are being released or are not listed yet.
func (s *step) selectedMachines() (selected []*machines.Machine, leaving int) {
	for _, m := range s.d.cluster.Machines.All() {
		s.d.examined++
		switch {
		case !selects(s.record.Record, s.now, s.wall, m):
		case m.IsReleasing() || !m.IsListed():
			leaving++
		default:
			selected = append(selected, m)
		}
	}
	return selected, leaving
}

// selects reports whether a machine is to be drained.
func selects(r *drain.Record, now, wall time.Time, m *machines.Machine) bool {
	provisionedAt := wall.Add(m.ProvisionedAt().Sub(now))
	return r.Spec.Selector.Selects(drain.Machine{Name: m.ID, Type: m.Type, Zone: m.Zone, ProvisionedAt: provisionedAt})
}

// unmetGuarantee is a team with waiting work whose guarantee would not fit, together with those
// of the other such teams, into what takes work without the given machines, "" if there is none.
func (s *step) unmetGuarantee(batch []*machines.Machine) string {
	waiting := map[string]float64{}
	for j := range s.d.cluster.RunnableJobs() {
		waiting[j.Team] += float64(j.ReadyTasks()) * j.CPUs
	}
	capacity := s.openCPUs(batch)
	for _, t := range s.d.config.Teams {
		if waiting[t.Name] == 0 {
			continue
		}
		capacity -= min(t.CPUs, s.d.cluster.TeamUsedCPUs(t.Name)+waiting[t.Name])
		if capacity < 0 {
			return t.Name
		}
	}
	return ""
}

// openCPUs are those of the machines that take work, without the batch unless its machines are
// replaced.
func (s *step) openCPUs(batch []*machines.Machine) float64 {
	cpus := 0.0
	for _, m := range s.d.cluster.Machines.All() {
		s.d.examined++
		if s.d.cluster.AcceptsWork(s.now, m) {
			cpus += m.Capacity().CPUs
		}
	}
	if s.record.Spec.Replace {
		return cpus
	}
	for _, m := range batch {
		if s.d.cluster.AcceptsWork(s.now, m) {
			cpus -= m.Capacity().CPUs
		}
	}
	return cpus
}

// removeGone takes the machines that provably no longer exist out of the batch; without any
// left it is over.
func (s *step) removeGone() {
	left := slices.DeleteFunc(slices.Clone(s.record.Batch.Machines), s.d.provablyGone)
	removed := len(s.record.Batch.Machines) - len(left)
	if removed == 0 {
		return
	}
	s.record.Counts.Machines += removed
	s.record.Batch.Machines = left
	if len(left) == 0 {
		s.record.Batch = nil
		s.record.Counts.Batches++
		s.d.nextBatch = time.Time{}
		s.d.log.Info().Str("drain", s.record.Spec.Name).Int("batches", s.record.Counts.Batches).Msg("drain batch finished")
	}
	s.d.storeDrain(s.record, nil)
}
