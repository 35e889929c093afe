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
	granted     = 7  // the lease that every campaign gets
	keyVersion  = 40 // of keys set up by a test
	wonRevision = 41
)

// fakeStore is a key-value store with one campaign.
type fakeStore struct {
	kvstore.Store // nil: what a campaign has no need of
	values        map[string]json.RawMessage
	commitErr     error
	applied       bool // commits are, whatever commitErr says
	renewErr      error
	txns          []wire.Txn
	calls         []string
}

func (s *fakeStore) Get(_ context.Context, key string) (wire.KeyValue, error) {
	value, found := s.values[key]
	if !found {
		return wire.KeyValue{}, kvstore.ErrNotFound
	}
	return wire.KeyValue{Key: key, Value: value, Version: keyVersion}, nil
}

func (s *fakeStore) Grant(context.Context, time.Duration) (uint64, error) { return granted, nil }

func (s *fakeStore) Commit(_ context.Context, txn wire.Txn) (wire.TxnResult, error) {
	s.txns = append(s.txns, txn)
	if s.applied {
		for _, change := range txn.Then {
			s.values[change.Put] = change.Value
		}
	}
	return wire.TxnResult{Revision: wonRevision}, s.commitErr
}

func (s *fakeStore) Renew(context.Context, uint64) error {
	s.calls = append(s.calls, "renew")
	return s.renewErr
}

func (s *fakeStore) Revoke(context.Context, uint64) error {
	s.calls = append(s.calls, "revoke")
	return nil
}

func (s *fakeStore) Watch(context.Context, string, uint64, time.Duration) error {
	s.calls = append(s.calls, "watch")
	return nil
}

// TestCampaign: when the key is taken, and what each answer to the transaction means.
func TestCampaign(t *testing.T) {
	held := func(node string) map[string]json.RawMessage {
		return map[string]json.RawMessage{
			kvstore.KeyLeader: LeaderRecord{Node: node, Nonce: 99}.encode(),
			kvstore.KeyTerm:   kvstore.TermRecord{Term: 4}.Encode(),
		}
	}
	for _, c := range []struct {
		name      string
		values    map[string]json.RawMessage
		commitErr error
		applied   bool
		won       bool
		term      uint64
		version   uint64
		calls     []string
		elsewhere bool
	}{
		{name: "the first of all", applied: true, won: true, term: 1, version: wonRevision},
		{name: "held by another node", values: held("n2"), calls: []string{"watch"}, elsewhere: true},
		{name: "held by this node's previous process", values: held("n1"), applied: true, won: true, term: 5, version: wonRevision},
		{name: "another was first", commitErr: kvstore.ErrConflict, calls: []string{"revoke"}},
		{name: "answer lost, applied", commitErr: httpclient.ErrNoResponse, applied: true, won: true, term: 1, version: keyVersion},
		{name: "answer lost, not applied", values: held("n1"), commitErr: httpclient.ErrNoResponse},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.values == nil {
				c.values = map[string]json.RawMessage{}
			}
			store := &fakeStore{values: c.values, commitErr: c.commitErr, applied: c.applied}
			e := &Election{Store: store, Node: "n1", Log: zerolog.Nop()}
			l, err := e.campaign(context.Background())
			if err != nil || (l != nil) != c.won {
				t.Fatalf("won: %v, error: %v", l != nil, err)
			}
			if c.won && (l.Term != c.term || l.LeaderVersion != c.version || l.TermVersion != c.version || l.lease != granted) {
				t.Errorf("%+v", l)
			}
			if !slices.Equal(store.calls, c.calls) || e.OtherNodeLeads() != c.elsewhere {
				t.Errorf("calls %v, another node leads: %v", store.calls, e.OtherNodeLeads())
			}
		})
	}
}

// TestTermEnds: with the lease, with the leader's loop or with a later leader; then the
// leader's loop has ended, the leadership is revoked and the lease released.
func TestTermEnds(t *testing.T) {
	for _, c := range []struct {
		name     string
		renewErr error
		elected  func(context.Context, *Leadership)
		lasted   time.Duration
	}{
		{"lease expired", kvstore.ErrNotFound, func(ctx context.Context, _ *Leadership) { <-ctx.Done() }, 0},
		{"loop failed", nil, func(context.Context, *Leadership) { time.Sleep(time.Minute) }, time.Minute},
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
				ended := false
				e := &Election{Store: store, Log: zerolog.Nop(), OnElected: func(ctx context.Context, l *Leadership) error {
					c.elected(ctx, l)
					ended = true
					return nil
				}}
				begun := time.Now()
				l := NewLeadership(3, begun)
				e.serveTerm(context.Background(), l)
				if lasted := time.Since(begun); lasted != c.lasted {
					t.Errorf("lasted %v, want %v", lasted, c.lasted)
				}
				if !ended || l.HoldsLease(begun) || store.calls[len(store.calls)-1] != "revoke" {
					t.Errorf("loop ended: %v, still leads: %v, calls %v", ended, l.HoldsLease(begun), store.calls)
				}
			})
		})
	}
}
