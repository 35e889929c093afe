// Package config reads and checks two files: the platform's settings, in TOML (Load), and
// the operators' settings, in XML (LoadOperatorSettings). The error for an invalid setting
// is a FieldError, which names the field as in the file.
package config

// Config is the platform's settings file. It describes this node, its peers and
// services, and the deployment.
type Config struct {
	Name string `toml:"label"`
	Zone string `toml:"domain"`
	// Listen is the address for users and workers, PeerListen that for other nodes.
	Listen     string   `toml:"client_listen"`
	PeerListen string   `toml:"peer_bind"`
	Peers      []Peer   `toml:"peers"`
	Services   Services `toml:"services"`
	Params     Params   `toml:"facts"`
}

// Peer is another controller node. Addr is its PeerListen address.
type Peer struct {
	Name string `toml:"label"`
	Zone string `toml:"domain"`
	Addr string `toml:"addr"`
}

// Services has the addresses of the cloud and of the key-value store.
type Services struct {
	Cloud   string `toml:"cloud"`
	KVStore string `toml:"state"`
}

// Params are the parameters of the deployment. They are the same on all nodes.
type Params struct {
	Nodes        int           `toml:"initial_size"`
	Zones        []string      `toml:"zones"`
	ClockErrorMS float64       `toml:"clock_error_ms"`
	Teams        []Team        `toml:"teams"`
	Objectives   []Objective   `toml:"objectives"`
	Workers      Workers       `toml:"workers"`
	KVStore      KVStoreLimits `toml:"state"`
	Cloud        CloudLimits   `toml:"cloud"`
	Limits       ProcessLimits `toml:"resources"`
}

// Team is a team's quota: its guaranteed resources (CPUs, GPUs), and the limits on the
// resources that it may use (CPUsMax, GPUsMax).
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective for the start or the end of a class of jobs.
type Objective struct {
	Kind  string  `toml:"kind"`
	Class string  `toml:"class"`
	Share float64 `toml:"share"`
	// Times applies to the kind "deadline": the jobs should end within this multiple of
	// their deadline.
	Times float64 `toml:"times"`
	// WithinS is the time within which the objective should be met, in seconds.
	WithinS float64 `toml:"within_s"`
}

// Workers has the times of the worker protocol, in seconds.
type Workers struct {
	HeartbeatIntervalS float64 `toml:"report_s"`
	// LeaseS is how long a worker runs its tasks without a response to its heartbeats.
	LeaseS float64 `toml:"lease_s"`
	// CancelDeadlineS is the time within which the tasks of a cancelled job must end.
	CancelDeadlineS float64 `toml:"cancel_s"`
}

// KVStoreLimits has the limits of the key-value store: requests and writes per second, the
// size of a value in KiB, and the number of operations in a transaction.
type KVStoreLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Upcoming has the limits of the store after a change whose time is unknown.
	Upcoming UpcomingKVStoreLimits `toml:"next"`
}

// UpcomingKVStoreLimits has the limits of the key-value store after a change. A limit that
// doesn't change is nil.
type UpcomingKVStoreLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Tightest returns the smaller of each limit before and after the upcoming change. These
// limits must always be kept, because the time of the change is unknown, and the store
// refuses requests above its limits.
func (s KVStoreLimits) Tightest() KVStoreLimits {
	upcoming := s.Upcoming
	return KVStoreLimits{
		RPS:      smallerLimit(s.RPS, upcoming.RPS),
		WriteRPS: smallerLimit(s.WriteRPS, upcoming.WriteRPS),
		ValueKB:  smallerLimit(s.ValueKB, upcoming.ValueKB),
		TxnOps:   smallerLimit(s.TxnOps, upcoming.TxnOps),
	}
}

// smallerLimit returns the smaller of the current and the upcoming limit. If upcoming is nil,
// the limit doesn't change.
func smallerLimit[N int | float64](current N, upcoming *N) N {
	if upcoming == nil {
		return current
	}
	return min(current, *upcoming)
}

// CloudLimits has the limits of the cloud.
type CloudLimits struct {
	// RPS is the number of calls per second that the cloud allows.
	RPS float64 `toml:"rps"`
	// ListLagS is the nominal lag of the cloud's machine list, in seconds.
	ListLagS float64 `toml:"list_lag_s"`
}

// ProcessLimits has the resource limits of this process; 0 is no limit.
type ProcessLimits struct {
	// CPUShare is the number of CPU cores that the process may use, often below 1.
	CPUShare       float64 `toml:"core_share"`
	MemoryMB       float64 `toml:"memory_mb"`
	MaxConnections int     `toml:"fd_limit"`
}
