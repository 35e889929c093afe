package node

import (
	"sync"
	"time"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/wire"
)

// admissionGate makes the node's admission gate safe for concurrent requests.
type admissionGate struct {
	settings *admission.Settings
	teams    []config.Team

	mu   sync.Mutex
	gate *admission.Gate
}

func newAdmissionGate(settings *admission.Settings, teams []config.Team, now time.Time) *admissionGate {
	gate := admission.NewGate(settings, uint64(now.UnixNano()))
	return &admissionGate{settings: settings, teams: teams, gate: gate}
}

// applyPolicy applies the leader's policy.
func (g *admissionGate) applyPolicy(p admission.Policy) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.ApplyPolicy(now, p)
}

// offeredLoad returns the load that users submit to this node.
func (g *admissionGate) offeredLoad(node string) *admission.NodeOfferedLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	load := g.gate.OfferedLoad(node)
	return &load
}

// recordArrival counts a submission. isNew is false if only the leader can decide on it: the
// job may have been accepted already, or its team is unknown.
func (g *admissionGate) recordArrival(now time.Time, job *wire.Job) (r *admission.Request, isNew bool) {
	r = leader.NewAdmissionRequest(g.settings, job)
	g.mu.Lock()
	defer g.mu.Unlock()
	return r, g.gate.RecordArrival(now, r)
}

// decide applies the leader's policy to a request, and returns the decision and the policy's
// revision.
func (g *admissionGate) decide(now time.Time, r *admission.Request) (admission.Decision, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Decide(now, r)
}

// mayQueryLeader reports whether the leader may be queried about a rejected job, and counts
// the query.
func (g *admissionGate) mayQueryLeader(now time.Time, r *admission.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.MayQueryLeader(now, r)
}

// recordAdmitted records that the job may have been accepted.
func (g *admissionGate) recordAdmitted(r *admission.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.RecordAdmitted(r)
}

// recordRejected records that the user was told to retry later.
func (g *admissionGate) recordRejected(now time.Time, r *admission.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.RecordRejected(now, r)
}
