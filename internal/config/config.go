// Package config reads and checks the platform's settings (TOML) and the
// operators' own (XML).
package config

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Config is the platform's settings file.
type Config struct {
	Name       string   `toml:"label"`
	Zone       string   `toml:"domain"`
	Listen     string   `toml:"client_listen"`
	PeerListen string   `toml:"peer_bind"`
	Peers      []Peer   `toml:"peers"`
	Services   Services `toml:"services"`
	Params     Params   `toml:"facts"`
}

// Peer is another controller.
type Peer struct {
	Name string `toml:"label"`
	Zone string `toml:"domain"`
	Addr string `toml:"addr"`
}

// Services are the addresses of cloud and state service.
type Services struct {
	Cloud   string `toml:"cloud"`
	KVStore string `toml:"state"`
}

// Params are the facts of the deployment.
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

// Team is a team's guarantee and limit.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is an aim on starting or finishing.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
	WithinS float64 `toml:"within_s"`
}

// Workers are the times of the worker protocol, in seconds.
type Workers struct {
	HeartbeatIntervalS float64 `toml:"report_s"`
	LeaseS             float64 `toml:"lease_s"`
	CancelDeadlineS    float64 `toml:"cancel_s"`
}

// KVStoreLimits are the limits of the state service.
type KVStoreLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Upcoming holds the limits that the state service will have from some moment
	// on, without notice; what is left out stays.
	Upcoming UpcomingKVStoreLimits `toml:"next"`
}

// UpcomingKVStoreLimits are limits of the state service to come.
type UpcomingKVStoreLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Tightest are the limits that hold before and after those to come: nobody is
// told when they change, and a request above them is refused.
func (s KVStoreLimits) Tightest() KVStoreLimits {
	next := s.Upcoming
	return KVStoreLimits{
		RPS:      tighter(s.RPS, next.RPS),
		WriteRPS: tighter(s.WriteRPS, next.WriteRPS),
		ValueKB:  tighter(s.ValueKB, next.ValueKB),
		TxnOps:   tighter(s.TxnOps, next.TxnOps),
	}
}

func tighter[N int | float64](now N, next *N) N {
	if next == nil {
		return now
	}
	return min(now, *next)
}

// CloudLimits are the limits of the cloud.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// ProcessLimits are the resources of this process.
type ProcessLimits struct {
	CPUShare       float64 `toml:"core_share"`
	MemoryMB       float64 `toml:"memory_mb"`
	MaxConnections int     `toml:"fd_limit"`
}

// Load reads and checks the settings file at path.
func Load(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return c, nil
}

// Parse decodes and checks settings; unknown fields are ignored.
func Parse(data []byte) (*Config, error) {
	c := &Config{}
	if err := toml.Unmarshal(data, c); err != nil {
		var decode *toml.DecodeError
		if errors.As(err, &decode) {
			row, column := decode.Position()
			return nil, fmt.Errorf("line %d, column %d: field %s: %s", row, column, strings.Join(decode.Key(), "."), decode.Error())
		}
		return nil, err
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	c.Params.KVStore = c.Params.KVStore.Tightest()
	return c, nil
}
