package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"switchshore.example/switchshore/internal/cloud"
	"switchshore.example/switchshore/internal/controller"
	"switchshore.example/switchshore/internal/election"
	"switchshore.example/switchshore/internal/httpc"
	"switchshore.example/switchshore/internal/store"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// lead is one term: load the stored records, then lead until the term ends.
func (n *Node) lead(ctx context.Context, l *election.Leadership) error {
	n.store.SetLeading(true)
	defer n.store.SetLeading(false)
	p, err := n.load(ctx, l)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.controller, n.leadership = p, l
	n.mu.Unlock()
	n.hub.SendHeartbeats()
	defer func() {
		n.mu.Lock()
		n.controller, n.leadership = nil, nil
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

// writeLoop commits the controller's changes, one batch after the other.
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

// decisions are what one look at the cluster has made due.
type decisions struct {
	cloud  []controller.CloudCall
	direct []*controller.DirectCall
	// writes: changes wait for the state service.
	writes bool
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
		n.carryOut(ctx, calls, p, n.decide(now, p, l))
		if now.Sub(summary) > tuning.SummaryEvery {
			summary = now
			n.logSummary(p)
		}
		if err := store.Pause(ctx, tuning.TickGap); err != nil {
			return err
		}
	}
}

// decide lets the controller look at what time and changes have made due.
func (n *Node) decide(now time.Time, p *controller.Controller, l *election.Leadership) decisions {
	authority := l.Authority(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	var d decisions
	p.Tick(now, authority)
	if authority {
		p.AdvanceDrains(now, time.Now())
		d.cloud = p.Plan(now)
		d.direct = p.Direct(now)
	}
	d.writes = p.Pending()
	return d
}

// carryOut starts the calls that were decided on.
func (n *Node) carryOut(ctx context.Context, calls *errgroup.Group, p *controller.Controller, d decisions) {
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
func (n *Node) logSummary(p *controller.Controller) {
	n.mu.Lock()
	counts := p.Counts()
	shares, on := p.AdmissionSummary()
	n.mu.Unlock()
	if on && shares.Shedding {
		event := n.log.Info().Float64("pressure", shares.Pressure).Float64("budget", shares.Budget).Float64("offered", shares.Offered)
		for _, s := range shares.Shed {
			event = event.Float64(s.Team+"/"+s.Class, s.Admit)
		}
		event.Msg("shedding")
	}
	n.log.Debug().Int("jobs", counts.Jobs).Int("ready", counts.Ready).Int("held", counts.Held).
		Int("machines", counts.Machines).Int("up", counts.Up).Int("spot", counts.Spot).
		Float64("cpus", counts.CPUs).Float64("used", counts.UsedCPUs).Float64("wanted", counts.WantedCPUs).
		Int("writes", counts.Writes).Int("chain", counts.Chain).Int("scores", counts.Scores).Msg("summary")
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
