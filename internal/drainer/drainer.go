// Package drainer carries out the operators' drains: it handles their requests, evicts the tasks
// of the selected machines batch by batch within the teams' budgets, and counts the disruption
// of each team's work by drains and by other interruptions. Package drain has the rules. The
// package reads no clock and does no I/O.
package drainer

import (
	"iter"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/autoscale"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/scaling"
	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/internal/tuning"
)

// Config has the settings of a drainer.
type Config struct {
	Term    uint64
	Budgets *drain.Budgets // nil: drains are off
	Teams   []config.Team
	Zones   []string
	// MaxMachines is the maximum number of machines, 0 for no maximum.
	MaxMachines int
	ValueLimit  int // maximum size of a stored value in bytes
	// LeaseExpiry is the time after a response at which the agent's lease has surely expired.
	LeaseExpiry time.Duration
	// LeaseS is the duration of an agent's lease in seconds.
	LeaseS float64
}

// Cluster is a drainer's access to the state of the cluster.
type Cluster struct {
	Machines  *machines.Registry
	Catalogue *machines.Catalogue
	Writes    *records.WriteQueues
	Scaler    *scaling.Scaler
	// Job returns the job with an ID, nil if it is unknown.
	Job func(id string) *jobs.Job
	// RunnableJobs returns the jobs that have not ended and wait for no other job.
	RunnableJobs func() iter.Seq[*jobs.Job]
	// TeamUsedCPUs returns the CPUs of all tasks of a team that may be on machines.
	TeamUsedCPUs func(team string) float64
	// IsSchedulable reports whether a machine is schedulable.
	IsSchedulable func(time.Time, *machines.Machine) bool
	// RemainingS estimates the remaining run time of an attempt in seconds.
	RemainingS func(time.Time, *machines.Attempt) float64
	// MachinesKnown reports whether the cloud's machine types and a machine list have been received.
	MachinesKnown func() bool
	// MachineListCurrent reports whether a machine list shows the state after this term began. From
	// then on, an unknown machine that a record names no longer exists.
	MachineListCurrent func() bool
	// BatchBlockedCause returns why no batch of any drain may start now, "" if one may.
	BatchBlockedCause func(time.Time) drain.Cause
	// ScheduleCall schedules a direct call to a machine on which attempts are to be stopped.
	ScheduleCall func(*machines.Machine)
	// RequestSchedulingPass requests a scheduling pass after machines became schedulable again.
	RequestSchedulingPass func()
}

// Drainer owns the drains and the ledger of the disruption of the teams' work. Without budgets,
// drains are off: it has no drains and no ledger.
type Drainer struct {
	log     zerolog.Logger
	config  Config
	cluster Cluster

	ledger *drain.Ledger // nil: drains are off
	drains map[string]*storedDrain
	// unreadableDrains has the names of stored drains that are corrupt or of a later version.
	unreadableDrains map[string]bool
	loadedCharges    []loadedCharge
	lastChargeNumber uint64
	nextStepAt       time.Time
	nextBatchAt      time.Time
	examinedCount    int
}

// storedDrain is a drain's record; durable is set once the record has been persisted for the
// first time.
type storedDrain struct {
	*drain.Record
	durable bool
}

// New returns a drainer without drains.
func New(log zerolog.Logger, c Config, cluster Cluster) *Drainer {
	d := &Drainer{log: log, config: c, cluster: cluster, drains: map[string]*storedDrain{}, unreadableDrains: map[string]bool{}}
	if c.Budgets != nil {
		// A stop may take effect after a stop that was charged later. The longer window still
		// counts its charge then.
		maxDelay := seconds.Duration(c.LeaseS * tuning.DrainDeliveryLeases)
		d.ledger = drain.NewLedger(c.Budgets.Window + maxDelay)
	}
	return d
}

// ExaminedCount returns the number of machines and attempts that drains have examined so far.
func (d *Drainer) ExaminedCount() int { return d.examinedCount }

// ApplyCordon cordons a machine if a drain requires it, and otherwise lifts the drain cordon.
func (d *Drainer) ApplyCordon(m *machines.Machine) {
	m.SetCordon(machines.CordonDrained, d.anyDrain(func(r *drain.Record) bool { return r.Cordons(m.ID) }))
}

// BlocksProvisioning reports whether a drain forbids provisioning machines of an offer.
func (d *Drainer) BlocksProvisioning(o autoscale.Offering) bool {
	return d.anyDrain(func(r *drain.Record) bool { return r.BlocksProvisioning(o.Type, o.Zone) })
}

// IsReplacement reports whether a machine was provisioned as a replacement for the current batch
// of the running drain.
func (d *Drainer) IsReplacement(machine string) bool {
	return d.anyDrain(func(r *drain.Record) bool { return r.State == drain.Running && r.HasReplacement(machine) })
}

// anyDrain reports whether the predicate holds for the record of any drain.
func (d *Drainer) anyDrain(predicate func(*drain.Record) bool) bool {
	for _, r := range d.drains {
		if predicate(r.Record) {
			return true
		}
	}
	return false
}

// sortedRecords returns the records of all drains, oldest first.
func (d *Drainer) sortedRecords() []*drain.Record {
	list := make([]*drain.Record, 0, len(d.drains))
	for _, r := range d.drains {
		list = append(list, r.Record)
	}
	slices.SortFunc(list, (*drain.Record).Compare)
	return list
}

// noLongerExists reports whether a machine named by a record no longer exists: the cloud
// answered its release with status 200, or it is missing from a machine list that would have it.
func (d *Drainer) noLongerExists(name string) bool {
	return d.cluster.Machines.Get(name) == nil && (d.cluster.Machines.WasReleased(name) || d.cluster.MachineListCurrent())
}
