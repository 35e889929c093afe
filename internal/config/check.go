package config

import (
	"fmt"
	"math"
	"net"

	"switchshore.example/switchshore/wire"
)

// FieldError is the error for a missing or invalid setting.
type FieldError = wire.FieldError

// Reasons of a FieldError that several checks use.
const (
	reasonMissing          = "missing"
	reasonNegative         = "must not be negative"
	reasonNotNumber        = "not a number"
	reasonNotWhole         = "must be a whole number"
	reasonUnknownElement   = "unknown element"
	reasonUnknownAttribute = "unknown attribute"
	reasonDuplicate        = "given twice"
	reasonNotInSettings    = "not in the platform's settings"
)

// checker records the first error of a series of checks.
type checker struct {
	err error
}

// require records an error if ok is false and no check has failed before.
func (c *checker) require(ok bool, field, reason string) {
	if !ok && c.err == nil {
		c.err = &FieldError{Field: field, Reason: reason}
	}
}

// requireAddr checks that value is an IP address with a port.
func (c *checker) requireAddr(value, field string) {
	if value == "" {
		c.require(false, field, reasonMissing)
		return
	}
	host, _, err := net.SplitHostPort(value)
	c.require(err == nil && net.ParseIP(host) != nil, field, "must be an IP address with a port")
}

// requirePositive checks that value is finite and above zero.
func (c *checker) requirePositive(value float64, field string) {
	c.require(value > 0, field, "must be above zero")
	c.require(!math.IsInf(value, 0), field, "must be finite")
}

// check returns the first error of the settings.
func (c *Config) check() error {
	k := &checker{}
	k.require(c.Name != "", "label", reasonMissing)
	k.require(c.Zone != "", "domain", reasonMissing)
	k.requireAddr(c.Listen, "client_listen")
	k.requireAddr(c.PeerListen, "peer_bind")
	for i, p := range c.Peers {
		k.require(p.Name != "" && p.Name != c.Name, fmt.Sprintf("peers[%d].label", i), "missing or this node's own")
		k.requireAddr(p.Addr, fmt.Sprintf("peers[%d].addr", i))
	}
	k.requireAddr(c.Services.Cloud, "services.cloud")
	k.requireAddr(c.Services.KVStore, "services.state")
	c.Params.check(k)
	return k.err
}

// check checks the deployment's parameters.
func (p *Params) check(k *checker) {
	checkTeams(k, p.Teams)
	k.requirePositive(p.Workers.HeartbeatIntervalS, "facts.workers.report_s")
	k.requirePositive(p.Workers.LeaseS, "facts.workers.lease_s")
	k.requirePositive(p.Workers.CancelDeadlineS, "facts.workers.cancel_s")
	k.require(p.Workers.CancelDeadlineS > p.Workers.LeaseS, "facts.workers.cancel_s", "must be above lease_s")
	p.KVStore.check(k, "facts.state")
	p.KVStore.Tightest().check(k, "facts.state.next")
	k.requirePositive(p.Cloud.RPS, "facts.cloud.rps")
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

// check checks the limits, which the file has in the given table.
func (s KVStoreLimits) check(k *checker, table string) {
	k.requirePositive(s.RPS, table+".rps")
	k.requirePositive(s.WriteRPS, table+".write_rps")
	k.require(s.ValueKB >= 1, table+".value_kb", "must be at least 1")
	k.require(s.TxnOps >= 4, table+".txn_ops", "must be at least 4")
}
