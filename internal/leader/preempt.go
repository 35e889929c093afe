package leader

import (
	"math"
	"sort"
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
)

// preemptionCandidate is a running task that could make room.
type preemptionCandidate struct {
	*machines.Attempt
	lostS float64 // progress lost, and what its job loses by the wait
}

// unsavedProgress is the progress in seconds that stopping an attempt which saves
// checkpoints throws away: all since the last one.
func unsavedProgress(now time.Time, a *machines.Attempt) float64 {
	return math.Mod(now.Sub(a.RunningAt).Seconds(), a.Job.CheckpointIntervalS)
}

// endsSoon reports whether an attempt is about to end by its estimate. One
// that is over its estimate may go on for long: waiting for it is no plan.
func (l *Leader) endsSoon(now time.Time, a *machines.Attempt) bool {
	left := l.remaining(now, a)
	return a.State == machines.Running && left > 0 && left < tuning.PreemptExitWait.Seconds()
}

// preempt makes room for tasks that found none: it stops tasks of a lower
// priority that lose little by it.
func (l *Leader) preempt(now time.Time, ready []*placement.PendingJob, byID map[string]*jobs.Job) {
	waiting := waitingByLevel(ready, byID)
	lowest := l.lowestStoppable()
	if len(waiting) == 0 || waiting[0].PriorityRank >= lowest {
		return
	}
	p := l.newPreemption(now)
	for _, r := range waiting {
		if r.PriorityRank >= lowest {
			break
		}
		p.makeRoomForJob(r, byID[r.Job])
	}
	if p.stops > 0 {
		l.log.Debug().Int("tasks", p.stops).Msg("tasks preempted")
	}
}

// waitingByLevel are the jobs with tasks that found no room, highest priority first.
func waitingByLevel(ready []*placement.PendingJob, byID map[string]*jobs.Job) []*placement.PendingJob {
	var waiting []*placement.PendingJob
	for _, r := range ready {
		if j := byID[r.Job]; len(j.Ready) > 0 && j.Failures == 0 {
			waiting = append(waiting, r)
		}
	}
	sort.SliceStable(waiting, func(i, k int) bool { return waiting[i].PriorityRank < waiting[k].PriorityRank })
	return waiting
}

// lowestStoppable is the lowest priority of the running jobs that save checkpoints.
func (l *Leader) lowestStoppable() int {
	lowest := 0
	for j := range l.live {
		if j.Running > 0 && j.CheckpointIntervalS > 0 {
			lowest = max(lowest, j.PriorityRank)
		}
	}
	return lowest
}

// preemption is one look for room that stopping tasks could make.
type preemption struct {
	*Leader
	now time.Time
	// expectedFree is the room of each machine once stopping and soon-ending tasks have left.
	expectedFree map[*machines.Machine]placement.Resources
	// expectedFreeCPUs are the CPUs of these tasks, by team.
	expectedFreeCPUs map[string]float64
	// candidates are the tasks that may be stopped, those that lose least first.
	candidates map[*machines.Machine][]preemptionCandidate
	stops      int
	looks      int
}

func (l *Leader) newPreemption(now time.Time) *preemption {
	p := &preemption{
		Leader: l, now: now,
		expectedFree: map[*machines.Machine]placement.Resources{}, expectedFreeCPUs: map[string]float64{}, candidates: map[*machines.Machine][]preemptionCandidate{},
	}
	for _, m := range l.machines.All() {
		if l.acceptsWork(now, m) {
			p.addMachine(m)
		}
	}
	return p
}

func (p *preemption) addMachine(m *machines.Machine) {
	p.expectedFree[m] = m.Free
	for _, a := range m.Attempts {
		switch {
		case a.Stopping, a.State == machines.Saving, p.endsSoon(p.now, a):
			p.leave(a, 1)
		case a.AfterLongWait && p.now.Sub(a.OrderedAt) < tuning.AgedMinRunTime:
			// Stopped at once, pass after pass, its job would never have begun.
		case a.State == machines.Running && a.Job.CheckpointIntervalS > 0:
			p.addCandidate(a)
		}
	}
	list := p.candidates[m]
	sort.SliceStable(list, func(i, k int) bool { return list[i].lostS < list[k].lostS })
}

func (p *preemption) addCandidate(a *machines.Attempt) {
	loss := unsavedProgress(p.now, a)
	if loss > tuning.PreemptMaxLoss.Seconds() {
		return
	}
	if len(a.Job.Ready) == 0 {
		// Others of its job don't wait: the job would end later.
		loss += tuning.PreemptDelayCost.Seconds()
	}
	p.candidates[a.Machine] = append(p.candidates[a.Machine], preemptionCandidate{a, loss})
}

