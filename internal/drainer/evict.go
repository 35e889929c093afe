package drainer

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/autoscale"
	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
)

// evict stops tasks of the batch within the budgets. The charge is durable before the first
// stop goes out; stops that an earlier leader has been charged for go out at once.
func (s *step) evict() {
	candidates, attempts := s.candidates()
	charge := drain.NewCharge(s.record.Spec.Name, s.wall)
	evictor := drain.Evictor{
		Ledger: s.d.ledger, Budgets: s.d.config.Budgets, Force: s.record.Forced(s.wall), Now: s.now,
		MaxChargeBytes: int(float64(s.d.config.ValueLimit) * tuning.RecordValueShare),
	}
	reason := evictor.Choose(charge, candidates)
	s.stopCharged(charge, attempts)
	if reason.Cause == "" {
		reason.Cause = drain.WaitMachineRelease
	}
	s.wait(reason.Cause, reason.Team)
}

// candidates are the attempts of the batch that could be evicted, also by their numbers; it
// stops those that have been charged for.
func (s *step) candidates() (candidates []drain.Candidate, attempts map[uint64]*machines.Attempt) {
	attempts = map[uint64]*machines.Attempt{}
	for _, name := range s.record.Batch.Machines {
		m := s.d.cluster.Machines.Get(name)
		if m == nil || !m.IsReconciled() || !m.IsListed() {
			continue
		}
		for _, a := range m.Attempts() {
			s.d.examined++
			switch {
			case !a.State().IsReported() || a.IsEvicting() || !a.IsWanted():
			case s.d.ledger.IsCharged(a.Number()):
				s.d.stopEvicted(a)
			default:
				candidates = append(candidates, s.candidate(a))
				attempts[a.Number()] = a
			}
		}
	}
	return candidates, attempts
}

// stopCharged stores a charge, and stops its attempts once it is durable.
func (s *step) stopCharged(charge *drain.Charge, attempts map[uint64]*machines.Attempt) {
	if len(charge.Attempts) == 0 {
		return
	}
	var evicted []*machines.Attempt
	for _, e := range charge.Attempts {
		a := attempts[e.Number]
		a.PlanEviction()
		evicted = append(evicted, a)
		s.record.Counts.Evicted++
		if a.Job.CheckpointIntervalS > 0 {
			s.record.Counts.Moved++
		}
	}
	d := s.d
	d.storeCharge(s.now, charge, func() {
		for _, a := range evicted {
			if a.IsEvicting() && a.IsAllocated() {
				d.stopEvicted(a)
			}
		}
	})
	d.storeDrain(s.record, nil)
	d.log.Info().Str("drain", s.record.Spec.Name).Int("tasks", len(evicted)).Msg("drain evicting tasks")
}

// stopEvicted stops an attempt that has been charged for; it saves what it can.
func (d *Drainer) stopEvicted(a *machines.Attempt) {
	a.Evict()
	d.cluster.ScheduleCall(a.Machine)
}

// candidate describes a running task to the choice of evictions.
func (s *step) candidate(a *machines.Attempt) drain.Candidate {
	j := a.Job
	c := drain.Candidate{
		Team:          j.Team,
		Attempt:       drain.Attempt{Job: j.ID, Index: a.Index, Number: a.Number()},
		NoAlternative: !s.hasAlternative(j),
	}
	patience := tuning.DrainCheckpointWait
	if j.CheckpointIntervalS <= 0 {
		patience = tuning.DrainCompletionWait
		c.LossS = s.maxLossS(a)
	}
	patience -= s.wall.Sub(time.UnixMilli(s.record.Batch.SinceMS))
	c.EndsSoon = patience > 0 && s.d.cluster.RemainingS(s.now, a) <= patience.Seconds()
	return c
}

// maxLossS is the run time in seconds that a task without checkpoints can lose at most when it
// is stopped: until the stop comes into effect or its session ends, it goes on.
func (s *step) maxLossS(a *machines.Attempt) float64 {
	began := a.OrderedAt()
	if a.Number()>>32 != s.d.config.Term {
		// Started under an earlier leader: not before its job was submitted and its machine
		// was provisioned.
		began = a.Job.SubmittedAt()
		if a.Machine.ProvisionedAt().After(began) {
			began = a.Machine.ProvisionedAt()
		}
	}
	return (s.now.Sub(began) + s.d.config.LeaseExpiry).Seconds()
}

// hasAlternative reports whether a task of the job could run on machines that are not drained.
func (s *step) hasAlternative(j *jobs.Job) bool {
	if has, known := s.places[j]; known {
		return has
	}
	probe := j.Constraints()
	if zone := s.record.Spec.Selector.Zone; j.OneZone && s.record.Spec.Selector.SelectsAllOf("", zone) {
		// All of its tasks leave the zone.
		probe.TasksInZone = without(probe.TasksInZone, zone)
	}
	has := slices.ContainsFunc(s.remainingPlaces(), probe.Allowed)
	s.places[j] = has
	return has
}

// remainingPlaces are the kinds of machine that can be provisioned while the drain lasts.
func (s *step) remainingPlaces() []*placement.Machine {
	return s.d.cluster.Catalogue.Places(func(machineType, zone string) bool {
		return !s.d.BlocksProvisioning(autoscale.Offer{Type: machineType, Zone: zone})
	})
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
