package intervals

import (
	"errors"
	"fmt"
	"math/bits"
	"strconv"
	"strings"
)

// ErrOutOfBounds is matched by the error for an interval that is beyond the limit or ends
// before it begins.
var ErrOutOfBounds = errors.New("range out of bounds")

// Format returns the indexes of the set from from to to-1 as intervals.
func (s *Set) Format(from, to int) string {
	var b strings.Builder
	to = min(to, s.size)
	for i := from; i < to; {
		rest := s.words[i/wordBits] >> (i % wordBits)
		if rest == 0 {
			i += wordBits - i%wordBits
			continue
		}
		i += bits.TrailingZeros64(rest)
		if i >= to {
			break
		}
		end := i
		for end+1 < to && s.Has(end+1) {
			end++
		}
		appendInterval(&b, i, end)
		i = end + 1
	}
	return b.String()
}

// FormatList returns ascending indexes as intervals.
func FormatList(sorted []int) string {
	var b strings.Builder
	for i := 0; i < len(sorted); {
		end := i
		for end+1 < len(sorted) && sorted[end+1] == sorted[end]+1 {
			end++
		}
		appendInterval(&b, sorted[i], sorted[end])
		i = end + 1
	}
	return b.String()
}

// appendInterval appends the interval from..to, both included.
func appendInterval(b *strings.Builder, from, to int) {
	if b.Len() > 0 {
		b.WriteByte(',')
	}
	b.WriteString(strconv.Itoa(from))
	if to > from {
		b.WriteByte('-')
		b.WriteString(strconv.Itoa(to))
	}
}

// ParseEach parses intervals and calls f for every index. Each must be below limit; the error
// is ErrOutOfBounds or that of a malformed number.
func ParseEach(text string, limit int, f func(int)) error {
	if text == "" {
		return nil
	}
	for _, part := range strings.Split(text, ",") {
		from, to, err := parseInterval(part)
		if err != nil {
			return err
		}
		if from < 0 || to < from || to >= limit {
			return fmt.Errorf("%w: %s", ErrOutOfBounds, part)
		}
		for i := from; i <= to; i++ {
			f(i)
		}
	}
	return nil
}

// parseInterval parses "FROM-TO" or a single index.
func parseInterval(text string) (from, to int, err error) {
	first, last, isInterval := strings.Cut(text, "-")
	if from, err = strconv.Atoi(first); err != nil {
		return 0, 0, err
	}
	if !isInterval {
		return from, from, nil
	}
	if to, err = strconv.Atoi(last); err != nil {
		return 0, 0, err
	}
	return from, to, nil
}
