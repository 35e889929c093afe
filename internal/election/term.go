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

// LeadershipAcquired is the log message of a node that has become the leader; tools that follow
// the logs wait for it.
const LeadershipAcquired = "leadership acquired"

// serveTerm runs OnElected and renews the lease until the term is known to be over.
func (e *Election) serveTerm(ctx context.Context, l *Leadership) {
	e.Log.Info().Uint64("term", l.Term).Msg(LeadershipAcquired)
	termCtx, endTerm := context.WithCancel(ctx)
	defer endTerm()
	var leading sync.WaitGroup
	leading.Go(func() {
		defer endTerm()
		e.runElected(termCtx, l)
	})
	e.renewLease(termCtx, l)
	l.Revoke()
	endTerm()
	leading.Wait()
	e.releaseLease(ctx, l)
	e.Log.Info().Uint64("term", l.Term).Msg("leadership ended")
}

// runElected runs OnElected and logs its failure, unless the term has ended.
func (e *Election) runElected(ctx context.Context, l *Leadership) {
	if err := e.OnElected(ctx, l); err != nil && ctx.Err() == nil {
		e.Log.Info().Err(err).Uint64("term", l.Term).Msg("leader loop failed")
	}
}

// renewLease renews the lease until the context ends, the lease has expired, or the
// leadership is revoked as a later leader is known: keeping the state up would then cost
// the work of a leader, for nothing.
func (e *Election) renewLease(ctx context.Context, l *Leadership) {
	for ctx.Err() == nil {
		sent := time.Now()
		err := e.Store.Renew(ctx, l.lease)
		delay := tuning.LeaseRenewInterval
		switch {
		case err == nil:
			l.MarkRenewed(sent)
		case errors.Is(err, kvstore.ErrNotFound):
			e.Log.Info().Uint64("term", l.Term).Msg("leader lease lost")
			return
		default:
			delay = tuning.StoreRetryDelay
		}
		if ctxtime.Sleep(ctx, delay) != nil || l.revoked.Load() {
			return
		}
	}
}

// releaseLease frees the leader key for the others after a term that ended by itself. The
// term's context may have ended with the process's, so that the call has its own bound.
func (e *Election) releaseLease(ctx context.Context, l *Leadership) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tuning.LeaseRenewTimeout)
	defer cancel()
	_ = e.Store.Revoke(ctx, l.lease) // failing that, the lease expires
}
