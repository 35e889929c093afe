package admission

import (
	"cmp"
	"slices"
)

// claimant is a participant of a division: a team, or a class within one.
type claimant struct {
	demand float64
	// reserved is granted before anyone gets more than its own.
	reserved float64
	weight   float64
}

// divide divides capacity by weighted max-min fairness: first what is reserved,
// then the rest in proportion to the weights. Nobody gets more than its demand,
// and what one leaves goes to the others.
func divide(capacity float64, claimants []claimant) []float64 {
	granted := divideReserved(capacity, claimants)
	rest := capacity
	weights := 0.0
	var open []int
	for i, c := range claimants {
		rest -= granted[i]
		if c.demand > granted[i] {
			open = append(open, i)
			weights += c.weight
		}
	}
	// The smallest demand for its weight is served first: if it is met, what is left
	// of its part goes to the others.
	need := func(i int) float64 { return (claimants[i].demand - granted[i]) / claimants[i].weight }
	slices.SortFunc(open, func(a, b int) int { return cmp.Compare(need(a), need(b)) })
	for _, i := range open {
		more := min(claimants[i].demand-granted[i], max(0, rest)*claimants[i].weight/weights)
		granted[i] += more
		rest -= more
		weights -= claimants[i].weight
	}
	return granted
}

// divideReserved grants what is reserved, or less in proportion if that exceeds
// the capacity.
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

// MaxMinFairShares divides capacity among equals by max-min fairness.
func MaxMinFairShares(capacity float64, demands []float64) []float64 {
	claimants := make([]claimant, len(demands))
	for i, d := range demands {
		claimants[i] = claimant{demand: d, weight: 1}
	}
	return divide(capacity, claimants)
}
