package placement

import (
	"slices"
	"sort"
)

// PlacedTask is a task that runs on a machine, is being started there or is queued
// there.
type PlacedTask struct {
	Request Resources
	// EndS is the estimated end of the task, including the image fetch, in seconds on
	// the clock of the pass.
	EndS float64
}

// Machine is the snapshot of a schedulable machine. Its times are points in time on
// the clock of the pass, in seconds. Unlike remaining durations, they stay valid, so
// the next pass can reuse the snapshot if nothing has changed on the machine.
type Machine struct {
	Host
	ID          string
	Free        Resources // not used by placed tasks
	FetchGBPerS float64   // bandwidth of image fetches, zero if unknown
	// Price decides between machines with the same speedup. Cheaper ones are
	// preferred, so that expensive ones become idle and can be released.
	Price float64
	// PlacedTasks are sorted by EndS. Host.Tasks is their number.
	PlacedTasks []PlacedTask
	// Images maps each image to the time at which its fetch ends, or to zero if it is
	// cached.
	Images map[string]float64
	// HasReservation: the machine is reserved for jobs of ReservedRank or a higher
	// priority.
	HasReservation bool
	ReservedRank   int
	// Modified is set when a pass changes the snapshot. The snapshot then has to be
	// rebuilt before the next pass, because it contains tasks that the pass has only
	// queued on the machine.
	Modified bool

	// queuedRank is the highest priority that has a queued task or a reservation on
	// the machine, or noRank.
	queuedRank int
	// version is incremented whenever a task is assigned to the machine. Scores computed
	// for an earlier version are outdated.
	version int
}

// noRank means that there is no priority; valid ranks begin at 0.
const noRank = -1

// addPlacedTask inserts a task into PlacedTasks, which stays sorted.
func (m *Machine) addPlacedTask(task PlacedTask) {
	m.Tasks++
	i := sort.Search(len(m.PlacedTasks), func(i int) bool { return m.PlacedTasks[i].EndS > task.EndS })
	m.PlacedTasks = slices.Insert(m.PlacedTasks, i, task)
}

// addImage records an image whose fetch ends at the given time.
func (m *Machine) addImage(image string, readyAt float64) {
	if m.Images == nil {
		m.Images = map[string]float64{}
	}
	m.Images[image] = readyAt
}

// PendingJob is a job with ready tasks, all with the same request. An aged job is
// passed to Run as two PendingJobs: one with AgedS set and a few of the ready tasks,
// the other with the rest. The two share TasksByZone.
type PendingJob struct {
	JobID string
	Team  string
	// PriorityRank is the job's priority, 0 being the highest.
	PriorityRank int
	// WithinGuarantee: the job's tasks fit into its team's guaranteed quota.
	WithinGuarantee bool
	// AgedS is the time in seconds that an aged job has waited since its last start,
	// or zero if the job doesn't count as aged. A job is aged once it has waited for
	// tuning.AgingThreshold. Aged jobs precede all others, whatever their priority,
	// and the longest waiting one comes first. If they were ordered by priority, jobs
	// of the lowest priority would starve again once many jobs have aged.
	AgedS float64
	// Urgency orders jobs of one priority. The most urgent job has the lowest value:
	// it is about the time in seconds that may pass before the job is late. Values
	// are rounded down to multiples of tuning.UrgencyResolutionS; if the rounded values
	// are equal, the speedup decides.
	Urgency           float64
	ReadyTasks        int       // number of tasks to be placed
	Request           Resources // of one task
	EstimatedRunTimeS float64   // of one task, without the image fetch
	Image             string
	ImageGB           float64
	// MachineTypes lists the allowed types; empty allows all.
	MachineTypes []string
	// Zone is the only allowed zone; empty allows all.
	Zone string
	// OneZone: all tasks must run in the same zone.
	OneZone bool
	// SpreadZones: at most half of the tasks, rounded up, may run in one zone.
	SpreadZones bool
	// AllowsSpot: the job's tasks may run on spot machines.
	AllowsSpot bool
	// TotalTasks is the number of tasks of the job, for SpreadZones.
	TotalTasks int
	// TasksByZone counts the job's tasks that may be running, by zone.
	TasksByZone map[string]int

	// candidates is a heap with the best machine at the top. It is valid once scored
	// is set.
	candidates []candidate
	scored     bool
	// unplaceable: no further task of the job can be placed in this pass.
	// startAgedJobs resets it for the main part of the pass.
	unplaceable bool
}

// Team contains the resources that a team's tasks use, and the limit of this usage.
type Team struct {
	Used, Limit Resources
}

// Assignment is the decision to start one task of the job on the machine now.
type Assignment struct {
	JobID     string
	MachineID string
}
