package placement

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"

	"switchshore.example/switchshore/internal/tuning"
)

// PassStats counts what a pass has done, so that its cost can be bounded.
type PassStats struct {
	// ScoredPairs is the number of pairs of job and machine that were scored.
	ScoredPairs int
	// Truncated: the bounds were reached before the work was done.
	Truncated bool
}

// pass is one placement pass.
type pass struct {
	now      float64
	machines []*Machine
	// openMachines are those on which the smallest request may fit, in the order
	// of machines; those that fill up are removed as they are met.
	openMachines    []*Machine
	smallestRequest Resources
	// machinesByImage lists the machines with an image, or with a fetch of it in
	// progress when the pass began, by the images asked for so far.
	machinesByImage map[string][]*Machine
	teams           map[string]*Team
	maxStarts       int
	starts          []Assignment
	queuedTasks     int
	// blockedRank is the priority for whose jobs no machine has free capacity, or noRank.
	blockedRank int
	stats       PassStats
	// startOnly: nothing is queued or reserved.
	startOnly bool
}

// Run places ready tasks of the highest priority first, queues them behind
// busy machines where they finish earlier, and goes on with lower priorities
// on what is left. now is the time on the clock of the machines. It ends after
// maxStarts starts, or after a bounded number of scores.
func Run(now float64, ready []*PendingJob, machines []*Machine, teams map[string]*Team, maxStarts int) ([]Assignment, PassStats) {
	p := &pass{
		now: now, machines: machines, teams: teams, maxStarts: maxStarts,
		blockedRank: noRank, machinesByImage: map[string][]*Machine{},
	}
	jobs := p.appendQueued(make([]*PendingJob, 0, len(ready)), ready)
	p.openAll()
	p.startAgedJobs(jobs)
	for from := 0; from < len(jobs) && !p.stats.Truncated; {
		to := from + 1
		for to < len(jobs) && compareQueues(jobs[to], jobs[from]) == 0 {
			to++
		}
		blocked := jobs[from].PriorityRank == p.blockedRank && jobs[from].AgedS == 0
		if !blocked && !p.placeQueue(jobs[from:to], jobs[to:]) {
			p.stats.Truncated = true
		}
		from = to
	}
	return p.starts, p.stats
}

// appendQueued appends the jobs with ready tasks to an empty slice, in the order
// of their queues, and sets the smallest request.
func (p *pass) appendQueued(jobs, ready []*PendingJob) []*PendingJob {
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
		return cmp.Or(compareQueues(a, b), strings.Compare(a.Job, b.Job))
	})
	return jobs
}

// openAll resets the machines' queues and collects those on which something may fit.
func (p *pass) openAll() {
	for _, m := range p.machines {
		m.queuedRank = noRank
		if m.HasReservation {
			m.queuedRank = m.ReservedRank
		}
		if m.Free.Fits(p.smallestRequest) {
			p.openMachines = append(p.openMachines, m)
		}
	}
}

// startAgedJobs lets every aged job start what it can now, before capacity is
// reserved for those that can't start: the first of them, if nothing comes free
// for it, would otherwise block the others for as long. Only a few tasks of an
// aged job are ready in a pass, so the first ones still get their reservation
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
		if jobs[i].ReadyTasks > 0 && !p.placeQueue(jobs[i:i+1], jobs[i+1:]) {
			p.stats.Truncated = true
			break
		}
	}
	p.startOnly = false
	for _, j := range jobs[:aged] {
		j.closed, j.scored = false, false
	}
}

// placeQueue places the tasks of jobs among which the speedup decides; later
// are the jobs of the queues behind. It is false if the pass has to end.
func (p *pass) placeQueue(jobs, later []*PendingJob) bool {
	for {
		if len(p.starts) >= p.maxStarts || p.stats.ScoredPairs > 2*tuning.PassMaxScoredPairs {
			return false
		}
		next, best := p.bestPair(jobs)
		if next == nil {
			return !p.stats.Truncated
		}
		if best.wait > 0 {
			// The paper waits for an idle machine before it queues anything, so
			// as not to become a static schedule.
			if p.queuedTasks >= tuning.PassMaxQueuedTasks {
				return true
			}
			if next.AgedS == 0 && !p.fitsAny(jobs, later) {
				p.blockedRank = next.PriorityRank
				return true
			}
		}
		p.assign(next, *best, jobs)
	}
}

