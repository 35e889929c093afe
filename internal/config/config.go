// Package config reads and checks the platform's settings (TOML) and the
// operators' own (XML).
package config

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"net"
	"os"

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
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Params are the facts of the deployment.
type Params struct {
	Nodes      int         `toml:"initial_size"`
	Zones      []string    `toml:"zones"`
	ClockOffMS float64     `toml:"clock_error_ms"`
	Teams      []Team      `toml:"teams"`
	Objectives []Objective `toml:"objectives"`
	Workers    Workers     `toml:"workers"`
	State      State       `toml:"state"`
	Cloud      Cloud       `toml:"cloud"`
	Limits     Limits      `toml:"resources"`
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
	ReportS float64 `toml:"report_s"`
	LeaseS  float64 `toml:"lease_s"`
	CancelS float64 `toml:"cancel_s"`
}

// State are the limits of the state service.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next holds the limits that the state service will have from some moment
	// on, without notice; what is left out stays.
	Next StateNext `toml:"next"`
}

// StateNext are limits of the state service to come.
type StateNext struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Tightest are the limits that hold before and after those to come: nobody is
// told when they change, and a request above them is refused.
func (s State) Tightest() State {
	next := s.Next
	return State{
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

// Cloud are the limits of the cloud.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Limits are the resources of this process.
type Limits struct {
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
	return Parse(data)
}

// Parse decodes and checks settings; unknown fields are ignored.
func Parse(data []byte) (*Config, error) {
	c := &Config{}
	if err := toml.Unmarshal(data, c); err != nil {
		var decode *toml.DecodeError
		if errors.As(err, &decode) {
			row, column := decode.Position()
			return nil, fmt.Errorf("settings: line %d, column %d: field %v: %s", row, column, decode.Key(), decode.Error())
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c.Params.State = c.Params.State.Tightest()
	return c, nil
}

func (c *Config) check() error {
	var bad []error
	need := func(ok bool, field, what string) {
		if !ok {
			bad = append(bad, fmt.Errorf("field %s: %s", field, what))
		}
	}
	addr := func(value, field string) {
		if value == "" {
			need(false, field, "missing")
			return
		}
		host, _, err := net.SplitHostPort(value)
		need(err == nil && net.ParseIP(host) != nil, field, "must be an IP address with a port")
	}
	positive := func(value float64, field string) { need(value > 0, field, "must be above zero") }

	need(c.Name != "", "label", "missing")
	need(c.Zone != "", "domain", "missing")
	addr(c.Listen, "client_listen")
	addr(c.PeerListen, "peer_bind")
	for i, p := range c.Peers {
		need(p.Name != "" && p.Name != c.Name, fmt.Sprintf("peers[%d].label", i), "missing or this node's own")
		addr(p.Addr, fmt.Sprintf("peers[%d].addr", i))
	}
	addr(c.Services.Cloud, "services.cloud")
	addr(c.Services.State, "services.state")
	p := &c.Params
	need(len(p.Teams) > 0, "facts.teams", "missing")
	seen := map[string]bool{}
	for i, t := range p.Teams {
		need(t.Name != "" && !seen[t.Name], fmt.Sprintf("facts.teams[%d].name", i), "missing or twice")
		need(t.CPUs >= 0 && t.GPUs >= 0, fmt.Sprintf("facts.teams[%d].cpus", i), "must not be negative")
		need(t.CPUsMax >= 0 && t.GPUsMax >= 0, fmt.Sprintf("facts.teams[%d].cpus_max", i), "must not be negative")
		seen[t.Name] = true
	}
	positive(p.Workers.ReportS, "facts.workers.report_s")
	positive(p.Workers.LeaseS, "facts.workers.lease_s")
	need(p.Workers.CancelS > p.Workers.LeaseS, "facts.workers.cancel_s", "must be above lease_s")
	for _, limits := range []struct {
		State
		field string
	}{{p.State, "facts.state"}, {p.State.Tightest(), "facts.state.next"}} {
		positive(limits.RPS, limits.field+".rps")
		positive(limits.WriteRPS, limits.field+".write_rps")
		need(limits.ValueKB >= 1, limits.field+".value_kb", "must be at least 1")
		need(limits.TxnOps >= 4, limits.field+".txn_ops", "must be at least 4")
	}
	positive(p.Cloud.RPS, "facts.cloud.rps")
	need(p.Cloud.ListLagS >= 0, "facts.cloud.list_lag_s", "must not be negative")
	need(p.Limits.MemoryMB >= 0, "facts.resources.memory_mb", "must not be negative")
	need(p.Limits.MaxConnections >= 0, "facts.resources.fd_limit", "must not be negative")
	if len(bad) > 0 {
		return bad[0]
	}
	return nil
}

// Operator is the operators' own settings. The zero value of a field means
// the default.
type Operator struct {
	XMLName xml.Name `xml:"switchshore"`
	// MaxMachines caps the machines rented at once, 0 for no cap.
	MaxMachines int `xml:"machines>max"`
	// KeepIdleS overrides how long an idle machine is kept, in seconds.
	KeepIdleS float64 `xml:"machines>keepIdleSeconds"`
	// HorizonS overrides the planning horizon, in seconds.
	HorizonS float64 `xml:"machines>planHorizonSeconds"`
}

// LoadOperator reads the operators' file; an empty path gives the defaults.
func LoadOperator(path string) (*Operator, error) {
	if path == "" {
		return &Operator{}, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator settings: %w", err)
	}
	return ParseOperator(data)
}

// ParseOperator decodes and checks the operators' file.
func ParseOperator(data []byte) (*Operator, error) {
	o := &Operator{}
	d := xml.NewDecoder(bytes.NewReader(data))
	if err := d.Decode(o); err != nil {
		if errors.Is(err, io.EOF) {
			err = errors.New("no switchshore element")
		}
		return nil, fmt.Errorf("operator settings: %w", err)
	}
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"machines/max", float64(o.MaxMachines)},
		{"machines/keepIdleSeconds", o.KeepIdleS},
		{"machines/planHorizonSeconds", o.HorizonS},
	} {
		if !(f.value >= 0) {
			return nil, fmt.Errorf("operator settings: field %s: must not be negative", f.name)
		}
	}
	return o, nil
}
