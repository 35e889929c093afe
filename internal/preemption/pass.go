package preemption

import (
	"math"
	"sort"
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
)

// pass holds the state of one run of the preemptor.
type pass struct {
	*Cluster
	now time.Time
	// expectedFree contains, for each schedulable machine, its free capacity after the end of
	// the attempts that are stopping or about to end.
	expectedFree map[*machines.Machine]placement.Resources
	// teamFreedCPUs contains the CPUs that these attempts free, by team.
	teamFreedCPUs map[string]float64
	// candidates contains the attempts that may be stopped on each machine, in ascending order
	// of loss.
	candidates  map[*machines.Machine][]candidate
	stopCount   int // attempts marked to be stopped
	searchCount int // waiting tasks for which machines were searched
}

func newPass(now time.Time, cluster *Cluster) *pass {
	p := &pass{
		Cluster:       cluster,
		now:           now,
		expectedFree:  map[*machines.Machine]placement.Resources{},
		teamFreedCPUs: map[string]float64{},
		candidates:    map[*machines.Machine][]candidate{},
	}
	for _, m := range p.Machines.All() {
		if p.IsSchedulable(now, m) {
			p.addMachine(m)
		}
	}
	return p
}

// addMachine records the expected free capacity of a machine and its candidates.
func (p *pass) addMachine(m *machines.Machine) {
	p.expectedFree[m] = m.Free()
	for _, a := range m.Attempts() {
		switch {
		case a.IsStopping(), a.State() == machines.Saving, p.endsSoon(a):
			p.adjustExpectedFree(a, 1)
		case a.PlacedWhileAged() && p.now.Sub(a.CreatedAt()) < tuning.AgedMinRunTime:
			// Such an attempt runs for a minimum time. Otherwise every pass could stop it right
			// after its start, and its job would never make progress.
		case a.State() == machines.Running && a.Job.CheckpointIntervalS > 0:
			p.addCandidate(a)
		}
	}
	list := p.candidates[m]
	sort.SliceStable(list, func(i, k int) bool { return list[i].costS < list[k].costS })
}

// endsSoon reports whether an attempt is about to end according to its estimate. It is false for
// an attempt that has exceeded its estimate, which may run for a long time yet.
func (p *pass) endsSoon(a *machines.Attempt) bool {
	remainingS := p.RemainingS(p.now, a)
	return a.State() == machines.Running && remainingS > 0 && remainingS < tuning.PreemptExitWait.Seconds()
}

// addCandidate makes an attempt a candidate unless it would lose more progress than
// tuning.PreemptMaxLoss.
func (p *pass) addCandidate(a *machines.Attempt) {
	costS := a.UnsavedProgressS(p.now)
	if costS > tuning.PreemptMaxLostProgress.Seconds() {
		return
	}
	if a.Job.ReadyTasks() == 0 {
		// No other task of the job is waiting, so that the stop would delay the job's end.
		costS += tuning.PreemptDelayCost.Seconds()
	}
	p.candidates[a.Machine] = append(p.candidates[a.Machine], candidate{a, costS})
}

// adjustExpectedFree adds the resources of an attempt that is about to end to the expected free capacity;
// with sign -1 it subtracts them again.
func (p *pass) adjustExpectedFree(a *machines.Attempt, sign float64) {
	p.expectedFree[a.Machine] = p.expectedFree[a.Machine].Add(a.Job.Request(), sign)
	p.teamFreedCPUs[a.Job.Team] += a.Job.CPUs * sign
}

func (p *pass) requestStop(c candidate) {
	c.RequestStop()
	p.adjustExpectedFree(c.Attempt, 1)
	p.stopCount++
	p.OnStopRequested(c.Machine)
}

// revertStops reverts stops that this pass has decided.
func (p *pass) revertStops(stopped []candidate) {
	for _, c := range stopped {
		c.RevertStop()
		p.adjustExpectedFree(c.Attempt, -1)
		p.stopCount--
	}
}

// makeCapacityForJob makes capacity for the waiting tasks of a job, one after the other, until it
// fails for one of them or reaches a limit of the pass.
func (p *pass) makeCapacityForJob(r *placement.PendingJob, j *jobs.Job) {
	teamFree, known := p.TeamFreeCPUs(r.Team)
	if !known {
		return
	}
	for range j.ReadyTasks() {
		p.searchCount++
		if p.stopCount >= tuning.PreemptMaxStops || p.searchCount > tuning.PreemptMaxSearches || !p.makeCapacityForTask(r, teamFree) {
			return
		}
	}
}

