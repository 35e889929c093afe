package intervals_test

import (
	"errors"
	"math/rand/v2"
	"testing"

	"switchshore.example/switchshore/internal/intervals"
)

// TestRoundTrip: random sets are equal after they are formatted and parsed in chunks.
func TestRoundTrip(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 3))
		size := 1 + rng.IntN(400)
		a, b := intervals.New(size), intervals.New(size)
		for range rng.IntN(2 * size) {
			a.Add(rng.IntN(size))
		}
		chunk := 1 + rng.IntN(100)
		for from := 0; from < size; from += chunk {
			if err := intervals.ParseEach(a.Format(from, from+chunk), size, func(i int) { b.Add(i) }); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		if a.Format(0, size) != b.Format(0, size) || a.Len() != b.Len() {
			t.Fatalf("seed %d: %s was parsed as %s", seed, a.Format(0, size), b.Format(0, size))
		}
	}
}

// TestParseEachRejectsInvalidText: ParseEach returns an error for text that is malformed or has an
// index that is not below the limit.
func TestParseEachRejectsInvalidText(t *testing.T) {
	for text, outOfBounds := range map[string]bool{"x": false, "3-": false, "-1": false, "5-2": true, "9": true} {
		err := intervals.ParseEach(text, 9, func(int) {})
		if err == nil || errors.Is(err, intervals.ErrOutOfBounds) != outOfBounds {
			t.Errorf("%q: got error %v, want one that matches ErrOutOfBounds only for 5-2 and 9", text, err)
		}
	}
}
