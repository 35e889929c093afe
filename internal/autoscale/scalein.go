package autoscale

import "sort"

// negligibleCPUs is the smoothed demand that scale-in ignores: the smoothed value
// decays exponentially and never reaches zero.
const negligibleCPUs = 1

// chooseReleases returns the idle machines to release, the most expensive first.
// Schedulable machines must have been idle for ScaleInIdleTime, and without them
// the schedulable CPUs must still cover the smoothed demand. Machines to which
// demand was assigned are kept. The first len(in.Machines) bins must be those of
// in.Machines, in the same order.
func chooseReleases(in *Input, bins []bin, schedulableCPUs float64) []string {
	idle := make([]Machine, 0)
	for i, m := range in.Machines {
		if m.Idle && !bins[i].hasDemand && (m.IdleFor >= in.ScaleInIdleTime || !m.Schedulable) {
			idle = append(idle, m)
		}
	}
	sort.SliceStable(idle, func(i, k int) bool { return idle[i].Price > idle[k].Price })
	var released []string
	for _, m := range idle {
		if m.Schedulable {
			if schedulableCPUs-m.Capacity.CPUs < in.ReserveCPUs-negligibleCPUs {
				continue
			}
			schedulableCPUs -= m.Capacity.CPUs
		}
		released = append(released, m.ID)
	}
	return released
}
