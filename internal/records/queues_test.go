package records_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/records"
)

// anyValue is an arbitrary stored value.
const anyValue = `1`

// pendingStarts is a queued start record with the given content, "" if nothing has to be
// written.
type pendingStarts struct {
	key, content string
	finalized    bool
}

func (s *pendingStarts) MaxSize() int { return len(s.content) }

func (s *pendingStarts) Finalize() *records.Write {
	s.finalized = true
	if s.content == "" {
		return nil
	}
	return &records.Write{Key: s.key, Value: json.RawMessage(s.content)}
}

// keys returns the keys of a batch's changes, with "-" before deleted ones.
func keys(b *records.Batch) []string {
	if b == nil {
		return nil
	}
	var list []string
	for _, m := range b.Mutations {
		if m.Delete != "" {
			list = append(list, "-"+m.Delete)
		} else {
			list = append(list, m.Put)
		}
	}
	return list
}

func newQueues() *records.WriteQueues { return records.NewWriteQueues(zerolog.Nop(), valueLimit) }

func fill(q *records.Queue, name string, count int) {
	for i := range count {
		q.Put(fmt.Sprint(name, i), json.RawMessage(anyValue), nil)
	}
}

// TestLatestValueOfAKeyIsWrittenOnce: a queued change is replaced in its place by a later one
// of the same key, and the callbacks of both are called.
func TestLatestValueOfAKeyIsWrittenOnce(t *testing.T) {
	q := newQueues()
	called := 0
	q.Interactive.Put("a", json.RawMessage(anyValue), func() { called++ })
	q.Interactive.Put("b", json.RawMessage(anyValue), nil)
	q.Interactive.Put("a", json.RawMessage(`2`), func() { called++ })
	b := q.NextBatch(10, 0, false)
	if got := keys(b); !slices.Equal(got, []string{"a", "b"}) || string(b.Mutations[0].Value) != `2` {
		t.Fatalf("%v", b.Mutations)
	}
	q.Interactive.Delete("a")
	q.MarkCommitted(b, nil)
	if called != 2 {
		t.Errorf("%d calls", called)
	}
	if got := keys(q.NextBatch(10, 0, false)); !slices.Equal(got, []string{"-a"}) {
		t.Errorf("%v", got)
	}
	if q.Len() != 0 || q.Interactive.Dequeued() != 3 || q.NextBatch(10, 10, false) != nil {
		t.Errorf("%d queued, %d dequeued", q.Len(), q.Interactive.Dequeued())
	}
}

// TestBatchSharesAreKept: each queue gets its share of a batch.
func TestBatchSharesAreKept(t *testing.T) {
	for name, test := range map[string]struct {
		interactive, dependent, starts, background int
		spare                                      int
		shedding                                   bool
		want                                       string
	}{
		"users alone":                      {interactive: 9, want: "i0 i1 i2 i3 i4 i5 i6 i7"},
		"users and starts":                 {interactive: 9, starts: 2, want: "i0 i1 i2 i3 s0 s1 i4 i5"},
		"dependent ends have a small part": {interactive: 9, dependent: 9, want: "d0 d1 i0 i1 i2 i3 i4 i5"},
		"more dependent ends need spare":   {dependent: 9, spare: 3, want: "d0 d1 d2 d3 d4"},
		"background needs spare":           {background: 9, want: ""},
		"background takes the spare":       {background: 9, spare: 2, want: "b0 b1"},
		"shedding leaves a part for rest":  {interactive: 9, background: 9, shedding: true, want: "i0 i1 i2 i3 b0 b1 i4 i5"},
	} {
		t.Run(name, func(t *testing.T) {
			q := newQueues()
			fill(&q.Interactive, "i", test.interactive)
			fill(&q.Dependent, "d", test.dependent)
			fill(&q.Background, "b", test.background)
			for i := range test.starts {
				q.PutStarts(&pendingStarts{key: fmt.Sprint("s", i), content: anyValue})
			}
			if got := strings.Join(keys(q.NextBatch(8, test.spare, test.shedding)), " "); got != test.want {
				t.Errorf("%s, want %s", got, test.want)
			}
		})
	}
}

// TestNothingIsDeletedBeforeStartsAreWritten: a queued start record may replace a stored one
// that is to be deleted, so deletions wait until no start record is queued.
func TestNothingIsDeletedBeforeStartsAreWritten(t *testing.T) {
	q := newQueues()
	q.Background.Delete("s/old")
	large := strings.Repeat("x", valueLimit)
	for i := range 30 {
		q.PutStarts(&pendingStarts{key: fmt.Sprint("s", i), content: `"` + large[2:] + `"`})
	}
	got := keys(q.NextBatch(100, 100, false))
	if len(got) == 0 || len(got) == 30 || slices.Contains(got, "-s/old") {
		t.Fatalf("%v", got)
	}
	var rest []string
	for b := q.NextBatch(100, 100, false); b != nil; b = q.NextBatch(100, 100, false) {
		rest = append(rest, keys(b)...)
	}
	if len(got)+len(rest) != 31 || rest[len(rest)-1] != "-s/old" {
		t.Errorf("%v, then %v", got, rest)
	}
}

// TestEmptyStartRecordIsNotWritten: a start record without content leaves the queue without a
// change.
func TestEmptyStartRecordIsNotWritten(t *testing.T) {
	q, s := newQueues(), &pendingStarts{key: "s1"}
	q.PutStarts(s)
	if b := q.NextBatch(10, 10, false); b != nil || !s.finalized || q.Len() != 0 {
		t.Errorf("%v, finalized %v, %d queued", keys(b), s.finalized, q.Len())
	}
}

// TestRefusedAndOversizedChangesBlockNoOther: refused and oversized changes are logged with
// their keys and dropped, and only the callbacks of other changes are called.
func TestRefusedAndOversizedChangesBlockNoOther(t *testing.T) {
	var logs bytes.Buffer
	q := records.NewWriteQueues(zerolog.New(&logs), 16)
	done := map[string]bool{}
	for _, key := range []string{"long", "refused", "fine"} {
		value := anyValue
		if key == "long" {
			value = `"much too long for the limit"`
		}
		q.Interactive.Put(key, json.RawMessage(value), func() { done[key] = true })
	}
	b := q.NextBatch(10, 0, false)
	if got := keys(b); !slices.Equal(got, []string{"refused", "fine"}) {
		t.Fatalf("%v", got)
	}
	q.MarkCommitted(b, []string{"refused"})
	if done["long"] || done["refused"] || !done["fine"] {
		t.Errorf("%v", done)
	}
	for _, key := range []string{"long", "refused"} {
		if !strings.Contains(logs.String(), `"key":"`+key+`"`) {
			t.Errorf("%s is not named: %s", key, logs.String())
		}
	}
}
