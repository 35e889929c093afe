// Package node joins the parts into one controller process: it campaigns,
// leads or forwards, and runs the loops that carry the controller's decisions
// to the state service and the cloud.
package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"switchshore.example/switchshore/internal/api"
	"switchshore.example/switchshore/internal/cloud"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/election"
	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/peer"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// Node is one controller process.
type Node struct {
	log      zerolog.Logger
	config   *config.Config
	operator *config.Operator
	kv       *kvstore.Client
	cloud    *cloud.Client
	hub      *peer.Hub
	workers  *httpclient.Pool
	election *election.Election
	grace    time.Duration

	// mu guards the controller; nothing is sent or awaited under it.
	mu         sync.Mutex
	leader     *leader.Leader
	leadership *election.Leadership

	tick  chan struct{}
	write chan struct{}

	gate *gate // nil if admission control is off

	reachMu   sync.Mutex
	reachedAt time.Time
	reached   bool
}

// New builds a node from checked settings.
func New(log zerolog.Logger, c *config.Config, o *config.Operator) *Node {
	n := &Node{
		log:      log,
		config:   c,
		operator: o,
		kv:       kvstore.NewClient(c.Services.KVStore, c.Params.KVStore, len(c.Peers)+1),
		cloud:    cloud.NewClient(c.Services.Cloud, c.Params.Cloud),
		hub:      peer.NewHub(log, c.Peers),
		workers:  httpclient.NewPool(tuning.DirectConnections, leader.DirectSockets(c.Params.Limits)),
		grace:    leader.GracePeriod(c.Params.Workers),
		tick:     make(chan struct{}, 1),
		write:    make(chan struct{}, 1),
	}
	n.election = &election.Election{Store: n.kv, Node: c.Name, Log: log, OnElected: n.lead}
	if settings := o.AdmissionSettings(&c.Params); settings != nil {
		n.gate = newGate(settings, c.Params.Teams, time.Now())
		n.hub.OnPolicy = n.gate.learn
	}
	n.hub.LocalHeartbeat = n.heartbeat
	n.hub.OnHigherTerm = n.superseded
	n.hub.Handle = n.Do
	return n
}

// Run serves until the context ends or a listener fails.
func (n *Node) Run(ctx context.Context) error {
	users, err := net.Listen("tcp4", n.config.Listen)
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp4", n.config.PeerListen)
	if err != nil {
		return err
	}
	n.log.Info().Str("node", n.config.Name).Str("listen", n.config.Listen).Msg("serving")
	g, ctx := errgroup.WithContext(ctx)
	server := api.New(n.log, n, n.config.Params.Limits)
	g.Go(func() error { return server.Run(ctx, users) })
	g.Go(func() error { return n.hub.Run(ctx, peers) })
	g.Go(func() error { return n.election.Run(ctx) })
	return g.Wait()
}

// heartbeat tells peers what this node knows of the leader.
func (n *Node) heartbeat() peer.Heartbeat {
	b := peer.Heartbeat{Node: n.config.Name, ReachesLeader: n.hub.LinkedToLeader()}
	if n.gate != nil {
		b.Offers = n.gate.offers(n.config.Name)
	}
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leader != nil {
		b.Term = n.leadership.Term
		b.IsLeader = n.leadership.HoldsLease(now)
		b.InGracePeriod = n.leadership.InGracePeriod(now, n.grace)
		if b.IsLeader {
			b.Policy = n.leader.AdmissionPolicy()
		}
	}
	return b
}

// superseded ends this node's term when a later one is known: its workers
// would otherwise stay here for all of the grace, and out of the successor's
// reach.
func (n *Node) superseded(term uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leadership != nil && n.leadership.Term < term {
		n.leadership.Revoke()
	}
}

// Healthy reports whether requests can be taken: a leader is within reach,
// or was a moment ago. A node that knows of a leader which it can't reach gives
// up sooner than during a succession, as users are better off elsewhere.
func (n *Node) Healthy() bool {
	now := time.Now()
	b := n.heartbeat()
	ok := b.IsLeader || n.hub.ReachesLeader()
	n.reachMu.Lock()
	defer n.reachMu.Unlock()
	if ok {
		n.reached, n.reachedAt = true, now
	}
	patience := tuning.HealthGracePeriod
	if n.election.OtherNodeLeads() {
		patience = tuning.HealthGracePeriodLeaderKnown
	}
	return n.reached && now.Sub(n.reachedAt) < patience
}

