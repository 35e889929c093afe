// Package scaling decides when machines are provisioned and released, and keeps track of the
// calls to the cloud that have not been answered. It reads no clock and does no I/O: the calls
// to be made are returned, and their outcomes are passed in.
package scaling

import (
	"time"

	"switchshore.example/switchshore/internal/autoscale"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// CloudOp is the kind of a cloud call.
type CloudOp int

// Cloud calls.
const (
	CloudProvision CloudOp = iota
	CloudRelease
)

// CloudCall is a call to be made.
type CloudCall struct {
	Op        CloudOp
	Provision wire.ProvisionRequest
	Release   []string
}

// Config is what the settings and the term say about scaling.
type Config struct {
	Term     uint64
	CloudRPS float64 // requests per second that the cloud takes
	// MaxMachines bounds the number of machines, 0 for no bound.
	MaxMachines int
	// ScaleInIdleTime is how long a machine without work is kept.
	ScaleInIdleTime time.Duration
}

// Cluster is what scaling has to know of the cluster.
type Cluster struct {
	Machines  *machines.Registry
	Catalogue *machines.Catalogue
	// Demand returns the work that waits for capacity.
	Demand func(now time.Time) []autoscale.Demand
	// HeartbeatOverdue reports whether a machine has not reported for long.
	HeartbeatOverdue func(now time.Time, m *machines.Machine) bool
	// RemainingS estimates the rest of an attempt's run time in seconds.
	RemainingS func(now time.Time, a *machines.Attempt) float64
	// IsReplacement reports whether a machine was provisioned for a drain that still runs.
	IsReplacement func(id string) bool
	// BlockedByDrain reports whether a drain keeps machines of an offer from being provisioned.
	BlockedByDrain func(autoscale.Offer) bool
	// Partitioned reports whether a zone seems to be cut off.
	Partitioned func(now time.Time, zone string) bool
}

// Scaler owns what is known of the cloud's capacity and of the calls to it under way.
type Scaler struct {
	config             Config
	cluster            Cluster
	History            DemandHistory
	unavailable        map[autoscale.Offer]time.Time // without capacity, until then
	provisionsNamed    uint64
	pending            map[string]*PendingProvision // by request
	releasesUnanswered int
	nextPlan           time.Time
}

// PendingProvision is a request for machines without an answer.
type PendingProvision struct {
	Offer       autoscale.Offer
	Count       int
	RequestedAt time.Time
	// ReplacementFor is the drain that the machines are replacements for, "" for none.
	ReplacementFor string
}

// New returns a scaler without calls under way.
func New(config Config, cluster Cluster) *Scaler {
	return &Scaler{
		config:      config,
		cluster:     cluster,
		unavailable: map[autoscale.Offer]time.Time{},
		pending:     map[string]*PendingProvision{},
	}
}

// Due reports whether it is time for a plan, and if so counts the next period from now.
func (s *Scaler) Due(now time.Time) bool {
	if now.Before(s.nextPlan) {
		return false
	}
	s.nextPlan = now.Add(tuning.ScalingInterval)
	return true
}

// Plan decides how many machines of each offer are needed beyond those that there are or that
// are being provisioned, and which ones are not needed.
func (s *Scaler) Plan(now time.Time) autoscale.Plan {
	return autoscale.NewPlan(s.planInput(now))
}
