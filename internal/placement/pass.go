// Package placement decides which ready task goes to which machine. It is pure:
// it works on a snapshot and starts nothing.
//
// The rule is File Locality-Aware Scheduling from Bryk, Malawski, Juve and
// Deelman, "Storage-aware Algorithms for Scheduling of Workflow Ensembles in
// Clouds", section 4.2, with images in the place of files and machines that
// run several tasks at once; docs/design.md tells what was kept and changed.
package placement

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"

	"switchshore.example/switchshore/internal/tuning"
)

// PlacedTask is a task that runs on, is being started on or is queued for a machine.
type PlacedTask struct {
	Request Resources
	// EndS is when the task ends by its estimate, Rncf counted: in seconds on
	// the clock of the pass.
	EndS float64
}

// Machine is a machine that takes tasks, as the pass sees it. Its times are
// points on the clock of the pass, so that a machine on which nothing has
// changed can be handed to the next pass as it is.
type Machine struct {
	ID          string
	Type        string
	Zone        string
	Spot        bool
	Capacity    Resources
	Free        Resources
	FetchGBPerS float64
	// Price orders machines that promise the same finish: work gathers on the
	// cheap ones, so that dear ones fall idle and can be returned.
	Price float64
	// PlacedTasks are in the order of their ends.
	PlacedTasks []PlacedTask
	// Images holds when an image is there, zero when it is cached.
	Images map[string]float64
	// AvoidJobs names jobs whose tasks failed here.
	AvoidJobs map[string]bool
	// HasReservation keeps the machine from jobs with a priority lower than ReservedRank.
	HasReservation bool
	ReservedRank   int
	// Modified is set by a pass that has changed the machine's state: it has
	// to be made anew before the next one.
	Modified bool

	queuedRank int // highest priority with a queued task or a reservation, -1 for none
	version    int // raised by every change within a pass
}

// PendingJob is a job with ready tasks, alike among themselves.
type PendingJob struct {
	Job             string
	Team            string
	PriorityRank    int
	WithinGuarantee bool
	// AgedS is for how many seconds a job has waited without a start, if that
	// is long, or zero. Aged jobs go before all others, whatever their level,
	// and among themselves in the order of their waits: an order by level would
	// starve the lowest again once many have aged.
	AgedS float64
	// Urgency orders jobs of one level, lower first, in steps within which
	// the speedup decides: the seconds that may pass before the job is late.
	Urgency      float64
	ReadyTasks   int
	Request      Resources
	EstimateS    float64
	Image        string
	ImageGB      float64
	MachineTypes []string
	Zone         string
	OneZone      bool
	SpreadZones  bool
	Spot         bool
	// TotalTasks is the number of tasks of the job, for Spread.
	TotalTasks int
	// TasksInZone counts the job's tasks that may be on machines, by zone.
	TasksInZone map[string]int

	candidates []candidate // a heap, the best machine first
	scored     bool
	closed     bool
}

// Team is a team's use and limit.
type Team struct {
	Used, Limit Resources
}

// Assignment is a decision: one task of the job goes to the machine now.
type Assignment struct {
	Job     string
	Machine string
}

// Allowed reports whether a machine may run tasks of the job at all,
// whatever its room: type, zone and kind, together and apart.
func (j *PendingJob) Allowed(m *Machine) bool {
	if m.Spot && !j.Spot || j.Zone != "" && j.Zone != m.Zone {
		return false
	}
	if len(j.MachineTypes) > 0 && !slices.Contains(j.MachineTypes, m.Type) {
		return false
	}
	if j.OneZone {
		for zone, n := range j.TasksInZone {
			if n > 0 && zone != m.Zone {
				return false
			}
		}
	}
	if j.SpreadZones && j.TasksInZone[m.Zone] >= (j.TotalTasks+1)/2 {
		return false
	}
	return m.Capacity.Fits(j.Request)
}

// PassStats counts what a pass has done, so that its cost can be bounded.
type PassStats struct {
	// ScoredPairs is the number of pairs of job and machine looked at.
	ScoredPairs int
	// Truncated: the bounds were reached before the work was.
	Truncated bool
}

// pass is one placement pass.
type pass struct {
	now      float64
	machines []*Machine
	// openMachines are the machines with room for the smallest of the tasks, in the
	// order of machines; those that fill up are left out as they are met.
	openMachines    []*Machine
	smallestRequest Resources
	// machinesByImage are the machines with an image, or with a fetch of it under way
	// when the pass began, by the images asked for so far.
	machinesByImage map[string][]*Machine
	teams           map[string]*Team
	maxStarts       int
	starts          []Assignment
	queued          int
	blockedRank     int // the level for whose jobs no machine has room, -1 for none
	stats           PassStats
	startOnly       bool // nothing is queued or kept
}

