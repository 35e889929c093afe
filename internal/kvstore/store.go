// Package kvstore is the client of the consensus-backed key-value store: reads,
// compare-and-swap transactions, leases and watches within this node's share of
// the request budgets, and the fenced writer through which a leader makes its
// changes.
package kvstore

import (
	"context"
	"errors"
	"time"

	"switchshore.example/switchshore/wire"
)

// Keys of the service.
const (
	// KeyLeader names the leader, on the leader's lease.
	KeyLeader = "leader"
	// KeyTerm is the last term, and outlives every lease.
	KeyTerm = "term"
)

// Errors of the key-value store. httpclient.ErrNoResponse stands for an unknown outcome.
var (
	// ErrUnavailable: 429 or 503, the request was not executed.
	ErrUnavailable = errors.New("state service refused")
	// ErrNotFound: no such key or lease.
	ErrNotFound = errors.New("not found")
	// ErrConflict: a condition of the compare-and-swap failed.
	ErrConflict = errors.New("guard failed")
	// ErrInvalidRequest: the store did not understand the request.
	ErrInvalidRequest = errors.New("malformed request")
)

// Store is what the service needs of the key-value store; tests replace it by a fake.
type Store interface {
	// Get reads one key.
	Get(ctx context.Context, key string) (wire.KeyValue, error)
	// List calls each for all keys with a prefix, in the order of the keys.
	List(ctx context.Context, prefix string, each func(wire.KeyValue) error) error
	// Commit runs one compare-and-swap transaction.
	Commit(ctx context.Context, txn wire.Txn) (wire.TxnResult, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew gives a lease its full time again.
	Renew(ctx context.Context, lease uint64) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease uint64) error
	// Watch waits for a change below a prefix after a revision, for a bounded time.
	Watch(ctx context.Context, prefix string, after uint64, block time.Duration) error
}
