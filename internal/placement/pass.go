package placement

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"

	"switchshore.example/switchshore/internal/tuning"
)

// PassStats counts the work of a pass.
type PassStats struct {
	// ScoredPairs is the number of scored pairs of job and machine. It includes the
	// checks of anyJobFitsNow: fitChecksPerScore of them count as one pair.
	ScoredPairs int
	// Truncated: the pass reached its limit of starts or scores before it had tried all jobs.
	Truncated bool
}

// pass is the state of one placement pass.
type pass struct {
	now      float64 // in seconds
	machines []*Machine
	// availableMachines are those on which the smallest request may fit, in the same
	// order as in machines. forEachAvailableMachine removes machines that have become
	// full.
	availableMachines []*Machine
	smallestRequest   Resources // the smallest amount of each resource that any job requests
	// machinesByImage caches the results of machinesWithImage. Machines that begin to
	// fetch the image later in the pass are not added.
	machinesByImage map[string][]*Machine
	teams           map[string]*Team // by name
	maxStarts       int              // maximum number of starts in this pass
	starts          []Assignment     // decided so far
	queuedTasks     int              // number of tasks that this pass has queued
	// blockedRank is the priority whose remaining jobs fit on no machine now, or
	// noRank. The pass skips these jobs.
	blockedRank int
	stats       PassStats
	// startOnly: tasks are only started; none is queued and no resources are reserved.
	startOnly bool
}

// Run decides which ready tasks start now and on which machines. It tries the jobs in
// the order of comparePrecedence, so jobs of lower priorities get the resources that
// are left. If a task would finish earlier on a busy machine than on an idle one, Run
// queues it there: the task reserves resources of that machine for the rest of the
// pass, and a later pass starts it. now is in seconds, on the clock to which the times
// of the machines refer. The pass ends after maxStarts starts or a bounded number of
// scores.
func Run(now float64, ready []*PendingJob, machines []*Machine, teams map[string]*Team, maxStarts int) ([]Assignment, PassStats) {
	p := &pass{
		now: now, machines: machines, teams: teams, maxStarts: maxStarts,
		blockedRank: noRank, machinesByImage: map[string][]*Machine{},
	}
	jobs := p.initJobs(make([]*PendingJob, 0, len(ready)), ready)
	p.initMachines()
	p.startAgedJobs(jobs)
	for from := 0; from < len(jobs) && !p.stats.Truncated; {
		to := from + 1
		for to < len(jobs) && comparePrecedence(jobs[to], jobs[from]) == 0 {
			to++
		}
		blocked := jobs[from].PriorityRank == p.blockedRank && jobs[from].AgedS == 0
		if !blocked && !p.placeGroup(jobs[from:to], jobs[to:]) {
			p.stats.Truncated = true
		}
		from = to
	}
	return p.starts, p.stats
}

// initJobs appends the jobs with ready tasks to the given empty slice and returns it,
// sorted by precedence. It also sets the smallest request.
func (p *pass) initJobs(jobs, ready []*PendingJob) []*PendingJob {
	for _, j := range ready {
		if j.ReadyTasks <= 0 {
			continue
		}
		if len(jobs) == 0 {
			p.smallestRequest = j.Request
		}
		p.smallestRequest = p.smallestRequest.minimum(j.Request)
		jobs = append(jobs, j)
	}
	slices.SortStableFunc(jobs, func(a, b *PendingJob) int {
		return cmp.Or(comparePrecedence(a, b), strings.Compare(a.JobID, b.JobID))
	})
	return jobs
}

// initMachines sets each machine's queued rank from its reservation, and collects
// the machines on which the smallest request fits.
func (p *pass) initMachines() {
	for _, m := range p.machines {
		m.queuedRank = noRank
		if m.HasReservation {
			m.queuedRank = m.ReservedRank
		}
		if m.Free.Fits(p.smallestRequest) {
			p.availableMachines = append(p.availableMachines, m)
		}
	}
}

// startAgedJobs starts the tasks of aged jobs that fit now, before placeGroup
// reserves resources for aged jobs that don't fit. If placeGroup came first, its
// reservation for the first aged job would block the other aged jobs until a machine
// has capacity for the first.
// The caller passes only a few ready tasks of each aged job, so the first aged jobs
// still get their reservations before the jobs that have not aged.
func (p *pass) startAgedJobs(jobs []*PendingJob) {
	aged := 0
	for aged < len(jobs) && jobs[aged].AgedS > 0 {
		aged++
	}
	if aged < 2 {
		return
	}
	p.startOnly = true
	for i := range aged {
		if jobs[i].ReadyTasks > 0 && !p.placeGroup(jobs[i:i+1], jobs[i+1:]) {
			p.stats.Truncated = true
			break
		}
	}
	p.startOnly = false
	for _, j := range jobs[:aged] {
		j.unplaceable, j.scored = false, false
	}
}

// placeGroup places the tasks of a group of jobs, the largest speedup first. later
// contains the jobs of the following groups. It returns false if the pass has to end
// because it has reached a limit.
func (p *pass) placeGroup(jobs, later []*PendingJob) bool {
	for {
		if len(p.starts) >= p.maxStarts || p.stats.ScoredPairs > 2*tuning.PlacementMaxScoredPairs {
			return false
		}
		job, best := p.bestPair(jobs)
		if job == nil {
			return !p.stats.Truncated
		}
		if best.waitS > 0 {
			// As in the paper, a task is queued only while some machine can start a
			// task of the same priority. Otherwise the pass would plan the order of
			// all tasks in advance. Aged jobs are exempt: their queued tasks reserve
			// resources even if no task of their priority can start.
			if p.queuedTasks >= tuning.PlacementMaxQueuedTasks {
				return true
			}
			if job.AgedS == 0 && !p.anyJobFitsNow(jobs, later) {
				p.blockedRank = job.PriorityRank
				return true
			}
		}
		p.assign(job, *best, jobs)
	}
}

