package loadtest

import (
	"slices"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
)

// TestSettingsAreValid: the service accepts the settings of each controller, which have distinct
// addresses and list the other controllers as peers.
func TestSettingsAreValid(t *testing.T) {
	options := ClusterOptions{WriteRPS: 40, HeartbeatInterval: time.Second, Zones: []string{"a", "b"}}
	c := &Cluster{dir: t.TempDir(), options: options}
	if err := c.writeSettings("127.0.0.1:1"); err != nil {
		t.Fatal(err)
	}
	addrs := slices.Concat(c.clientAddrs, c.peerAddrs)
	if slices.Sort(addrs); len(slices.Compact(addrs)) != 2*nodeCount {
		t.Errorf("addresses are not distinct: %v", addrs)
	}
	for node := range nodeCount {
		settings, err := config.Load(c.path(node, "toml"))
		if err != nil {
			t.Fatal(err)
		}
		if len(settings.Peers) != nodeCount-1 || settings.Params.Workers.LeaseS != agentLease.Seconds() {
			t.Errorf("node %d: %+v", node, settings)
		}
	}
}
