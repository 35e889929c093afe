package admission

import (
	"math"
	"math/rand/v2"
	"testing"
)

// TestDivideIsMaxMinFair checks the properties of weighted max-min fairness for random
// claimants: grants don't exceed demand or capacity, no capacity is unused while demand is
// unmet, reservations are granted first, and no claimant could get more except from one
// that has less for its weight.
func TestDivideIsMaxMinFair(t *testing.T) {
	const epsilon = 1e-9
	rng := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		capacity := rng.Float64() * 100
		claimants := make([]claimant, 1+rng.IntN(8))
		demand, reserved := 0.0, 0.0
		for i := range claimants {
			claimants[i] = claimant{demand: rng.Float64() * 60, weight: 0.1 + rng.Float64()*5}
			if rng.IntN(2) == 0 {
				claimants[i].reserved = rng.Float64() * capacity / float64(len(claimants))
			}
			demand += claimants[i].demand
			reserved += claimants[i].reserved
		}
		granted := divide(capacity, claimants)
		sum := 0.0
		for i, g := range granted {
			sum += g
			if g > claimants[i].demand+epsilon || g+epsilon < min(claimants[i].demand, claimants[i].reserved) {
				t.Fatalf("%+v got %v of %v", claimants[i], g, capacity)
			}
		}
		if want := min(capacity, demand); math.Abs(sum-want) > 1e-6 {
			t.Fatalf("%v of %v granted", sum, want)
		}
		extra := func(i int) float64 {
			return (granted[i] - min(claimants[i].demand, claimants[i].reserved)) / claimants[i].weight
		}
		for i := range claimants {
			for j := range claimants {
				if granted[i]+1e-6 < claimants[i].demand && extra(i)+1e-6 < extra(j) {
					t.Fatalf("%+v wants more than %v, while %+v got %v", claimants[i], granted[i], claimants[j], granted[j])
				}
			}
		}
	}
}
