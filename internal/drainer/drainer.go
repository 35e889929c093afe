// Package drainer runs the operators' drains by the rules of package drain. It handles operators'
// requests, evicts the tasks of the selected machines batch by batch within the teams' disruption
// budgets, and records how drains and other interruptions disrupt each team's work. It reads no clock
// and does no I/O: callers pass in the time, and writes are queued.
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

// Config holds the settings of a drainer.
type Config struct {
	Term    uint64
	Budgets *drain.Budgets // nil disables drains
	Teams   []config.Team
	Zones   []string
	// MaxMachines limits the number of machines; 0 means no limit.
	MaxMachines int
	ValueLimit  int // maximum size of a stored value in bytes
	// LeaseExpiry is how long after the last response to an agent its lease has certainly expired.
	LeaseExpiry time.Duration
	// LeaseS is the duration of an agent's lease in seconds.
	LeaseS float64
}

// Cluster gives the drainer access to the state of the cluster.
type Cluster struct {
	Machines  *machines.Registry
	Catalogue *machines.Catalogue
	Writes    *records.WriteQueues
	Scaler    *scaling.Scaler
	// Job returns the job with an ID, or nil if there is none.
	Job func(id string) *jobs.Job
	// RunnableJobs returns the jobs that have not ended and are not blocked by dependencies.
	RunnableJobs func() iter.Seq[*jobs.Job]
	// TeamUsedCPUs returns the total CPUs of a team's tasks that may be on machines.
	TeamUsedCPUs func(team string) float64
	// IsSchedulable reports whether new tasks may be assigned to a machine.
	IsSchedulable func(time.Time, *machines.Machine) bool
	// RemainingS estimates the remaining run time of an attempt in seconds.
	RemainingS func(time.Time, *machines.Attempt) float64
	// MachinesKnown reports whether the machine types are known and a machine list has been applied.
	MachinesKnown func() bool
	// HasCurrentMachineList reports whether a machine list shows the cloud's state after this term
	// began. Then a machine in a record that is missing from the registry no longer exists.
	HasCurrentMachineList func() bool
	// BatchBlockedCause returns why no drain may start a batch now, or "" if one may.
	BatchBlockedCause func(time.Time) drain.Cause
	// QueueDirectCall schedules a direct call to a machine, which sends the stops of its attempts to
	// its agent.
	QueueDirectCall func(*machines.Machine)
	// RequestSchedulingPass requests a scheduling pass after machines became schedulable again.
	RequestSchedulingPass func()
}

// Drainer owns the drains, and the ledger of how much the teams' work is disrupted. If drains are
// disabled (Config.Budgets is nil), it has neither.
type Drainer struct {
	log     zerolog.Logger
	config  Config
	cluster Cluster

	ledger *drain.Ledger           // nil if drains are disabled
	drains map[string]*storedDrain // by name
	// unreadableDrains holds the names of stored drains that are corrupt or of a later version.
	unreadableDrains map[string]bool
	loadedCharges    []loadedCharge
	lastChargeNumber uint64
	nextStepAt       time.Time
	nextBatchAt      time.Time
	examinedCount    int
}

// storedDrain is the record of a drain.
type storedDrain struct {
	*drain.Record
	durable bool // whether the record has been persisted at least once
}

// New returns a drainer without drains.
func New(log zerolog.Logger, c Config, cluster Cluster) *Drainer {
	d := &Drainer{log: log, config: c, cluster: cluster, drains: map[string]*storedDrain{}, unreadableDrains: map[string]bool{}}
	if c.Budgets != nil {
		// A stop takes effect up to maxDelay after its charge. The window is longer by that time, so
		// that the charge still counts for a whole window after the stop.
		maxDelay := seconds.Duration(c.LeaseS * tuning.DrainDeliveryLeases)
		d.ledger = drain.NewLedger(c.Budgets.Window + maxDelay)
	}
	return d
}

// ExaminedCount returns the number of machines and attempts that drains have examined so far, as a
// measure of the work of drains.
func (d *Drainer) ExaminedCount() int { return d.examinedCount }

// ApplyCordon cordons a machine if any drain cordons it, and otherwise removes the drain's cordon.
// Other cordons stay.
func (d *Drainer) ApplyCordon(m *machines.Machine) {
	m.SetCordon(machines.CordonDrained, d.anyDrain(func(r *drain.Record) bool { return r.Cordons(m.ID) }))
}

// BlocksProvisioning reports whether any drain forbids provisioning machines of an offering.
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

// noLongerExists reports whether a machine that a record names no longer exists: the cloud has
// confirmed its release with status 200, or a current machine list lacks it.
func (d *Drainer) noLongerExists(name string) bool {
	return d.cluster.Machines.Get(name) == nil && (d.cluster.Machines.WasReleased(name) || d.cluster.HasCurrentMachineList())
}
