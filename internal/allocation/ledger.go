// Package allocation accounts for the resources of attempts against the machines' capacity and
// the teams' quotas, and counts them by zone. It reads no clock and does no I/O.
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

// Ledger owns the quotas of the teams and their usage. An attempt counts from when its task may
// be on the machine until the task is known to have left it.
type Ledger struct {
	teams map[string]*teamUsage
}

// teamUsage is a team's quota and what all its tasks that may be on a machine use.
type teamUsage struct {
	quota config.Team
	used  placement.Resources
}

// NewLedger returns a ledger without usage.
func NewLedger(teams []config.Team) *Ledger {
	l := &Ledger{teams: map[string]*teamUsage{}}
	for _, t := range teams {
		l.teams[t.Name] = &teamUsage{quota: resolveLimits(t)}
	}
	return l
}

// resolveLimits returns a team with the limits that its settings imply.
func resolveLimits(t config.Team) config.Team {
	if t.CPUsMax == 0 && t.GPUsMax == 0 {
		// Limits of 0 mean that the team has no limit, as a guest without a guarantee,
		// not that it may use nothing.
		t.CPUsMax, t.GPUsMax = math.Inf(1), math.Inf(1)
	}
	return t
}

// Allocate counts an attempt whose task may be on its machine from now on.
func (l *Ledger) Allocate(a *machines.Attempt) {
	a.Machine.AddAttempt(a)
	if t := l.teams[a.Job.Team]; t != nil {
		t.used = t.used.Add(a.Job.Request(), 1)
	}
	a.Job.Allocate(a.Index, a.Machine.Zone)
}

// Release removes an attempt whose task is known to have left its machine. It reports whether
// no other machine may have the task.
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

// UsedCPUs returns the CPUs that a team uses.
func (l *Ledger) UsedCPUs(team string) float64 {
	t := l.teams[team]
	if t == nil {
		return 0
	}
	return t.used.CPUs
}

// FreeCPUs returns the CPUs that a team may use beyond those that it uses; known is false for
// teams that are not in the settings.
func (l *Ledger) FreeCPUs(team string) (cpus float64, known bool) {
	t := l.teams[team]
	if t == nil {
		return 0, false
	}
	return t.quota.CPUsMax - t.used.CPUs, true
}

// FreeCPUsByTeam returns the free CPUs of all teams. The caller may modify the map.
func (l *Ledger) FreeCPUsByTeam() map[string]float64 {
	free := make(map[string]float64, len(l.teams))
	for name, t := range l.teams {
		free[name] = t.quota.CPUsMax - t.used.CPUs
	}
	return free
}

// PlacementTeams returns the usage and the limit of each team for one scheduling pass.
func (l *Ledger) PlacementTeams() map[string]*placement.Team {
	teams := make(map[string]*placement.Team, len(l.teams))
	for name, t := range l.teams {
		limit := placement.Resources{CPUs: t.quota.CPUsMax, GPUs: t.quota.GPUsMax, MemoryGB: math.Inf(1)}
		teams[name] = &placement.Team{Used: t.used, Limit: limit}
	}
	return teams
}

// JobsWithinGuarantee returns the jobs of the list, which is sorted oldest first, that fit into
// their team's guarantee together with the team's earlier ones.
func (l *Ledger) JobsWithinGuarantee(list []*jobs.Job) map[*jobs.Job]bool {
	used := map[string]placement.Resources{}
	fits := map[*jobs.Job]bool{}
	for _, j := range list {
		t := l.teams[j.Team]
		if t == nil {
			continue
		}
		task := placement.Resources{CPUs: j.CPUs, GPUs: j.GPUs}
		sum := used[j.Team].Add(task, float64(j.RemainingTasks()))
		used[j.Team] = sum
		guarantee := placement.Resources{CPUs: t.quota.CPUs, GPUs: t.quota.GPUs}
		if guarantee.Fits(sum) {
			fits[j] = true
		}
	}
	return fits
}

// QuotaViolation returns why a job can never run within the quota of its team, or "" if it can.
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

// QuotaViolation returns why a job can never run within the given quotas, or "" if it can.
func QuotaViolation(teams []config.Team, spec *wire.Job) string {
	for _, t := range teams {
		if t.Name == spec.Team {
			quota := resolveLimits(t)
			return quotaViolation(&quota, spec)
		}
	}
	return unknownTeam
}
