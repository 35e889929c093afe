package admission

import (
	"math"
	"math/rand/v2"
	"testing"
)

// TestDivideIsMaxMinFair checks, for random claims, the properties of weighted max-min
// fairness: nothing beyond demand or capacity, no capacity unused while there is demand,
// what is reserved first, and nobody could get more without taking from one who has less
// for its weight.
func TestDivideIsMaxMinFair(t *testing.T) {
	const tiny = 1e-9
	rng := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		capacity := rng.Float64() * 100
		claims := make([]claimant, 1+rng.IntN(8))
		demand, reserved := 0.0, 0.0
		for i := range claims {
			claims[i] = claimant{demand: rng.Float64() * 60, weight: 0.1 + rng.Float64()*5}
			if rng.IntN(2) == 0 {
				claims[i].reserved = rng.Float64() * capacity / float64(len(claims))
			}
			demand += claims[i].demand
			reserved += claims[i].reserved
		}
		granted := divide(capacity, claims)
		sum := 0.0
		for i, g := range granted {
			sum += g
			if g > claims[i].demand+tiny || g+tiny < min(claims[i].demand, claims[i].reserved) {
				t.Fatalf("%+v got %v of %v", claims[i], g, capacity)
			}
		}
		if want := min(capacity, demand); math.Abs(sum-want) > 1e-6 {
			t.Fatalf("%v of %v handed out", sum, want)
		}
		extra := func(i int) float64 {
			return (granted[i] - min(claims[i].demand, claims[i].reserved)) / claims[i].weight
		}
		for i := range claims {
			for k := range claims {
				if granted[i]+1e-6 < claims[i].demand && extra(i)+1e-6 < extra(k) {
					t.Fatalf("%+v wants more than %v, while %+v got %v", claims[i], granted[i], claims[k], granted[k])
				}
			}
		}
	}
}
