// Package scaling turns the plans of package autoscale into cloud calls that provision and release
// machines, and tracks the calls in flight. It reads no clock and does no I/O: the caller makes the
// calls that it returns, and passes in their results.
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

// The kinds of cloud calls.
const (
	CloudProvision CloudOp = iota
	CloudRelease
)

// CloudCall is a call that the caller is to make to the cloud.
type CloudCall struct {
	Op        CloudOp
	Provision wire.ProvisionRequest // for CloudProvision
	Release   []string              // names of machines, for CloudRelease
}

// Config holds the settings of a scaler.
type Config struct {
	Term     uint64  // of this leader; part of the request IDs
	CloudRPS float64 // the cloud's rate limit, in requests per second
	// MaxMachines limits the number of machines; 0 means no limit.
	MaxMachines int
	// ScaleInIdleTime is how long a machine must have been idle before it is released.
	ScaleInIdleTime time.Duration
}

// Cluster gives the scaler access to the state of the cluster.
type Cluster struct {
	Machines  *machines.Registry
	Catalogue *machines.Catalogue
	// Demand returns the tasks that wait for capacity.
	Demand func(now time.Time) []autoscale.Demand
	// IsCapacity reports whether a machine counts as capacity for new tasks, see
	// machines.Machine.IsCapacity.
	IsCapacity func(now time.Time, m *machines.Machine) bool
	// RemainingS returns the estimated remaining run time of an attempt, in seconds.
	RemainingS func(now time.Time, a *machines.Attempt) float64
	// IsReplacement reports whether a machine was provisioned as a replacement for the current batch
	// of the running drain.
	IsReplacement func(id string) bool
	// IsBlockedByDrain reports whether a drain forbids provisioning machines of an offering.
	IsBlockedByDrain func(autoscale.Offering) bool
	// IsPartitioned reports whether a zone appears to be unreachable over the network.
	IsPartitioned func(now time.Time, zone string) bool
}

// Scaler plans scaling. It tracks the cloud calls in flight, and the offerings for which the cloud has
// run out of capacity.
type Scaler struct {
	config             Config
	cluster            Cluster
	History            DemandHistory                    // the caller adds arrivals, planInput adds the CPUs in use
	unavailableUntil   map[autoscale.Offering]time.Time // when the offering may be requested again
	lastRequestNumber  uint64                           // of a provision call in this term
	provisionsInFlight map[string]*InFlightProvision    // by request ID
	releasesInFlight   int                              // number of release calls in flight
	nextPlanAt         time.Time                        // when the next plan is due
}

// InFlightProvision is a provision call in flight.
type InFlightProvision struct {
	Offering    autoscale.Offering
	Count       int       // number of requested machines
	RequestedAt time.Time // when the call was created
	// ReplacementFor is the name of the drain whose machines the requested ones replace, or "".
	ReplacementFor string
}

// New returns a scaler without calls in flight.
func New(config Config, cluster Cluster) *Scaler {
	return &Scaler{
		config:             config,
		cluster:            cluster,
		unavailableUntil:   map[autoscale.Offering]time.Time{},
		provisionsInFlight: map[string]*InFlightProvision{},
	}
}

// BeginPlanningIfDue reports whether a plan is due. If so, the caller must plan now, and the next plan
// is due after tuning.ScalingInterval.
func (s *Scaler) BeginPlanningIfDue(now time.Time) bool {
	if now.Before(s.nextPlanAt) {
		return false
	}
	s.nextPlanAt = now.Add(tuning.ScalingInterval)
	return true
}

// Plan returns how many machines of each offering to provision, and which machines to release. The
// machines to provision are in addition to those that provision calls in flight request.
func (s *Scaler) Plan(now time.Time) autoscale.Plan {
	return autoscale.NewPlan(s.planInput(now))
}
