package leader

import (
	"cmp"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/autoscale"
	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
)

// drainStep is one step of the running drain.
type drainStep struct {
	*Leader
	record    *storedDrain
	now, wall time.Time
	places    map[*jobs.Job]bool // whether tasks of the job have another place
}

// AdvanceDrains takes the next step of the drain that runs; wall is the time of day. It needs
// authority.
func (l *Leader) AdvanceDrains(now, wall time.Time) {
	if l.budgets == nil || now.Before(l.nextDrainStep) {
		return
	}
	l.nextDrainStep = now.Add(tuning.DrainStepInterval)
	l.expireCharges(wall)
	r, changed := drain.Next(l.records())
	if r == nil {
		return
	}
	s := &drainStep{Leader: l, record: l.drains[r.Spec.Name], now: now, wall: wall, places: map[*jobs.Job]bool{}}
	if !s.record.durable {
		return
	}
	if changed {
		l.log.Info().Str("drain", r.Spec.Name).Msg("drain started")
		l.storeDrain(s.record, nil)
	}
	s.advance()
}

func (s *drainStep) advance() {
	if s.record.Batch == nil {
		s.beginBatch()
		return
	}
	s.dropGone()
	switch {
	case s.record.Batch == nil:
	case s.record.Batch.Cordoned:
		s.evict()
	default:
		s.awaitReplacements()
	}
}

// wait notes why there is no progress; past its deadline the drain is paused.
func (s *drainStep) wait(cause drain.Cause, team string) {
	if s.record.Wait(s.wall, drain.Reason{Cause: cause, Team: team}) {
		s.notePaused()
	}
}

func (s *drainStep) notePaused() {
	s.log.Info().Str("drain", s.record.Spec.Name).Stringer("reason", s.record.Reason).Msg("drain paused")
	s.storeDrain(s.record, nil)
}

// heldBack is why no batch may begin now whatever machines there are, "" if one may.
func (s *drainStep) heldBack() drain.Cause {
	switch {
	case !s.listsComplete || s.now.Before(s.inheritedUntil):
		return drain.BlockedByNewLeader
	case s.regulator != nil && s.regulator.Shedding():
		return drain.BlockedByOverload
	case s.isolated:
		return drain.BlockedByPartition
	}
	for _, until := range s.partitionedZones {
		if s.now.Before(until) {
			return drain.BlockedByPartition
		}
	}
	return ""
}

// beginBatch chooses the machines to be drained next, those with the fewest tasks first.
func (s *drainStep) beginBatch() {
	if cause := s.heldBack(); cause != "" {
		s.wait(cause, "")
		return
	}
	if s.now.Before(s.nextBatchLook) {
		return
	}
	s.nextBatchLook = s.now.Add(tuning.DrainBatchInterval)
	selected, leaving := s.selectedMachines()
	if len(selected) == 0 {
		s.finish(leaving)
		return
	}
	slices.SortStableFunc(selected, func(a, b *machines.Machine) int { return cmp.Compare(len(a.Attempts), len(b.Attempts)) })
	batch := selected[:min(s.record.Spec.BatchSize, len(selected))]
	if team := s.unmetGuarantee(batch); team != "" {
		s.wait(drain.BlockedByGuarantee, team)
		return
	}
	s.record.Batch = &drain.Batch{Since: s.wall.UnixMilli(), Cordoned: !s.record.Spec.Replace}
	for _, m := range batch {
		s.record.Batch.Machines = append(s.record.Batch.Machines, m.ID)
	}
	s.applyBatchCordon()
	s.record.Reason = drain.Reason{}
	s.log.Info().Str("drain", s.record.Spec.Name).Strs("machines", s.record.Batch.Machines).Int("left", len(selected)).Msg("drain batch started")
	s.storeDrain(s.record, nil)
}

// applyBatchCordon cordons the machines of the batch if the record says so.
func (s *drainStep) applyBatchCordon() {
	for _, name := range s.record.Batch.Machines {
		if m := s.machines.Get(name); m != nil {
			s.applyDrainCordon(m)
		}
	}
}

// finish ends a drain that finds no machine any more, once those that are being released are gone.
func (s *drainStep) finish(leaving int) {
	if leaving > 0 || s.provisioningSelected() {
		s.wait(drain.WaitMachines, "")
		return
	}
	s.record.State, s.record.Reason = drain.Done, drain.Reason{}
	s.log.Info().Str("drain", s.record.Spec.Name).Int("machines", s.record.Counts.Machines).Int("evicted", s.record.Counts.Evicted).Msg("drain done")
	s.storeDrain(s.record, nil)
}