// leave counts an attempt as about to leave its machine, or, with -1, no more.
func (p *preemption) leave(a *machines.Attempt, sign float64) {
	p.expectedFree[a.Machine] = p.expectedFree[a.Machine].Add(a.Job.Request, sign)
	p.expectedFreeCPUs[a.Job.Team] += a.Job.CPUs * sign
}

func (p *preemption) stop(v preemptionCandidate) {
	v.Stopping, v.GracePeriodS = true, 0
	p.leave(v.Attempt, 1)
	p.stops++
	p.scheduleCall(v.Machine)
}

func (p *preemption) undoStops(victims []preemptionCandidate) {
	for _, v := range victims {
		v.Stopping = false
		p.leave(v.Attempt, -1)
		p.stops--
	}
}

// makeRoomForJob stops tasks for as many waiting tasks of the job as it finds room for.
func (p *preemption) makeRoomForJob(r *placement.PendingJob, j *jobs.Job) {
	t := p.teams[j.Team]
	if t == nil {
		return
	}
	for range j.Ready {
		p.looks++
		if p.stops >= tuning.PreemptMaxStops || p.looks > tuning.PreemptMaxSearches || !p.makeRoomForOne(r, j, t) {
			return
		}
	}
}

// makeRoomForOne is false if there is no room to be made for a task of the job.
func (p *preemption) makeRoomForOne(r *placement.PendingJob, j *jobs.Job, t *team) bool {
	own, ok := p.makeRoomWithinLimit(r, j, t)
	if !ok {
		return false
	}
	best, victims := p.cheapestMachine(r)
	if best == nil {
		// No machine would have it even then: stopping for nothing, pass
		// after pass, would keep the team's other work from ever ending.
		p.undoStops(own)
		return false
	}
	for _, v := range victims {
		p.stop(v)
	}
	if len(victims) > 0 {
		best.Reserve(p.now, r.PriorityRank)
	}
	p.expectedFree[best] = p.expectedFree[best].Add(j.Request, -1)
	p.expectedFreeCPUs[j.Team] -= j.CPUs
	return true
}

// makeRoomWithinLimit stops tasks of the job's own team, as only they can make way where
// the team is at its limit, until another task of the job fits: all that it takes or none.
// One that is too small, stopped pass after pass, would never end, and the larger one
// would not begin either.
func (p *preemption) makeRoomWithinLimit(r *placement.PendingJob, j *jobs.Job, t *team) ([]preemptionCandidate, bool) {
	var own []preemptionCandidate
	for t.CPUsMax-t.used.CPUs+p.expectedFreeCPUs[j.Team] < j.CPUs {
		v, ok := p.cheapestOfTeam(r)
		if !ok {
			p.undoStops(own)
			return nil, false
		}
		p.stop(v)
		own = append(own, v)
	}
	return own, true
}

// cheapestOfTeam finds the task of the job's own team that loses least.
func (p *preemption) cheapestOfTeam(r *placement.PendingJob) (preemptionCandidate, bool) {
	var best preemptionCandidate
	found := false
	for _, m := range p.machines.All() {
		for _, v := range p.candidates[m] {
			if v.Job.Team == r.Team && v.Job.PriorityRank > r.PriorityRank && !v.Stopping && (!found || v.lostS < best.lostS) {
				best, found = v, true
			}
		}
	}
	return best, found
}

// fetchTime is T(f) of the job's image on the machine.
func (l *Leader) fetchTime(m *machines.Machine, r *placement.PendingJob) float64 {
	if _, cached := m.Images[r.Image]; cached {
		return 0
	}
	return placement.FetchTime(r.ImageGB, l.types[m.Type].FetchGBPerS)
}

// cheapestMachine finds the machine that can make room for one task at the least
// loss, and whom to stop there; no one, if room is coming anyway.
func (p *preemption) cheapestMachine(r *placement.PendingJob) (*machines.Machine, []preemptionCandidate) {
	var best *machines.Machine
	var victims []preemptionCandidate
	least := math.Inf(1)
	for _, m := range p.machines.All() {
		room, ok := p.expectedFree[m]
		if !ok || m.AvoidedJobs[r.Job] || !r.Allowed(m.PlacementView()) {
			continue
		}
		if room.Fits(r.Request) {
			return m, nil
		}
		// A start on a machine without the image is late all the same.
		var chosen []preemptionCandidate
		sum := p.fetchTime(m, r) * r.Request.CPUs * tuning.PreemptFetchWeight
		for _, v := range p.candidates[m] {
			if v.Stopping || v.Job.PriorityRank <= r.PriorityRank {
				continue
			}
			chosen = append(chosen, v)
			sum += v.lostS * v.Job.CPUs
			if room = room.Add(v.Job.Request, 1); room.Fits(r.Request) {
				if sum < least {
					best, victims, least = m, chosen, sum
				}
				break
			}
		}
	}
	return best, victims
}
