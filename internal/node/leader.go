package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"switchshore.example/switchshore/internal/cloud"
	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/election"
	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// lead is one term: load the stored records, then lead until the term ends.
func (n *Node) lead(ctx context.Context, l *election.Leadership) error {
	n.kv.SetLeading(true)
	defer n.kv.SetLeading(false)
	p, err := n.load(ctx, l)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.leader, n.leadership = p, l
	n.mu.Unlock()
	n.hub.SendHeartbeats()
	defer func() {
		n.mu.Lock()
		n.leader, n.leadership = nil, nil
		p.Stop()
		n.mu.Unlock()
		n.hub.SendHeartbeats()
	}()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.writeLoop(ctx, p, l) })
	g.Go(func() error { return n.tickLoop(ctx, p, l) })
	g.Go(func() error { return n.typesLoop(ctx, p) })
	g.Go(func() error { return n.listLoop(ctx, p) })
	if n.gate != nil {
		g.Go(func() error { return n.admissionLoop(ctx, p) })
	}
	return g.Wait()
}

// load reads everything stored. The reads come after the leader key was
// taken, so no predecessor's write can come after them.
func (n *Node) load(ctx context.Context, l *election.Leadership) (*leader.Leader, error) {
	for {
		p := leader.New(n.log, n.config.Params, *n.operator, l.Term, l.WonAt, n.grace)
		var err error
		for _, prefix := range records.LoadOrder {
			err = n.kv.List(ctx, prefix, func(item wire.KeyValue) error {
				return p.LoadRecord(time.Now(), time.Now(), item)
			})
			if err != nil {
				break
			}
		}
		if err == nil {
			p.FinishLoading(time.Now())
			return p, nil
		}
		level, pause := zerolog.DebugLevel, tuning.StoreRetryDelay
		if errors.Is(err, records.ErrCorrupt) {
			level, pause = zerolog.ErrorLevel, tuning.CorruptRecordRetryDelay
		}
		n.log.WithLevel(level).Err(err).Msg("loading records failed")
		if err := ctxtime.Sleep(ctx, pause); err != nil {
			return nil, err
		}
	}
}

// writeLoop commits the controller's changes, one batch after the other.
func (n *Node) writeLoop(ctx context.Context, p *leader.Leader, l *election.Leadership) error {
	w := kvstore.NewFencedWriter(l.Term, l.LeaderVersion, l.TermVersion)
	for {
		n.mu.Lock()
		b := p.NextBatch(n.kv.MaxOps(), n.kv.SpareWrites())
		n.mu.Unlock()
		if b == nil {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-n.write:
			}
			if err := ctxtime.Sleep(ctx, tuning.WriteBatchInterval); err != nil {
				return err
			}
			continue
		}
		refused, err := w.Commit(ctx, n.kv, b.Mutations)
		if err != nil {
			return err
		}
		n.mu.Lock()
		p.BatchCommitted(b, refused)
		n.mu.Unlock()
		n.wake(n.tick)
	}
}

// decisions are what one look at the cluster has made due.
type decisions struct {
	cloud  []leader.CloudCall
	direct []*leader.DirectCall
	// writes: changes wait for the state service.
	writes bool
}

// tickLoop runs placement passes and plans.
func (n *Node) tickLoop(ctx context.Context, p *leader.Leader, l *election.Leadership) error {
	timer := time.NewTicker(tuning.TickInterval)
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
		n.carryOut(ctx, calls, p, n.decide(now, p, l))
		if now.Sub(summary) > tuning.SummaryInterval {
			summary = now
			n.logSummary(p)
		}
		if err := ctxtime.Sleep(ctx, tuning.TickIntervalMin); err != nil {
			return err
		}
	}
}

