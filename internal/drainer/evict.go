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

// evict evicts tasks of the batch within the budgets. It sends a stop only once the charge for the stop
// is durable. Stops that an earlier leader has charged are sent at once.
func (s *drainStep) evict() {
	candidates, attempts := s.collectCandidates()
	charge := drain.NewCharge(s.record.Spec.Name, s.wall)
	evictor := drain.Evictor{
		Ledger: s.drainer.ledger, Budgets: s.drainer.config.Budgets, Force: s.record.IsForced(s.wall), Now: s.now,
		MaxChargeBytes: int(float64(s.drainer.config.MaxValueBytes) * tuning.RecordValueShare),
	}
	reason := evictor.Choose(charge, candidates)
	s.chargeAndStop(charge, attempts)
	if reason.Cause == "" {
		reason.Cause = drain.WaitMachineRelease
	}
	s.setWaitReason(reason.Cause, reason.Team)
}

// collectCandidates returns the attempts of the batch that agents have reported and that are not
// being stopped or evicted, as candidates and by attempt number. It leaves out machines that are
// not reconciled or not listed by the cloud yet. It does not return the attempts whose stops an
// earlier leader charged, but stops them at once.
func (s *drainStep) collectCandidates() (candidates []drain.Candidate, attempts map[uint64]*machines.Attempt) {
	attempts = map[uint64]*machines.Attempt{}
	for _, name := range s.record.Batch.Machines {
		m := s.drainer.cluster.Machines.Get(name)
		if m == nil || !m.IsReconciled() || !m.WasListedByCloud() {
			continue
		}
		for _, a := range m.Attempts() {
			s.drainer.examinedCount++
			switch {
			case !a.State().IsReported() || a.IsEvicting() || !a.ShouldRun():
			case s.drainer.ledger.IsCharged(a.Number()):
				s.drainer.stopEvicted(a)
			default:
				candidates = append(candidates, s.candidate(a))
				attempts[a.Number()] = a
			}
		}
	}
	return candidates, attempts
}

// chargeAndStop stores a charge, and stops the attempts in it once the charge is durable.
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
	d := s.drainer
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

// stopEvicted stops an attempt whose stop has been charged. The task may first save a checkpoint,
// within a grace period.
func (d *Drainer) stopEvicted(a *machines.Attempt) {
	a.RequestEviction()
	d.cluster.QueueDirectCall(a.Machine)
}

// candidate returns the candidate for a running attempt. A task with checkpoints can save one
// before it is stopped, so it counts as losing no run time. The eviction of a task without
// checkpoints loses all of its run time, so a batch waits longer for the task to end.
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
		c.LostRunTimeS = s.maxLostRunTimeS(a)
	}
	maxWait -= s.wall.Sub(time.UnixMilli(s.record.Batch.WaitingSinceMS))
	c.EndsSoon = maxWait > 0 && s.drainer.cluster.RemainingS(s.now, a) <= maxWait.Seconds()
	return c
}

// maxLostRunTimeS returns the maximum run time, in seconds, that is lost if a task without checkpoints is
// stopped. It includes the lease, because the task runs on until the stop takes effect or the agent's
// lease expires.
func (s *drainStep) maxLostRunTimeS(a *machines.Attempt) float64 {
	earliestStart := a.CreatedAt()
	if a.Number()>>32 != s.drainer.config.Term {
		// The upper 32 bits of the number are the term in which the attempt was created. An earlier
		// leader created this attempt, at an unknown time after the submission of the job and the
		// provisioning of the machine.
		earliestStart = a.Job.SubmittedAt()
		if a.Machine.ProvisionedAt().After(earliestStart) {
			earliestStart = a.Machine.ProvisionedAt()
		}
	}
	return (s.now.Sub(earliestStart) + s.drainer.config.LeaseCertainlyExpiredAfter).Seconds()
}

// hasAlternative reports whether a task of the job could run on a machine that drains allow to be
// provisioned. It caches the result for the step.
func (s *drainStep) hasAlternative(j *jobs.Job) bool {
	if has, known := s.hasAlternativeByJob[j]; known {
		return has
	}
	constraints := j.PlacementConstraints()
	if zone := s.record.Spec.Selector.Zone; j.OneZone && s.record.Spec.Selector.SelectsAllOf("", zone) {
		// All tasks of the job must run in one zone. The drain empties this zone, so the job's
		// tasks here don't keep the others from moving to another zone.
		constraints.TasksByZone = withoutZone(constraints.TasksByZone, zone)
	}
	has := slices.ContainsFunc(s.provisionableMachines(), constraints.CanRunOn)
	s.hasAlternativeByJob[j] = has
	return has
}

// provisionableMachines returns an empty machine of each offering that no drain forbids to provision.
func (s *drainStep) provisionableMachines() []*placement.Host {
	return s.drainer.cluster.Catalogue.Offerings(func(machineType, zone string) bool {
		return !s.drainer.BlocksProvisioning(autoscale.Offering{Type: machineType, Zone: zone})
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
