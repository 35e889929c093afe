package kvstore_test

import (
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

// newTerm returns a key-value store with a leader in term 1, and that leader's writer.
func newTerm(t *testing.T) (*simulation.KeyValueStore, *kvstore.FencedWriter) {
	t.Helper()
	s := simulation.NewKeyValueStore()
	res, err := s.Commit(wire.Txn{Then: []wire.Mutation{put(kvstore.KeyLeader, "n"), put(kvstore.KeyTerm, "t")}})
	if err != nil {
		t.Fatal(err)
	}
	return s, kvstore.NewFencedWriter(1, res.Revision, res.Revision)
}

// TestLateTransactionIsRejected: a transaction without a response is retried and followed by a
// newer one. The first copy reaches the store after that and must not restore the old value.
func TestLateTransactionIsRejected(t *testing.T) {
	s, w := newTerm(t)
	w.Begin([]wire.Mutation{put("k", "old")})
	late := w.Txn()
	if o := w.HandleResult(wire.TxnResult{}, httpclient.ErrNoResponse); o != kvstore.Retry {
		t.Fatal("a lost response must lead to a retry, got", o)
	}
	if o := w.HandleResult(s.Commit(w.Txn())); o != kvstore.Applied {
		t.Fatal("retry:", o)
	}
	w.Begin([]wire.Mutation{put("k", "new")})
	if o := w.HandleResult(s.Commit(w.Txn())); o != kvstore.Applied {
		t.Fatal("next transaction:", o)
	}
	if _, err := s.Commit(late); err == nil {
		t.Fatal("the late copy was applied")
	}
	if item, _ := s.Get("k"); string(item.Value) != `"new"` {
		t.Fatalf("k = %s", item.Value)
	}
}

// TestUnknownOutcomeIsResolvedByReading: the second attempt is applied, but its response is lost
// like the first one's. The third attempt fails on its condition; reading the term key then
// shows that the changes were applied.
func TestUnknownOutcomeIsResolvedByReading(t *testing.T) {
	s, w := newTerm(t)
	w.Begin([]wire.Mutation{put("k", "v")})
	w.HandleResult(wire.TxnResult{}, httpclient.ErrNoResponse)
	if _, err := s.Commit(w.Txn()); err != nil {
		t.Fatal(err)
	}
	w.HandleResult(wire.TxnResult{}, httpclient.ErrNoResponse)
	if o := w.HandleResult(s.Commit(w.Txn())); o != kvstore.OutcomeUnknown {
		t.Fatal("third attempt:", o)
	}
	if o := w.ResolveUnknown(s.Get(kvstore.KeyTerm)); o != kvstore.Applied {
		t.Fatal("resolved:", o)
	}
	w.Begin([]wire.Mutation{put("k", "w")})
	if o := w.HandleResult(s.Commit(w.Txn())); o != kvstore.Applied {
		t.Fatal("next transaction:", o)
	}
}

// TestWriterIsFencedBySuccessor checks that no write is applied once the leader key has changed.
func TestWriterIsFencedBySuccessor(t *testing.T) {
	s, w := newTerm(t)
	if _, err := s.Commit(wire.Txn{Then: []wire.Mutation{put(kvstore.KeyLeader, "other")}}); err != nil {
		t.Fatal(err)
	}
	w.Begin([]wire.Mutation{put("k", "v")})
	if o := w.HandleResult(s.Commit(w.Txn())); o != kvstore.Deposed {
		t.Fatal(o)
	}
}

// TestExpiredLeaseDeletesItsKeys tests the simulated store, on which the simulations rely: a key
// is deleted when its lease expires, and an outage of the store restarts the lease's time.
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

// TestRefusedChangeIsSkipped: the store's limits become stricter than the settings at any moment,
// also between an attempt without a response and its retry. The writer must write every change
// that the store accepts, and must report only those that it refuses.
func TestRefusedChangeIsSkipped(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s, w := newTerm(t)
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

// oversized is a change that a store refuses if values are limited to 1 KB.
var oversized = put("long", strings.Repeat("x", 2000))

// faultyCommits writes changes through a writer and randomly loses requests and responses.
type faultyCommits struct {
	t          *testing.T
	store      *simulation.KeyValueStore
	writer     *kvstore.FencedWriter
	rng        *rand.Rand
	accepted   []string   // keys that must be stored at the end
	lateCopies []wire.Txn // sent in this round without a response, and not applied yet
}

// commitRound writes a few changes, at random with an oversized one among them.
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
			f.t.Fatalf("round %d: deposed", round)
		}
		outcome = f.nextOutcome(outcome)
	}
	refused := f.writer.Refused()
	if round >= 2 && slices.Contains(refused, oversized.Put) != withOversized || round >= 2 && len(refused) > 1 {
		f.t.Fatalf("round %d: refused %v", round, refused)
	}
	f.checkLateCopies(round)
}

