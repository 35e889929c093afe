package placement

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// Host holds the properties of a machine that decide which tasks may be placed on it, however much
// of its resources is free.
type Host struct {
	Type     string
	Zone     string
	Spot     bool
	Capacity Resources // in total
	// Tasks is the number of tasks that run on the machine, are being started there or are queued
	// there.
	Tasks int
	// ExcludedJobs holds, by ID, the jobs that may not be placed on the machine because their tasks
	// failed there, and when that ends. The owner of the map removes entries that have ended.
	ExcludedJobs map[string]time.Time
}

// CanRunOn reports whether another task of the job may be placed on the machine as soon as the
// machine has the free resources. Placement, scaling, preemption, consolidation and drains all ask
// it: a machine that one of them counted as capacity and another refused would leave the job waiting
// for good.
func (j *PendingJob) CanRunOn(h *Host) bool {
	return h.Tasks < tuning.MaxTasksPerMachine && !h.excludes(j.JobID) && j.allowsHost(h) && h.Capacity.Fits(j.Request)
}

// excludes reports whether tasks of the job have failed on the machine recently.
func (h *Host) excludes(jobID string) bool {
	_, excluded := h.ExcludedJobs[jobID]
	return excluded
}

// allowsHost reports whether the job's constraints allow another task on the machine, given the
// machine's type, zone and spot status.
func (j *PendingJob) allowsHost(h *Host) bool {
	if h.Spot && !j.AllowsSpot || j.Zone != "" && j.Zone != h.Zone {
		return false
	}
	if len(j.MachineTypes) > 0 && !slices.Contains(j.MachineTypes, h.Type) {
		return false
	}
	if j.OneZone && j.hasTasksOutside(h.Zone) {
		return false
	}
	return !j.SpreadZones || j.TasksByZone[h.Zone] < (j.TotalTasks+1)/2
}

// hasTasksOutside reports whether tasks of the job may be running in other zones.
func (j *PendingJob) hasTasksOutside(zone string) bool {
	for other, tasks := range j.TasksByZone {
		if tasks > 0 && other != zone {
			return true
		}
	}
	return false
}
