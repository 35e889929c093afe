// Package node joins the parts into one controller process: it campaigns,
// leads or forwards, and runs the loops that carry the controller's decisions
// to the state service and the cloud.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"switchshore.example/switchshore/internal/api"
	"switchshore.example/switchshore/internal/cloud"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/controller"
	"switchshore.example/switchshore/internal/election"
	"switchshore.example/switchshore/internal/httpc"
	"switchshore.example/switchshore/internal/peer"
	"switchshore.example/switchshore/internal/store"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// Node is one controller process.
type Node struct {
	log      zerolog.Logger
	config   *config.Config
	operator *config.Operator
	store    *store.Client
	cloud    *cloud.Client
	hub      *peer.Hub
	workers  *httpc.Pool
	election *election.Election
	grace    time.Duration

	// mu guards the picture; nothing is sent or awaited under it.
	mu         sync.Mutex
	picture    *controller.Controller
	leadership *election.Leadership

	tick  chan struct{}
	write chan struct{}

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
		store:    store.NewClient(c.Services.State, c.Params.State, len(c.Peers)+1),
		cloud:    cloud.NewClient(c.Services.Cloud, c.Params.Cloud),
		hub:      peer.NewHub(log, c.Peers),
		workers:  httpc.NewPool(tuning.DirectConnections, controller.DirectSockets(c.Params.Limits)),
		grace:    controller.Grace(c.Params.Workers),
		tick:     make(chan struct{}, 1),
		write:    make(chan struct{}, 1),
	}
	n.election = &election.Election{Store: n.store, Node: c.Name, Log: log, Lead: n.lead}
	n.hub.Self = n.beat
	n.hub.Superseded = n.superseded
	n.hub.Serve = n.Do
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

// beat tells peers what this node knows of the leader.
func (n *Node) beat() peer.Beat {
	b := peer.Beat{Node: n.config.Name, Hears: n.hub.HearsLeader()}
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.picture != nil {
		b.Term = n.leadership.Term
		b.Leads = n.leadership.Authority(now)
		b.Grace = n.leadership.Grace(now, n.grace)
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
		n.leadership.End()
	}
}

// Healthy reports whether requests can be taken: a leader is within reach,
// or was a moment ago. A node that knows of a leader which it can't reach gives
// up sooner than during a succession, as users are better off elsewhere.
func (n *Node) Healthy() bool {
	now := time.Now()
	b := n.beat()
	ok := b.Leads || n.hub.Reaches()
	n.reachMu.Lock()
	defer n.reachMu.Unlock()
	if ok {
		n.reached, n.reachedAt = true, now
	}
	patience := tuning.HealthPatience
	if n.election.HeldElsewhere() {
		patience = tuning.ReachPatience
	}
	return n.reached && now.Sub(n.reachedAt) < patience
}

