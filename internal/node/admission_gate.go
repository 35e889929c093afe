package node

import (
	"sync"
	"time"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/wire"
)

// admissionGate is the node's part in admission, shared by the requests under way.
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

// offeredLoad are what the users of this node submit.
func (g *admissionGate) offeredLoad(node string) *admission.NodeOfferedLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	load := g.gate.OfferedLoad(node)
	return &load
}

// recordArrival counts a submission. isNew is false if the job may have been accepted already.
func (g *admissionGate) recordArrival(now time.Time, job *wire.Job) (r *admission.Request, isNew bool) {
	r = leader.NewAdmissionRequest(g.settings, job)
	g.mu.Lock()
	defer g.mu.Unlock()
	return r, g.gate.RecordArrival(now, r)
}

// decide applies the leader's policy, and returns its revision.
func (g *admissionGate) decide(now time.Time, r *admission.Request) (admission.Decision, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Decide(now, r)
}

// mayQueryLeader reports whether the leader may be asked about a job, and counts it.
func (g *admissionGate) mayQueryLeader(now time.Time, r *admission.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.MayQueryLeader(now, r)
}

// recordAdmitted notes that the job may have been accepted.
func (g *admissionGate) recordAdmitted(r *admission.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.RecordAdmitted(r)
}

// recordRejected notes that the user was told to come back later.
func (g *admissionGate) recordRejected(now time.Time, r *admission.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.RecordRejected(now, r)
}