// decide lets the controller look at what time and changes have made due.
func (n *Node) decide(now time.Time, p *leader.Leader, l *election.Leadership) decisions {
	authority := l.HoldsLease(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	var d decisions
	p.Tick(now, authority)
	if authority {
		p.AdvanceDrains(now, time.Now())
		d.cloud = p.PlanScaling(now)
		d.direct = p.NextDirectCalls(now)
	}
	d.writes = p.HasPendingWrites()
	return d
}

// carryOut starts the calls that were decided on.
func (n *Node) carryOut(ctx context.Context, calls *errgroup.Group, p *leader.Leader, d decisions) {
	for _, call := range d.direct {
		calls.Go(func() error {
			n.callWorker(ctx, p, call)
			return nil
		})
	}
	if d.writes {
		n.wake(n.write)
	}
	for _, call := range d.cloud {
		calls.Go(func() error {
			n.callCloud(ctx, p, call)
			return nil
		})
	}
}

// logSummary writes the sums that operators look at first.
func (n *Node) logSummary(p *leader.Leader) {
	n.mu.Lock()
	counts := p.Counts()
	shares, on := p.AdmissionSummary()
	n.mu.Unlock()
	if on && shares.Shedding {
		event := n.log.Info().Float64("pressure", shares.Pressure).Float64("budget", shares.Budget).Float64("offered", shares.Offered)
		for _, s := range shares.Shed {
			event = event.Float64(s.Team+"/"+s.Class, s.Admit)
		}
		event.Msg("shedding load")
	}
	n.log.Debug().Int("jobs", counts.Jobs).Int("ready", counts.Ready).Int("allocated", counts.Allocated).
		Int("machines", counts.Machines).Int("up", counts.Up).Int("spot", counts.Spot).
		Float64("cpus", counts.CPUs).Float64("used", counts.UsedCPUs).Float64("wanted", counts.WantedCPUs).
		Int("writes", counts.Writes).Int("dependency_steps", counts.DependencySteps).Int("scored_pairs", counts.ScoredPairs).Msg("summary")
}

// callCloud carries one rental or release through to an answer.
func (n *Node) callCloud(ctx context.Context, p *leader.Leader, call leader.CloudCall) {
	for ctx.Err() == nil {
		var names []string
		var err error
		if call.Op == leader.CloudProvision {
			names, err = n.cloud.Provision(ctx, call.Provision)
			if errors.Is(err, cloud.ErrUnavailable) || errors.Is(err, cloud.ErrInvalidRequest) {
				names, err = nil, nil
			}
		} else {
			err = n.cloud.Release(ctx, call.Release)
		}
		if err == nil {
			now := time.Now()
			n.mu.Lock()
			if call.Op == leader.CloudProvision {
				p.ProvisionDone(now, call.Provision, names)
			} else {
				p.ReleaseDone(now, call.Release)
			}
			n.mu.Unlock()
			n.wake(n.tick)
			return
		}
		n.log.Debug().Err(err).Msg("cloud call failed")
		_ = ctxtime.Sleep(ctx, tuning.CloudRetryDelay)
	}
}

// callWorker carries one direct call to a worker.
func (n *Node) callWorker(ctx context.Context, p *leader.Leader, call *leader.DirectCall) {
	var r wire.Heartbeat
	outcome := leader.DirectAnswered
	status, err := n.workers.Do(ctx, call.Addr, tuning.DirectTimeout, http.MethodPost, wire.PathCommands, call.Request, &r)
	switch {
	case errors.Is(err, httpclient.ErrNotSent):
		outcome = leader.DirectNotDelivered
	case err != nil || status != http.StatusOK && status != http.StatusConflict:
		outcome = leader.DirectUnknown
	}
	n.mu.Lock()
	p.DirectCallDone(time.Now(), call, outcome, &r)
	n.mu.Unlock()
	n.wake(n.tick)
}

func (n *Node) typesLoop(ctx context.Context, p *leader.Leader) error {
	for {
		types, err := n.cloud.MachineTypes(ctx)
		pause := tuning.CatalogueInterval
		if err != nil {
			pause = tuning.CloudRetryDelay
		} else {
			n.mu.Lock()
			p.SetMachineTypes(types)
			n.mu.Unlock()
			n.wake(n.tick)
		}
		if err := ctxtime.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}

func (n *Node) listLoop(ctx context.Context, p *leader.Leader) error {
	every := func(part float64) time.Duration {
		return max(tuning.ListIntervalMin, time.Duration(n.config.Params.Cloud.ListLagS*part*float64(time.Second)))
	}
	for {
		asked := time.Now()
		list, err := n.cloud.ListMachines(ctx)
		pause := every(tuning.ListIntervalFactor)
		if err != nil {
			pause = tuning.CloudRetryDelay
		} else {
			now := time.Now()
			n.mu.Lock()
			p.ApplyMachineList(asked, now, list)
			if p.HeartbeatsMissing(now) {
				pause = every(tuning.UrgentListIntervalFactor)
			}
			n.mu.Unlock()
			n.wake(n.tick)
		}
		if err := ctxtime.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}
