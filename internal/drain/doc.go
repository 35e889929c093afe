// Package drain defines the rules of drains, which take machines out of service batch by batch: how
// a drain selects machines, how its state changes, and which tasks it may evict within each team's
// disruption budget. Package drainer applies the rules to the cluster. Package drain reads no clock
// and does no I/O; callers pass in times and snapshots.
package drain
