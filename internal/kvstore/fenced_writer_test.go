package kvstore_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/internal/simulation"
	"switchshore.example/switchshore/wire"
)

func put(key, value string) wire.Mutation {
	return wire.Mutation{Put: key, Value: []byte(`"` + value + `"`)}
}

// newStoreAndWriter returns a key-value store that has a leader key and a term key, and the writer
// of that leader.
func newStoreAndWriter(t *testing.T) (*simulation.KeyValueStore, *kvstore.FencedWriter) {
	t.Helper()
	s := simulation.NewKeyValueStore()
	res, err := s.Commit(wire.Txn{Then: []wire.Mutation{put(kvstore.KeyLeader, "n"), put(kvstore.KeyTerm, "t")}})
	if err != nil {
		t.Fatal(err)
	}
	return s, kvstore.NewFencedWriter(1, res.Revision, res.Revision)
}

// TestLateTransactionIsRejected: a transaction gets no response, is retried and is followed by a
// newer one. The first copy reaches the store only then, and must not restore the old value.
func TestLateTransactionIsRejected(t *testing.T) {
	s, w := newStoreAndWriter(t)
	w.Begin([]wire.Mutation{put("k", "old")})
	lateCopy := w.NextTxn()
	if o := w.HandleResult(wire.TxnResult{}, httpclient.ErrNoResponse); o != kvstore.Retry {
		t.Fatal("after a lost response: want Retry, got", o)
	}
	if o := w.HandleResult(s.Commit(w.NextTxn())); o != kvstore.Applied {
		t.Fatal("retry: want Applied, got", o)
	}
	w.Begin([]wire.Mutation{put("k", "new")})
	if o := w.HandleResult(s.Commit(w.NextTxn())); o != kvstore.Applied {
		t.Fatal("next transaction: want Applied, got", o)
	}
	if _, err := s.Commit(lateCopy); err == nil {
		t.Fatal("the late copy was applied")
	}
	if item, _ := s.Get("k"); string(item.Value) != `"new"` {
		t.Fatalf("k = %s, want the new value", item.Value)
	}
}

// TestUnknownOutcomeIsResolvedByReading: a transaction is lost, and its retry is applied but gets no
// response. The condition of the second retry then fails, and reading the term key must show that
// the changes were applied.
func TestUnknownOutcomeIsResolvedByReading(t *testing.T) {
	s, w := newStoreAndWriter(t)
	w.Begin([]wire.Mutation{put("k", "v")})
	w.HandleResult(wire.TxnResult{}, httpclient.ErrNoResponse)
	if _, err := s.Commit(w.NextTxn()); err != nil {
		t.Fatal(err)
	}
	w.HandleResult(wire.TxnResult{}, httpclient.ErrNoResponse)
	if o := w.HandleResult(s.Commit(w.NextTxn())); o != kvstore.OutcomeUnknown {
		t.Fatal("third transaction: want OutcomeUnknown, got", o)
	}
	if o := w.ResolveUnknown(s.Get(kvstore.KeyTerm)); o != kvstore.Applied {
		t.Fatal("after reading the term key: want Applied, got", o)
	}
	w.Begin([]wire.Mutation{put("k", "w")})
	if o := w.HandleResult(s.Commit(w.NextTxn())); o != kvstore.Applied {
		t.Fatal("next transaction: want Applied, got", o)
	}
}

// TestWriterIsFencedBySuccessor checks that a writer is deposed after the leader key has changed.
func TestWriterIsFencedBySuccessor(t *testing.T) {
	s, w := newStoreAndWriter(t)
	if _, err := s.Commit(wire.Txn{Then: []wire.Mutation{put(kvstore.KeyLeader, "other")}}); err != nil {
		t.Fatal(err)
	}
	w.Begin([]wire.Mutation{put("k", "v")})
	if o := w.HandleResult(s.Commit(w.NextTxn())); o != kvstore.Deposed {
		t.Fatal(o) // want Deposed
	}
}

// TestExpiredLeaseDeletesItsKeys tests the simulated store, on which the simulations rely: a key
// must be deleted when its lease expires, and an outage of the store must restart the lease's time
// to live.
func TestExpiredLeaseDeletesItsKeys(t *testing.T) {
	s := simulation.NewKeyValueStore()
	now := time.Unix(0, 0)
	id, _ := s.GrantLease(now, time.Second)
	w := put("k", "v")
	w.Lease = id
	if _, err := s.Commit(wire.Txn{Then: []wire.Mutation{w}}); err != nil {
		t.Fatal(err)
	}
	s.Down = true
	s.Advance(now.Add(5 * time.Second))
	s.Down = false
	s.Advance(now.Add(5900 * time.Millisecond))
	if _, err := s.Get("k"); err != nil {
		t.Fatal("the lease expired early: an outage must restart its time to live")
	}
	s.Advance(now.Add(6 * time.Second))
	if _, err := s.Get("k"); err == nil {
		t.Fatal("the key outlived its lease")
	}
}

