package admission

import (
	"cmp"
	"slices"
)

// claimant is a participant in a division: a team, or a class within one.
type claimant struct {
	demand float64
	// reserved is granted before any claimant gets more than its reservation.
	reserved float64
	weight   float64
}

// divide divides capacity by weighted max-min fairness: first the reservations,
// then the rest in proportion to the weights. No claimant gets more than its
// demand, and the part that one doesn't need goes to the others.
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
	// Claimants with the smallest unmet demand per weight come first: if such a demand
	// is met, the rest of its part is left for the others.
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

// divideReserved grants the reservations, up to the demands. If their sum exceeds
// the capacity, all are reduced in proportion.
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

// MaxMinFairShares divides capacity by max-min fairness with equal weights.
func MaxMinFairShares(capacity float64, demands []float64) []float64 {
	claimants := make([]claimant, len(demands))
	for i, d := range demands {
		claimants[i] = claimant{demand: d, weight: 1}
	}
	return divide(capacity, claimants)
}
