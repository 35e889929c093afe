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
	// expectedFree contains the free capacity that each schedulable machine will have after the
	// attempts that are stopping or about to end have ended.
	expectedFree map[*machines.Machine]placement.Resources
	// hosts contains each schedulable machine with the number of tasks that it will have then.
	hosts map[*machines.Machine]*placement.Host
	// teamFreedCPUs contains, by team, the CPUs that these attempts free when they end, minus the
	// CPUs that the pass has allocated to waiting tasks.
	teamFreedCPUs map[string]float64
	// candidates contains the attempts that may be stopped on each machine, in ascending order
	// of cost.
	candidates  map[*machines.Machine][]candidate
	stopCount   int // number of attempts whose stop this pass has requested
	searchCount int // number of waiting tasks for which this pass has tried to make capacity
}

// newPass returns a pass that has collected the candidates on all schedulable machines.
func newPass(now time.Time, cluster *Cluster) *pass {
	p := &pass{
		Cluster:       cluster,
		now:           now,
		expectedFree:  map[*machines.Machine]placement.Resources{},
		hosts:         map[*machines.Machine]*placement.Host{},
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

// addMachine records the expected free capacity of a machine and the candidates on it.
func (p *pass) addMachine(m *machines.Machine) {
	p.expectedFree[m] = m.Free()
	host := m.Host()
	p.hosts[m] = &host
	for _, a := range m.Attempts() {
		switch {
		case a.IsStopping(), a.State() == machines.Saving, p.endsSoon(a):
			p.adjustExpectedFree(a, 1)
		case a.PlacedWhileAged() && p.now.Sub(a.CreatedAt()) < tuning.AgedMinRunTime:
			// An attempt that was placed because its job had aged runs for a minimum time.
			// Otherwise every pass could stop it right after its start, and its job would never
			// make progress.
		case a.State() == machines.Running && a.Job.CheckpointIntervalS > 0:
			p.addCandidate(a)
		}
	}
	candidates := p.candidates[m]
	sort.SliceStable(candidates, func(i, k int) bool { return candidates[i].costS < candidates[k].costS })
}

// endsSoon reports whether an attempt is about to end according to its estimate. It is false if the
// attempt has exceeded its estimate, as the attempt may then run for much longer.
func (p *pass) endsSoon(a *machines.Attempt) bool {
	remainingS := p.RemainingS(p.now, a)
	return a.State() == machines.Running && remainingS > 0 && remainingS < tuning.PreemptExitWait.Seconds()
}

// addCandidate makes an attempt a candidate unless a stop would lose more progress than
// tuning.PreemptMaxLostProgress.
func (p *pass) addCandidate(a *machines.Attempt) {
	costS := a.UnsavedProgressS(p.now)
	if costS > tuning.PreemptMaxLostProgress.Seconds() {
		return
	}
	if a.Job.ReadyTasks() == 0 {
		// No other task of the job is waiting, so the stop probably delays the end of the job.
		costS += tuning.PreemptDelayCost.Seconds()
	}
	p.candidates[a.Machine] = append(p.candidates[a.Machine], candidate{a, costS})
}

// adjustExpectedFree adds the resources of an attempt that is about to end to the expected free
// capacity of its machine and its team. With sign -1 it subtracts them again.
func (p *pass) adjustExpectedFree(a *machines.Attempt, sign int) {
	p.expectedFree[a.Machine] = p.expectedFree[a.Machine].Add(a.Job.Request(), float64(sign))
	p.hosts[a.Machine].Tasks -= sign
	p.teamFreedCPUs[a.Job.Team] += a.Job.CPUs * float64(sign)
}

// requestStop requests the stop of a candidate and adds its resources to the expected free capacity.
func (p *pass) requestStop(c candidate) {
	c.RequestStop()
	p.adjustExpectedFree(c.Attempt, 1)
	p.stopCount++
	p.OnStopRequested(c.Machine)
}

// revertStops cancels stops that this pass has requested.
func (p *pass) revertStops(stopped []candidate) {
	for _, c := range stopped {
		c.RevertStop()
		p.adjustExpectedFree(c.Attempt, -1)
		p.stopCount--
	}
}

// makeCapacityForJob makes capacity for the waiting tasks of a job one by one. It ends at the first
// task for which that is impossible, or at a limit of the pass.
func (p *pass) makeCapacityForJob(pending *placement.PendingJob, j *jobs.Job) {
	teamFreeCPUs, known := p.TeamFreeCPUs(pending.Team)
	if !known {
		return
	}
	for range j.ReadyTasks() {
		p.searchCount++
		if p.stopCount >= tuning.PreemptMaxStops || p.searchCount > tuning.PreemptMaxSearches || !p.makeCapacityForTask(pending, teamFreeCPUs) {
			return
		}
	}
}

// makeCapacityForTask requests stops of attempts so that one more task of the job can start. It first
// stops attempts of the job's team until the team's limit allows the task. Then it stops attempts on
// the machine where this costs the least, until the task fits. If the task fits on no machine even
// then, it reverts all stops and returns false.
func (p *pass) makeCapacityForTask(pending *placement.PendingJob, teamFreeCPUs float64) bool {
	stopped, ok := p.stopWithinTeam(pending, teamFreeCPUs)
	if !ok {
		return false
	}
	best, chosen := p.cheapestMachine(pending)
	if best == nil {
		// The task fits on no machine even after the stops within its team. If every pass made
		// these stops, the team's other tasks would never end.
		p.revertStops(stopped)
		return false
	}
	for _, c := range chosen {
		p.requestStop(c)
	}
	if len(chosen) > 0 {
		best.Reserve(p.now, pending.PriorityRank)
	}
	p.expectedFree[best] = p.expectedFree[best].Add(pending.Request, -1)
	p.hosts[best].Tasks++
	p.teamFreedCPUs[pending.Team] -= pending.Request.CPUs
	return true
}

// stopWithinTeam requests stops of attempts of the job's team until another task of the job is
// within the team's limit. It returns the stopped attempts. If stopping all candidates of the team
// isn't enough, it reverts the stops and returns false. Otherwise every pass would stop smaller
// tasks of the team, which would never end, and the larger task would still not start.
func (p *pass) stopWithinTeam(pending *placement.PendingJob, teamFreeCPUs float64) ([]candidate, bool) {
	var stopped []candidate
	for teamFreeCPUs+p.teamFreedCPUs[pending.Team] < pending.Request.CPUs {
		c, ok := p.cheapestCandidateOfTeam(pending)
		if !ok {
			p.revertStops(stopped)
			return nil, false
		}
		p.requestStop(c)
		stopped = append(stopped, c)
	}
	return stopped, true
}

// cheapestCandidateOfTeam returns the candidate with the least cost among the attempts of the job's
// team that have a lower priority than the job, and false if there is none.
func (p *pass) cheapestCandidateOfTeam(pending *placement.PendingJob) (candidate, bool) {
	var best candidate
	found := false
	for _, m := range p.Machines.All() {
		for _, c := range p.candidates[m] {
			if c.Job.Team == pending.Team && c.Job.PriorityRank() > pending.PriorityRank && !c.IsStopping() && (!found || c.costS < best.costS) {
				best, found = c, true
			}
		}
	}
	return best, found
}

// fetchTimeS returns the time in seconds that a machine needs to fetch the job's image.
func (p *pass) fetchTimeS(m *machines.Machine, pending *placement.PendingJob) float64 {
	if m.HasImage(pending.Image) {
		return 0
	}
	return placement.FetchTimeS(pending.ImageGB, p.FetchGBPerS(m.Type))
}

// cheapestMachine returns the machine on which the stops for one more task cost the least, and the
// attempts to stop there. If the task fits into the expected free capacity of a machine, it returns
// that machine and no attempts. It returns nil if the task fits on no machine.
func (p *pass) cheapestMachine(pending *placement.PendingJob) (best *machines.Machine, toStop []candidate) {
	leastCost := math.Inf(1)
	for _, m := range p.Machines.All() {
		free, ok := p.expectedFree[m]
		if !ok || !pending.CanRunOn(p.hosts[m]) {
			continue
		}
		if free.Fits(pending.Request) {
			return m, nil
		}
		if chosen, cost := p.cheapestStops(m, pending, free); chosen != nil && cost < leastCost {
			best, toStop, leastCost = m, chosen, cost
		}
	}
	return best, toStop
}

// cheapestStops returns the attempts to stop on a machine so that a task of the job fits, given the
// free capacity, and the cost of the stops in CPU seconds. It chooses candidates in ascending order
// of cost until the task fits. It returns nil if the task doesn't fit even after all possible stops.
func (p *pass) cheapestStops(m *machines.Machine, pending *placement.PendingJob, free placement.Resources) (chosen []candidate, cost float64) {
	// The cost includes the image fetch, if one is needed: the task can start only after it.
	cost = p.fetchTimeS(m, pending) * pending.Request.CPUs * tuning.PreemptFetchWeight
	for _, c := range p.candidates[m] {
		if c.IsStopping() || c.Job.PriorityRank() <= pending.PriorityRank {
			continue
		}
		chosen = append(chosen, c)
		cost += c.costS * c.Job.CPUs
		if free = free.Add(c.Job.Request(), 1); free.Fits(pending.Request) {
			return chosen, cost
		}
	}
	return nil, 0
}