// TestRefusedChangeIsSkipped: the store's limits become stricter than the settings while requests
// and responses are lost at random. The writer must write every change that the store accepts, and
// must report exactly the changes that it refuses.
func TestRefusedChangeIsSkipped(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s, w := newStoreAndWriter(t)
			f := &faultyCommits{t: t, store: s, writer: w, rng: rand.New(rand.NewPCG(seed, 0))}
			for round := range 6 {
				if round == 2 {
					s.Limits = config.KVStoreLimits{ValueKB: 1, TxnOps: 3}
				}
				f.commitRound(round)
			}
			for _, key := range f.accepted {
				if _, err := s.Get(key); err != nil {
					t.Fatalf("%s is missing", key)
				}
			}
		})
	}
}

// oversized is a change that the store refuses if its values are limited to 1 KB.
var oversized = put("long", strings.Repeat("x", 2000))

// faultyCommits writes changes through a writer and randomly loses requests and responses.
type faultyCommits struct {
	t          *testing.T
	store      *simulation.KeyValueStore
	writer     *kvstore.FencedWriter
	rng        *rand.Rand
	accepted   []string   // keys of all changes that the store must accept
	lateCopies []wire.Txn // transactions of this round that are on the way to the store; sent by checkLateCopies
	answered   []wire.Txn // transactions of all rounds that got a response
}

// commitRound writes a few changes. In about half of the rounds, one more change is oversized.
func (f *faultyCommits) commitRound(round int) {
	f.t.Helper()
	f.lateCopies = nil
	var writes []wire.Mutation
	for i := range 1 + f.rng.IntN(7) {
		key := fmt.Sprintf("k%d-%d", round, i)
		writes = append(writes, put(key, "v"))
		f.accepted = append(f.accepted, key)
	}
	withOversized := f.rng.IntN(2) == 0
	if withOversized {
		writes = append(writes, oversized)
	}
	f.writer.Begin(writes)
	outcome := kvstore.Retry
	for outcome != kvstore.Applied {
		if outcome == kvstore.Deposed {
			f.t.Fatalf("round %d: deposed, want all changes to be applied or refused", round)
		}
		outcome = f.nextOutcome(outcome)
	}
	refused := f.writer.RefusedKeys()
	if round >= 2 && slices.Contains(refused, oversized.Put) != withOversized || round >= 2 && len(refused) > 1 {
		f.t.Fatalf("round %d: refused %v, want only the oversized change, if the round has one", round, refused)
	}
	f.checkLateCopies(round)
}

// nextOutcome does what the outcome asks for and returns the next outcome.
func (f *faultyCommits) nextOutcome(outcome kvstore.Outcome) kvstore.Outcome {
	if outcome == kvstore.OutcomeUnknown {
		return f.writer.ResolveUnknown(f.store.Get(kvstore.KeyTerm))
	}
	txn := f.writer.NextTxn()
	switch f.rng.IntN(4) {
	case 0:
		f.lateCopies = append(f.lateCopies, txn) // delayed on the way to the store
		return f.writer.HandleResult(wire.TxnResult{}, httpclient.ErrNoResponse)
	case 1:
		_, _ = f.store.Commit(txn) // the response to it is lost
		return f.writer.HandleResult(wire.TxnResult{}, httpclient.ErrNoResponse)
	}
	f.answered = append(f.answered, txn)
	return f.writer.HandleResult(f.store.Commit(txn))
}

// checkLateCopies commits the delayed copies of transactions after the writer has finished the
// round, and checks that they change nothing.
func (f *faultyCommits) checkLateCopies(round int) {
	f.t.Helper()
	before := f.storedItems()
	for _, txn := range f.lateCopies {
		_, _ = f.store.Commit(txn) // the store may refuse it
	}
	if !reflect.DeepEqual(before, f.storedItems()) {
		f.t.Fatalf("round %d: a late copy was applied", round)
	}
}

