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

// evict stops tasks of the batch within the budgets. Their charge is durable before the first
// stop is sent. Stops that an earlier leader charged are sent at once.
func (s *drainStep) evict() {
	candidates, attempts := s.collectCandidates()
	charge := drain.NewCharge(s.record.Spec.Name, s.wall)
	evictor := drain.Evictor{
		Ledger: s.d.ledger, Budgets: s.d.config.Budgets, Force: s.record.IsForced(s.wall), Now: s.now,
		MaxChargeBytes: int(float64(s.d.config.ValueLimit) * tuning.RecordValueShare),
	}
	reason := evictor.Choose(charge, candidates)
	s.chargeAndStop(charge, attempts)
	if reason.Cause == "" {
		reason.Cause = drain.WaitMachineRelease
	}
	s.setWaitReason(reason.Cause, reason.Team)
}

// collectCandidates returns the attempts of the batch that could be evicted, as collectCandidates and by
// attempt number. It stops the attempts whose stops have been charged.
func (s *drainStep) collectCandidates() (candidates []drain.Candidate, attempts map[uint64]*machines.Attempt) {
	attempts = map[uint64]*machines.Attempt{}
	for _, name := range s.record.Batch.Machines {
		m := s.d.cluster.Machines.Get(name)
		if m == nil || !m.IsReconciled() || !m.IsListed() {
			continue
		}
		for _, a := range m.Attempts() {
			s.d.examinedCount++
			switch {
			case !a.State().IsReported() || a.IsEvicting() || !a.ShouldRun():
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

// chargeAndStop stores a charge and stops its attempts once it is durable.
func (s *drainStep) chargeAndStop(charge *drain.Charge, attempts map[uint64]*machines.Attempt) {
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

// stopEvicted stops an attempt whose stop has been charged. The attempt has a grace period to
// save a checkpoint.
func (d *Drainer) stopEvicted(a *machines.Attempt) {
	a.Evict()
	d.cluster.ScheduleCall(a.Machine)
}

// candidate returns the candidate for a running attempt. The batch waits longer for the end of a
// task without checkpoints, as an eviction loses all of its run time.
func (s *drainStep) candidate(a *machines.Attempt) drain.Candidate {
	j := a.Job
	c := drain.Candidate{
		Team:          j.Team,
		Attempt:       drain.Attempt{Job: j.ID, Index: a.Index, Number: a.Number()},
		NoAlternative: !s.hasAlternative(j),
	}
	maxWait := tuning.DrainCheckpointWait
	if j.CheckpointIntervalS <= 0 {
		maxWait = tuning.DrainCompletionWait
		c.LostS = s.maxLostS(a)
	}
	maxWait -= s.wall.Sub(time.UnixMilli(s.record.Batch.SinceMS))
	c.EndsSoon = maxWait > 0 && s.d.cluster.RemainingS(s.now, a) <= maxWait.Seconds()
	return c
}

// maxLostS returns the maximum run time in seconds that stopping a task without checkpoints can
// lose. It includes the lease, as the task runs on until the stop takes effect or the agent's
// lease expires.
func (s *drainStep) maxLostS(a *machines.Attempt) float64 {
	earliestStart := a.CreatedAt()
	if a.Number()>>32 != s.d.config.Term {
		// An earlier leader started it at an unknown time after its job was submitted and its
		// machine was provisioned.
		earliestStart = a.Job.SubmittedAt()
		if a.Machine.ProvisionedAt().After(earliestStart) {
			earliestStart = a.Machine.ProvisionedAt()
		}
	}
	return (s.now.Sub(earliestStart) + s.d.config.LeaseExpiry).Seconds()
}

// hasAlternative reports whether a task of the job could run on a machine that can be
// provisioned while the drain lasts.
func (s *drainStep) hasAlternative(j *jobs.Job) bool {
	if has, known := s.hasAlternativeByJob[j]; known {
		return has
	}
	constraints := j.Constraints()
	if zone := s.record.Spec.Selector.Zone; j.OneZone && s.record.Spec.Selector.SelectsAllOf("", zone) {
		// The drain empties the whole zone, so the job's tasks there don't bind it to the zone.
		constraints.TasksInZone = withoutZone(constraints.TasksInZone, zone)
	}
	has := slices.ContainsFunc(s.provisionableMachines(), constraints.CanRunOn)
	s.hasAlternativeByJob[j] = has
	return has
}

// provisionableMachines returns the machine types, by zone, that no drain forbids to provision.
func (s *drainStep) provisionableMachines() []*placement.Machine {
	return s.d.cluster.Catalogue.Offerings(func(machineType, zone string) bool {
		return !s.d.BlocksProvisioning(autoscale.Offering{Type: machineType, Zone: zone})
	})
}

// withoutZone returns a copy of counts by zone that leaves out one zone.
func withoutZone(counts map[string]int, zone string) map[string]int {
	remaining := map[string]int{}
	for name, n := range counts {
		if name != zone {
			remaining[name] = n
		}
	}
	return remaining
}