// Do carries a call out if this node leads, or forwards it to the leader.
func (n *Node) Do(ctx context.Context, c peer.Call) peer.Answer {
	if a, mine := n.local(ctx, c); mine {
		return a
	}
	wait := tuning.QueryWait
	switch c.Op {
	case peer.OpSubmit, peer.OpCancel:
		wait = tuning.SubmitWait
	case peer.OpReport:
		wait = tuning.ReportWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	asked := time.Now()
	a, err := n.hub.Forward(ctx, c)
	switch {
	case err != nil:
		return peer.Refusal(http.StatusServiceUnavailable, "no leader within reach")
	case !a.Final() && time.Since(asked) > wait:
		// This process may have stood still, and the answer be old.
		return peer.Refusal(http.StatusServiceUnavailable, "the leader's answer came late")
	}
	return a
}

// local carries a call out with this node's own picture, if it has one.
func (n *Node) local(ctx context.Context, c peer.Call) (peer.Answer, bool) {
	now := time.Now()
	n.mu.Lock()
	p, l := n.picture, n.leadership
	if p == nil {
		n.mu.Unlock()
		return peer.Answer{}, false
	}
	authority := l.Authority(now)
	if c.Op == peer.OpReport {
		defer n.wake(n.tick)
		defer n.mu.Unlock()
		return n.report(now, p, l, c.Report, authority)
	}
	if !authority {
		n.mu.Unlock()
		return peer.Answer{}, false
	}
	result := make(chan controller.Verdict, 1)
	then := func(v controller.Verdict) { result <- v }
	switch c.Op {
	case peer.OpQuery:
		then(p.Query(c.Job))
	case peer.OpCancel:
		p.Cancel(now, c.Job, then)
	case peer.OpSubmit:
		p.Submit(now, time.Now(), c.Submission(), then)
	}
	n.mu.Unlock()
	n.wake(n.write)
	timer := time.NewTimer(tuning.SubmitWait)
	defer timer.Stop()
	select {
	case v := <-result:
		if !v.Final() && !l.Authority(time.Now()) {
			// The process may have stood still since, and a successor have told
			// the user something newer.
			return peer.Refusal(http.StatusServiceUnavailable, "no longer the leader"), true
		}
		return verdictAnswer(c, v), true
	case <-timer.C:
	case <-ctx.Done():
	}
	return peer.Refusal(http.StatusServiceUnavailable, "state service does not answer"), true
}

func verdictAnswer(c peer.Call, v controller.Verdict) peer.Answer {
	if v.Status/100 != 2 {
		return peer.Refusal(v.Status, v.Why)
	}
	return peer.Answer{Status: v.Status, Job: &wire.JobStatus{ID: c.Job, State: v.State, Done: v.Done, Running: v.Run}}
}

// report answers a worker. Called under mu.
func (n *Node) report(now time.Time, p *controller.Controller, l *election.Leadership, r *wire.Report, authority bool) (peer.Answer, bool) {
	if !l.Grace(now, n.grace) {
		return peer.Answer{}, false
	}
	answer, receipt := p.Report(now, r, authority)
	switch receipt {
	case controller.Superseded:
		l.End()
		return peer.Answer{}, false
	case controller.Stale:
		return peer.Refusal(http.StatusServiceUnavailable, "older than what is known"), true
	}
	return peer.Answer{Status: http.StatusOK, Report: &answer}, true
}

func (n *Node) wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// lead is one term: load the picture, then keep it until the term ends.
func (n *Node) lead(ctx context.Context, l *election.Leadership) error {
	n.store.SetLeading(true)
	defer n.store.SetLeading(false)
	p, err := n.load(ctx, l)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.picture, n.leadership = p, l
	n.mu.Unlock()
	n.hub.Poke()
	defer func() {
		n.mu.Lock()
		n.picture, n.leadership = nil, nil
		p.Stop()
		n.mu.Unlock()
		n.hub.Poke()
	}()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.writeLoop(ctx, p, l) })
	g.Go(func() error { return n.tickLoop(ctx, p, l) })
	g.Go(func() error { return n.typesLoop(ctx, p) })
	g.Go(func() error { return n.listLoop(ctx, p) })
	return g.Wait()
}

// load reads everything stored. The reads come after the leader key was
// taken, so no predecessor's write can come after them.
func (n *Node) load(ctx context.Context, l *election.Leadership) (*controller.Controller, error) {
	for {
		p := controller.New(n.log, n.config.Params, *n.operator, l.Term, l.WonAt, n.grace)
		var err error
		for _, prefix := range controller.Prefixes {
			err = n.store.List(ctx, prefix, func(item wire.Item) error {
				return p.Load(time.Now(), time.Now(), item)
			})
			if err != nil {
				break
			}
		}
		if err == nil {
			p.Loaded(time.Now())
			return p, nil
		}
		level, pause := zerolog.DebugLevel, tuning.StoreRetry
		if errors.Is(err, controller.ErrDamaged) {
			level, pause = zerolog.ErrorLevel, tuning.DamagedRetry
		}
		n.log.WithLevel(level).Err(err).Msg("load")
		if err := store.Pause(ctx, pause); err != nil {
			return nil, err
		}
	}
}

// writeLoop commits the picture's changes, one batch after the other.
func (n *Node) writeLoop(ctx context.Context, p *controller.Controller, l *election.Leadership) error {
	w := store.NewWriter(l.Term, l.LeaderVersion, l.TermVersion)
	for {
		n.mu.Lock()
		b := p.NextBatch(n.store.MaxOps(), n.store.Spare())
		n.mu.Unlock()
		if b == nil {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-n.write:
			}
			if err := store.Pause(ctx, tuning.BatchGap); err != nil {
				return err
			}
			continue
		}
		refused, err := w.Commit(ctx, n.store, b.Writes)
		if err != nil {
			return err
		}
		n.mu.Lock()
		p.Committed(b, refused)
		n.mu.Unlock()
		n.wake(n.tick)
	}
}

