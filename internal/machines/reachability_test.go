package machines_test

import (
	"fmt"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/machines"
)

// newMachinesInTwoZones returns perZone machines in each of the zones a and b. Those in zone a sent
// their last heartbeat at heartbeatA, those in zone b at heartbeatB.
func newMachinesInTwoZones(perZone int, heartbeatA, heartbeatB time.Time) []*machines.Machine {
	var list []*machines.Machine
	for zone, at := range map[string]time.Time{"a": heartbeatA, "b": heartbeatB} {
		for i := range perZone {
			m := machines.New(termStart, fmt.Sprintf("%s%d", zone, i), "std-8", zone, "", false)
			applyHeartbeat(m, at, 1, 1)
			list = append(list, m)
		}
	}
	return list
}

func TestReachability(t *testing.T) {
	now := termStart.Add(time.Minute)
	late := now.Add(-timing.HeartbeatTimeout - 1)
	for name, c := range map[string]struct {
		heartbeatA, heartbeatB time.Time
		partitioned, isolated  bool
	}{
		"all reachable":        {heartbeatA: now, heartbeatB: now},
		"one zone unreachable": {heartbeatA: late, heartbeatB: now, partitioned: true},
		"all unreachable":      {heartbeatA: late, heartbeatB: late, isolated: true},
	} {
		r := machines.NewReachability()
		r.Update(now, newMachinesInTwoZones(10, c.heartbeatA, c.heartbeatB), timing)
		if r.IsPartitioned(now, "a") != c.partitioned || r.AnyPartitioned(now) != c.partitioned || r.IsPartitioned(now, "b") || r.IsIsolated() != c.isolated {
			t.Errorf("%s: got zone a partitioned %v, isolated %v, want the values of the case, and zone b not partitioned", name, r.IsPartitioned(now, "a"), r.IsIsolated())
		}
		r.Update(now, newMachinesInTwoZones(10, now, now), timing)
		if r.AnyPartitioned(now) || r.IsIsolated() {
			t.Errorf("%s: still partitioned or isolated after all machines have reported", name)
		}
	}
	r := machines.NewReachability()
	r.Update(now, newMachinesInTwoZones(10, late, now), timing)
	if after := now.Add(timing.LeaseExpiry); r.AnyPartitioned(after) {
		t.Error("zone still partitioned although its machines may have been released")
	}
}
