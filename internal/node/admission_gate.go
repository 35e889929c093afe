package node

import (
	"sync"
	"time"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/wire"
)

// admissionGate wraps the node's admission.Gate, which is not safe for concurrent use, with a mutex.
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

// applyPolicy replaces the gate's policy by a newer one from the leader.
func (g *admissionGate) applyPolicy(p admission.Policy) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.ApplyPolicy(now, p)
}

// offeredLoad returns the counts of submissions to this node, labelled with the node's name.
func (g *admissionGate) offeredLoad(node string) *admission.NodeOfferedLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	load := g.gate.OfferedLoad(node)
	return &load
}

// recordArrival counts a submission. decidable is false if only the leader can decide on the
// submission, because the job may have been accepted already or its team is unknown.
func (g *admissionGate) recordArrival(now time.Time, job *wire.Job) (r *admission.Request, decidable bool) {
	r = leader.NewAdmissionRequest(g.settings, job)
	g.mu.Lock()
	defer g.mu.Unlock()
	return r, g.gate.RecordArrival(now, r)
}

// decide applies the leader's policy to a request, and returns the decision and the revision of
// the policy, or 0 if there is none.
func (g *admissionGate) decide(now time.Time, r *admission.Request) (admission.Decision, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Decide(now, r)
}

// allowLeaderQuery reports whether the rate limit allows a query to the leader about a rejected
// job, and if so counts the query.
func (g *admissionGate) allowLeaderQuery(now time.Time, r *admission.Request) bool {
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

// recordRejected records that the job was rejected with 429, so the user may submit it again.
func (g *admissionGate) recordRejected(now time.Time, r *admission.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.RecordRejected(now, r)
}
