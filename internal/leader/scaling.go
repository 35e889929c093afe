package leader

import (
	"sort"
	"time"

	"switchshore.example/switchshore/internal/autoscale"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/scaling"
	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// newScaler returns the term's scaler.
func (l *Leader) newScaler() *scaling.Scaler {
	c := scaling.Config{
		Term:            l.term,
		CloudRPS:        l.params.Cloud.RPS,
		MaxMachines:     l.operatorSettings.MaxMachines,
		ScaleInIdleTime: tuning.ScaleInIdleTime,
	}
	if l.operatorSettings.ScaleInIdleS > 0 {
		c.ScaleInIdleTime = seconds.Duration(l.operatorSettings.ScaleInIdleS)
	}
	return scaling.New(c, scaling.Cluster{
		Machines:         l.machines,
		Catalogue:        l.catalogue,
		Demand:           l.demand,
		IsCapacity:       func(now time.Time, m *machines.Machine) bool { return m.IsCapacity(now, &l.timing) },
		RemainingS:       l.remainingS,
		IsReplacement:    func(id string) bool { return l.drainer.IsReplacement(id) },
		IsBlockedByDrain: func(o autoscale.Offering) bool { return l.drainer.BlocksProvisioning(o) },
		IsPartitioned:    l.partitionDetector.IsPartitioned,
	})
}

// PlanScaling decides whether to scale out and in, at most once per planning period, and returns
// the cloud calls to be made.
func (l *Leader) PlanScaling(now time.Time) []scaling.CloudCall {
	if !l.machinesAndTypesKnown() || !l.scaler.BeginPlanningIfDue(now) {
		return nil
	}
	l.partitionDetector.Update(now, l.machines.All(), &l.timing)
	plan := l.scaler.Plan(now)
	calls := append(l.scaler.ScaleOut(now, plan.ScaleOut), l.drainer.ReplacementCalls(now)...)
	if l.scaler.ReleaseInFlight() {
		// Only one release call is made at a time. The next one contains all machines that are to be
		// released by then.
		return calls
	}
	return append(calls, l.scaler.ScaleIn(l.machinesToRelease(now, plan.ScaleIn))...)
}

// machinesToRelease returns the machines to be released, the most urgent first:
//  1. unreachable machines with a deadline at risk,
//  2. the unneeded machines, which the scaling plan no longer needs,
//  3. machines that can't or shouldn't run tasks any more.
//
// While this node itself is isolated, unreachable machines may be reachable from other nodes, so none
// is released because of a deadline.
func (l *Leader) machinesToRelease(now time.Time, unneeded []string) []string {
	var ids []string
	for _, m := range l.machines.All() {
		if !l.partitionDetector.IsIsolated() && l.hasDeadlineAtRisk(now, m) {
			ids = append(ids, m.ID)
		}
	}
	ids = append(ids, unneeded...)
	for _, m := range l.machines.All() {
		if !m.IsBeingReleased() && m.ShouldBeReleased(now, &l.timing, l.catalogue.Type(m.Type).BootTimeS) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// demand returns the ready tasks for which capacity is needed, by descending priority and within the
// quotas of their teams.
func (l *Leader) demand(now time.Time) []autoscale.Demand {
	if l.term > 1 && now.Sub(l.timing.TermStart) < seconds.Duration(l.params.Cloud.ListLagS) {
		// The machine list may still lack the machines that the predecessor provisioned last. If
		// demand were reported now, the scaler would provision machines for the same tasks again.
		return nil
	}
	freeCPUs := l.ledger.FreeCPUsByTeam()
	ready, byID := l.readyJobs(now)
	sort.SliceStable(ready, func(i, k int) bool { return ready[i].PriorityRank < ready[k].PriorityRank })
	var demand []autoscale.Demand
	for _, r := range ready {
		j := byID[r.JobID]
		tasksWithinLimit := int(min(max(0, freeCPUs[j.Team])/max(j.CPUs, 1e-9), float64(r.ReadyTasks)))
		// A job with failures is included, with the one task that it may start at a time. Without a
		// machine for that task it could wait forever.
		demandedTasks := min(r.ReadyTasks, tasksWithinLimit)
		freeCPUs[j.Team] -= float64(demandedTasks) * j.CPUs
		if demandedTasks == 0 {
			continue
		}
		// A task occupies its resources during the start delay as well.
		d := autoscale.Demand{
			Job: r, Tasks: demandedTasks, StartWithinS: l.startWithinS(now, j), EstimatedRunTimeS: r.EstimatedRunTimeS + float64(l.startDelay),
		}
		demand = append(demand, splitAgedDemand(d, j.PlacementWait(now))...)
	}
	return demand
}

// splitAgedDemand returns the demand of a job. If no task of the job was placed for
// tuning.AgingThreshold, one of the tasks gets a demand of its own and is to start at once, which only
// free resources allow. The estimated remaining run times of other tasks don't count for it: if these
// tasks exceed their estimates, the job could wait for as long as they run.
func splitAgedDemand(d autoscale.Demand, wait time.Duration) []autoscale.Demand {
	if wait < tuning.AgingThreshold {
		return []autoscale.Demand{d}
	}
	aged := d
	aged.Tasks, aged.StartWithinS = 1, 0
	d.Tasks--
	return []autoscale.Demand{aged, d}
}

// FinishProvision applies the result of a provisioning call. ids holds the IDs of the new machines,
// and is empty if the cloud rejected the call.
func (l *Leader) FinishProvision(now time.Time, r wire.ProvisionRequest, ids []string) {
	call := l.scaler.FinishProvision(now, r, len(ids))
	if call == nil {
		// The scaler knows no such call in flight.
		return
	}
	for _, id := range ids {
		if l.machines.WasReleased(id) || l.machines.Get(id) != nil {
			continue
		}
		m := l.addMachine(now, id, r.Type, r.Zone, "", r.Spot)
		m.SetProvisionedAt(call.RequestedAt)
	}
	l.drainer.AddReplacements(call.ReplacementFor, ids)
	l.log.Debug().Str("request", r.RequestID).Str("zone", r.Zone).Bool("spot", r.Spot).Int("requested", r.Count).Int("received", len(ids)).Msg("machines provisioned")
}

// FinishRelease records that a release call has succeeded: the machines with the given IDs no longer
// exist.
func (l *Leader) FinishRelease(now time.Time, ids []string) {
	l.scaler.FinishRelease()
	l.removeMachines(now, ids)
}
