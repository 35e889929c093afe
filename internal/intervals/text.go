package intervals

import (
	"errors"
	"fmt"
	"math/bits"
	"strconv"
	"strings"
)

// ErrOutOfBounds is the error for an interval with an index beyond the limit, or with a last index
// that is less than the first one.
var ErrOutOfBounds = errors.New("range out of bounds")

// Format returns as text the indexes of the set that are at least from and less than to.
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

// FormatList returns indexes as text. They must be in ascending order.
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

// appendInterval appends the text of the interval that begins with from and ends with to.
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

// ParseEach parses text and calls f for every index in it. If text is malformed or contains an index
// that is not below limit, ParseEach returns an error, possibly after calls of f. The error is that of
// strconv.Atoi or matches ErrOutOfBounds.
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

// parseInterval parses "FROM-TO" or a single index, which is both from and to.
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
