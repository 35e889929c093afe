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

// pass is one search for capacity that stopping attempts could make.
type pass struct {
	*Cluster
	now time.Time
	// expectedFree is the capacity, of each machine that takes work, once stopping and
	// soon-ending attempts have ended.
	expectedFree map[*machines.Machine]placement.Resources
	// expectedFreeCPUs are the CPUs of these attempts, by team.
	expectedFreeCPUs map[string]float64
	// candidates are the attempts that may be stopped, those that lose least first.
	candidates map[*machines.Machine][]candidate
	stops      int
	searches   int
}

func newPass(now time.Time, cluster *Cluster) *pass {
	p := &pass{
		Cluster:          cluster,
		now:              now,
		expectedFree:     map[*machines.Machine]placement.Resources{},
		expectedFreeCPUs: map[string]float64{},
		candidates:       map[*machines.Machine][]candidate{},
	}
	for _, m := range p.Machines.All() {
		if p.IsSchedulable(now, m) {
			p.addMachine(m)
		}
	}
	return p
}

func (p *pass) addMachine(m *machines.Machine) {
	p.expectedFree[m] = m.Free()
	for _, a := range m.Attempts() {
		switch {
		case a.IsStopping(), a.State() == machines.Saving, p.endsSoon(a):
			p.expectEnd(a, 1)
		case a.IsAfterLongWait() && p.now.Sub(a.OrderedAt()) < tuning.AgedMinRunTime:
			// Stopped at once, pass after pass, its job would never have begun.
		case a.State() == machines.Running && a.Job.CheckpointIntervalS > 0:
			p.addCandidate(a)
		}
	}
	list := p.candidates[m]
	sort.SliceStable(list, func(i, k int) bool { return list[i].lostS < list[k].lostS })
}

// endsSoon reports whether an attempt is about to end by its estimate. One
// that is over its estimate may go on for long: waiting for it is no plan.
func (p *pass) endsSoon(a *machines.Attempt) bool {
	left := p.RemainingS(p.now, a)
	return a.State() == machines.Running && left > 0 && left < tuning.PreemptExitWait.Seconds()
}

func (p *pass) addCandidate(a *machines.Attempt) {
	loss := a.UnsavedProgressS(p.now)
	if loss > tuning.PreemptMaxLoss.Seconds() {
		return
	}
	if a.Job.ReadyTasks() == 0 {
		// Others of its job don't wait: the job would end later.
		loss += tuning.PreemptDelayCost.Seconds()
	}
	p.candidates[a.Machine] = append(p.candidates[a.Machine], candidate{a, loss})
}

// expectEnd counts an attempt as about to end, or, with -1, no more.
func (p *pass) expectEnd(a *machines.Attempt, sign float64) {
	p.expectedFree[a.Machine] = p.expectedFree[a.Machine].Add(a.Job.Request(), sign)
	p.expectedFreeCPUs[a.Job.Team] += a.Job.CPUs * sign
}

func (p *pass) stop(c candidate) {
	c.StopNow()
	p.expectEnd(c.Attempt, 1)
	p.stops++
	p.OnStop(c.Machine)
}

func (p *pass) undoStops(stopped []candidate) {
	for _, c := range stopped {
		c.RevertStop()
		p.expectEnd(c.Attempt, -1)
		p.stops--
	}
}

// makeCapacityForJob stops attempts for as many waiting tasks of the job as it finds capacity
// for.
func (p *pass) makeCapacityForJob(r *placement.PendingJob, j *jobs.Job) {
	teamFree, known := p.TeamFreeCPUs(r.Team)
	if !known {
		return
	}
	for range j.ReadyTasks() {
		p.searches++
		if p.stops >= tuning.PreemptMaxStops || p.searches > tuning.PreemptMaxSearches || !p.makeCapacityForTask(r, teamFree) {
			return
		}
	}
}

// makeCapacityForTask is false if no capacity can be made for a task of the job.
func (p *pass) makeCapacityForTask(r *placement.PendingJob, teamFree float64) bool {
	own, ok := p.stopWithinLimit(r, teamFree)
	if !ok {
		return false
	}
	best, chosen := p.cheapestMachine(r)
	if best == nil {
		// No machine would have it even then: stopping for nothing, pass
		// after pass, would keep the team's other work from ever ending.
		p.undoStops(own)
		return false
	}
	for _, c := range chosen {
		p.stop(c)
	}
	if len(chosen) > 0 {
		best.Reserve(p.now, r.PriorityRank)
	}
	p.expectedFree[best] = p.expectedFree[best].Add(r.Request, -1)
	p.expectedFreeCPUs[r.Team] -= r.Request.CPUs
	return true
}

// stopWithinLimit stops attempts of the job's own team, as only they can make way where
// the team is at its limit, until another task of the job fits: all that it takes or none.
// One that is too small, stopped pass after pass, would never end, and the larger one
// would not begin either.
func (p *pass) stopWithinLimit(r *placement.PendingJob, teamFree float64) ([]candidate, bool) {
	var own []candidate
	for teamFree+p.expectedFreeCPUs[r.Team] < r.Request.CPUs {
		c, ok := p.cheapestOfTeam(r)
		if !ok {
			p.undoStops(own)
			return nil, false
		}
		p.stop(c)
		own = append(own, c)
	}
	return own, true
}

// cheapestOfTeam finds the attempt of the job's own team that loses least.
func (p *pass) cheapestOfTeam(r *placement.PendingJob) (candidate, bool) {
	var best candidate
	found := false
	for _, m := range p.Machines.All() {
		for _, c := range p.candidates[m] {
			if c.Job.Team == r.Team && c.Job.PriorityRank() > r.PriorityRank && !c.IsStopping() && (!found || c.lostS < best.lostS) {
				best, found = c, true
			}
		}
	}
	return best, found
}

// fetchTimeS is the time that a machine takes to fetch the job's image, in seconds.
func (p *pass) fetchTimeS(m *machines.Machine, r *placement.PendingJob) float64 {
	if m.HasImage(r.Image) {
		return 0
	}
	return placement.FetchTime(r.ImageGB, p.FetchGBPerS(m.Type))
}

// cheapestMachine finds the machine that can make capacity for one task at the least
// loss, and what to stop there; nothing, if capacity is coming anyway.
func (p *pass) cheapestMachine(r *placement.PendingJob) (best *machines.Machine, stops []candidate) {
	least := math.Inf(1)
	for _, m := range p.Machines.All() {
		free, ok := p.expectedFree[m]
		if !ok || m.Avoids(r.Job) || !r.Allowed(m.PlacementView()) {
			continue
		}
		if free.Fits(r.Request) {
			return m, nil
		}
		if chosen, loss := p.cheapestStops(m, r, free); chosen != nil && loss < least {
			best, stops, least = m, chosen, loss
		}
	}
	return best, stops
}

// cheapestStops are the attempts to be stopped on a machine with some free capacity until a
// task fits, nil if it never does, and the CPU seconds lost by it.
func (p *pass) cheapestStops(m *machines.Machine, r *placement.PendingJob, free placement.Resources) (chosen []candidate, loss float64) {
	// A start on a machine without the image is late all the same.
	loss = p.fetchTimeS(m, r) * r.Request.CPUs * tuning.PreemptFetchWeight
	for _, c := range p.candidates[m] {
		if c.IsStopping() || c.Job.PriorityRank() <= r.PriorityRank {
			continue
		}
		chosen = append(chosen, c)
		loss += c.lostS * c.Job.CPUs
		if free = free.Add(c.Job.Request(), 1); free.Fits(r.Request) {
			return chosen, loss
		}
	}
	return nil, 0
}
