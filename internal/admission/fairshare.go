package admission

import (
	"cmp"
	"slices"
)

// claimant is one of those among which a capacity is divided: a team, or a class of a team.
type claimant struct {
	demand float64
	// reserved is the reservation of the claimant. Up to the demand, it is granted before
	// any claimant gets more than its own reservation.
	reserved float64
	weight   float64
}

// divide divides capacity by weighted max-min fairness, and returns the part of each
// claimant. Reservations are granted first, and the rest is divided in proportion to the
// weights. No claimant gets more than its demand; what it doesn't need goes to the others.
func divide(capacity float64, claimants []claimant) []float64 {
	granted := divideReserved(capacity, claimants)
	remaining := capacity
	weightSum := 0.0
	var unsatisfied []int
	for i, c := range claimants {
		remaining -= granted[i]
		if c.demand > granted[i] {
			unsatisfied = append(unsatisfied, i)
			weightSum += c.weight
		}
	}
	// The claimants with the smallest unmet demand per weight come first. If the part of a
	// claimant exceeds its demand, the surplus is left for those after it.
	unmetPerWeight := func(i int) float64 { return (claimants[i].demand - granted[i]) / claimants[i].weight }
	slices.SortFunc(unsatisfied, func(a, b int) int { return cmp.Compare(unmetPerWeight(a), unmetPerWeight(b)) })
	for _, i := range unsatisfied {
		extra := min(claimants[i].demand-granted[i], max(0, remaining)*claimants[i].weight/weightSum)
		granted[i] += extra
		remaining -= extra
		weightSum -= claimants[i].weight
	}
	return granted
}

// divideReserved returns the grants for the reservations: each claimant gets its
// reservation or its demand, whichever is smaller. If the sum of the grants exceeds the
// capacity, all are reduced in proportion.
func divideReserved(capacity float64, claimants []claimant) []float64 {
	granted := make([]float64, len(claimants))
	total := 0.0
	for i, c := range claimants {
		granted[i] = min(c.demand, c.reserved)
		total += granted[i]
	}
	if total > capacity {
		for i := range granted {
			granted[i] *= capacity / total
		}
	}
	return granted
}

// MaxMinFairShares divides capacity by max-min fairness with equal weights. It returns the
// part of each demand that is met.
func MaxMinFairShares(capacity float64, demands []float64) []float64 {
	claimants := make([]claimant, len(demands))
	for i, d := range demands {
		claimants[i] = claimant{demand: d, weight: 1}
	}
	return divide(capacity, claimants)
}
