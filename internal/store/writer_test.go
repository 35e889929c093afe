package store_test

import (
	"testing"
	"time"

	"switchshore.example/switchshore/internal/httpc"
	"switchshore.example/switchshore/internal/standin"
	"switchshore.example/switchshore/internal/store"
	"switchshore.example/switchshore/wire"
)

func put(key, value string) wire.Write {
	return wire.Write{Put: key, Value: []byte(`"` + value + `"`)}
}

// won sets up a state service with a leader of term 1.
func won(t *testing.T) (*standin.State, *store.Writer) {
	t.Helper()
	s := standin.NewState()
	res, err := s.Commit(wire.Txn{Then: []wire.Write{put(store.KeyLeader, "n"), put(store.KeyTerm, "t")}})
	if err != nil {
		t.Fatal(err)
	}
	return s, store.NewWriter(1, res.Revision, res.Revision)
}

// TestLateCopyDies: a transaction whose answer was lost is repeated and
// followed by a newer one; its late copy must not bring the old value back.
func TestLateCopyDies(t *testing.T) {
	s, w := won(t)
	w.Begin([]wire.Write{put("k", "old")})
	late := w.Txn()
	if o := w.Answer(wire.TxnResult{}, httpc.ErrNoAnswer); o != store.Again {
		t.Fatal("a lost answer must be followed by another try, got", o)
	}
	if o := w.Answer(s.Commit(w.Txn())); o != store.Applied {
		t.Fatal("repeat:", o)
	}
	w.Begin([]wire.Write{put("k", "new")})
	if o := w.Answer(s.Commit(w.Txn())); o != store.Applied {
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
	w.Begin([]wire.Write{put("k", "v")})
	w.Answer(wire.TxnResult{}, httpc.ErrNoAnswer)
	if _, err := s.Commit(w.Txn()); err != nil {
		t.Fatal(err)
	}
	w.Answer(wire.TxnResult{}, httpc.ErrNoAnswer)
	if o := w.Answer(s.Commit(w.Txn())); o != store.Settle {
		t.Fatal("third try:", o)
	}
	if o := w.Settled(s.Get(store.KeyTerm)); o != store.Applied {
		t.Fatal("settled:", o)
	}
	w.Begin([]wire.Write{put("k", "w")})
	if o := w.Answer(s.Commit(w.Txn())); o != store.Applied {
		t.Fatal("the next change:", o)
	}
}

// TestSuccessorEndsWriter: once the leader key has changed no write passes.
func TestSuccessorEndsWriter(t *testing.T) {
	s, w := won(t)
	if _, err := s.Commit(wire.Txn{Then: []wire.Write{put(store.KeyLeader, "other")}}); err != nil {
		t.Fatal(err)
	}
	w.Begin([]wire.Write{put("k", "v")})
	if o := w.Answer(s.Commit(w.Txn())); o != store.Deposed {
		t.Fatal(o)
	}
}

// TestLeaseEndsWithItsKeys: the stand-in itself, on which the days rest.
func TestLeaseEndsWithItsKeys(t *testing.T) {
	s := standin.NewState()
	now := time.Unix(0, 0)
	id, _ := s.Grant(now, time.Second)
	w := put("k", "v")
	w.Lease = id
	if _, err := s.Commit(wire.Txn{Then: []wire.Write{w}}); err != nil {
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
