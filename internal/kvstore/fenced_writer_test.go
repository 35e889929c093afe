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

// newTerm sets up a key-value store with a leader of term 1.
func newTerm(t *testing.T) (*simulation.KeyValueStore, *kvstore.FencedWriter) {
	t.Helper()
	s := simulation.NewKeyValueStore()
	res, err := s.Commit(wire.Txn{Then: []wire.Mutation{put(kvstore.KeyLeader, "n"), put(kvstore.KeyTerm, "t")}})
	if err != nil {
		t.Fatal(err)
	}
	return s, kvstore.NewFencedWriter(1, res.Revision, res.Revision)
}

// TestLateTransactionIsRejected: a transaction whose answer was lost is repeated and
// followed by a newer one; its late copy must not bring the old value back.
func TestLateTransactionIsRejected(t *testing.T) {
	s, w := newTerm(t)
	w.Begin([]wire.Mutation{put("k", "old")})
	late := w.Txn()
	if o := w.HandleResult(wire.TxnResult{}, httpclient.ErrNoResponse); o != kvstore.Retry {
		t.Fatal("a lost answer must be followed by another try, got", o)
	}
	if o := w.HandleResult(s.Commit(w.Txn())); o != kvstore.Applied {
		t.Fatal("repeat:", o)
	}
	w.Begin([]wire.Mutation{put("k", "new")})
	if o := w.HandleResult(s.Commit(w.Txn())); o != kvstore.Applied {
		t.Fatal("next:", o)
	}
	if _, err := s.Commit(late); err == nil {
		t.Fatal("the late copy was applied")
	}
	if item, _ := s.Get("k"); string(item.Value) != `"new"` {
		t.Fatalf("k = %s", item.Value)
	}
}

// TestUnknownOutcomeIsResolvedByReading: the second try was applied and its
// answer lost as well; the third fails on its condition and a read resolves it.
func TestUnknownOutcomeIsResolvedByReading(t *testing.T) {
	s, w := newTerm(t)
	w.Begin([]wire.Mutation{put("k", "v")})
	w.HandleResult(wire.TxnResult{}, httpclient.ErrNoResponse)
	if _, err := s.Commit(w.Txn()); err != nil {
		t.Fatal(err)
	}
	w.HandleResult(wire.TxnResult{}, httpclient.ErrNoResponse)
	if o := w.HandleResult(s.Commit(w.Txn())); o != kvstore.OutcomeUnknown {
		t.Fatal("third try:", o)
	}
	if o := w.ResolveUnknown(s.Get(kvstore.KeyTerm)); o != kvstore.Applied {
		t.Fatal("resolved:", o)
	}
	w.Begin([]wire.Mutation{put("k", "w")})
	if o := w.HandleResult(s.Commit(w.Txn())); o != kvstore.Applied {
		t.Fatal("the next change:", o)
	}
}

// TestWriterIsFencedBySuccessor: once the leader key has changed no write passes.
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

// TestLeaseEndsWithItsKeys: the simulated store itself, on which the simulated runs rely.
func TestLeaseEndsWithItsKeys(t *testing.T) {
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
		t.Fatal("after an outage a lease has its full time again")
	}
	s.Advance(now.Add(6 * time.Second))
	if _, err := s.Get("k"); err == nil {
		t.Fatal("the key outlived its lease")
	}
}

