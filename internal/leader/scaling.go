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
		HeartbeatOverdue: func(now time.Time, m *machines.Machine) bool { return m.HeartbeatOverdue(now, &l.timing) },
		RemainingS:       l.remainingS,
		IsReplacement:    func(id string) bool { return l.drainer.IsReplacement(id) },
		BlockedByDrain:   func(o autoscale.Offering) bool { return l.drainer.BlocksProvisioning(o) },
		Partitioned:      l.reachability.IsPartitioned,
	})
}

// PlanScaling decides whether to scale out and in, at most once per planning period, and returns
// the cloud calls to be made.
func (l *Leader) PlanScaling(now time.Time) []scaling.CloudCall {
	if !l.machinesAndTypesKnown() || !l.scaler.BeginPlanningIfDue(now) {
		return nil
	}
	l.reachability.Update(now, l.machines.All(), &l.timing)
	plan := l.scaler.Plan(now)
	calls := append(l.scaler.ScaleOut(now, plan.ScaleOut), l.drainer.ReplacementCalls(now)...)
	if l.scaler.ReleaseInFlight() {
		// Further releases follow later, in one batch.
		return calls
	}
	return append(calls, l.scaler.ScaleIn(l.machinesToRelease(now, plan.ScaleIn))...)
}

// machinesToRelease returns the machines to be released, the most urgent first: unreachable
// machines with a deadline at risk, then those that the plan does not need, then those that can't
// or shouldn't run tasks any more. While this node itself is isolated, no machine is released for a
// deadline, because the machines may be reachable from other nodes.
func (l *Leader) machinesToRelease(now time.Time, unneeded []string) []string {
	var names []string
	for _, m := range l.machines.All() {
		if !l.reachability.IsIsolated() && l.hasDeadlineAtRisk(now, m) {
			names = append(names, m.ID)
		}
	}
	names = append(names, unneeded...)
	for _, m := range l.machines.All() {
		if !m.IsBeingReleased() && m.ShouldBeReleased(now, &l.timing, l.catalogue.Type(m.Type).BootTimeS) {
			names = append(names, m.ID)
		}
	}
	return names
}

// demand returns the ready tasks for which capacity is needed, within the limits of their teams.
func (l *Leader) demand(now time.Time) []autoscale.Demand {
	if l.term > 1 && now.Sub(l.timing.TermStart) < seconds.Duration(l.params.Cloud.ListLagS) {
		// The machine list may still lack the machines that the predecessor provisioned last.
		// Demand from now would provision them again.
		return nil
	}
	freeCPUs := l.ledger.FreeCPUsByTeam()
	ready, byID := l.readyJobs(now)
	sort.SliceStable(ready, func(i, k int) bool { return ready[i].PriorityRank < ready[k].PriorityRank })
	var demand []autoscale.Demand
	for _, r := range ready {
		j := byID[r.JobID]
		tasksWithinLimit := int(min(max(0, freeCPUs[j.Team])/max(j.CPUs, 1e-9), float64(r.ReadyTasks)))
		// A failing job starts one task at a time, but needs a machine for that task. If the job
		// were left out here, it could wait forever.
		demandedTasks := min(r.ReadyTasks, tasksWithinLimit)
		freeCPUs[j.Team] -= float64(demandedTasks) * j.CPUs
		if demandedTasks == 0 {
			continue
		}
		// A task occupies its resources during the start delay as well.
		demand = append(demand, autoscale.Demand{
			Tasks: demandedTasks, StartWithinS: l.startWithinS(now, j), Request: j.Request(), EstimateS: r.EstimatedRunTimeS + float64(l.startDelay),
			MachineTypes: j.MachineTypes, Zone: j.Zone, Spot: j.Spot, AvoidMachines: j.FailedOn(),
		})
	}
	return demand
}

// FinishProvision applies the result of a provisioning call. names holds the new machines, and is
// empty if the cloud rejected the call.
func (l *Leader) FinishProvision(now time.Time, r wire.ProvisionRequest, names []string) {
	call := l.scaler.FinishProvision(now, r, len(names))
	if call == nil {
		// No such call is in flight.
		return
	}
	for _, id := range names {
		if l.machines.WasReleased(id) || l.machines.Get(id) != nil {
			continue
		}
		m := l.addMachine(now, id, r.Type, r.Zone, "", r.Spot)
		m.SetProvisionedAt(call.RequestedAt)
	}
	l.drainer.AddReplacements(call.ReplacementFor, names)
	l.log.Debug().Str("request", r.RequestID).Str("zone", r.Zone).Bool("spot", r.Spot).Int("requested", r.Count).Int("received", len(names)).Msg("machines provisioned")
}

// FinishRelease records that a release call has succeeded, so that the named machines no longer
// exist.
func (l *Leader) FinishRelease(now time.Time, names []string) {
	l.scaler.FinishRelease()
	l.removeMachines(now, names)
}
