package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/peer"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// gate is the node's part in admission, shared by the requests under way.
type gate struct {
	settings *admission.Settings
	teams    []config.Team

	mu    sync.Mutex
	inner *admission.Gate
}

func newGate(s *admission.Settings, teams []config.Team, now time.Time) *gate {
	return &gate{settings: s, teams: teams, inner: admission.NewGate(s, uint64(now.UnixNano()))}
}

// learn takes in the leader's policy.
func (g *gate) learn(p admission.Policy) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inner.ApplyPolicy(now, p)
}

func (g *gate) offers(node string) *admission.NodeOfferedLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	o := g.inner.OfferedLoad(node)
	return &o
}

// arrive counts a submission. isNew is false if the job may have been accepted already.
func (g *gate) arrive(now time.Time, job *wire.Job) (r *admission.Request, isNew bool) {
	r = leader.AdmissionRequest(g.settings, job)
	g.mu.Lock()
	defer g.mu.Unlock()
	return r, g.inner.RecordArrival(now, r)
}

func (g *gate) decide(now time.Time, r *admission.Request) (admission.Decision, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inner.Decide(now, r)
}

func (g *gate) mayAsk(now time.Time, r *admission.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inner.MayQueryLeader(now, r)
}

func (g *gate) passed(r *admission.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inner.RecordAdmitted(r)
}

func (g *gate) refused(now time.Time, r *admission.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inner.RecordRejected(now, r)
}

// admit takes a user's submission: the leader decides on its own, as it knows which jobs
// are known already; any other node applies the leader's policy first.
func (n *Node) admit(ctx context.Context, c peer.Call) peer.Response {
	now := time.Now()
	job := c.Submission()
	r, isNew := n.gate.arrive(now, job)
	c.Admission = &admission.Claim{WaitedMS: r.Waited.Milliseconds()}
	if a, mine := n.local(ctx, c); mine {
		return n.noteAnswer(r, a)
	}
	if why := leader.AboveLimit(n.gate.teams, job); why != "" {
		return n.rejectForGood(ctx, c, why)
	}
	if isNew {
		decision, revision := n.gate.decide(now, r)
		if !decision.Admitted {
			return n.noteAnswer(r, n.shed(ctx, r, decision))
		}
		c.Admission.Revision = revision
	}
	// Whatever becomes of the answer: the job may have been accepted.
	n.gate.passed(r)
	return n.noteAnswer(r, n.forward(ctx, c))
}

// rejectForGood answers a submission that the settings rule out: as the leader says, which
// knows whether the job was accepted under other settings, or without one by the settings alone.
func (n *Node) rejectForGood(ctx context.Context, c peer.Call, why string) peer.Response {
	if a := n.forward(ctx, c); a.Status != http.StatusServiceUnavailable {
		return a
	}
	return peer.Refused(http.StatusUnprocessableEntity, why)
}

// shed turns a job away. One that was turned away before may have been accepted through
// another node: the leader is asked about it first, if there are not too many.
func (n *Node) shed(ctx context.Context, r *admission.Request, d admission.Decision) peer.Response {
	if n.gate.mayAsk(time.Now(), r) {
		ctx, cancel := context.WithTimeout(ctx, tuning.AdmissionCheckTimeout)
		defer cancel()
		if a := n.forward(ctx, peer.Call{Op: peer.OpQuery, Job: r.ID}); a.Status == http.StatusOK {
			return a
		}
	}
	rejected := leader.RejectOverload(d)
	return refusal(rejected.Status, rejected.Reason, rejected.RetryAfter)
}

// admissionLoop tells the controller, once an interval, what the nodes are offered, and by
// how much this loop itself comes too late.
func (n *Node) admissionLoop(ctx context.Context, p *leader.Leader) error {
	lag := time.Duration(0)
	for {
		offers := append(n.hub.Offers(), *n.gate.offers(n.config.Name))
		now := time.Now()
		n.mu.Lock()
		p.UpdateAdmission(now, now, lag, offers)
		n.mu.Unlock()
		if err := ctxtime.Sleep(ctx, tuning.AdmissionInterval); err != nil {
			return err
		}
		lag = time.Since(now) - tuning.AdmissionInterval
	}
}

// noteAnswer remembers what a user is told.
func (n *Node) noteAnswer(r *admission.Request, a peer.Response) peer.Response {
	switch {
	case a.Status == http.StatusTooManyRequests:
		n.gate.refused(time.Now(), r)
	case a.Status/100 == 2:
		n.gate.passed(r)
	}
	return a
}
