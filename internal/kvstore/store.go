// Package kvstore is the client of the consensus-backed key-value store. It provides reads,
// compare-and-swap transactions, leases and watches within this node's share of the store's
// rate limits, and FencedWriter, through which a leader writes its changes.
package kvstore

import (
	"context"
	"errors"
	"time"

	"switchshore.example/switchshore/wire"
)

// Keys of the leader election.
const (
	// KeyLeader holds the name of the current leader and is attached to the leader's lease.
	KeyLeader = "leader"
	// KeyTerm holds the TermRecord of the latest term and is attached to no lease.
	KeyTerm = "term"
)

// Errors of the key-value store. After httpclient.ErrNoResponse, it is unknown whether the request
// was executed.
var (
	// ErrUnavailable: the store responded with 429 or 503, or the context ended before the budget
	// allowed the request. The request was not executed.
	ErrUnavailable = errors.New("key-value store unavailable")
	// ErrNotFound: the key or lease does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict: a condition of the transaction failed, so nothing was changed.
	ErrConflict = errors.New("transaction condition failed")
	// ErrInvalidRequest: the store rejected the request as invalid and did not execute it.
	ErrInvalidRequest = errors.New("malformed request")
)

// Store is the key-value store as the service uses it. Tests provide a fake.
type Store interface {
	// Get reads one key.
	Get(ctx context.Context, key string) (wire.KeyValue, error)
	// List calls visit for all keys with a prefix, in key order.
	List(ctx context.Context, prefix string, visit func(wire.KeyValue) error) error
	// Commit runs one compare-and-swap transaction.
	Commit(ctx context.Context, txn wire.Txn) (wire.TxnResult, error)
	// Grant creates a lease and returns its ID.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew restarts a lease's time to live.
	Renew(ctx context.Context, lease uint64) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease uint64) error
	// Watch blocks until a key with the prefix has changed after the given revision, for
	// maxWait at most.
	Watch(ctx context.Context, prefix string, after uint64, maxWait time.Duration) error
}
