package autoscale

import "sort"

// negligibleCPUs is the part of ReserveCPUs that scale-in ignores. The smoothed value
// decays exponentially and never reaches zero, so the last machine would never be
// released.
const negligibleCPUs = 1

// chooseReleases returns the IDs of the idle machines to release, the most expensive
// first. It keeps machines to which the plan has assigned tasks. It releases a
// schedulable machine only if it has been idle for ScaleInIdleTime and the other
// schedulable machines have at least ReserveCPUs. The first len(in.Machines) bins must
// be those of in.Machines, in the same order.
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