// nextOutcome performs the step that follows an outcome and returns the new outcome.
func (f *faultyCommits) nextOutcome(outcome kvstore.Outcome) kvstore.Outcome {
	if outcome == kvstore.OutcomeUnknown {
		return f.writer.ResolveUnknown(f.store.Get(kvstore.KeyTerm))
	}
	txn := f.writer.Txn()
	switch f.rng.IntN(4) {
	case 0:
		f.lateCopies = append(f.lateCopies, txn) // applied late or never
		return f.writer.HandleResult(wire.TxnResult{}, httpclient.ErrNoResponse)
	case 1:
		_, _ = f.store.Commit(txn) // its response is lost
		return f.writer.HandleResult(wire.TxnResult{}, httpclient.ErrNoResponse)
	}
	return f.writer.HandleResult(f.store.Commit(txn))
}

// checkLateCopies sends the transactions that got no response to the store, and checks that
// they change nothing any more.
func (f *faultyCommits) checkLateCopies(round int) {
	f.t.Helper()
	before := f.storedItems()
	for _, txn := range f.lateCopies {
		_, _ = f.store.Commit(txn) // it may fail
	}
	if !reflect.DeepEqual(before, f.storedItems()) {
		f.t.Fatalf("round %d: a late copy was applied", round)
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

// step is a result passed to the writer, and the outcome that it must return.
type step struct {
	err     error
	failed  []string // keys of a conflict
	outcome kvstore.Outcome
}

// TestOutcomesOfResults checks the outcome of each result in a sequence.
func TestOutcomesOfResults(t *testing.T) {
	lost := step{err: httpclient.ErrNoResponse, outcome: kvstore.Retry}
	invalid := func(o kvstore.Outcome) step { return step{err: kvstore.ErrInvalidRequest, outcome: o} }
	applied := step{outcome: kvstore.Applied}
	for _, c := range []struct {
		name    string
		changes int
		steps   []step
		refused []string
	}{
		{"applied at once", 2, []step{applied}, nil},
		{"unavailable, then applied", 1, []step{{err: kvstore.ErrUnavailable, outcome: kvstore.Retry}, applied}, nil},
		{"responses lost, then applied", 1, []step{lost, lost, applied}, nil},
		{
			"condition failed at the first attempt", 1,
			[]step{{err: kvstore.ErrConflict, failed: []string{kvstore.KeyTerm}, outcome: kvstore.Deposed}},
			nil,
		},
		{
			"another leader after a lost response", 1,
			[]step{lost, {err: kvstore.ErrConflict, failed: []string{kvstore.KeyLeader}, outcome: kvstore.Deposed}},
			nil,
		},
		{
			"term key changed after a lost response", 1,
			[]step{lost, {err: kvstore.ErrConflict, failed: []string{kvstore.KeyTerm}, outcome: kvstore.OutcomeUnknown}},
			nil,
		},
		{"one invalid change", 1, []step{invalid(kvstore.Applied)}, []string{"k0"}},
		{
			"the first of two invalid", 2,
			[]step{invalid(kvstore.ContinueSplit), invalid(kvstore.ContinueSplit), applied},
			[]string{"k0"},
		},
		{
			"the second of two invalid", 2,
			[]step{invalid(kvstore.ContinueSplit), {outcome: kvstore.ContinueSplit}, invalid(kvstore.Applied)},
			[]string{"k1"},
		},
		{"invalid without any change", 0, []step{invalid(kvstore.Deposed)}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := kvstore.NewFencedWriter(1, 1, 1)
			w.Begin(numberedWrites(c.changes))
			for i, s := range c.steps {
				if got := w.HandleResult(wire.TxnResult{Revision: 2, FailedKeys: s.failed}, s.err); got != s.outcome {
					t.Fatalf("step %d: %v, want %v", i, got, s.outcome)
				}
			}
			if got := w.Refused(); !slices.Equal(got, c.refused) {
				t.Errorf("refused %v, want %v", got, c.refused)
			}
		})
	}
}

// TestUnknownOutcomes checks the outcome for each value of the term key after a lost response.
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
				t.Errorf("%v, want %v", got, c.outcome)
			}
			if c.outcome != kvstore.Applied {
				return
			}
			if txn := w.Txn(); txn.If[1] != (wire.Compare{Key: kvstore.KeyTerm, Version: 9}) {
				t.Errorf("conditions of the next transaction: %+v", txn.If)
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
