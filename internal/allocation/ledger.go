// Package allocation tracks which resources of machines and of teams' quotas the attempts use, and
// how many machines in each zone may have tasks of a job. It reads no clock and does no I/O.
package allocation

import (
	"math"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/wire"
)

// Ledger holds the quotas of the teams and their usage. An attempt uses resources from when its task
// may be on the machine until the task is known to have left the machine.
type Ledger struct {
	teams map[string]*teamUsage
}

// teamUsage is the quota of a team and its usage.
type teamUsage struct {
	quota config.Team
	used  placement.Resources // of all attempts
}

// NewLedger returns a ledger with the given teams and without attempts.
func NewLedger(teams []config.Team) *Ledger {
	l := &Ledger{teams: map[string]*teamUsage{}}
	for _, t := range teams {
		l.teams[t.Name] = &teamUsage{quota: resolveLimits(t)}
	}
	return l
}

// resolveLimits returns a team whose limits are infinite if the settings contain none.
func resolveLimits(t config.Team) config.Team {
	if t.CPUsMax == 0 && t.GPUsMax == 0 {
		// Limits of 0 stand for a team without limits, such as guests without a guarantee,
		// rather than for a team that may use nothing.
		t.CPUsMax, t.GPUsMax = math.Inf(1), math.Inf(1)
	}
	return t
}

// Allocate adds an attempt, whose task may be on the attempt's machine from now on.
func (l *Ledger) Allocate(a *machines.Attempt) {
	a.Machine.AddAttempt(a)
	if t := l.teams[a.Job.Team]; t != nil {
		t.used = t.used.Add(a.Job.Request(), 1)
	}
	a.Job.Allocate(a.Index, a.Machine.Zone)
}

// Release removes an attempt whose task is known to have left the attempt's machine. It reports
// whether this was the last machine that may have the task.
func (l *Ledger) Release(now time.Time, a *machines.Attempt) (last bool) {
	a.Machine.RemoveAttempt(now, a)
	if t := l.teams[a.Job.Team]; t != nil {
		t.used = t.used.Add(a.Job.Request(), -1)
	}
	if a.State().HasImage() {
		a.Job.RemoveRunningAttempt()
	}
	return a.Job.Release(a.Index, a.Machine.Zone)
}

// UsedCPUs returns the number of CPUs that a team uses, 0 for a team without settings.
func (l *Ledger) UsedCPUs(team string) float64 {
	t := l.teams[team]
	if t == nil {
		return 0
	}
	return t.used.CPUs
}

// FreeCPUs returns how many more CPUs a team may use. known is false for a team without settings.
func (l *Ledger) FreeCPUs(team string) (cpus float64, known bool) {
	t := l.teams[team]
	if t == nil {
		return 0, false
	}
	return t.quota.CPUsMax - t.used.CPUs, true
}

// FreeCPUsByTeam returns how many more CPUs each team may use. The caller may modify the map.
func (l *Ledger) FreeCPUsByTeam() map[string]float64 {
	free := make(map[string]float64, len(l.teams))
	for name, t := range l.teams {
		free[name] = t.quota.CPUsMax - t.used.CPUs
	}
	return free
}

// PlacementTeams returns the usage and the limit of each team at the start of a scheduling pass. The
// result is a copy, to which the pass can add its own placements.
func (l *Ledger) PlacementTeams() map[string]*placement.Team {
	teams := make(map[string]*placement.Team, len(l.teams))
	for name, t := range l.teams {
		limit := placement.Resources{CPUs: t.quota.CPUsMax, GPUs: t.quota.GPUsMax, MemoryGB: math.Inf(1)}
		teams[name] = &placement.Team{Used: t.used, Limit: limit}
	}
	return teams
}

// JobsWithinGuarantee returns the jobs of a list that fit into the guarantee of their team. A job
// fits if the remaining tasks of it and of the team's preceding jobs in the list need no more than
// the guarantee. The list has to be sorted by age, oldest first.
func (l *Ledger) JobsWithinGuarantee(list []*jobs.Job) map[*jobs.Job]bool {
	neededByTeam := map[string]placement.Resources{}
	fits := map[*jobs.Job]bool{}
	for _, j := range list {
		t := l.teams[j.Team]
		if t == nil {
			continue
		}
		task := placement.Resources{CPUs: j.CPUs, GPUs: j.GPUs}
		needed := neededByTeam[j.Team].Add(task, float64(j.RemainingTasks()))
		neededByTeam[j.Team] = needed
		guarantee := placement.Resources{CPUs: t.quota.CPUs, GPUs: t.quota.GPUs}
		if guarantee.Fits(needed) {
			fits[j] = true
		}
	}
	return fits
}

// QuotaViolation returns why no task of a job can ever run within the quota of the job's team, or ""
// if one can.
func (l *Ledger) QuotaViolation(spec *wire.Job) string {
	t := l.teams[spec.Team]
	if t == nil {
		return unknownTeam
	}
	return quotaViolation(&t.quota, spec)
}

const unknownTeam = "unknown team"

func quotaViolation(quota *config.Team, spec *wire.Job) string {
	limit := placement.Resources{CPUs: quota.CPUsMax, GPUs: quota.GPUsMax}
	if !limit.Fits(placement.Resources{CPUs: spec.CPUs, GPUs: spec.GPUs}) {
		return "a task needs more than the team's limit"
	}
	return ""
}

// QuotaViolation returns the same as Ledger.QuotaViolation, for callers without a ledger.
func QuotaViolation(teams []config.Team, spec *wire.Job) string {
	for _, t := range teams {
		if t.Name == spec.Team {
			quota := resolveLimits(t)
			return quotaViolation(&quota, spec)
		}
	}
	return unknownTeam
}