// bestPair returns the pair of job and machine with the largest speedup, or nil if
// there is none. It marks jobs as unplaceable if no machine can run them or their
// team's limit doesn't allow another task.
func (p *pass) bestPair(jobs []*PendingJob) (bestJob *PendingJob, best *candidate) {
	for _, j := range jobs {
		if j.unplaceable || j.ReadyTasks == 0 {
			continue
		}
		if !p.fitsOrReservesTeamLimit(j) {
			j.unplaceable = true
			continue
		}
		if !j.scored && p.stats.ScoredPairs > tuning.PlacementMaxScoredPairs {
			// From here on, only jobs that are scored already are placed. The pairs
			// up to the final limit, which is twice as high, are left for scoring
			// these jobs again. Otherwise a pass could reach that limit before it
			// started a task, and every later pass would do the same.
			p.stats.Truncated = true
			continue
		}
		c := p.bestMachine(j)
		if c == nil {
			j.unplaceable = true
			continue
		}
		if bestJob == nil || c.score > best.score {
			bestJob, best = j, c
		}
	}
	return bestJob, best
}

// fitsOrReservesTeamLimit reports whether a task of the job fits into its team's
// limit. If a task of an aged job doesn't fit, its request is added to the team's
// usage for the rest of the pass. Otherwise smaller tasks of the team would use every
// part of the limit that becomes free, and the aged job would never start.
func (p *pass) fitsOrReservesTeamLimit(j *PendingJob) bool {
	team := p.teams[j.Team]
	if team == nil {
		return false
	}
	withTask := team.Used.Add(j.Request, 1)
	if team.Limit.Fits(withTask) {
		return true
	}
	if j.AgedS > 0 && !p.startOnly {
		team.Used = withTask
	}
	return false
}

// assign assigns one task of the job to the machine. The task starts now if the
// machine has capacity for it, and is queued there for this pass otherwise. jobs is
// the job's group.
func (p *pass) assign(j *PendingJob, c candidate, jobs []*PendingJob) {
	m := c.machine
	_, listed := m.Images[j.Image]
	fetchS := m.fetchDelayS(p.now, j.Image, j.ImageGB)
	j.ReadyTasks--
	m.Modified = true
	m.version++
	beginsFetch := !listed && c.waitS == 0
	if c.waitS == 0 {
		p.recordStart(j, m)
	} else {
		p.recordQueued(j, m)
	}
	if beginsFetch {
		m.addImage(j.Image, p.now+fetchS)
	}
	m.Free = m.Free.Add(j.Request, -1)
	m.addPlacedTask(PlacedTask{Request: j.Request, EndS: p.now + c.waitS + fetchS + j.EstimatedRunTimeS})
	if beginsFetch {
		p.rescoreForFetchedImage(j, m, jobs)
	}
}

// recordStart records the start of a task.
func (p *pass) recordStart(j *PendingJob, m *Machine) {
	p.starts = append(p.starts, Assignment{JobID: j.JobID, MachineID: m.ID})
	if j.TasksByZone == nil {
		j.TasksByZone = map[string]int{}
	}
	j.TasksByZone[m.Zone]++
	team := p.teams[j.Team]
	team.Used = team.Used.Add(j.Request, 1)
}

// recordQueued records that a task of the job is queued on the machine, which reserves
// the machine for tasks of the same or a higher priority.
func (p *pass) recordQueued(j *PendingJob, m *Machine) {
	p.queuedTasks++
	if m.queuedRank == noRank || j.PriorityRank < m.queuedRank {
		m.queuedRank = j.PriorityRank
	}
}

// rescoreForFetchedImage scores the machine again after it has begun to fetch the image
// of a started task, for the other jobs of the group that need the image: the fetch
// increases their scores there. All other changes only decrease scores, so it is enough
// that bestMachine scores the top of the heap again.
func (p *pass) rescoreForFetchedImage(started *PendingJob, m *Machine, jobs []*PendingJob) {
	for _, other := range jobs {
		if other == started || !other.scored || other.unplaceable || other.Image != started.Image {
			continue
		}
		if c, ok := p.score(other, m); ok {
			heap.Push((*candidateHeap)(&other.candidates), c)
		}
	}
}

// fitChecksPerScore is the number of machines that fitsNow checks in about the time of
// one score.
const fitChecksPerScore = 8

// anyJobFitsNow reports whether any machine could now start a task of a job in the
// group, or of a later job with the same priority.
func (p *pass) anyJobFitsNow(jobs, later []*PendingJob) bool {
	rank := jobs[0].PriorityRank
	for _, list := range [][]*PendingJob{jobs, later} {
		for _, j := range list {
			if j.PriorityRank != rank {
				return false
			}
			if j.ReadyTasks == 0 || j.unplaceable {
				continue
			}
			if p.fitsNow(j) {
				return true
			}
			p.stats.ScoredPairs += len(p.availableMachines) / fitChecksPerScore
		}
	}
	return false
}

// fitsNow reports whether any machine could start a task of the job now.
func (p *pass) fitsNow(j *PendingJob) bool {
	found := false
	p.forEachAvailableMachine(func(m *Machine) bool {
		found = m.Free.Fits(j.Request) && m.isEligible(j)
		return !found
	})
	return found
}
