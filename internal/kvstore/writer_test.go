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

// won sets up a state service with a leader of term 1.
func won(t *testing.T) (*simulation.KeyValueStore, *kvstore.FencedWriter) {
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
	s, w := won(t)
	w.Begin([]wire.Mutation{put("k", "old")})
	late := w.Txn()
	if o := w.Answer(wire.TxnResult{}, httpclient.ErrNoResponse); o != kvstore.Retry {
		t.Fatal("a lost answer must be followed by another try, got", o)
	}
	if o := w.Answer(s.Commit(w.Txn())); o != kvstore.Applied {
		t.Fatal("repeat:", o)
	}
	w.Begin([]wire.Mutation{put("k", "new")})
	if o := w.Answer(s.Commit(w.Txn())); o != kvstore.Applied {
		t.Fatal("next:", o)
	}
	if _, err := s.Commit(late); err == nil {
		t.Fatal("the late copy was applied")
	}
	if item, _ := s.Get("k"); string(item.Value) != `"new"` {
		t.Fatalf("k = %s", item.Value)
	}
}

// TestLostAnswersAreSettledByReading: the second try was applied and its
// answer lost as well; the third fails on its guard and a read settles it.
func TestLostAnswersAreSettledByReading(t *testing.T) {
	s, w := won(t)
	w.Begin([]wire.Mutation{put("k", "v")})
	w.Answer(wire.TxnResult{}, httpclient.ErrNoResponse)
	if _, err := s.Commit(w.Txn()); err != nil {
		t.Fatal(err)
	}
	w.Answer(wire.TxnResult{}, httpclient.ErrNoResponse)
	if o := w.Answer(s.Commit(w.Txn())); o != kvstore.OutcomeUnknown {
		t.Fatal("third try:", o)
	}
	if o := w.ResolveUnknown(s.Get(kvstore.KeyTerm)); o != kvstore.Applied {
		t.Fatal("settled:", o)
	}
	w.Begin([]wire.Mutation{put("k", "w")})
	if o := w.Answer(s.Commit(w.Txn())); o != kvstore.Applied {
		t.Fatal("the next change:", o)
	}
}

// TestWriterIsFencedBySuccessor: once the leader key has changed no write passes.
func TestWriterIsFencedBySuccessor(t *testing.T) {
	s, w := won(t)
	if _, err := s.Commit(wire.Txn{Then: []wire.Mutation{put(kvstore.KeyLeader, "other")}}); err != nil {
		t.Fatal(err)
	}
	w.Begin([]wire.Mutation{put("k", "v")})
	if o := w.Answer(s.Commit(w.Txn())); o != kvstore.Deposed {
		t.Fatal(o)
	}
}

// TestLeaseEndsWithItsKeys: the stand-in itself, on which the days rest.
func TestLeaseEndsWithItsKeys(t *testing.T) {
	s := simulation.NewKeyValueStore()
	now := time.Unix(0, 0)
	id, _ := s.Grant(now, time.Second)
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

// TestRefusedChangeIsLeftOut: the state service has become stricter than anyone
// was told, at any moment, also between a try without an answer and its repeat.
// All changes that it takes are made, and only those that it can't are named.
func TestRefusedChangeIsLeftOut(t *testing.T) {
	long := put("long", strings.Repeat("x", 2000))
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0))
		s, w := won(t)
		var want []string
		for round := range 6 {
			if round == 2 {
				s.Limits = config.StateLimits{ValueKB: 1, TxnOps: 3}
			}
			var writes []wire.Mutation
			for i := range 1 + rng.IntN(7) {
				writes = append(writes, put(fmt.Sprintf("k%d-%d", round, i), "v"))
			}
			withLong := rng.IntN(2) == 0
			if withLong {
				writes = append(writes, long)
			}
			w.Begin(writes)
			var late []wire.Txn
			for o := kvstore.Retry; o != kvstore.Applied; {
				if o == kvstore.Deposed {
					t.Fatalf("seed %d, round %d: deposed", seed, round)
				}
				if o == kvstore.OutcomeUnknown {
					o = w.ResolveUnknown(s.Get(kvstore.KeyTerm))
					continue
				}
				txn := w.Txn()
				switch rng.IntN(4) {
				case 0:
					late = append(late, txn) // carried out late, or never
					o = w.Answer(wire.TxnResult{}, httpclient.ErrNoResponse)
				case 1:
					_, _ = s.Commit(txn)
					o = w.Answer(wire.TxnResult{}, httpclient.ErrNoResponse)
				default:
					o = w.Answer(s.Commit(txn))
				}
			}
			if refused := w.Refused(); round >= 2 && slices.Contains(refused, "long") != withLong || round >= 2 && len(refused) > 1 {
				t.Fatalf("seed %d, round %d: refused %v", seed, round, refused)
			}
			for _, change := range writes {
				if change.Put != "long" {
					want = append(want, change.Put)
				}
			}
			// A late copy changes nothing any more.
			before, _ := s.List("")
			for _, txn := range late {
				_, _ = s.Commit(txn)
			}
			after, _ := s.List("")
			if !reflect.DeepEqual(before, after) {
				t.Fatalf("seed %d, round %d: a late copy was applied", seed, round)
			}
		}
		for _, key := range want {
			if _, err := s.Get(key); err != nil {
				t.Fatalf("seed %d: %s is missing", seed, key)
			}
		}
	}
}
