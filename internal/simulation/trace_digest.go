package simulation

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"time"
)

// edge names a place at which something leaves or enters the service.
type edge string

// Edges whose traffic the trace digest covers.
const (
	edgeTransaction    edge = "transaction"
	edgeStateRead      edge = "state read"
	edgeStateLease     edge = "state lease"
	edgeCloudCall      edge = "cloud call"
	edgeDirectCall     edge = "direct call"
	edgeWorkerAnswer   edge = "worker answer"
	edgeUserAnswer     edge = "user answer"
	edgeOperatorAnswer edge = "operator answer"
	edgeHeartbeat      edge = "controller heartbeat"
)

// traceDigest is a running hash over all messages that cross the service's edge in one run. Two
// versions of the service whose digests of a run are equal have sent the same bytes at the same
// simulated times, so a change that must not alter behaviour can be checked by it.
type traceDigest struct {
	hash     hash.Hash
	messages int
}

func newTraceDigest() traceDigest { return traceDigest{hash: sha256.New()} }

// record adds a message, in its JSON form, to the digest.
func (d *traceDigest) record(at time.Time, where edge, node string, message ...any) {
	body, err := json.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("trace digest: %s: %v", where, err)) // only messages of the wire are recorded
	}
	d.messages++
	fmt.Fprintf(d.hash, "%d %s %s %s\n", at.UnixNano(), where, node, body)
}

// trace records a message that crosses the service's edge now, at a node.
func (w *World) trace(where edge, n *node, message ...any) {
	w.digest.record(w.now, where, n.name, message...)
}

// TraceDigest is the hash over all messages that crossed the service's edge so far, and their
// number.
func (w *World) TraceDigest() (digest string, messages int) {
	return hex.EncodeToString(w.digest.hash.Sum(nil)), w.digest.messages
}
