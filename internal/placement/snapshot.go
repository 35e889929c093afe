package placement

import (
	"slices"
	"sort"
)

// PlacedTask is a task that runs on, is being started on or is queued for a machine.
type PlacedTask struct {
	Request Resources
	// EndS is when the task is estimated to end, the image fetch included: in
	// seconds on the clock of the pass.
	EndS float64
}

// Machine is a schedulable machine as the pass sees it. Its times are points
// on the clock of the pass, so that a machine on which nothing has changed can
// be handed to the next pass as it is.
type Machine struct {
	ID          string
	Type        string
	Zone        string
	Spot        bool
	Capacity    Resources
	Free        Resources
	FetchGBPerS float64
	// Price orders machines with the same speedup: work gathers on the cheap
	// ones, so that expensive ones become idle and can be released.
	Price float64
	// PlacedTasks are in the order of their ends.
	PlacedTasks []PlacedTask
	// Images holds when each image's fetch ends; zero if it is cached.
	Images map[string]float64
	// AvoidedJobs names jobs whose tasks failed here.
	AvoidedJobs map[string]bool
	// HasReservation reserves the machine for jobs of ReservedRank or a higher priority.
	HasReservation bool
	ReservedRank   int
	// Modified is set by a pass that has changed the machine's state: it has
	// to be built anew before the next pass.
	Modified bool

	// queuedRank is the highest priority with a queued task or a reservation, or noRank.
	queuedRank int
	// version is raised by every change within a pass.
	version int
}

// noRank stands for no priority where a rank is expected; ranks begin at 0.
const noRank = -1

// addPlacedTask inserts a task in the order of the ends.
func (m *Machine) addPlacedTask(task PlacedTask) {
	i := sort.Search(len(m.PlacedTasks), func(i int) bool { return m.PlacedTasks[i].EndS > task.EndS })
	m.PlacedTasks = slices.Insert(m.PlacedTasks, i, task)
}

// addImage records an image whose fetch ends at the given time.
func (m *Machine) addImage(image string, at float64) {
	if m.Images == nil {
		m.Images = map[string]float64{}
	}
	m.Images[image] = at
}

// PendingJob is a job with ready tasks, which are alike.
type PendingJob struct {
	Job  string
	Team string
	// PriorityRank is the job's priority, 0 being the highest.
	PriorityRank int
	// WithinGuarantee: the job fits into its team's guaranteed quota.
	WithinGuarantee bool
	// AgedS is for how many seconds the job has waited without a start, or zero
	// if that is not long. Aged jobs go before all others, whatever their priority,
	// and among themselves in the order of their waits: an order by priority would
	// starve the lowest again once many have aged.
	AgedS float64
	// Urgency orders jobs of one priority, lower first, in steps within which
	// the speedup decides: the seconds that may pass before the job is late.
	Urgency    float64
	ReadyTasks int
	Request    Resources
	EstimateS  float64
	Image      string
	ImageGB    float64
	// MachineTypes lists the allowed types; empty allows all.
	MachineTypes []string
	// Zone is the only allowed zone; empty allows all.
	Zone string
	// OneZone requires all tasks to be in one zone.
	OneZone bool
	// SpreadZones allows at most half of the tasks, rounded up, in one zone.
	SpreadZones bool
	Spot        bool
	// TotalTasks is the number of tasks of the job, for SpreadZones.
	TotalTasks int
	// TasksInZone counts the job's tasks that may be on machines, by zone.
	TasksInZone map[string]int

	// candidates is a heap, the best machine first; it is valid once scored is set.
	candidates []candidate
	scored     bool
	// closed: the job gets no further place in this queue.
	closed bool
}

// CanRunOn reports whether a machine may run tasks of the job at all, whatever
// is free there: type, zone, spot, affinities and capacity.
func (j *PendingJob) CanRunOn(m *Machine) bool {
	if m.Spot && !j.Spot || j.Zone != "" && j.Zone != m.Zone {
		return false
	}
	if len(j.MachineTypes) > 0 && !slices.Contains(j.MachineTypes, m.Type) {
		return false
	}
	if j.OneZone && j.hasTasksOutside(m.Zone) {
		return false
	}
	if j.SpreadZones && j.TasksInZone[m.Zone] >= (j.TotalTasks+1)/2 {
		return false
	}
	return m.Capacity.Fits(j.Request)
}

// hasTasksOutside reports whether tasks of the job may be in other zones.
func (j *PendingJob) hasTasksOutside(zone string) bool {
	for other, tasks := range j.TasksInZone {
		if tasks > 0 && other != zone {
			return true
		}
	}
	return false
}

// Team is a team's use of its quota.
type Team struct {
	Used, Limit Resources
}

// Assignment is a decision: one task of the job starts on the machine now.
type Assignment struct {
	Job     string
	Machine string
}
