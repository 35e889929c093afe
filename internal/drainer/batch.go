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

// beginBatch starts a batch of the selected machines that have the fewest attempts. It starts none
// while batches are blocked, or if the remaining machines could not meet the teams' guarantees. If no
// selected machine can be drained any more, the drain is done or waits for the outstanding ones.
func (s *drainStep) beginBatch() {
	if cause := s.d.cluster.BatchBlockedCause(s.now); cause != "" {
		s.setWaitReason(cause, "")
		return
	}
	if s.now.Before(s.d.nextBatchAt) {
		return
	}
	s.d.nextBatchAt = s.now.Add(tuning.DrainBatchInterval)
	selected, outstanding := s.selectedMachines()
	if len(selected) == 0 {
		s.markDoneIfComplete(outstanding)
		return
	}
	slices.SortStableFunc(selected, func(a, b *machines.Machine) int { return cmp.Compare(len(a.Attempts()), len(b.Attempts())) })
	batch := selected[:min(s.record.Spec.BatchSize, len(selected))]
	if team := s.teamWithUnmetGuarantee(batch); team != "" {
		s.setWaitReason(drain.BlockedByGuarantee, team)
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

// applyBatchCordon cordons the machines of the batch if the record marks the batch as cordoned.
func (s *drainStep) applyBatchCordon() {
	for _, name := range s.record.Batch.Machines {
		if m := s.d.cluster.Machines.Get(name); m != nil {
			s.d.ApplyCordon(m)
		}
	}
}

// markDoneIfComplete marks a drain done that has no machine left to drain. It waits while outstanding
// selected machines are being released or not listed yet, and while a provision call in flight may
// add more.
func (s *drainStep) markDoneIfComplete(outstanding int) {
	if outstanding > 0 || s.selectsProvisionInFlight() {
		s.setWaitReason(drain.WaitMachineRelease, "")
		return
	}
	s.record.State, s.record.Reason = drain.Done, drain.Reason{}
	s.d.log.Info().Str("drain", s.record.Spec.Name).Int("machines", s.record.Counts.Machines).Int("evicted", s.record.Counts.Evicted).Msg("drain done")
	s.d.storeDrain(s.record, nil)
}

// selectsProvisionInFlight reports whether a provision call in flight may add machines that the drain
// selects.
func (s *drainStep) selectsProvisionInFlight() bool {
	return s.d.cluster.Scaler.AnyProvisionInFlight(func(p *scaling.InFlightProvision) bool {
		return s.record.Spec.Selector.SelectsAllOf(p.Offering.Type, p.Offering.Zone)
	})
}

// selectedMachines returns the selected machines that can be drained now. outstanding is the number of
// the other selected machines: those that are being released or that the cloud does not list yet.
func (s *drainStep) selectedMachines() (selected []*machines.Machine, outstanding int) {
	for _, m := range s.d.cluster.Machines.All() {
		s.d.examinedCount++
		switch {
		case !isSelected(s.record.Record, s.now, s.wall, m):
		case m.IsBeingReleased() || !m.WasListedByCloud():
			outstanding++
		default:
			selected = append(selected, m)
		}
	}
	return selected, outstanding
}

// isSelected reports whether a drain selects a machine. now and wall are the same moment on the
// monotonic clock and as wall-clock time.
func isSelected(r *drain.Record, now, wall time.Time, m *machines.Machine) bool {
	provisionedAt := wall.Add(m.ProvisionedAt().Sub(now))
	return r.Spec.Selector.Selects(drain.Machine{Name: m.ID, Type: m.Type, Zone: m.Zone, ProvisionedAt: provisionedAt})
}

// teamWithUnmetGuarantee returns the first team whose guarantee could not be met without the machines
// of the batch, or "" if there is none. A team with waiting tasks needs its guaranteed CPUs, or the
// CPUs that its tasks use and wait for if these are fewer. The needs of such teams together must not
// exceed the CPUs of the schedulable machines that remain.
func (s *drainStep) teamWithUnmetGuarantee(batch []*machines.Machine) string {
	waiting := map[string]float64{}
	for j := range s.d.cluster.RunnableJobs() {
		waiting[j.Team] += float64(j.ReadyTasks()) * j.CPUs
	}
	capacity := s.schedulableCPUsWithout(batch)
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

// schedulableCPUsWithout returns the CPUs of the schedulable machines without those of the batch. If
// the drain replaces its machines, their replacements add as many CPUs, so the batch is included.
func (s *drainStep) schedulableCPUsWithout(batch []*machines.Machine) float64 {
	cpus := 0.0
	for _, m := range s.d.cluster.Machines.All() {
		s.d.examinedCount++
		if s.d.cluster.IsSchedulable(s.now, m) {
			cpus += m.Capacity().CPUs
		}
	}
	if s.record.Spec.Replace {
		return cpus
	}
	for _, m := range batch {
		if s.d.cluster.IsSchedulable(s.now, m) {
			cpus -= m.Capacity().CPUs
		}
	}
	return cpus
}

// removeReleased removes the machines that no longer exist from the batch, and ends the batch if none
// are left.
func (s *drainStep) removeReleased() {
	remaining := slices.DeleteFunc(slices.Clone(s.record.Batch.Machines), s.d.noLongerExists)
	removed := len(s.record.Batch.Machines) - len(remaining)
	if removed == 0 {
		return
	}
	s.record.Counts.Machines += removed
	s.record.Batch.Machines = remaining
	if len(remaining) == 0 {
		s.record.Batch = nil
		s.record.Counts.Batches++
		s.d.nextBatchAt = time.Time{}
		s.d.log.Info().Str("drain", s.record.Spec.Name).Int("batches", s.record.Counts.Batches).Msg("drain batch finished")
	}
	s.d.storeDrain(s.record, nil)
}
