// Package drainer carries out the operators' drains: it accepts and changes them, empties the
// selected machines batch by batch within the teams' budgets, and counts what that and
// other interruptions cost the teams. The rules are those of package drain. It reads no clock
// and does no I/O.
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

// Config is what the settings and the term say about drains.
type Config struct {
	Term    uint64
	Budgets *drain.Budgets // nil: drains are off
	Teams   []config.Team
	Zones   []string
	// MaxMachines bounds the number of machines, 0 for no bound.
	MaxMachines int
	ValueLimit  int // bytes of a stored value
	// LeaseExpiry is the time after which an agent's lease has provably expired.
	LeaseExpiry time.Duration
	// LeaseS is the length of an agent's lease in seconds.
	LeaseS float64
}

// Cluster is what drains have to know of the cluster, and what they do to it.
type Cluster struct {
	Machines  *machines.Registry
	Catalogue *machines.Catalogue
	Writes    *records.WriteQueues
	Scaler    *scaling.Scaler
	// Job returns a job by its id, nil if it is not known.
	Job func(id string) *jobs.Job
	// RunnableJobs returns the unfinished jobs that wait for no others.
	RunnableJobs func() iter.Seq[*jobs.Job]
	// TeamUsedCPUs are those of all tasks of a team that may be on machines.
	TeamUsedCPUs func(team string) float64
	// AcceptsWork reports whether a machine takes new tasks.
	AcceptsWork func(time.Time, *machines.Machine) bool
	// RemainingS estimates the rest of an attempt's run time in seconds.
	RemainingS func(time.Time, *machines.Attempt) float64
	// MachinesKnown reports whether the cloud's machine types and a machine list are known.
	MachinesKnown func() bool
	// ListsComplete reports whether a machine list describes a time after this term began, so
	// that a machine named by a record and not known no longer exists.
	ListsComplete func() bool
	// BlockedCause is why no batch may begin now whatever machines there are, "" if one may.
	BlockedCause func(time.Time) drain.Cause
	// ScheduleCall schedules a direct call to a machine where something is to be stopped.
	ScheduleCall func(*machines.Machine)
	// RequestSchedulingPass asks for a scheduling pass, as machines take work again.
	RequestSchedulingPass func()
}

// Drainer owns the drains and the account of the disruption of the teams' work. All
// of it is empty while drains are off.
type Drainer struct {
	log     zerolog.Logger
	config  Config
	cluster Cluster

	ledger *drain.Ledger // nil: drains are off
	drains map[string]*storedDrain
	// unreadable are the names of stored drains that are corrupt or of a later version.
	unreadable    map[string]bool
	loadedCharges []loadedCharge
	chargesNamed  uint64
	nextStep      time.Time
	nextBatch     time.Time
	examined      int
}

// storedDrain is a drain's record; durable once it has been stored for the first time.
type storedDrain struct {
	*drain.Record
	durable bool
}

// New returns a drainer without drains.
func New(log zerolog.Logger, c Config, cluster Cluster) *Drainer {
	d := &Drainer{log: log, config: c, cluster: cluster, drains: map[string]*storedDrain{}, unreadable: map[string]bool{}}
	if c.Budgets != nil {
		// What is charged may come into effect later than what is charged after it.
		late := seconds.Duration(c.LeaseS * tuning.DrainDeliveryLeases)
		d.ledger = drain.NewLedger(c.Budgets.Window + late)
	}
	return d
}

// ExaminedCount is the number of machines and attempts that drains have examined so far.
func (d *Drainer) ExaminedCount() int { return d.examined }

// ApplyCordon cordons a machine as long as a drain keeps it from taking new work.
func (d *Drainer) ApplyCordon(m *machines.Machine) {
	m.SetCordon(machines.CordonDrained, d.any(func(r *drain.Record) bool { return r.Cordons(m.ID) }))
}

// BlocksProvisioning reports whether a drain keeps machines of an offer from being provisioned.
func (d *Drainer) BlocksProvisioning(o autoscale.Offer) bool {
	return d.any(func(r *drain.Record) bool { return r.BlocksProvisioning(o.Type, o.Zone) })
}

// IsReplacement reports whether a machine was provisioned in the place of those that are
// drained now.
func (d *Drainer) IsReplacement(machine string) bool {
	return d.any(func(r *drain.Record) bool { return r.State == drain.Running && r.Replaces(machine) })
}

func (d *Drainer) any(holds func(*drain.Record) bool) bool {
	for _, r := range d.drains {
		if holds(r.Record) {
			return true
		}
	}
	return false
}

// records are those of all drains, oldest first.
func (d *Drainer) records() []*drain.Record {
	list := make([]*drain.Record, 0, len(d.drains))
	for _, r := range d.drains {
		list = append(list, r.Record)
	}
	slices.SortFunc(list, (*drain.Record).Compare)
	return list
}

// provablyGone reports whether a machine named by a record provably no longer exists: released
// with a 200, or missing from a list that would have it.
func (d *Drainer) provablyGone(name string) bool {
	return d.cluster.Machines.Get(name) == nil && (d.cluster.Machines.WasReleased(name) || d.cluster.ListsComplete())
}
