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

// anyValue is a stored value whose content does not matter.
const anyValue = `1`

// pendingStarts is a queued start record with the given content. If the content is "", the record
// need not be written.
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

// batchKeys returns the keys of the changes in a batch, with "-" before those to be deleted.
func batchKeys(b *records.Batch) []string {
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

func newWriteQueues() *records.WriteQueues { return records.NewWriteQueues(zerolog.Nop(), valueLimit) }

// putChanges queues count changes whose keys are name followed by 0, 1 and so on.
func putChanges(q *records.Queue, name string, count int) {
	for i := range count {
		q.Put(fmt.Sprint(name, i), json.RawMessage(anyValue), nil)
	}
}

// TestLatestValueOfAKeyIsWrittenOnce: a later change of a key replaces the queued one and keeps its
// position, and the callbacks of both are called.
func TestLatestValueOfAKeyIsWrittenOnce(t *testing.T) {
	q := newWriteQueues()
	called := 0
	q.Interactive.Put("a", json.RawMessage(anyValue), func() { called++ })
	q.Interactive.Put("b", json.RawMessage(anyValue), nil)
	q.Interactive.Put("a", json.RawMessage(`2`), func() { called++ })
	b := q.NextBatch(10, 0, false)
	if got := batchKeys(b); !slices.Equal(got, []string{"a", "b"}) || string(b.Mutations[0].Value) != `2` {
		t.Fatalf("changes %v, want a with the value 2, then b", b.Mutations)
	}
	q.Interactive.Delete("a")
	q.MarkCommitted(b, nil)
	if called != 2 {
		t.Errorf("%d callbacks called, want 2", called)
	}
	if got := batchKeys(q.NextBatch(10, 0, false)); !slices.Equal(got, []string{"-a"}) {
		t.Errorf("keys %v, want -a", got)
	}
	if q.Len() != 0 || q.Interactive.Dequeued() != 3 || q.NextBatch(10, 10, false) != nil {
		t.Errorf("%d changes queued, want none; %d dequeued, want 3", q.Len(), q.Interactive.Dequeued())
	}
}

// TestBatchSharesAreKept: each queue gets its share of a batch of 8 changes.
func TestBatchSharesAreKept(t *testing.T) {
	for name, test := range map[string]struct {
		interactive, dependent, starts, background int // number of queued changes
		spareOps                                   int
		shedding                                   bool
		want                                       string // keys in the batch
	}{
		"interactive alone":             {interactive: 9, want: "i0 i1 i2 i3 i4 i5 i6 i7"},
		"interactive and starts":        {interactive: 9, starts: 2, want: "i0 i1 i2 i3 s0 s1 i4 i5"},
		"dependent has a small share":   {interactive: 9, dependent: 9, want: "d0 d1 i0 i1 i2 i3 i4 i5"},
		"more dependent needs spareOps": {dependent: 9, spareOps: 3, want: "d0 d1 d2 d3 d4"},
		"background needs spareOps":     {background: 9, want: ""},
		"background uses spareOps":      {background: 9, spareOps: 2, want: "b0 b1"},
		"shedding raises spareOps":      {interactive: 9, background: 9, shedding: true, want: "i0 i1 i2 i3 b0 b1 i4 i5"},
	} {
		t.Run(name, func(t *testing.T) {
			q := newWriteQueues()
			putChanges(&q.Interactive, "i", test.interactive)
			putChanges(&q.Dependent, "d", test.dependent)
			putChanges(&q.Background, "b", test.background)
			for i := range test.starts {
				q.PutStarts(&pendingStarts{key: fmt.Sprint("s", i), content: anyValue})
			}
			if got := strings.Join(batchKeys(q.NextBatch(8, test.spareOps, test.shedding)), " "); got != test.want {
				t.Errorf("keys %s, want %s", got, test.want)
			}
		})
	}
}

// TestDeletionsWaitForQueuedStartRecords: the attempts of a start record that is to be deleted may
// have moved to a queued start record. No deletion may be written before all queued start records
// are, or a successor could find these attempts in no record.
func TestDeletionsWaitForQueuedStartRecords(t *testing.T) {
	q := newWriteQueues()
	q.Background.Delete("s/old")
	large := strings.Repeat("x", valueLimit)
	for i := range 30 {
		q.PutStarts(&pendingStarts{key: fmt.Sprint("s", i), content: `"` + large[2:] + `"`})
	}
	got := batchKeys(q.NextBatch(100, 100, false))
	if len(got) == 0 || len(got) == 30 || slices.Contains(got, "-s/old") {
		t.Fatalf("first batch %v, want some of the 30 start records and no deletion", got)
	}
	var rest []string
	for b := q.NextBatch(100, 100, false); b != nil; b = q.NextBatch(100, 100, false) {
		rest = append(rest, batchKeys(b)...)
	}
	if len(got)+len(rest) != 31 || rest[len(rest)-1] != "-s/old" {
		t.Errorf("first batch %v, then %v, want 30 start records, then the deletion", got, rest)
	}
}

// TestEmptyStartRecordIsNotWritten: a start record without content is removed from the queue, but not
// written.
func TestEmptyStartRecordIsNotWritten(t *testing.T) {
	q, s := newWriteQueues(), &pendingStarts{key: "s1"}
	q.PutStarts(s)
	if b := q.NextBatch(10, 10, false); b != nil || !s.finalized || q.Len() != 0 {
		t.Errorf("keys %v, finalized %v, %d queued, want a finalized record and nothing else",
			batchKeys(b), s.finalized, q.Len())
	}
}

// TestRefusedAndOversizedChangesDoNotBlockOthers: refused and oversized changes are dropped and logged
// with their keys. Only the OnCommit callbacks of the other changes are called.
func TestRefusedAndOversizedChangesDoNotBlockOthers(t *testing.T) {
	var logs bytes.Buffer
	q := records.NewWriteQueues(zerolog.New(&logs), 16)
	committed := map[string]bool{}
	for _, key := range []string{"long", "refused", "fine"} {
		value := anyValue
		if key == "long" {
			value = `"much too long for the limit"`
		}
		q.Interactive.Put(key, json.RawMessage(value), func() { committed[key] = true })
	}
	b := q.NextBatch(10, 0, false)
	if got := batchKeys(b); !slices.Equal(got, []string{"refused", "fine"}) {
		t.Fatalf("keys %v, want refused, fine", got)
	}
	q.MarkCommitted(b, []string{"refused"})
	if committed["long"] || committed["refused"] || !committed["fine"] {
		t.Errorf("callbacks called for %v, want only fine", committed)
	}
	for _, key := range []string{"long", "refused"} {
		if !strings.Contains(logs.String(), `"key":"`+key+`"`) {
			t.Errorf("the log has no entry for %s: %s", key, logs.String())
		}
	}
}
