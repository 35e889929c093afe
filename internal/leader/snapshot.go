package leader

import (
	"cmp"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/placement"
)

// snapshot describes a machine to the placement algorithm. The cached snapshot is reused until
// the machine changes or a pass modifies it.
func (l *Leader) snapshot(now time.Time, m *machines.Machine) *placement.Machine {
	if s := m.CachedSnapshot(); s != nil {
		return s
	}
	s := m.ResetSnapshot()
	t := l.catalogue.Type(m.Type)
	s.FetchGBPerS, s.Price = t.FetchGBPerS, l.catalogue.Price(m)
	nowS := l.placementTimeS(now)
	for _, a := range m.Attempts() {
		startsAt := nowS
		if !m.HasImage(a.Job.Image) && t.FetchGBPerS > 0 {
			startsAt = l.placementTimeS(a.CreatedAt()) + placement.FetchTimeS(a.Job.ImageGB, t.FetchGBPerS)
			if startsAt > s.Images[a.Job.Image] {
				s.Images[a.Job.Image] = startsAt
			}
		}
		end := max(startsAt, nowS) + l.remainingS(now, a)
		s.PlacedTasks = append(s.PlacedTasks, placement.PlacedTask{Request: a.Job.Request(), EndS: end})
	}
	slices.SortStableFunc(s.PlacedTasks, func(a, b placement.PlacedTask) int { return cmp.Compare(a.EndS, b.EndS) })
	return s
}