// provisioningSelected reports whether a rental under way may bring machines that are selected.
func (s *drainStep) provisioningSelected() bool {
	for _, r := range s.pendingProvisions {
		if s.record.Spec.Selector.SelectsAllOf(r.offer.Type, r.offer.Zone) {
			return true
		}
	}
	return false
}

// selectedMachines are those to be drained that the cloud has listed, and how many of the
// selected ones are being released or are not listed yet.
func (s *drainStep) selectedMachines() (selected []*machines.Machine, leaving int) {
	for _, m := range s.machines.All() {
		s.drainLooks++
		switch {
		case !s.selects(m):
		case m.Releasing || m.ListedAt.IsZero():
			leaving++
		default:
			selected = append(selected, m)
		}
	}
	return selected, leaving
}

// selects reports whether a machine is to be drained.
func (s *drainStep) selects(m *machines.Machine) bool {
	rented := s.wall.Add(m.ProvisionedAt.Sub(s.now))
	return s.record.Spec.Selector.Selects(drain.Machine{Name: m.ID, Type: m.Type, Zone: m.Zone, RentedAt: rented})
}

// unmetGuarantee is a team with waiting work whose guarantee would not fit, together with those
// of the other such teams, into what takes work without the given machines, "" if there is none.
func (s *drainStep) unmetGuarantee(batch []*machines.Machine) string {
	waiting := map[string]float64{}
	for j := range s.live {
		waiting[j.Team] += float64(len(j.Ready)) * j.CPUs
	}
	room := 0.0
	for _, m := range s.machines.All() {
		s.drainLooks++
		if s.acceptsWork(s.now, m) {
			room += m.Total.CPUs
		}
	}
	if !s.record.Spec.Replace {
		for _, m := range batch {
			if s.acceptsWork(s.now, m) {
				room -= m.Total.CPUs
			}
		}
	}
	for _, t := range s.params.Teams {
		if waiting[t.Name] == 0 {
			continue
		}
		room -= min(t.CPUs, s.teams[t.Name].used.CPUs+waiting[t.Name])
		if room < 0 {
			return t.Name
		}
	}
	return ""
}

// dropGone takes the machines that are provably gone out of the batch; without any left it
// is over.
func (s *drainStep) dropGone() {
	left := slices.DeleteFunc(slices.Clone(s.record.Batch.Machines), s.provablyGone)
	went := len(s.record.Batch.Machines) - len(left)
	if went == 0 {
		return
	}
	s.record.Counts.Machines += went
	s.record.Batch.Machines = left
	if len(left) == 0 {
		s.record.Batch = nil
		s.record.Counts.Batches++
		s.nextBatchLook = time.Time{}
		s.log.Info().Str("drain", s.record.Spec.Name).Int("batches", s.record.Counts.Batches).Msg("drain batch finished")
	}
	s.storeDrain(s.record, nil)
}

// provablyGone reports whether a machine named by the record is provably gone: released with a 200, or
// missing from a list that would have it.
func (l *Leader) provablyGone(name string) bool {
	return l.machines.Get(name) == nil && (l.machines.WasReleased(name) || l.listsComplete)
}

// evict stops tasks of the batch within the budgets. The charge is durable before the first
// stop goes out; stops that an earlier leader has been charged for go out at once.
func (s *drainStep) evict() {
	var candidates []drain.Candidate
	attempts := map[uint64]*machines.Attempt{}
	for _, name := range s.record.Batch.Machines {
		m := s.machines.Get(name)
		if m == nil || !m.Reconciled || m.ListedAt.IsZero() {
			continue
		}
		for _, a := range m.Attempts {
			s.drainLooks++
			switch {
			case a.State < machines.Fetching || a.Stopping || a.Evicting || !a.Wanted():
			case s.ledger.IsCharged(a.Number):
				s.stopEvicted(a)
			default:
				candidates = append(candidates, s.candidate(a))
				attempts[a.Number] = a
			}
		}
	}
	charge := drain.NewCharge(s.record.Spec.Name, s.wall)
	limit := int(float64(s.valueLimit()) * tuning.StartRecordValueShare)
	reason := drain.ChooseEvictions(charge, candidates, s.ledger, s.budgets, s.record.Forced(s.wall), s.now, limit)
	s.stopCharged(charge, attempts)
	if reason.Cause == "" {
		reason.Cause = drain.WaitMachines
	}
	s.wait(reason.Cause, reason.Team)
}

