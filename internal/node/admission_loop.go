package node

import (
	"context"
	"time"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/tuning"
)

// admissionLoop updates the leader's admission control at intervals with the load offered to
// all nodes and the delay of its own last wakeup.
func (t *term) admissionLoop(ctx context.Context) error {
	lag := time.Duration(0)
	for {
		loads := append(t.node.hub.OfferedLoads(), *t.node.gate.offeredLoad(t.node.config.Name))
		now := time.Now()
		t.node.mu.Lock()
		t.state.UpdateAdmission(now, now, lag, loads)
		t.node.mu.Unlock()
		if err := ctxtime.Sleep(ctx, tuning.AdmissionInterval); err != nil {
			return err
		}
		lag = time.Since(now) - tuning.AdmissionInterval
	}
}
