// Package intervals implements sets of task indexes: as bitmaps in memory, and in stored records as
// text with a list of intervals such as "0-3,7".
package intervals

// wordBits is the number of bits, one per index, in a word of a set.
const wordBits = 64

// Set is a set of indexes from 0 to size-1.
type Set struct {
	words []uint64
	count int // number of indexes in the set
	size  int
}

// New returns an empty set for indexes from 0 to size-1.
func New(size int) *Set {
	return &Set{words: make([]uint64, (size+wordBits-1)/wordBits), size: size}
}

// Has reports whether i is in the set.
func (s *Set) Has(i int) bool {
	return i >= 0 && i < s.size && s.words[i/wordBits]&(1<<(i%wordBits)) != 0
}

// Add adds i to the set and reports whether the set has changed. Indexes out of range are ignored.
func (s *Set) Add(i int) bool {
	if i < 0 || i >= s.size || s.Has(i) {
		return false
	}
	s.words[i/wordBits] |= 1 << (i % wordBits)
	s.count++
	return true
}

// Len returns the number of indexes in the set.
func (s *Set) Len() int { return s.count }

// Full reports whether all indexes from 0 to size-1 are in the set.
func (s *Set) Full() bool { return s.count == s.size }
