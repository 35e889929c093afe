package admission

import (
	"math"
	"math/rand/v2"
	"testing"
)

// TestDivideIsMaxMinFair checks the properties of weighted max-min fairness for random
// claimants: no grant exceeds the demand, the sum of the grants is the capacity or the whole
// demand, each claimant gets at least the smaller of its reservation and its demand, and no
// claimant with unmet demand gets less per weight, beyond its reservation, than another one.
func TestDivideIsMaxMinFair(t *testing.T) {
	const epsilon = 1e-9
	rng := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		capacity := rng.Float64() * 100
		claimants := make([]claimant, 1+rng.IntN(8))
		demandSum, reservedSum := 0.0, 0.0
		for i := range claimants {
			claimants[i] = claimant{demand: rng.Float64() * 60, weight: 0.1 + rng.Float64()*5}
			if rng.IntN(2) == 0 {
				claimants[i].reserved = rng.Float64() * capacity / float64(len(claimants))
			}
			demandSum += claimants[i].demand
			reservedSum += claimants[i].reserved
		}
		granted := divide(capacity, claimants)
		grantedSum := 0.0
		for i, g := range granted {
			grantedSum += g
			if g > claimants[i].demand+epsilon || g+epsilon < min(claimants[i].demand, claimants[i].reserved) {
				t.Fatalf("%+v got %v of a capacity of %v, want between reservation and demand", claimants[i], g, capacity)
			}
		}
		if want := min(capacity, demandSum); math.Abs(grantedSum-want) > 1e-6 {
			t.Fatalf("granted %v in total, want %v", grantedSum, want)
		}
		extraPerWeight := func(i int) float64 {
			return (granted[i] - min(claimants[i].demand, claimants[i].reserved)) / claimants[i].weight
		}
		for i := range claimants {
			for j := range claimants {
				if granted[i]+1e-6 < claimants[i].demand && extraPerWeight(i)+1e-6 < extraPerWeight(j) {
					t.Fatalf("%+v got only %v, but %+v got more per weight: %v", claimants[i], granted[i], claimants[j], granted[j])
				}
			}
		}
	}
}
