package election

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

const (
	grantedLease = 7  // the lease of every campaign
	keyVersion   = 40 // version of the keys that a test has set up
	wonRevision  = 41 // revision of a committed campaign
)

// fakeStore is a key-value store for one campaign or one term. It records what it is called with.
type fakeStore struct {
	kvstore.Store // nil: the methods not overridden below aren't called
	values        map[string]json.RawMessage
	commitErr     error      // returned by Commit
	applyCommits  bool       // Commit applies the changes, even if it returns commitErr
	renewErr      error      // returned by RenewLease
	committed     []wire.Txn // the transactions passed to Commit
	calls         []string   // calls of RenewLease, RevokeLease and Watch, in order
}

func (s *fakeStore) Get(_ context.Context, key string) (wire.KeyValue, error) {
	value, found := s.values[key]
	if !found {
		return wire.KeyValue{}, kvstore.ErrNotFound
	}
	return wire.KeyValue{Key: key, Value: value, Version: keyVersion}, nil
}

func (s *fakeStore) GrantLease(context.Context, time.Duration) (uint64, error) {
	return grantedLease, nil
}

func (s *fakeStore) Commit(_ context.Context, txn wire.Txn) (wire.TxnResult, error) {
	s.committed = append(s.committed, txn)
	if s.applyCommits {
		for _, change := range txn.Then {
			s.values[change.Put] = change.Value
		}
	}
	return wire.TxnResult{Revision: wonRevision}, s.commitErr
}

func (s *fakeStore) RenewLease(context.Context, uint64) error {
	s.calls = append(s.calls, "renew")
	return s.renewErr
}

func (s *fakeStore) RevokeLease(context.Context, uint64) error {
	s.calls = append(s.calls, "revoke")
	return nil
}

func (s *fakeStore) Watch(context.Context, string, uint64, time.Duration) error {
	s.calls = append(s.calls, "watch")
	return nil
}

// TestCampaign checks in which states of the leader key a campaign tries to acquire the key, and how
// each response to its transaction decides whether it was won.
func TestCampaign(t *testing.T) {
	heldBy := func(node string) map[string]json.RawMessage {
		return map[string]json.RawMessage{
			kvstore.KeyLeader: LeaderRecord{Node: node, Nonce: 99}.encode(),
			kvstore.KeyTerm:   kvstore.TermRecord{Term: 4}.Encode(),
		}
	}
	for _, c := range []struct {
		name       string
		values     map[string]json.RawMessage
		commitErr  error
		applied    bool // the store applies the transaction
		won        bool
		term       uint64
		version    uint64
		calls      []string
		otherLeads bool
	}{
		{name: "no earlier leader", applied: true, won: true, term: 1, version: wonRevision},
		{name: "held by another node", values: heldBy("n2"), calls: []string{"watch"}, otherLeads: true},
		{name: "held by this node's previous process", values: heldBy("n1"), applied: true, won: true, term: 5, version: wonRevision},
		{
			name: "the predecessor reserved fencing tokens", applied: true, won: true, term: 261, version: wonRevision,
			values: map[string]json.RawMessage{kvstore.KeyTerm: kvstore.TermRecord{Term: 260, Fence: 3}.Encode()},
		},
		{name: "another node acquired the key first", commitErr: kvstore.ErrConflict, calls: []string{"revoke"}},
		{name: "response lost, applied", commitErr: httpclient.ErrNoResponse, applied: true, won: true, term: 1, version: keyVersion},
		{name: "response lost, not applied", values: heldBy("n1"), commitErr: httpclient.ErrNoResponse},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.values == nil {
				c.values = map[string]json.RawMessage{}
			}
			store := &fakeStore{values: c.values, commitErr: c.commitErr, applyCommits: c.applied}
			e := &Election{Store: store, Node: "n1", Log: zerolog.Nop()}
			l, err := e.campaign(context.Background())
			if err != nil || (l != nil) != c.won {
				t.Fatalf("won: %v, error: %v; want no error, and won as in the test case", l != nil, err)
			}
			if c.won && (l.Term != c.term || l.LeaderVersion != c.version || l.TermVersion != c.version || l.lease != grantedLease) {
				t.Errorf("got leadership %+v, want the term and key versions of the test case, and the granted lease", l)
			}
			if !slices.Equal(store.calls, c.calls) || e.OtherNodeLeads() != c.otherLeads {
				t.Errorf("calls %v, another node leads: %v; want both as in the test case", store.calls, e.OtherNodeLeads())
			}
		})
	}
}

// TestTermEnds checks that a term ends when the lease expires, when OnElected returns or when the
// leadership is revoked because of a later leader. When serveTerm returns, OnElected must have
// returned, and the leadership and the lease must have been revoked.
func TestTermEnds(t *testing.T) {
	for _, c := range []struct {
		name       string
		renewErr   error
		onElected  func(context.Context, *Leadership)
		wantLasted time.Duration
	}{
		{"lease expired", kvstore.ErrNotFound, func(ctx context.Context, _ *Leadership) { <-ctx.Done() }, 0},
		{"OnElected returned", nil, func(context.Context, *Leadership) { time.Sleep(time.Minute) }, time.Minute},
		{"later leader", nil, func(ctx context.Context, l *Leadership) {
			l.Revoke()
			<-ctx.Done()
		}, tuning.LeaseRenewInterval},
		{"later leader during an outage", kvstore.ErrUnavailable, func(ctx context.Context, l *Leadership) {
			l.Revoke()
			<-ctx.Done()
		}, tuning.StoreRetryDelay},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &fakeStore{renewErr: c.renewErr}
				returned := false
				e := &Election{Store: store, Log: zerolog.Nop(), OnElected: func(ctx context.Context, l *Leadership) error {
					c.onElected(ctx, l)
					returned = true
					return nil
				}}
				start := time.Now()
				l := NewLeadership(3, start)
				e.serveTerm(context.Background(), l)
				if lasted := time.Since(start); lasted != c.wantLasted {
					t.Errorf("the term lasted %v, want %v", lasted, c.wantLasted)
				}
				if !returned || l.HoldsLease(start) || store.calls[len(store.calls)-1] != "revoke" {
					t.Errorf("OnElected returned: %v, holds the lease: %v, calls %v; want true, false, revoke as the last call", returned, l.HoldsLease(start), store.calls)
				}
			})
		})
	}
}