// makeCapacityForTask stops attempts so that one more task of the job can start. If that is
// impossible, it leaves no attempt stopped and returns false.
func (p *pass) makeCapacityForTask(r *placement.PendingJob, teamFree float64) bool {
	stopped, ok := p.stopWithinTeam(r, teamFree)
	if !ok {
		return false
	}
	best, chosen := p.cheapestMachine(r)
	if best == nil {
		// The task fits on no machine even after these stops. To repeat them in every pass
		// would keep the team's other work from ever ending.
		p.revertStops(stopped)
		return false
	}
	for _, c := range chosen {
		p.requestStop(c)
	}
	if len(chosen) > 0 {
		best.Reserve(p.now, r.PriorityRank)
	}
	p.expectedFree[best] = p.expectedFree[best].Add(r.Request, -1)
	p.teamFreedCPUs[r.Team] -= r.Request.CPUs
	return true
}

// stopWithinTeam stops attempts of the job's team until another task of the job is within the
// team's limit. If not enough of them can be stopped, it stops none and returns false: a partial
// stop, repeated in every pass, would keep smaller tasks from ending without letting the larger
// one start.
func (p *pass) stopWithinTeam(r *placement.PendingJob, teamFree float64) ([]candidate, bool) {
	var stopped []candidate
	for teamFree+p.teamFreedCPUs[r.Team] < r.Request.CPUs {
		c, ok := p.cheapestCandidateOfTeam(r)
		if !ok {
			p.revertStops(stopped)
			return nil, false
		}
		p.requestStop(c)
		stopped = append(stopped, c)
	}
	return stopped, true
}

// cheapestCandidateOfTeam finds the candidate with the least loss among the attempts of the job's team that
// have a lower priority than the job.
func (p *pass) cheapestCandidateOfTeam(r *placement.PendingJob) (candidate, bool) {
	var best candidate
	found := false
	for _, m := range p.Machines.All() {
		for _, c := range p.candidates[m] {
			if c.Job.Team == r.Team && c.Job.PriorityRank() > r.PriorityRank && !c.IsStopping() && (!found || c.costS < best.costS) {
				best, found = c, true
			}
		}
	}
	return best, found
}

// fetchTimeS returns the time in seconds that a machine needs to fetch the job's image.
func (p *pass) fetchTimeS(m *machines.Machine, r *placement.PendingJob) float64 {
	if m.HasImage(r.Image) {
		return 0
	}
	return placement.FetchTimeS(r.ImageGB, p.FetchGBPerS(m.Type))
}

// cheapestMachine finds the machine on which capacity for one task costs the least, and the
// attempts to stop there. If a task fits into the expected free capacity of a machine, it returns
// that machine and no attempts.
func (p *pass) cheapestMachine(r *placement.PendingJob) (best *machines.Machine, stops []candidate) {
	leastCost := math.Inf(1)
	for _, m := range p.Machines.All() {
		free, ok := p.expectedFree[m]
		if !ok || m.AvoidsJob(r.JobID) || !r.CanRunOn(m.PlacementView()) {
			continue
		}
		if free.Fits(r.Request) {
			return m, nil
		}
		if chosen, cost := p.cheapestStops(m, r, free); chosen != nil && cost < leastCost {
			best, stops, leastCost = m, chosen, cost
		}
	}
	return best, stops
}

// cheapestStops returns the attempts to stop on a machine, in ascending order of loss, so that a
// task fits in addition to the free capacity, and their cost in CPU seconds. It returns nil if the
// task does not fit even after all possible stops.
func (p *pass) cheapestStops(m *machines.Machine, r *placement.PendingJob, free placement.Resources) (chosen []candidate, cost float64) {
	// If the machine must fetch the image first, the task starts late despite the stops.
	cost = p.fetchTimeS(m, r) * r.Request.CPUs * tuning.PreemptFetchWeight
	for _, c := range p.candidates[m] {
		if c.IsStopping() || c.Job.PriorityRank() <= r.PriorityRank {
			continue
		}
		chosen = append(chosen, c)
		cost += c.costS * c.Job.CPUs
		if free = free.Add(c.Job.Request(), 1); free.Fits(r.Request) {
			return chosen, cost
		}
	}
	return nil, 0
}
