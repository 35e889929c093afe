package config

import (
	"fmt"
	"math"
	"net"

	"switchshore.example/switchshore/wire"
)

// FieldError is a setting that is missing or invalid.
type FieldError = wire.FieldError

// Reasons of a FieldError that several checks give.
const (
	reasonMissing          = "missing"
	reasonNegative         = "must not be negative"
	reasonNotNumber        = "not a number"
	reasonNotWhole         = "must be a whole number"
	reasonUnknownElement   = "unknown element"
	reasonUnknownAttribute = "unknown attribute"
	reasonTwice            = "given twice"
	reasonNotInSettings    = "not in the platform's settings"
)

// checker keeps the first error.
type checker struct {
	err error
}

// require keeps an error if a condition doesn't hold.
func (c *checker) require(ok bool, field, reason string) {
	if !ok && c.err == nil {
		c.err = &FieldError{Field: field, Reason: reason}
	}
}

// addr checks an IP address with a port.
func (c *checker) addr(value, field string) {
	if value == "" {
		c.require(false, field, reasonMissing)
		return
	}
	host, _, err := net.SplitHostPort(value)
	c.require(err == nil && net.ParseIP(host) != nil, field, "must be an IP address with a port")
}

// positive checks a number above zero.
func (c *checker) positive(value float64, field string) {
	c.require(value > 0, field, "must be above zero")
	c.require(!math.IsInf(value, 0), field, "must be finite")
}

// check returns the first error of the settings.
func (c *Config) check() error {
	k := &checker{}
	k.require(c.Name != "", "label", reasonMissing)
	k.require(c.Zone != "", "domain", reasonMissing)
	k.addr(c.Listen, "client_listen")
	k.addr(c.PeerListen, "peer_bind")
	for i, p := range c.Peers {
		k.require(p.Name != "" && p.Name != c.Name, fmt.Sprintf("peers[%d].label", i), "missing or this node's own")
		k.addr(p.Addr, fmt.Sprintf("peers[%d].addr", i))
	}
	k.addr(c.Services.Cloud, "services.cloud")
	k.addr(c.Services.KVStore, "services.state")
	c.Params.check(k)
	return k.err
}

// check checks the deployment's parameters.
func (p *Params) check(k *checker) {
	checkTeams(k, p.Teams)
	k.positive(p.Workers.HeartbeatIntervalS, "facts.workers.report_s")
	k.positive(p.Workers.LeaseS, "facts.workers.lease_s")
	k.positive(p.Workers.CancelDeadlineS, "facts.workers.cancel_s")
	k.require(p.Workers.CancelDeadlineS > p.Workers.LeaseS, "facts.workers.cancel_s", "must be above lease_s")
	p.KVStore.check(k, "facts.state")
	p.KVStore.Tightest().check(k, "facts.state.next")
	k.positive(p.Cloud.RPS, "facts.cloud.rps")
	k.require(p.Cloud.ListLagS >= 0 && !math.IsInf(p.Cloud.ListLagS, 0), "facts.cloud.list_lag_s", reasonNegative)
	k.require(p.Limits.MemoryMB >= 0, "facts.resources.memory_mb", reasonNegative)
	k.require(p.Limits.MaxConnections >= 0, "facts.resources.fd_limit", reasonNegative)
}

// checkTeams checks that team names are unique, and quotas not negative.
func checkTeams(k *checker, teams []Team) {
	k.require(len(teams) > 0, "facts.teams", reasonMissing)
	seen := map[string]bool{}
	for i, t := range teams {
		table := fmt.Sprintf("facts.teams[%d]", i)
		k.require(t.Name != "" && !seen[t.Name], table+".name", "missing or twice")
		k.require(t.CPUs >= 0 && t.GPUs >= 0, table+".cpus", reasonNegative)
		k.require(t.CPUsMax >= 0 && t.GPUsMax >= 0, table+".cpus_max", reasonNegative)
		seen[t.Name] = true
	}
}

// check checks the limits of a table of the file.
func (s KVStoreLimits) check(k *checker, table string) {
	k.positive(s.RPS, table+".rps")
	k.positive(s.WriteRPS, table+".write_rps")
	k.require(s.ValueKB >= 1, table+".value_kb", "must be at least 1")
	k.require(s.TxnOps >= 4, table+".txn_ops", "must be at least 4")
}
