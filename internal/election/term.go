package election

import (
	"context"
	"errors"
	"sync"
	"time"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/internal/tuning"
)

// LeadershipAcquired is the log message of a node that has become the leader. Tools match it, so
// it must not change.
const LeadershipAcquired = "leadership acquired"

// serveTerm runs OnElected and renews the lease until OnElected returns or renewLease does. It then
// revokes the leadership, waits for OnElected to return and revokes the lease.
func (e *Election) serveTerm(ctx context.Context, l *Leadership) {
	e.Log.Info().Uint64("term", l.Term).Msg(LeadershipAcquired)
	termCtx, endTerm := context.WithCancel(ctx)
	defer endTerm()
	var leaderLoop sync.WaitGroup
	leaderLoop.Go(func() {
		defer endTerm()
		e.runElected(termCtx, l)
	})
	e.renewLease(termCtx, l)
	l.Revoke()
	endTerm()
	leaderLoop.Wait()
	e.revokeLease(ctx, l)
	e.Log.Info().Uint64("term", l.Term).Msg("leadership ended")
}

// runElected runs OnElected and logs its error, unless the term had already ended.
func (e *Election) runElected(ctx context.Context, l *Leadership) {
	if err := e.OnElected(ctx, l); err != nil && ctx.Err() == nil {
		e.Log.Info().Err(err).Uint64("term", l.Term).Msg("running the leader failed, ending term")
	}
}

// renewLease renews the lease until the context ends, the lease has expired, or the leadership
// is revoked because a later leader exists. A revoked leadership no longer allows this node to
// accept any requests, so continuing the term would be wasted work.
func (e *Election) renewLease(ctx context.Context, l *Leadership) {
	for ctx.Err() == nil {
		sent := time.Now()
		err := e.Store.RenewLease(ctx, l.lease)
		delay := tuning.LeaseRenewInterval
		switch {
		case err == nil:
			l.MarkRenewed(sent)
		case errors.Is(err, kvstore.ErrNotFound):
			e.Log.Info().Uint64("term", l.Term).Msg("leader lease expired, ending term")
			return
		default:
			delay = tuning.StoreRetryDelay
		}
		if ctxtime.Sleep(ctx, delay) != nil || l.revoked.Load() {
			return
		}
	}
}

// revokeLease revokes the lease after a term, so that other nodes can acquire the leader key
// before the lease would expire. The call doesn't use ctx's cancellation but a timeout of its own,
// because ctx may already have ended.
func (e *Election) revokeLease(ctx context.Context, l *Leadership) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tuning.LeaseRenewTimeout)
	defer cancel()
	_ = e.Store.RevokeLease(ctx, l.lease) // on an error, the lease expires by itself
}
