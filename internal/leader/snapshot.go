package leader

import (
	"cmp"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/placement"
)

// snapshot describes a machine to the placement rule. It is made anew only
// when something has changed there, or a pass has modified it.
func (l *Leader) snapshot(now time.Time, m *machines.Machine) *placement.Machine {
	if !m.SnapshotOutdated && !m.Snapshot.Modified {
		return m.Snapshot
	}
	m.SnapshotOutdated = false
	t := l.catalogue.Type(m.Type)
	at := l.clock(now)
	s := m.Snapshot
	if s == nil {
		s = &placement.Machine{ID: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot, AvoidJobs: m.AvoidedJobs(), Images: map[string]float64{}}
		m.Snapshot = s
	}
	s.Modified = false
	s.Capacity, s.Free, s.FetchGBPerS, s.Price = m.Total, m.Free, t.FetchGBPerS, l.catalogue.Price(m)
	s.PlacedTasks = s.PlacedTasks[:0]
	clear(s.Images)
	for image := range m.Images {
		s.Images[image] = 0
	}
	for _, a := range m.Attempts {
		startsAt := at
		if _, cached := m.Images[a.Job.Image]; !cached && t.FetchGBPerS > 0 {
			startsAt = l.clock(a.OrderedAt()) + placement.FetchTime(a.Job.ImageGB, t.FetchGBPerS)
			if startsAt > s.Images[a.Job.Image] {
				s.Images[a.Job.Image] = startsAt
			}
		}
		end := max(startsAt, at) + l.remaining(now, a)
		s.PlacedTasks = append(s.PlacedTasks, placement.PlacedTask{Request: a.Job.Request(), EndS: end})
	}
	slices.SortStableFunc(s.PlacedTasks, func(a, b placement.PlacedTask) int { return cmp.Compare(a.EndS, b.EndS) })
	return s
}
