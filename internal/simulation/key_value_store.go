// Package simulation is only for tests. It holds stand-ins for the state service, the cloud and the
// workers, written after the protocol, a checker of its rules, and a seeded
// world that plays them against controllers in simulated time. Tests use it.
package simulation

import (
	"slices"
	"sort"
	"strings"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/wire"
)

type entry struct {
	item  wire.KeyValue
	lease uint64
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// KeyValueStore is the state service.
type KeyValueStore struct {
	Down bool
	// Limits hold for values and transactions, if set.
	Limits config.KVStoreLimits
	// OnCommit, if set, is told of every transaction that was carried out.
	OnCommit func(wire.Txn)

	keys     map[string]*entry
	leases   map[uint64]*lease
	revision uint64
	nextID   uint64
}

// NewKeyValueStore returns an empty state service.
func NewKeyValueStore() *KeyValueStore {
	return &KeyValueStore{keys: map[string]*entry{}, leases: map[uint64]*lease{}, revision: 1}
}

// Advance ends leases that have run out; during an outage none does, and
// after it each has its full time again.
func (s *KeyValueStore) Advance(now time.Time) {
	for id, l := range s.leases {
		if s.Down {
			l.end = now.Add(l.ttl)
		} else if !now.Before(l.end) {
			s.revoke(id)
		}
	}
}

func (s *KeyValueStore) revoke(id uint64) {
	delete(s.leases, id)
	for k, e := range s.keys {
		if e.lease == id {
			s.revision++
			delete(s.keys, k)
		}
	}
}

// Get reads a key.
func (s *KeyValueStore) Get(key string) (wire.KeyValue, error) {
	if s.Down {
		return wire.KeyValue{}, kvstore.ErrUnavailable
	}
	e := s.keys[key]
	if e == nil {
		return wire.KeyValue{Revision: s.revision}, kvstore.ErrNotFound
	}
	return e.item, nil
}

// List reads the keys with a prefix.
func (s *KeyValueStore) List(prefix string) ([]wire.KeyValue, error) {
	if s.Down {
		return nil, kvstore.ErrUnavailable
	}
	var items []wire.KeyValue
	for k, e := range s.keys {
		if strings.HasPrefix(k, prefix) {
			items = append(items, e.item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items, nil
}

// Commit runs a transaction.
func (s *KeyValueStore) Commit(txn wire.Txn) (wire.TxnResult, error) {
	if s.Down {
		return wire.TxnResult{}, kvstore.ErrUnavailable
	}
	res := wire.TxnResult{}
	if s.exceedsLimits(txn) {
		return res, kvstore.ErrInvalidRequest
	}
	for _, g := range txn.If {
		var version uint64
		if e := s.keys[g.Key]; e != nil {
			version = e.item.Version
		}
		if version != g.Version {
			res.FailedKeys = append(res.FailedKeys, g.Key)
		}
	}
	for _, w := range txn.Then {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return res, kvstore.ErrInvalidRequest
		}
	}
	if len(res.FailedKeys) > 0 {
		res.Revision = s.revision
		return res, kvstore.ErrConflict
	}
	s.revision++
	for _, w := range txn.Then {
		if w.Delete != "" {
			delete(s.keys, w.Delete)
			continue
		}
		s.keys[w.Put] = &entry{wire.KeyValue{Key: w.Put, Value: w.Value, Version: s.revision}, w.Lease}
	}
	res.Revision = s.revision
	if s.OnCommit != nil {
		s.OnCommit(txn)
	}
	return res, nil
}

// exceedsLimits reports whether a transaction is above the limits.
func (s *KeyValueStore) exceedsLimits(txn wire.Txn) bool {
	l := s.Limits
	if l.TxnOps > 0 && (len(txn.Then) > l.TxnOps || len(txn.If) > 4*l.TxnOps) {
		return true
	}
	return slices.ContainsFunc(txn.Then, func(w wire.Mutation) bool {
		return len(w.Key()) > wire.MaxKeyBytes || l.ValueKB > 0 && float64(len(w.Value)) > l.ValueKB*1024
	})
}

// Grant gives a lease.
func (s *KeyValueStore) Grant(now time.Time, ttl time.Duration) (uint64, error) {
	if s.Down {
		return 0, kvstore.ErrUnavailable
	}
	s.nextID++
	s.leases[s.nextID] = &lease{ttl, now.Add(ttl)}
	return s.nextID, nil
}

// Renew renews a lease.
func (s *KeyValueStore) Renew(now time.Time, id uint64) error {
	if s.Down {
		return kvstore.ErrUnavailable
	}
	l := s.leases[id]
	if l == nil {
		return kvstore.ErrNotFound
	}
	l.end = now.Add(l.ttl)
	return nil
}
