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

// planInput is the snapshot that the planner decides on.
func (s *Scaler) planInput(now time.Time) autoscale.Input {
	return autoscale.Input{
		MachineTypes:    s.cluster.Catalogue.Offers(),
		ScaleInIdleTime: s.config.ScaleInIdleTime,
		MaxMachines:     s.config.MaxMachines,
		Unavailable:     func(o autoscale.Offer) bool { return !s.CanProvision(now, o) },
		Machines:        slices.Concat(s.plannedMachines(now), s.machinesBeingProvisioned()),
		Demand:          s.cluster.Demand(now),
		ReserveCPUs:     s.History.UpdateCPUs(now, s.busyCPUs()),
		InflowCPUs:      s.History.InflowCPUs(now),
	}
}

// busyCPUs are those of all tasks that may be on machines which are not being released.
func (s *Scaler) busyCPUs() float64 {
	busy := 0.0
	for _, m := range s.cluster.Machines.All() {
		if m.IsReleasing() {
			continue
		}
		for _, a := range m.Attempts() {
			busy += a.Job.CPUs
		}
	}
	return busy
}

// plannedMachines are the machines as the planner sees them.
func (s *Scaler) plannedMachines(now time.Time) []autoscale.Machine {
	list := make([]autoscale.Machine, 0, s.cluster.Machines.Len())
	for _, m := range s.cluster.Machines.All() {
		if !m.IsReleasing() {
			list = append(list, s.plannedMachine(now, m))
		}
	}
	return list
}

// plannedMachine is a machine as the planner sees it.
func (s *Scaler) plannedMachine(now time.Time, m *machines.Machine) autoscale.Machine {
	planned := autoscale.Machine{
		ID:          m.ID,
		Offer:       autoscale.Offer{Type: m.Type, Zone: m.Zone, Spot: m.Spot},
		Capacity:    m.Capacity(),
		Free:        m.Free(),
		Price:       s.cluster.Catalogue.Price(m),
		Schedulable: !m.Cordoned() && (!m.HasJoined() || !s.cluster.HeartbeatOverdue(now, m)),
		Idle: len(m.Attempts()) == 0 && m.HasJoined() && m.IsReconciled() &&
			now.Sub(m.ProvisionedAt()) >= tuning.MinimumBillingTime && !s.cluster.IsReplacement(m.ID),
		IdleFor: m.IdleFor(now),
	}
	if !m.HasJoined() {
		planned.Schedulable = planned.Schedulable && !s.cluster.Partitioned(now, m.Zone)
		planned.BootRemainingS = max(0, s.cluster.Catalogue.Type(m.Type).BootTimeS-now.Sub(m.ProvisionedAt()).Seconds())
	}
	for _, a := range m.Attempts() {
		planned.RemainingCPUSeconds += s.cluster.RemainingS(now, a) * a.Job.CPUs
	}
	return planned
}

// machinesBeingProvisioned stand for what provisioning calls without an answer will bring.
func (s *Scaler) machinesBeingProvisioned() []autoscale.Machine {
	var list []autoscale.Machine
	for _, name := range slices.Sorted(maps.Keys(s.pending)) {
		p := s.pending[name]
		t := s.cluster.Catalogue.Type(p.Offer.Type)
		total := placement.MachineCapacity(t)
		for range p.Count {
			list = append(list, autoscale.Machine{
				Offer: p.Offer, Capacity: total, Free: total, Schedulable: true, BootRemainingS: t.BootTimeS,
			})
		}
	}
	return list
}
