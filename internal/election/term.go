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

// serveTerm runs OnElected and renews the lease until one of the two ends. It then revokes the
// leadership, waits for OnElected to return and releases the lease.
func (e *Election) serveTerm(ctx context.Context, l *Leadership) {
	e.Log.Info().Uint64("term", l.Term).Msg(LeadershipAcquired)
	termCtx, endTerm := context.WithCancel(ctx)
	defer endTerm()
	var elected sync.WaitGroup
	elected.Go(func() {
		defer endTerm()
		e.runElected(termCtx, l)
	})
	e.renewLease(termCtx, l)
	l.Revoke()
	endTerm()
	elected.Wait()
	e.releaseLease(ctx, l)
	e.Log.Info().Uint64("term", l.Term).Msg("leadership ended")
}

// runElected runs OnElected and logs its error, unless the term has ended.
func (e *Election) runElected(ctx context.Context, l *Leadership) {
	if err := e.OnElected(ctx, l); err != nil && ctx.Err() == nil {
		e.Log.Info().Err(err).Uint64("term", l.Term).Msg("leader loop failed, ending term")
	}
}

// renewLease renews the lease until the context ends, the lease has expired, or the leadership
// is revoked because a later leader exists. In the last case, maintaining the leader's state
// would be wasted work.
func (e *Election) renewLease(ctx context.Context, l *Leadership) {
	for ctx.Err() == nil {
		sent := time.Now()
		err := e.Store.Renew(ctx, l.lease)
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

// releaseLease revokes the lease after a term, so that other nodes can acquire the leader key
// before the lease expires. The call has its own timeout, because the context may have ended.
func (e *Election) releaseLease(ctx context.Context, l *Leadership) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tuning.LeaseRenewTimeout)
	defer cancel()
	_ = e.Store.Revoke(ctx, l.lease) // on an error, the lease expires by itself
}