// TestCopyOfAnsweredTransactionChangesNothing guards against stored values that are set back: copies of
// transactions that got a response arrive after newer ones, which have changed or deleted the same keys.
func TestCopyOfAnsweredTransactionChangesNothing(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s, w := newStoreAndWriter(t)
			f := &faultyCommits{t: t, store: s, writer: w, rng: rand.New(rand.NewPCG(seed, 2))}
			for round := range 30 {
				f.commitOverwrites(round)
				before := f.storedValues()
				for _, i := range f.rng.Perm(len(f.answered)) {
					_, _ = s.Commit(f.answered[i]) // the store may refuse it
				}
				if after := f.storedValues(); !reflect.DeepEqual(before, after) {
					t.Fatalf("round %d: copies of answered transactions have changed the values from %v to %v", round, before, after)
				}
			}
		})
	}
}

// commitOverwrites changes and deletes a few of eight keys.
func (f *faultyCommits) commitOverwrites(round int) {
	f.t.Helper()
	var writes []wire.Mutation
	for _, key := range f.rng.Perm(8)[:1+f.rng.IntN(3)] {
		if f.rng.IntN(3) == 0 {
			writes = append(writes, wire.Mutation{Delete: fmt.Sprint("k", key)})
		} else {
			writes = append(writes, put(fmt.Sprint("k", key), fmt.Sprint(round)))
		}
	}
	f.writer.Begin(writes)
	outcome := kvstore.Retry
	for outcome != kvstore.Applied {
		if outcome == kvstore.Deposed {
			f.t.Fatalf("round %d: deposed, want all changes to be applied", round)
		}
		outcome = f.nextOutcome(outcome)
	}
}

// storedValues returns the values of the store by key, without the versions.
func (f *faultyCommits) storedValues() map[string]string {
	f.t.Helper()
	values := map[string]string{}
	for _, item := range f.storedItems() {
		values[item.Key] = string(item.Value)
	}
	return values
}

// TestFewTransactionsWriteAFence: a fence is a change more, so only a transaction that changes a key
// again since the last fence has one: at most every second one.
func TestFewTransactionsWriteAFence(t *testing.T) {
	s, w := newStoreAndWriter(t)
	fences := 0
	for round := range 20 {
		w.Begin([]wire.Mutation{put("same", fmt.Sprint(round)), put(fmt.Sprint("new", round), "v")})
		txn := w.NextTxn()
		fences += len(txn.Then) - 2
		if o := w.HandleResult(s.Commit(txn)); o != kvstore.Applied {
			t.Fatal("want Applied, got", o)
		}
	}
	if fences != 10 {
		t.Errorf("%d of 20 transactions wrote a fence, want 10", fences)
	}
}

// storedItems returns all keys of the store with their values.
func (f *faultyCommits) storedItems() []wire.KeyValue {
	f.t.Helper()
	items, err := f.store.List("")
	if err != nil {
		f.t.Fatal(err)
	}
	return items
}

// resultStep is a result passed to the writer, and the outcome that it must return.
type resultStep struct {
	err        error
	failedKeys []string // keys whose conditions failed, with ErrConflict
	outcome    kvstore.Outcome
}

// TestOutcomesOfResults checks the outcome of each result in a sequence of results for one group of
// changes, and which changes the writer then reports as refused.
func TestOutcomesOfResults(t *testing.T) {
	lost := resultStep{err: httpclient.ErrNoResponse, outcome: kvstore.Retry}
	invalid := func(o kvstore.Outcome) resultStep { return resultStep{err: kvstore.ErrInvalidRequest, outcome: o} }
	applied := resultStep{outcome: kvstore.Applied}
	for _, c := range []struct {
		name    string
		changes int
		steps   []resultStep
		refused []string
	}{
		{"applied at once", 2, []resultStep{applied}, nil},
		{"unavailable, then applied", 1, []resultStep{{err: kvstore.ErrUnavailable, outcome: kvstore.Retry}, applied}, nil},
		{"responses lost, then applied", 1, []resultStep{lost, lost, applied}, nil},
		{
			"condition failed at the first attempt", 1,
			[]resultStep{{err: kvstore.ErrConflict, failedKeys: []string{kvstore.KeyTerm}, outcome: kvstore.Deposed}},
			nil,
		},
		{
			"another leader after a lost response", 1,
			[]resultStep{lost, {err: kvstore.ErrConflict, failedKeys: []string{kvstore.KeyLeader}, outcome: kvstore.Deposed}},
			nil,
		},
		{
			"term key changed after a lost response", 1,
			[]resultStep{lost, {err: kvstore.ErrConflict, failedKeys: []string{kvstore.KeyTerm}, outcome: kvstore.OutcomeUnknown}},
			nil,
		},
		{"one invalid change", 1, []resultStep{invalid(kvstore.Applied)}, []string{"k0"}},
		{
			"the first of two invalid", 2,
			[]resultStep{invalid(kvstore.SendNextPart), invalid(kvstore.SendNextPart), applied},
			[]string{"k0"},
		},
		{
			"the second of two invalid", 2,
			[]resultStep{invalid(kvstore.SendNextPart), {outcome: kvstore.SendNextPart}, invalid(kvstore.Applied)},
			[]string{"k1"},
		},
		{"invalid without any change", 0, []resultStep{invalid(kvstore.Deposed)}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := kvstore.NewFencedWriter(1, 1, 1)
			w.Begin(numberedWrites(c.changes))
			for i, s := range c.steps {
				if got := w.HandleResult(wire.TxnResult{Revision: 2, FailedKeys: s.failedKeys}, s.err); got != s.outcome {
					t.Fatalf("result %d: outcome %v, want %v", i, got, s.outcome)
				}
			}
			if got := w.RefusedKeys(); !slices.Equal(got, c.refused) {
				t.Errorf("refused %v, want %v", got, c.refused)
			}
		})
	}
}