// bestPair returns the pair of job and machine with the largest speedup, nil if
// there is none. Jobs that can't be placed are closed.
func (p *pass) bestPair(jobs []*PendingJob) (next *PendingJob, best *candidate) {
	for _, j := range jobs {
		if j.closed || j.ReadyTasks == 0 {
			continue
		}
		if !p.fitsTeamLimit(j) {
			j.closed = true
			continue
		}
		if !j.scored && p.stats.ScoredPairs > tuning.PassMaxScoredPairs {
			// The jobs scored so far get their places first: a pass that only
			// scored would start nothing, and the next one would do the same.
			p.stats.Truncated = true
			continue
		}
		c := p.bestMachine(j)
		if c == nil {
			j.closed = true
			continue
		}
		if next == nil || c.score > best.score {
			next, best = j, c
		}
	}
	return next, best
}

// fitsTeamLimit reports whether a task of the job fits into its team's limit.
// If not, an aged job reserves what it needs of the limit, or its team's smaller
// tasks would take every bit of it that comes free.
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

// assign gives one task of the job to the machine: to start now, or to its
// queue, which exists for the pass only. jobs are those of the same queue.
func (p *pass) assign(j *PendingJob, c candidate, jobs []*PendingJob) {
	m := c.machine
	_, known := m.Images[j.Image]
	fetch := m.fetchDelay(p.now, j.Image, j.ImageGB)
	j.ReadyTasks--
	m.Modified = true
	m.version++
	fetches := !known && c.wait == 0
	if c.wait == 0 {
		p.start(j, m)
	} else {
		p.queue(j, m)
	}
	if fetches {
		m.addImage(j.Image, p.now+fetch)
	}
	m.Free = m.Free.Add(j.Request, -1)
	m.addPlacedTask(PlacedTask{Request: j.Request, EndS: p.now + c.wait + fetch + j.EstimateS})
	if fetches {
		p.addCandidate(j, m, jobs)
	}
}

// start records the start of a task.
func (p *pass) start(j *PendingJob, m *Machine) {
	p.starts = append(p.starts, Assignment{Job: j.Job, Machine: m.ID})
	if j.TasksInZone == nil {
		j.TasksInZone = map[string]int{}
	}
	j.TasksInZone[m.Zone]++
	team := p.teams[j.Team]
	team.Used = team.Used.Add(j.Request, 1)
}

// queue records that a task waits for the machine.
func (p *pass) queue(j *PendingJob, m *Machine) {
	p.queuedTasks++
	if m.queuedRank == noRank || j.PriorityRank < m.queuedRank {
		m.queuedRank = j.PriorityRank
	}
}

// addCandidate scores a machine again for the other jobs that need the image
// whose fetch has begun there: it has become better for them. All other changes
// make machines worse, which bestMachine finds out.
func (p *pass) addCandidate(started *PendingJob, m *Machine, jobs []*PendingJob) {
	for _, other := range jobs {
		if other == started || !other.scored || other.closed || other.Image != started.Image {
			continue
		}
		if c, ok := p.score(other, m); ok {
			heap.Push((*candidateHeap)(&other.candidates), c)
		}
	}
}

// fitsAnyFraction is the number of open machines whose check by fitsAny costs
// about as much as a score.
const fitsAnyFraction = 8

// fitsAny reports whether some machine could start a task now, of the jobs or
// of the later ones of the same priority.
func (p *pass) fitsAny(jobs, later []*PendingJob) bool {
	rank := jobs[0].PriorityRank
	for _, list := range [][]*PendingJob{jobs, later} {
		for _, j := range list {
			if j.PriorityRank != rank {
				return false
			}
			if j.ReadyTasks == 0 || j.closed {
				continue
			}
			if p.fitsNow(j) {
				return true
			}
			p.stats.ScoredPairs += len(p.openMachines) / fitsAnyFraction
		}
	}
	return false
}

// fitsNow reports whether some machine could start a task of the job now.
func (p *pass) fitsNow(j *PendingJob) bool {
	found := false
	p.eachOpenMachine(func(m *Machine) bool {
		found = m.Free.Fits(j.Request) && j.CanRunOn(m) && !m.AvoidedJobs[j.Job] && !m.isReservedFrom(j)
		return !found
	})
	return found
}
