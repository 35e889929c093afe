package intervals_test

import (
	"errors"
	"math/rand/v2"
	"testing"

	"switchshore.example/switchshore/internal/intervals"
)

// TestRoundTrip: random sets are equal after formatting and parsing, chunk by chunk.
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
			t.Fatalf("seed %d: %s became %s", seed, a.Format(0, size), b.Format(0, size))
		}
	}
}

// TestParseEachRejectsInvalidText: text that is not a list of intervals below the limit is an
// error.
func TestParseEachRejectsInvalidText(t *testing.T) {
	for text, outOfBounds := range map[string]bool{"x": false, "3-": false, "-1": false, "5-2": true, "9": true} {
		err := intervals.ParseEach(text, 9, func(int) {})
		if err == nil || errors.Is(err, intervals.ErrOutOfBounds) != outOfBounds {
			t.Errorf("%q: %v", text, err)
		}
	}
}
