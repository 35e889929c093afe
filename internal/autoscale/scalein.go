package autoscale

import "sort"

// smallestDemandCPUs is the smoothed demand below which there is none, as it
// never quite reaches zero.
const smallestDemandCPUs = 1

// scaleIn selects idle machines to release that no demand was given to, the
// most expensive first, as long as the rest covers the smoothed demand. bins
// begins with those of the input's machines, in their order.
func scaleIn(in *Input, bins []bin, openCPUs float64) []string {
	idle := make([]Machine, 0)
	for i, m := range in.Machines {
		if m.Idle && !bins[i].used && (m.IdleFor >= in.ScaleInIdleTime || !m.Schedulable) {
			idle = append(idle, m)
		}
	}
	sort.SliceStable(idle, func(i, k int) bool { return idle[i].Price > idle[k].Price })
	var released []string
	for _, m := range idle {
		if m.Schedulable {
			if openCPUs-m.Capacity.CPUs < in.ReserveCPUs-smallestDemandCPUs {
				continue
			}
			openCPUs -= m.Capacity.CPUs
		}
		released = append(released, m.ID)
	}
	return released
}
