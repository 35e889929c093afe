package node

import (
	"testing"

	"switchshore.example/switchshore/internal/cloud"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/tuning"
)

// TestConnectionSharesFitTheLimit guards against a process that runs out of file descriptors, which would end
// its HTTP server: with the deployments' limits, the connections of all kinds together stay below the limit.
func TestConnectionSharesFitTheLimit(t *testing.T) {
	const (
		peers              = 4   // controllers besides this one in the largest deployment
		connectionsPerPeer = 5   // incoming ones and the outgoing one
		otherDescriptors   = 100 // operators' connections, listeners, files and the runtime's own
	)
	for _, limit := range []int{1800, 2500} {
		users := int(float64(limit) * tuning.ConnectionShare)
		direct := leader.DirectCallLimit(config.ProcessLimits{MaxConnections: limit})
		total := users + direct + kvstore.MaxConnections + cloud.MaxConnections + peers*connectionsPerPeer + otherDescriptors
		if total > limit {
			t.Errorf("up to %d descriptors with a limit of %d, want at most the limit", total, limit)
		}
	}
}