// Do carries a call out if this node leads, or forwards it to the leader. A submission
// that comes from a user goes through admission first, unless that is off.
func (n *Node) Do(ctx context.Context, c peer.Call) peer.Response {
	if n.gate != nil && c.Op == peer.OpSubmit && c.Hops == 0 {
		return n.admit(ctx, c)
	}
	if a, mine := n.local(ctx, c); mine {
		return a
	}
	return n.forward(ctx, c)
}

// forward sends a call to the leader and waits for the answer as long as the caller does.
func (n *Node) forward(ctx context.Context, c peer.Call) peer.Response {
	wait := tuning.QueryTimeout
	switch c.Op {
	case peer.OpSubmit, peer.OpCancel, peer.OpDrain:
		wait = tuning.SubmitTimeout
	case peer.OpHeartbeat:
		wait = tuning.HeartbeatForwardTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	asked := time.Now()
	a, err := n.hub.Forward(ctx, c)
	switch {
	case err != nil:
		return peer.Refused(http.StatusServiceUnavailable, "no leader within reach")
	case !a.IsTerminal() && time.Since(asked) > wait:
		// This process may have stood still, and the answer be old.
		return peer.Refused(http.StatusServiceUnavailable, "the leader's answer came late")
	}
	return a
}

// local carries a call out with this node's own controller, if it has one.
func (n *Node) local(ctx context.Context, c peer.Call) (peer.Response, bool) {
	now := time.Now()
	n.mu.Lock()
	p, l := n.leader, n.leadership
	if p == nil {
		n.mu.Unlock()
		return peer.Response{}, false
	}
	authority := l.HoldsLease(now)
	if c.Op == peer.OpHeartbeat {
		defer n.wake(n.tick)
		defer n.mu.Unlock()
		return n.report(now, p, l, c.Heartbeat, authority)
	}
	if !authority {
		n.mu.Unlock()
		return peer.Response{}, false
	}
	result := make(chan peer.Response, 1)
	then := func(v leader.Response) { result <- verdictAnswer(c, v) }
	switch c.Op {
	case peer.OpQuery:
		then(p.Query(c.Job))
	case peer.OpCancel:
		p.Cancel(now, c.Job, then)
	case peer.OpSubmit:
		p.SubmitWithClaim(now, time.Now(), c.Submission(), c.Admission, then)
	case peer.OpDrain:
		p.DrainRequest(now, time.Now(), c.Drain, func(r drain.Response) {
			result <- peer.Response{Status: r.Status, Reason: r.Reason, Drains: r.Drains}
		})
	}
	n.mu.Unlock()
	n.wake(n.write)
	timer := time.NewTimer(tuning.SubmitTimeout)
	defer timer.Stop()
	select {
	case a := <-result:
		if !a.IsTerminal() && !l.HoldsLease(time.Now()) {
			// The process may have stood still since, and a successor have told
			// the user something newer.
			return peer.Refused(http.StatusServiceUnavailable, "no longer the leader"), true
		}
		return a, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return peer.Refused(http.StatusServiceUnavailable, "state service does not answer"), true
}

// refusal is an answer other than success, with the time after which to come back.
func refusal(status int, why string, retryAfter int) peer.Response {
	a := peer.Refused(status, why)
	a.RetryAfter = retryAfter
	return a
}

func verdictAnswer(c peer.Call, v leader.Response) peer.Response {
	if v.Status/100 != 2 {
		return refusal(v.Status, v.Reason, v.RetryAfter)
	}
	return peer.Response{Status: v.Status, Job: &wire.JobStatus{ID: c.Job, State: v.State, Done: v.Done, Running: v.Running}}
}

// report answers a worker. Called under mu.
func (n *Node) report(now time.Time, p *leader.Leader, l *election.Leadership, r *wire.Heartbeat, authority bool) (peer.Response, bool) {
	if !l.InGracePeriod(now, n.grace) {
		return peer.Response{}, false
	}
	answer, receipt := p.HandleHeartbeat(now, r, authority)
	switch receipt {
	case leader.HeartbeatSuperseded:
		l.Revoke()
		return peer.Response{}, false
	case leader.HeartbeatStale:
		return peer.Refused(http.StatusServiceUnavailable, "older than what is known"), true
	}
	return peer.Response{Status: http.StatusOK, Heartbeat: &answer}, true
}

func (n *Node) wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