// Run places ready tasks of the highest priority first, queuing them behind
// busy machines where they finish earlier, and goes on with lower priorities
// on what room is left. now is the time on the clock of the machines. It ends
// after limit starts, or after a bounded number of scores.
func Run(now float64, ready []*PendingJob, machines []*Machine, teams map[string]*Team, limit int) ([]Assignment, PassStats) {
	p := &pass{now: now, machines: machines, teams: teams, maxStarts: limit, blockedRank: -1, machinesByImage: map[string][]*Machine{}}
	jobs := make([]*PendingJob, 0, len(ready))
	for _, r := range ready {
		if r.ReadyTasks > 0 {
			if len(jobs) == 0 {
				p.smallestRequest = r.Request
			}
			p.smallestRequest = p.smallestRequest.minimum(r.Request)
			jobs = append(jobs, r)
		}
	}
	for _, m := range machines {
		m.queuedRank = -1
		if m.HasReservation {
			m.queuedRank = m.ReservedRank
		}
		if m.Free.Fits(p.smallestRequest) {
			p.openMachines = append(p.openMachines, m)
		}
	}
	slices.SortStableFunc(jobs, func(a, b *PendingJob) int { return cmp.Or(compareQueues(a, b), strings.Compare(a.Job, b.Job)) })
	p.startAgedJobs(jobs)
	for from := 0; from < len(jobs) && !p.stats.Truncated; {
		to := from + 1
		for to < len(jobs) && compareQueues(jobs[to], jobs[from]) == 0 {
			to++
		}
		if jobs[from].PriorityRank == p.blockedRank && jobs[from].AgedS == 0 {
			from = to
			continue
		}
		if !p.placeQueue(jobs[from:to], jobs[to:]) {
			p.stats.Truncated = true
			break
		}
		from = to
	}
	return p.starts, p.stats
}

// startAgedJobs lets all aged jobs have what they can start on now, before room is kept
// for those of them that can't: the first in line for whom nothing comes free would
// otherwise keep the others waiting for as long. A turn is a few tasks of a job that
// has waited long, so the first ones still get their room before all that has not.
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
	for _, r := range jobs[:aged] {
		r.closed, r.scored = false, false
	}
}

// placeQueue places the tasks of jobs among which the speedup decides; later are
// the jobs that come after them. It is false if the pass has to end.
func (p *pass) placeQueue(jobs, later []*PendingJob) bool {
	for {
		if len(p.starts) >= p.maxStarts || p.stats.ScoredPairs > 2*tuning.PassMaxScoredPairs {
			return false
		}
		var next *PendingJob
		var best *candidate
		for _, r := range jobs {
			if r.closed || r.ReadyTasks == 0 {
				continue
			}
			team := p.teams[r.Team]
			if team == nil || !team.Limit.Fits(team.Used.Add(r.Request, 1)) {
				// The team is at its limit: the next ones are scored instead. For
				// an aged job room within the limit is kept, or its team's smaller
				// tasks would take every bit of it that comes free.
				r.closed = true
				if r.AgedS > 0 && team != nil && !p.startOnly {
					team.Used = team.Used.Add(r.Request, 1)
				}
				continue
			}
			if !r.scored && p.stats.ScoredPairs > tuning.PassMaxScoredPairs {
				// The jobs scored so far get their places first: a pass that only
				// scored would start nothing, and the next one would do the same.
				p.stats.Truncated = true
				continue
			}
			c := p.best(r)
			if c == nil {
				r.closed = true
				continue
			}
			if next == nil || c.score > best.score {
				next, best = r, c
			}
		}
		if next == nil {
			return !p.stats.Truncated
		}
		if best.wait > 0 {
			// The paper waits for an idle machine before it queues anything, so
			// as not to become a static schedule.
			if p.queued >= tuning.PassMaxQueuedTasks {
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

// assign gives one task of the job to the machine: to start now, or to its
// queue, which lives for the pass only.
func (p *pass) assign(r *PendingJob, c candidate, jobs []*PendingJob) {
	m := c.m
	_, known := m.Images[r.Image]
	fetch := m.fetch(p.now, r.Image, r.ImageGB)
	r.ReadyTasks--
	m.Modified = true
	m.version++
	if c.wait == 0 {
		p.starts = append(p.starts, Assignment{Job: r.Job, Machine: m.ID})
		if !known {
			if m.Images == nil {
				m.Images = map[string]float64{}
			}
			m.Images[r.Image] = p.now + fetch
		}
		if r.TasksInZone == nil {
			r.TasksInZone = map[string]int{}
		}
		r.TasksInZone[m.Zone]++
		team := p.teams[r.Team]
		team.Used = team.Used.Add(r.Request, 1)
	} else {
		p.queued++
		if m.queuedRank < 0 || r.PriorityRank < m.queuedRank {
			m.queuedRank = r.PriorityRank
		}
	}
	m.Free = m.Free.Add(r.Request, -1)
	m.addPlacedTask(PlacedTask{Request: r.Request, EndS: p.now + c.wait + fetch + r.EstimateS})
	if known || c.wait > 0 {
		return
	}
	// An image under way makes the machine better for the other jobs that
	// need it; all other changes make machines worse, which best finds out.
	for _, o := range jobs {
		if o != r && o.scored && !o.closed && o.Image == r.Image {
			if c, ok := p.score(o, m); ok {
				heap.Push((*candidateHeap)(&o.candidates), c)
			}
		}
	}
}

// fitsAny reports whether some machine could start a task of the jobs of the
// line's level, or of the line itself, now.
func (p *pass) fitsAny(jobs, later []*PendingJob) bool {
	level := jobs[0].PriorityRank
	for _, list := range [][]*PendingJob{jobs, later} {
		for _, r := range list {
			if r.PriorityRank != level {
				return false
			}
			if r.ReadyTasks == 0 || r.closed {
				continue
			}
			found := false
			p.eachOpenMachine(func(m *Machine) bool {
				found = m.Free.Fits(r.Request) && r.Allowed(m) && !m.AvoidJobs[r.Job] && (m.queuedRank < 0 || m.queuedRank >= r.PriorityRank)
				return !found
			})
			if found {
				return true
			}
			p.stats.ScoredPairs += len(p.openMachines) / 8
		}
	}
	return false
}