// TestUnknownOutcomes checks which outcome each value of the term key has after a lost response.
func TestUnknownOutcomes(t *testing.T) {
	for _, c := range []struct {
		name    string
		value   string
		err     error
		outcome kvstore.Outcome
	}{
		{"this writer's fence", `{"term":3,"fence":1}`, nil, kvstore.Applied},
		{"no fence", `{"term":3}`, nil, kvstore.Deposed},
		{"another fence", `{"term":3,"fence":2}`, nil, kvstore.Deposed},
		{"another term", `{"term":4,"fence":1}`, nil, kvstore.Deposed},
		{"not a record", `7`, nil, kvstore.Deposed},
		{"no key", "", kvstore.ErrNotFound, kvstore.Deposed},
		{"store unavailable", "", kvstore.ErrUnavailable, kvstore.OutcomeUnknown},
		{"response lost", "", httpclient.ErrNoResponse, kvstore.OutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := kvstore.NewFencedWriter(3, 1, 1)
			w.Begin(numberedWrites(1))
			w.HandleResult(wire.TxnResult{}, httpclient.ErrNoResponse)
			if got := w.ResolveUnknown(wire.KeyValue{Value: []byte(c.value), Version: 9}, c.err); got != c.outcome {
				t.Errorf("outcome %v, want %v", got, c.outcome)
			}
			if c.outcome != kvstore.Applied {
				return
			}
			if txn := w.NextTxn(); txn.If[1] != (wire.Compare{Key: kvstore.KeyTerm, Version: 9}) {
				t.Errorf("conditions of the next transaction: %+v, want version 9 for the term key", txn.If)
			}
		})
	}
}

// numberedWrites returns n changes, of the keys k0, k1 and so on.
func numberedWrites(n int) []wire.Mutation {
	var writes []wire.Mutation
	for i := range n {
		writes = append(writes, put(fmt.Sprintf("k%d", i), "v"))
	}
	return writes
}

// TestReservedTokensAreDurable guards against a successor with a token that its predecessor has used:
// tokens count as reserved only once the term key holds them, also if responses were lost or changes
// were refused, and later fences keep them.
func TestReservedTokensAreDurable(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s, w := newStoreAndWriter(t)
			f := &faultyCommits{t: t, store: s, writer: w, rng: rand.New(rand.NewPCG(seed, 1))}
			s.Limits = config.KVStoreLimits{ValueKB: 1, TxnOps: 6}
			for round := range 12 {
				w.ReserveTokens(uint64(10 * (round / 3)))
				f.commitRound(round + 2) // the store refuses oversized changes from round 2 on
				if stored := storedTerm(t, s); w.ReservedToken() > max(1, stored) {
					t.Fatalf("round %d: tokens up to %d count as reserved, the term key holds %d", round, w.ReservedToken(), stored)
				}
			}
			if w.ReservedToken() != 30 {
				t.Errorf("tokens up to %d are reserved, want 30", w.ReservedToken())
			}
		})
	}
}

// storedTerm returns the number in the term key, 0 before the first fence.
func storedTerm(t *testing.T, s *simulation.KeyValueStore) uint64 {
	t.Helper()
	item, err := s.Get(kvstore.KeyTerm)
	if err != nil {
		t.Fatal(err)
	}
	var record kvstore.TermRecord
	if json.Unmarshal(item.Value, &record) != nil {
		return 0 // the value that newStoreAndWriter has stored
	}
	return record.Term
}
