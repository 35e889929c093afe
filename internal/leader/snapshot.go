package leader

import (
	"cmp"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/placement"
)

// snapshot returns the description of a machine for the placement algorithm. The cached one is
// reused until the machine changes or a pass modifies it.
func (l *Leader) snapshot(now time.Time, m *machines.Machine) *placement.Machine {
	if s := m.CachedSnapshot(); s != nil {
		return s
	}
	s := m.ResetSnapshot()
	t := l.catalogue.Type(m.Type)
	s.FetchGBPerS, s.Price = t.FetchGBPerS, l.catalogue.Price(m)
	nowS := l.placementTimeS(now)
	for _, a := range m.Attempts() {
		startS := nowS
		if !m.HasImage(a.Job.Image) && t.FetchGBPerS > 0 {
			// The task starts when the fetch of its image ends.
			startS = l.placementTimeS(a.CreatedAt()) + placement.FetchTimeS(a.Job.ImageGB, t.FetchGBPerS)
			if startS > s.Images[a.Job.Image] {
				s.Images[a.Job.Image] = startS
			}
		}
		endS := max(startS, nowS) + l.remainingS(now, a)
		s.PlacedTasks = append(s.PlacedTasks, placement.PlacedTask{Request: a.Job.Request(), EndS: endS})
	}
	slices.SortStableFunc(s.PlacedTasks, func(a, b placement.PlacedTask) int { return cmp.Compare(a.EndS, b.EndS) })
	return s
}
