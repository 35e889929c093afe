// Package drain has the rules by which machines are taken out of service batch by batch: the
// selection of machines, the life cycle of a drain, and the choice of tasks to evict within each
// team's disruption budget. It reads no clock and does no I/O; callers pass in times and snapshots.
package drain
