// Package config reads and checks the platform's settings (TOML, Load) and the
// operators' settings (XML, LoadOperatorSettings). The error for an invalid setting is
// a FieldError, which names the field as in the file.
package config

// Config is the platform's settings file. It describes this node, its peers and
// services, and the deployment.
type Config struct {
	Name       string   `toml:"label"`
	Zone       string   `toml:"domain"`
	Listen     string   `toml:"client_listen"`
	PeerListen string   `toml:"peer_bind"`
	Peers      []Peer   `toml:"peers"`
	Services   Services `toml:"services"`
	Params     Params   `toml:"facts"`
}

// Peer is another controller node.
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

// Team is a team's quota: its guaranteed resources, and its limits (Max).
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective for the start or the end of a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
	WithinS float64 `toml:"within_s"`
}

// Workers has the times of the worker protocol, in seconds.
type Workers struct {
	HeartbeatIntervalS float64 `toml:"report_s"`
	LeaseS             float64 `toml:"lease_s"`
	CancelDeadlineS    float64 `toml:"cancel_s"`
}

// KVStoreLimits has the limits of the key-value store.
type KVStoreLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Upcoming has the limits that the store will have after a change at an
	// unannounced time. Limits left out don't change.
	Upcoming UpcomingKVStoreLimits `toml:"next"`
}

// UpcomingKVStoreLimits has limits of the key-value store after a change; a nil limit
// doesn't change.
type UpcomingKVStoreLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Tightest returns limits that are valid both before and after the change: the time of
// the change is unknown, and the store refuses requests above its limits.
func (s KVStoreLimits) Tightest() KVStoreLimits {
	upcoming := s.Upcoming
	return KVStoreLimits{
		RPS:      smallerLimit(s.RPS, upcoming.RPS),
		WriteRPS: smallerLimit(s.WriteRPS, upcoming.WriteRPS),
		ValueKB:  smallerLimit(s.ValueKB, upcoming.ValueKB),
		TxnOps:   smallerLimit(s.TxnOps, upcoming.TxnOps),
	}
}

// smallerLimit returns the smaller of both limits; a nil upcoming limit is no change.
func smallerLimit[N int | float64](current N, upcoming *N) N {
	if upcoming == nil {
		return current
	}
	return min(current, *upcoming)
}

// CloudLimits has the limits of the cloud.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// ProcessLimits has the resource limits of this process; 0 is no limit.
type ProcessLimits struct {
	CPUShare       float64 `toml:"core_share"`
	MemoryMB       float64 `toml:"memory_mb"`
	MaxConnections int     `toml:"fd_limit"`
}
