package simulation

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/wire"
)

// storedItem is the value of a key, which is deleted when its lease, if any, expires.
type storedItem struct {
	item  wire.KeyValue
	lease uint64
}

// storeLease is a granted lease.
type storeLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// KeyValueStore is an in-memory key-value store with conditional transactions and leases. It reads
// no clock; callers pass the time.
type KeyValueStore struct {
	Down bool
	// Limits, if set, are the limits of values and transactions.
	Limits config.KVStoreLimits
	// OnCommit, if set, is called with every executed transaction.
	OnCommit func(wire.Txn)

	items       map[string]*storedItem
	leases      map[uint64]*storeLease
	revision    uint64
	lastLeaseID uint64
}

// NewKeyValueStore returns an empty store.
func NewKeyValueStore() *KeyValueStore {
	return &KeyValueStore{items: map[string]*storedItem{}, leases: map[uint64]*storeLease{}, revision: 1}
}

// Advance expires leases. During an outage no lease expires, and after it each has its full TTL
// again.
func (s *KeyValueStore) Advance(now time.Time) {
	for id, lease := range s.leases {
		if s.Down {
			lease.expiresAt = now.Add(lease.ttl)
		} else if !now.Before(lease.expiresAt) {
			s.revoke(id)
		}
	}
}

// revoke ends a lease and deletes its keys.
func (s *KeyValueStore) revoke(id uint64) {
	delete(s.leases, id)
	for key, stored := range s.items {
		if stored.lease == id {
			s.revision++
			delete(s.items, key)
		}
	}
}

// Get reads a key.
func (s *KeyValueStore) Get(key string) (wire.KeyValue, error) {
	if s.Down {
		return wire.KeyValue{}, kvstore.ErrUnavailable
	}
	stored := s.items[key]
	if stored == nil {
		return wire.KeyValue{Revision: s.revision}, kvstore.ErrNotFound
	}
	return stored.item, nil
}

// List returns the items whose keys have a prefix, sorted by key.
func (s *KeyValueStore) List(prefix string) ([]wire.KeyValue, error) {
	if s.Down {
		return nil, kvstore.ErrUnavailable
	}
	var items []wire.KeyValue
	for key, stored := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, stored.item)
		}
	}
	slices.SortFunc(items, func(a, b wire.KeyValue) int { return cmp.Compare(a.Key, b.Key) })
	return items, nil
}

// Commit executes a transaction if its conditions hold.
func (s *KeyValueStore) Commit(txn wire.Txn) (wire.TxnResult, error) {
	if s.Down {
		return wire.TxnResult{}, kvstore.ErrUnavailable
	}
	if s.exceedsLimits(txn) {
		return wire.TxnResult{}, kvstore.ErrInvalidRequest
	}
	failed := s.failedConditions(txn)
	if s.namesUnknownLease(txn) {
		return wire.TxnResult{FailedKeys: failed}, kvstore.ErrInvalidRequest
	}
	if len(failed) > 0 {
		return wire.TxnResult{FailedKeys: failed, Revision: s.revision}, kvstore.ErrConflict
	}
	s.execute(txn)
	if s.OnCommit != nil {
		s.OnCommit(txn)
	}
	return wire.TxnResult{Revision: s.revision}, nil
}

// failedConditions returns the keys whose version differs from that in the transaction's
// conditions.
func (s *KeyValueStore) failedConditions(txn wire.Txn) []string {
	var failed []string
	for _, condition := range txn.If {
		var version uint64
		if stored := s.items[condition.Key]; stored != nil {
			version = stored.item.Version
		}
		if version != condition.Version {
			failed = append(failed, condition.Key)
		}
	}
	return failed
}

// namesUnknownLease reports whether a transaction binds a key to a lease that does not exist.
func (s *KeyValueStore) namesUnknownLease(txn wire.Txn) bool {
	return slices.ContainsFunc(txn.Then, func(change wire.Mutation) bool {
		return change.Lease != 0 && s.leases[change.Lease] == nil
	})
}

// execute applies the changes of a transaction.
func (s *KeyValueStore) execute(txn wire.Txn) {
	s.revision++
	for _, change := range txn.Then {
		if change.Delete != "" {
			delete(s.items, change.Delete)
			continue
		}
		item := wire.KeyValue{Key: change.Put, Value: change.Value, Version: s.revision}
		s.items[change.Put] = &storedItem{item, change.Lease}
	}
}

// exceedsLimits reports whether a transaction exceeds the limits.
func (s *KeyValueStore) exceedsLimits(txn wire.Txn) bool {
	limits := s.Limits
	if limits.TxnOps > 0 && (len(txn.Then) > limits.TxnOps || len(txn.If) > 4*limits.TxnOps) {
		return true
	}
	return slices.ContainsFunc(txn.Then, func(change wire.Mutation) bool {
		tooLarge := limits.ValueKB > 0 && float64(len(change.Value)) > limits.ValueKB*1024
		return tooLarge || len(change.Key()) > wire.MaxKeyBytes
	})
}

// GrantLease creates a lease.
func (s *KeyValueStore) GrantLease(now time.Time, ttl time.Duration) (uint64, error) {
	if s.Down {
		return 0, kvstore.ErrUnavailable
	}
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &storeLease{ttl, now.Add(ttl)}
	return s.lastLeaseID, nil
}

// RenewLease renews a lease.
func (s *KeyValueStore) RenewLease(now time.Time, id uint64) error {
	if s.Down {
		return kvstore.ErrUnavailable
	}
	lease := s.leases[id]
	if lease == nil {
		return kvstore.ErrNotFound
	}
	lease.expiresAt = now.Add(lease.ttl)
	return nil
}
