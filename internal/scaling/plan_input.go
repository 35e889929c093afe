package scaling

import (
	"maps"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/autoscale"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
)

// planInput returns the snapshot of demand and machines on which the plan is based. It also adds a
// sample of the CPUs in use to the history.
func (s *Scaler) planInput(now time.Time) autoscale.Input {
	return autoscale.Input{
		MachineTypes:    s.cluster.Catalogue.OfferedTypes(),
		ScaleInIdleTime: s.config.ScaleInIdleTime,
		MaxMachines:     s.config.MaxMachines,
		IsUnavailable:   func(o autoscale.Offering) bool { return !s.CanProvision(now, o) },
		Machines:        slices.Concat(s.existingMachines(now), s.requestedMachines()),
		Demand:          s.cluster.Demand(now),
		ReserveCPUs:     s.History.AddUsedCPUs(now, s.usedCPUs()),
		ArrivalCPUs:     s.History.ArrivalCPUs(now),
	}
}

// usedCPUs returns the CPUs allocated to attempts on machines that are not being released.
func (s *Scaler) usedCPUs() float64 {
	busy := 0.0
	for _, m := range s.cluster.Machines.All() {
		if m.IsBeingReleased() {
			continue
		}
		for _, a := range m.Attempts() {
			busy += a.Job.CPUs
		}
	}
	return busy
}

// existingMachines returns snapshots of all machines that are not being released.
func (s *Scaler) existingMachines(now time.Time) []autoscale.Machine {
	list := make([]autoscale.Machine, 0, s.cluster.Machines.Len())
	for _, m := range s.cluster.Machines.All() {
		if !m.IsBeingReleased() {
			list = append(list, s.toPlannerMachine(now, m))
		}
	}
	return list
}

// toPlannerMachine returns the planner's snapshot of a machine. The planner may release a machine only
// if it has no attempts, its agent's task list has been reconciled, its minimum billing time is over,
// and it isn't a replacement that a drain waits for.
func (s *Scaler) toPlannerMachine(now time.Time, m *machines.Machine) autoscale.Machine {
	snapshot := autoscale.Machine{
		Host:        m.Host(),
		ID:          m.ID,
		Free:        m.Free(),
		Price:       s.cluster.Catalogue.Price(m),
		Schedulable: s.cluster.IsCapacity(now, m),
		MayBeReleased: len(m.Attempts()) == 0 && m.HasJoined() && m.IsReconciled() &&
			now.Sub(m.ProvisionedAt()) >= tuning.MinimumBillingTime && !s.cluster.IsReplacement(m.ID),
		IdleFor: m.IdleFor(now),
	}
	if !m.HasJoined() {
		snapshot.Schedulable = snapshot.Schedulable && !s.cluster.IsPartitioned(now, m.Zone)
		snapshot.BootRemainingS = max(0, s.cluster.Catalogue.Type(m.Type).BootTimeS-now.Sub(m.ProvisionedAt()).Seconds())
	}
	for _, a := range m.Attempts() {
		snapshot.RemainingCPUSeconds += s.cluster.RemainingS(now, a) * a.Job.CPUs
	}
	return snapshot
}

// requestedMachines returns a snapshot for every machine that a provision call in flight requests.
// Without them, the planner would provision machines for the same demand twice.
func (s *Scaler) requestedMachines() []autoscale.Machine {
	var list []autoscale.Machine
	for _, requestID := range slices.Sorted(maps.Keys(s.provisionsInFlight)) {
		p := s.provisionsInFlight[requestID]
		t := s.cluster.Catalogue.Type(p.Offering.Type)
		capacity := placement.MachineCapacity(t)
		for range p.Count {
			list = append(list, autoscale.Machine{
				Host: placement.Host{Type: p.Offering.Type, Zone: p.Offering.Zone, Spot: p.Offering.Spot, Capacity: capacity},
				Free: capacity, Schedulable: true, BootRemainingS: t.BootTimeS,
			})
		}
	}
	return list
}
