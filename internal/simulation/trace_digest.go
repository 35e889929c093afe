package simulation

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"time"
)

// boundary names an interface through which messages leave or enter the service.
type boundary string

// Boundaries whose messages the trace digest covers. The values are hashed.
const (
	boundaryTransaction      boundary = "transaction"
	boundaryStoreRead        boundary = "state read"
	boundaryStoreLease       boundary = "state lease"
	boundaryCloudCall        boundary = "cloud call"
	boundaryAgentCall        boundary = "direct call"
	boundaryAgentResponse    boundary = "worker answer"
	boundaryUserResponse     boundary = "user answer"
	boundaryOperatorResponse boundary = "operator answer"
	boundaryNodeHeartbeat    boundary = "controller heartbeat"
)

// traceDigest is a running hash over all messages that cross the service's boundary in one run. If
// two versions of the service have equal digests of a run, they have sent the same bytes at the
// same simulated times. A comparison of digests thus verifies that a change does not alter
// behaviour.
type traceDigest struct {
	hash     hash.Hash
	messages int
}

func newTraceDigest() traceDigest { return traceDigest{hash: sha256.New()} }

// record adds a message, in its JSON form, to the digest.
func (d *traceDigest) record(at time.Time, where boundary, node string, message ...any) {
	body, err := json.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("trace digest: %s: %v", where, err)) // recorded messages are always encodable
	}
	d.messages++
	fmt.Fprintf(d.hash, "%d %s %s %s\n", at.UnixNano(), where, node, body)
}

// trace records a message that crosses the service's boundary now, at a node.
func (sim *Simulation) trace(where boundary, n *node, message ...any) {
	sim.digest.record(sim.now, where, n.name, message...)
}

// TraceDigest returns the hash over all messages that have crossed the service's boundary so far,
// and their number.
func (sim *Simulation) TraceDigest() (digest string, messages int) {
	return hex.EncodeToString(sim.digest.hash.Sum(nil)), sim.digest.messages
}
