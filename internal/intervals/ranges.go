// Package intervals keeps sets of task indexes compactly in memory (a bit each)
// and as text ranges such as "0-3,7" in stored records.
package intervals

import (
	"errors"
	"math/bits"
	"strconv"
	"strings"
)

// Set is a set of indexes below a fixed size.
type Set struct {
	words []uint64
	count int
	size  int
}

// New returns an empty set for indexes 0 to size-1.
func New(size int) *Set { return &Set{words: make([]uint64, (size+63)/64), size: size} }

// Has reports whether i is in the set.
func (s *Set) Has(i int) bool {
	return i >= 0 && i < s.size && s.words[i/64]&(1<<(i%64)) != 0
}

// Add puts i in the set and reports whether it was new.
func (s *Set) Add(i int) bool {
	if i < 0 || i >= s.size || s.Has(i) {
		return false
	}
	s.words[i/64] |= 1 << (i % 64)
	s.count++
	return true
}

// Len is the number of indexes in the set.
func (s *Set) Len() int { return s.count }

// Full reports whether every index is in the set.
func (s *Set) Full() bool { return s.count == s.size }

// Format writes the indexes from..to-1 as ranges.
func (s *Set) Format(from, to int) string {
	var b strings.Builder
	to = min(to, s.size)
	for i := from; i < to; {
		w := s.words[i/64] >> (i % 64)
		if w == 0 {
			i += 64 - i%64
			continue
		}
		i += bits.TrailingZeros64(w)
		if i >= to {
			break
		}
		end := i
		for end+1 < to && s.Has(end+1) {
			end++
		}
		appendRange(&b, i, end)
		i = end + 1
	}
	return b.String()
}

// FormatList writes ascending indexes as ranges.
func FormatList(sorted []int) string {
	var b strings.Builder
	for i := 0; i < len(sorted); {
		end := i
		for end+1 < len(sorted) && sorted[end+1] == sorted[end]+1 {
			end++
		}
		appendRange(&b, sorted[i], sorted[end])
		i = end + 1
	}
	return b.String()
}

func appendRange(b *strings.Builder, from, to int) {
	if b.Len() > 0 {
		b.WriteByte(',')
	}
	b.WriteString(strconv.Itoa(from))
	if to > from {
		b.WriteByte('-')
		b.WriteString(strconv.Itoa(to))
	}
}

// Each parses ranges and calls f for every index below limit.
func Each(text string, limit int, f func(int)) error {
	if text == "" {
		return nil
	}
	for _, part := range strings.Split(text, ",") {
		first, last, isRange := strings.Cut(part, "-")
		from, err := strconv.Atoi(first)
		if err != nil {
			return err
		}
		to := from
		if isRange {
			if to, err = strconv.Atoi(last); err != nil {
				return err
			}
		}
		if from < 0 || to < from || to >= limit {
			return errors.New("range out of bounds: " + part)
		}
		for i := from; i <= to; i++ {
			f(i)
		}
	}
	return nil
}
