package node

import (
	"context"
	"time"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/tuning"
)

// admissionLoop updates the leader's admission control at intervals with the load offered to
// all nodes and with the delay of the loop's own last wakeup, which is a measure of the leader's load.
func (t *term) admissionLoop(ctx context.Context) error {
	wakeupDelay := time.Duration(0)
	for {
		loads := append(t.node.hub.OfferedLoads(), *t.node.gate.offeredLoad(t.node.config.Name))
		now := time.Now()
		t.node.mu.Lock()
		t.state.UpdateAdmission(now, now, wakeupDelay, loads)
		t.node.mu.Unlock()
		if err := ctxtime.Sleep(ctx, tuning.AdmissionInterval); err != nil {
			return err
		}
		wakeupDelay = time.Since(now) - tuning.AdmissionInterval
	}
}
