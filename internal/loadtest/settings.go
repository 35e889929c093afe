package loadtest

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// settingsFormat is the format of the settings file that the platform passes to a controller. The
// limit on writes to the key-value store is meant to be low, so that the load exceeds it.
const settingsFormat = `label = "node-%d"
domain = "a"
client_listen = "%s"
peer_bind = "%s"
%s
[services]
cloud = "%s"
state = "%s"
[facts]
initial_size = 3
zones = ["%s"]
clock_error_ms = 250.0
%s
[facts.workers]
report_s = %g
lease_s = 17.0
cancel_s = 47.0
[facts.state]
rps = 200.0
write_rps = %g
value_kb = 16.0
txn_ops = 48
[facts.cloud]
rps = 20.0
list_lag_s = 1.0
[facts.resources]
core_share = 1.0
memory_mb = 450.0
fd_limit = 12000
`

// agentLease is the agents' lease, equal to lease_s in settingsFormat.
const agentLease = 17 * time.Second

// teamSettings define the teams that submit jobs. The last one has neither a guarantee nor a limit.
const teamSettings = `[[facts.teams]]
name = "blue"
cpus = 100.0
cpus_max = 200.0
[[facts.teams]]
name = "green"
cpus = 50.0
cpus_max = 200.0
[[facts.teams]]
name = "guests"
`

// Objective is a service objective of the settings: at least Share of a class's accepted jobs must be
// done Within a time.
type Objective struct {
	Class  string
	Within time.Duration
	Share  float64
}

// Objectives are the objectives of the classes in the load.
var Objectives = []Objective{{"urgent", time.Minute, 0.9}, {"nightly", 250 * time.Second, 0.9}}

// LongestObjective returns the longest Within of all objectives: the time in which the jobs accepted
// last should be done.
func LongestObjective() time.Duration {
	return slices.MaxFunc(Objectives, func(a, b Objective) int { return cmp.Compare(a.Within, b.Within) }).Within
}

// objectiveSettings returns the objectives in the format of the settings.
func objectiveSettings() string {
	var text strings.Builder
	for _, o := range Objectives {
		fmt.Fprintf(&text, "[[facts.objectives]]\nkind = \"finished\"\nclass = \"%s\"\nwithin_s = %g\nshare = %g\n",
			o.Class, o.Within.Seconds(), o.Share)
	}
	return text.String()
}

// writeSettings writes a settings file for each controller, with addresses that are free. services is
// the address of the key-value store and the cloud.
func (c *Cluster) writeSettings(services string) error {
	addrs, err := freeAddresses(2 * nodeCount)
	if err != nil {
		return err
	}
	c.clientAddrs, c.peerAddrs = addrs[:nodeCount], addrs[nodeCount:]
	zones := strings.Join(c.options.Zones, `", "`)
	for node := range nodeCount {
		text := fmt.Sprintf(settingsFormat, node, c.clientAddrs[node], c.peerAddrs[node], c.peerSettings(node),
			services, services, zones, teamSettings+objectiveSettings(),
			c.options.HeartbeatInterval.Seconds(), c.options.WriteRPS)
		if err := os.WriteFile(c.path(node, "toml"), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// peerSettings returns the other controllers in the format of a controller's settings.
func (c *Cluster) peerSettings(node int) string {
	var text strings.Builder
	for peer, addr := range c.peerAddrs {
		if peer != node {
			fmt.Fprintf(&text, "[[peers]]\nlabel = \"node-%d\"\ndomain = \"a\"\naddr = \"%s\"\n", peer, addr)
		}
	}
	return text.String()
}

// freeAddresses returns distinct addresses on loopback at which nothing listens.
func freeAddresses(count int) ([]string, error) {
	var addrs []string
	for range count {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer ln.Close() // after all addresses are found, so that they differ
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs, nil
}

// path returns the path of a controller's file with the given extension.
func (c *Cluster) path(node int, extension string) string {
	return filepath.Join(c.dir, fmt.Sprintf("node-%d.%s", node, extension))
}