// TestRefusedChangeIsLeftOut: the store has become stricter than the settings
// say, at any moment, also between a try without an answer and its repeat.
// All changes that it takes are made, and only those that it can't are named.
func TestRefusedChangeIsLeftOut(t *testing.T) {
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

// tooLong is a change that a store with a limit of 1 KB refuses.
var tooLong = put("long", strings.Repeat("x", 2000))

// faultyCommits makes changes through a writer whose answers get lost now and then.
type faultyCommits struct {
	t        *testing.T
	store    *simulation.KeyValueStore
	writer   *kvstore.FencedWriter
	rng      *rand.Rand
	accepted []string   // keys that must be stored in the end
	late     []wire.Txn // sent in this round without an answer, and not carried out yet
}

// commitRound makes a few changes, one of them too long now and then.
func (f *faultyCommits) commitRound(round int) {
	f.t.Helper()
	f.late = nil
	var writes []wire.Mutation
	for i := range 1 + f.rng.IntN(7) {
		key := fmt.Sprintf("k%d-%d", round, i)
		writes = append(writes, put(key, "v"))
		f.accepted = append(f.accepted, key)
	}
	withLong := f.rng.IntN(2) == 0
	if withLong {
		writes = append(writes, tooLong)
	}
	f.writer.Begin(writes)
	outcome := kvstore.Retry
	for outcome != kvstore.Applied {
		if outcome == kvstore.Deposed {
			f.t.Fatalf("round %d: deposed", round)
		}
		outcome = f.next(outcome)
	}
	refused := f.writer.Refused()
	if round >= 2 && slices.Contains(refused, tooLong.Put) != withLong || round >= 2 && len(refused) > 1 {
		f.t.Fatalf("round %d: refused %v", round, refused)
	}
	f.checkLateCopies(round)
}

// next takes the step that an outcome asks for.
func (f *faultyCommits) next(outcome kvstore.Outcome) kvstore.Outcome {
	if outcome == kvstore.OutcomeUnknown {
		return f.writer.ResolveUnknown(f.store.Get(kvstore.KeyTerm))
	}
	txn := f.writer.Txn()
	switch f.rng.IntN(4) {
	case 0:
		f.late = append(f.late, txn) // carried out late, or never
		return f.writer.HandleResult(wire.TxnResult{}, httpclient.ErrNoResponse)
	case 1:
		_, _ = f.store.Commit(txn) // its answer is lost
		return f.writer.HandleResult(wire.TxnResult{}, httpclient.ErrNoResponse)
	}
	return f.writer.HandleResult(f.store.Commit(txn))
}

// checkLateCopies carries out what was sent without an answer: it changes nothing any more.
func (f *faultyCommits) checkLateCopies(round int) {
	f.t.Helper()
	before := f.stored()
	for _, txn := range f.late {
		_, _ = f.store.Commit(txn) // it may fail
	}
	if !reflect.DeepEqual(before, f.stored()) {
		f.t.Fatalf("round %d: a late copy was applied", round)
	}
}

// stored are all keys.
func (f *faultyCommits) stored() []wire.KeyValue {
	f.t.Helper()
	items, err := f.store.List("")
	if err != nil {
		f.t.Fatal(err)
	}
	return items
}

// step is a result given to the writer, and the outcome expected of it.
type step struct {
	err     error
	failed  []string // keys of a conflict
	outcome kvstore.Outcome
}

// TestOutcomesOfResults: what each sequence of results means for the changes begun.
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
		{"refused for now, then applied", 1, []step{{err: kvstore.ErrUnavailable, outcome: kvstore.Retry}, applied}, nil},
		{"answers lost, then applied", 1, []step{lost, lost, applied}, nil},
		{
			"condition failed at the first try", 1,
			[]step{{err: kvstore.ErrConflict, failed: []string{kvstore.KeyTerm}, outcome: kvstore.Deposed}},
			nil,
		},
		{
			"another leader after a lost answer", 1,
			[]step{lost, {err: kvstore.ErrConflict, failed: []string{kvstore.KeyLeader}, outcome: kvstore.Deposed}},
			nil,
		},
		{
			"term key changed after a lost answer", 1,
			[]step{lost, {err: kvstore.ErrConflict, failed: []string{kvstore.KeyTerm}, outcome: kvstore.OutcomeUnknown}},
			nil,
		},
		{"one change not understood", 1, []step{invalid(kvstore.Applied)}, []string{"k0"}},
		{
			"the first of two not understood", 2,
			[]step{invalid(kvstore.ContinueSplit), invalid(kvstore.ContinueSplit), applied},
			[]string{"k0"},
		},
		{
			"the second of two not understood", 2,
			[]step{invalid(kvstore.ContinueSplit), {outcome: kvstore.ContinueSplit}, invalid(kvstore.Applied)},
			[]string{"k1"},
		},
		{"not understood without any change", 0, []step{invalid(kvstore.Deposed)}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := kvstore.NewFencedWriter(1, 1, 1)
			w.Begin(numbered(c.changes))
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

// TestUnknownOutcomes: what the term key read after a lost answer means.
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
		{"not read", "", kvstore.ErrUnavailable, kvstore.OutcomeUnknown},
		{"answer lost", "", httpclient.ErrNoResponse, kvstore.OutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := kvstore.NewFencedWriter(3, 1, 1)
			w.Begin(numbered(1))
			w.HandleResult(wire.TxnResult{}, httpclient.ErrNoResponse)
			if got := w.ResolveUnknown(wire.KeyValue{Value: []byte(c.value), Version: 9}, c.err); got != c.outcome {
				t.Errorf("%v, want %v", got, c.outcome)
			}
			if c.outcome != kvstore.Applied {
				return
			}
			if txn := w.Txn(); txn.If[1] != (wire.Compare{Key: kvstore.KeyTerm, Version: 9}) {
				t.Errorf("the next transaction's conditions: %+v", txn.If)
			}
		})
	}
}

// numbered are changes of the keys k0, k1 and so on.
func numbered(n int) []wire.Mutation {
	var writes []wire.Mutation
	for i := range n {
		writes = append(writes, put(fmt.Sprintf("k%d", i), "v"))
	}
	return writes
}