// tickLoop runs placement passes and plans.
func (n *Node) tickLoop(ctx context.Context, p *controller.Controller, l *election.Leadership) error {
	timer := time.NewTicker(tuning.TickEvery)
	defer timer.Stop()
	calls, ctx := errgroup.WithContext(ctx)
	defer func() { _ = calls.Wait() }()
	summary := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-n.tick:
		}
		now := time.Now()
		authority := l.Authority(now)
		n.mu.Lock()
		p.Tick(now, authority)
		var todo []controller.CloudCall
		var direct []*controller.DirectCall
		if authority {
			todo = p.Plan(now)
			direct = p.Direct(now)
		}
		pending := p.Pending()
		var counts controller.Counts
		if now.Sub(summary) > tuning.SummaryEvery {
			counts = p.Counts()
		}
		n.mu.Unlock()
		for _, call := range direct {
			calls.Go(func() error {
				n.callWorker(ctx, p, call)
				return nil
			})
		}
		if pending {
			n.wake(n.write)
		}
		for _, call := range todo {
			calls.Go(func() error {
				n.callCloud(ctx, p, call)
				return nil
			})
		}
		if now.Sub(summary) > tuning.SummaryEvery {
			summary = now
			n.log.Debug().Int("jobs", counts.Jobs).Int("ready", counts.Ready).Int("held", counts.Held).
				Int("machines", counts.Machines).Int("up", counts.Up).Int("spot", counts.Spot).
				Float64("cpus", counts.CPUs).Float64("used", counts.UsedCPUs).Float64("wanted", counts.WantedCPUs).Int("writes", counts.Writes).Int("chain", counts.Chain).Int("scores", counts.Scores).Msg("summary")
		}
		if err := store.Pause(ctx, tuning.TickGap); err != nil {
			return err
		}
	}
}

// callCloud carries one rental or release through to an answer.
func (n *Node) callCloud(ctx context.Context, p *controller.Controller, call controller.CloudCall) {
	for ctx.Err() == nil {
		var names []string
		var err error
		if call.Op == controller.CloudRent {
			names, err = n.cloud.Rent(ctx, call.Rent)
			if errors.Is(err, cloud.ErrRefused) || errors.Is(err, cloud.ErrMalformed) {
				names, err = nil, nil
			}
		} else {
			err = n.cloud.Release(ctx, call.Release)
		}
		if err == nil {
			now := time.Now()
			n.mu.Lock()
			if call.Op == controller.CloudRent {
				p.Rented(now, call.Rent, names)
			} else {
				p.Released(now, call.Release)
			}
			n.mu.Unlock()
			n.wake(n.tick)
			return
		}
		n.log.Debug().Err(err).Msg("cloud")
		_ = store.Pause(ctx, tuning.CloudRetry)
	}
}

// callWorker carries one direct call to a worker.
func (n *Node) callWorker(ctx context.Context, p *controller.Controller, call *controller.DirectCall) {
	var r wire.Report
	outcome := controller.DirectAnswered
	status, err := n.workers.Do(ctx, call.Addr, tuning.DirectTimeout, http.MethodPost, wire.PathCommands, call.Request, &r)
	switch {
	case errors.Is(err, httpc.ErrNotSent):
		outcome = controller.DirectNever
	case err != nil || status != http.StatusOK && status != http.StatusConflict:
		outcome = controller.DirectUnknown
	}
	n.mu.Lock()
	p.DirectDone(time.Now(), call, outcome, &r)
	n.mu.Unlock()
	n.wake(n.tick)
}

func (n *Node) typesLoop(ctx context.Context, p *controller.Controller) error {
	for {
		types, err := n.cloud.Types(ctx)
		pause := tuning.TypesEvery
		if err != nil {
			pause = tuning.CloudRetry
		} else {
			n.mu.Lock()
			p.SetTypes(types)
			n.mu.Unlock()
			n.wake(n.tick)
		}
		if err := store.Pause(ctx, pause); err != nil {
			return err
		}
	}
}

func (n *Node) listLoop(ctx context.Context, p *controller.Controller) error {
	every := func(part float64) time.Duration {
		return max(tuning.ListMinimum, time.Duration(n.config.Params.Cloud.ListLagS*part*float64(time.Second)))
	}
	for {
		asked := time.Now()
		list, err := n.cloud.List(ctx)
		pause := every(tuning.ListEvery)
		if err != nil {
			pause = tuning.CloudRetry
		} else {
			now := time.Now()
			n.mu.Lock()
			p.Listed(asked, now, list)
			if p.Silent(now) {
				pause = every(tuning.ListUrgent)
			}
			n.mu.Unlock()
			n.wake(n.tick)
		}
		if err := store.Pause(ctx, pause); err != nil {
			return err
		}
	}
}