// stopCharged stores a charge, and stops its attempts once it is durable.
func (s *drainStep) stopCharged(charge *drain.Charge, attempts map[uint64]*machines.Attempt) {
	if len(charge.Attempts) == 0 {
		return
	}
	var evicted []*machines.Attempt
	for _, e := range charge.Attempts {
		a := attempts[e.AttemptNumber]
		a.Evicting = true
		evicted = append(evicted, a)
		s.record.Counts.Evicted++
		if a.Job.CheckpointIntervalS > 0 {
			s.record.Counts.Moved++
		}
	}
	c := s.Leader
	c.storeCharge(s.now, charge, func() {
		for _, a := range evicted {
			if a.Evicting && slices.Contains(a.Machine.Attempts, a) {
				c.stopEvicted(a)
			}
		}
	})
	c.storeDrain(s.record, nil)
	c.log.Info().Str("drain", s.record.Spec.Name).Int("tasks", len(evicted)).Msg("drain evicting tasks")
}

// stopEvicted stops an attempt that has been charged for; it saves what it can.
func (l *Leader) stopEvicted(a *machines.Attempt) {
	a.Evicting, a.Stopping, a.GracePeriodS = true, true, 0
	if a.Job.CheckpointIntervalS > 0 {
		a.GracePeriodS = a.Job.CheckpointSaveS
	}
	l.scheduleCall(a.Machine)
}

// candidate describes a running task to the choice of evictions.
func (s *drainStep) candidate(a *machines.Attempt) drain.Candidate {
	j := a.Job
	e := drain.Candidate{
		Team: j.Team, Attempt: drain.Attempt{Job: j.ID, Index: a.Index, AttemptNumber: a.Number},
		NoAlternative: !s.hasAlternative(j),
	}
	patience := tuning.DrainCheckpointWait
	if j.CheckpointIntervalS <= 0 {
		patience = tuning.DrainCompletionWait
		e.LossS = s.lossAtMost(a)
	}
	patience -= s.wall.Sub(time.UnixMilli(s.record.Batch.Since))
	e.EndsSoon = patience > 0 && s.remaining(s.now, a) <= patience.Seconds()
	return e
}

// lossAtMost is the run time in seconds that a task without checkpoints can lose at most when it
// is stopped: until the stop comes into effect or its session ends, it goes on.
func (s *drainStep) lossAtMost(a *machines.Attempt) float64 {
	began := a.OrderedAt
	if a.Number>>32 != s.term {
		// Started under an earlier leader: not before its job came and its machine was rented.
		began = a.Job.Submitted
		if a.Machine.ProvisionedAt.After(began) {
			began = a.Machine.ProvisionedAt
		}
	}
	return (s.now.Sub(began) + s.leaseTime()).Seconds()
}

// hasAlternative reports whether a task of the job could run on machines that are not drained.
func (s *drainStep) hasAlternative(j *jobs.Job) bool {
	if has, known := s.places[j]; known {
		return has
	}
	probe := j.Constraints()
	if zone := s.record.Spec.Selector.Zone; j.OneZone && s.record.Spec.Selector.SelectsAllOf("", zone) {
		// All of its tasks leave the zone together.
		probe.TasksInZone = without(j.InZone, zone)
	}
	has := slices.ContainsFunc(s.remainingPlacements(), probe.Allowed)
	s.places[j] = has
	return has
}

// remainingPlacements are the kinds of machine that can be rented while the drain lasts.
func (s *drainStep) remainingPlacements() []*placement.Machine {
	var places []*placement.Machine
	for _, t := range s.catalogue.Offers() {
		for _, zone := range t.Zones {
			if !s.closedByDrain(autoscale.Offer{Type: t.Name, Zone: zone}) {
				places = append(places, &placement.Machine{Type: t.Name, Zone: zone, Capacity: machines.Resources(t)})
			}
		}
	}
	return places
}

// without is a copy of counts by zone that leaves one out.
func without(counts map[string]int, zone string) map[string]int {
	left := map[string]int{}
	for name, n := range counts {
		if name != zone {
			left[name] = n
		}
	}
	return left
}
