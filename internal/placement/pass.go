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
	// ScoredPairs is the number of scored pairs of job and machine. Other checks
	// of similar cost count as well.
	ScoredPairs int
	// Truncated: the pass reached its limits before it had tried all jobs.
	Truncated bool
}

// pass is the state of one placement pass.
type pass struct {
	now      float64
	machines []*Machine
	// availableMachines are those on which the smallest request may fit, in the
	// order of machines. Machines that have become full are removed when
	// eachAvailableMachine reaches them.
	availableMachines []*Machine
	smallestRequest   Resources
	// machinesByImage caches the results of machinesWithImage. Fetches that begin
	// later in the pass are not included.
	machinesByImage map[string][]*Machine
	teams           map[string]*Team
	maxStarts       int
	starts          []Assignment
	queuedTasks     int
	// blockedRank is the priority whose remaining jobs fit on no machine now, or noRank.
	blockedRank int
	stats       PassStats
	// startOnly: tasks are only started; none is queued and no resources are reserved.
	startOnly bool
}

// Run places the ready tasks in the order of comparePrecedence: aged jobs, then
// the highest priority. It queues a task on a busy machine if the task would
// finish earlier there than on an idle one; lower priorities get the remaining
// resources. now is the time on the clock that the times of the machines refer
// to. The pass ends after maxStarts starts or a bounded number of scores.
func Run(now float64, ready []*PendingJob, machines []*Machine, teams map[string]*Team, maxStarts int) ([]Assignment, PassStats) {
	p := &pass{
		now: now, machines: machines, teams: teams, maxStarts: maxStarts,
		blockedRank: noRank, machinesByImage: map[string][]*Machine{},
	}
	jobs := p.sortedJobs(make([]*PendingJob, 0, len(ready)), ready)
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

// sortedJobs returns the jobs with ready tasks, sorted by precedence, in the given
// empty slice. It also sets the smallest request.
func (p *pass) sortedJobs(jobs, ready []*PendingJob) []*PendingJob {
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
		return cmp.Or(comparePrecedence(a, b), strings.Compare(a.Job, b.Job))
	})
	return jobs
}

// initMachines sets each machine's queued rank to its reservation, and collects
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

// startAgedJobs starts the tasks of aged jobs that fit now, before resources are
// reserved for those that don't. Otherwise the first aged job would block the
// others for as long as no machine has room for it. Only a few tasks of an aged
// job are ready in a pass, so the first aged jobs still get their reservations
// before all jobs that have not aged.
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

// placeGroup places the tasks of a group of jobs in the order of their speedup.
// later are the jobs of the following groups. It returns false if the pass has to
// end.
func (p *pass) placeGroup(jobs, later []*PendingJob) bool {
	for {
		if len(p.starts) >= p.maxStarts || p.stats.ScoredPairs > 2*tuning.PlacementMaxScoredPairs {
			return false
		}
		next, best := p.bestPair(jobs)
		if next == nil {
			return !p.stats.Truncated
		}
		if best.wait > 0 {
			// As in the paper, a task is queued only while some machine can start a
			// task of the same priority. Otherwise the pass would compute a static
			// schedule. Aged jobs are exempt.
			if p.queuedTasks >= tuning.PlacementMaxQueuedTasks {
				return true
			}
			if next.AgedS == 0 && !p.anyJobFitsNow(jobs, later) {
				p.blockedRank = next.PriorityRank
				return true
			}
		}
		p.assign(next, *best, jobs)
	}
}

// bestPair returns the pair of job and machine with the largest speedup, nil if
// there is none. It marks jobs that can't be placed as unplaceable.
func (p *pass) bestPair(jobs []*PendingJob) (next *PendingJob, best *candidate) {
	for _, j := range jobs {
		if j.unplaceable || j.ReadyTasks == 0 {
			continue
		}
		if !p.fitsTeamLimit(j) {
			j.unplaceable = true
			continue
		}
		if !j.scored && p.stats.ScoredPairs > tuning.PlacementMaxScoredPairs {
			// The jobs scored so far are placed first. A pass that spent all its
			// scores before it started a task would start none, and so would
			// every following pass.
			p.stats.Truncated = true
			continue
		}
		c := p.bestMachine(j)
		if c == nil {
			j.unplaceable = true
			continue
		}
		if next == nil || c.score > best.score {
			next, best = j, c
		}
	}
	return next, best
}

// fitsTeamLimit reports whether a task of the job fits into its team's limit. If
// the task of an aged job doesn't, it counts against the limit nevertheless, which
// reserves that part of the limit. Otherwise smaller tasks of the team would use
// every part of the limit that becomes free.
func (p *pass) fitsTeamLimit(j *PendingJob) bool {
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

// assign assigns one task of the job to the machine, to start now or to be queued
// there; the queue exists during the pass only. jobs is the job's group.
func (p *pass) assign(j *PendingJob, c candidate, jobs []*PendingJob) {
	m := c.machine
	_, listed := m.Images[j.Image]
	fetch := m.fetchDelay(p.now, j.Image, j.ImageGB)
	j.ReadyTasks--
	m.Modified = true
	m.version++
	startsFetch := !listed && c.wait == 0
	if c.wait == 0 {
		p.recordStart(j, m)
	} else {
		p.recordQueued(j, m)
	}
	if startsFetch {
		m.addImage(j.Image, p.now+fetch)
	}
	m.Free = m.Free.Add(j.Request, -1)
	m.addPlacedTask(PlacedTask{Request: j.Request, EndS: p.now + c.wait + fetch + j.EstimateS})
	if startsFetch {
		p.addCandidate(j, m, jobs)
	}
}

// recordStart records the start of a task.
func (p *pass) recordStart(j *PendingJob, m *Machine) {
	p.starts = append(p.starts, Assignment{Job: j.Job, Machine: m.ID})
	if j.TasksInZone == nil {
		j.TasksInZone = map[string]int{}
	}
	j.TasksInZone[m.Zone]++
	team := p.teams[j.Team]
	team.Used = team.Used.Add(j.Request, 1)
}

// recordQueued records that a task waits for the machine.
func (p *pass) recordQueued(j *PendingJob, m *Machine) {
	p.queuedTasks++
	if m.queuedRank == noRank || j.PriorityRank < m.queuedRank {
		m.queuedRank = j.PriorityRank
	}
}

// addCandidate scores the machine, which has begun to fetch an image, again for
// the other jobs that need the image, as their scores there have increased. All
// other changes decrease scores, which bestMachine detects.
func (p *pass) addCandidate(started *PendingJob, m *Machine, jobs []*PendingJob) {
	for _, other := range jobs {
		if other == started || !other.scored || other.unplaceable || other.Image != started.Image {
			continue
		}
		if c, ok := p.score(other, m); ok {
			heap.Push((*candidateHeap)(&other.candidates), c)
		}
	}
}

// fitChecksPerScore is the number of machines that anyJobFitsNow checks at about the
// cost of one score.
const fitChecksPerScore = 8

// anyJobFitsNow reports whether any machine could start a task now of the jobs in
// the group or the later jobs of the same priority.
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
	p.eachAvailableMachine(func(m *Machine) bool {
		found = m.Free.Fits(j.Request) && j.CanRunOn(m) && !m.AvoidedJobs[j.Job] && !m.isReservedForHigherPriority(j)
		return !found
	})
	return found
}
