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

// Load is a task that runs on, is being started on or is queued for a machine.
type Load struct {
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
	Total       Resources
	Free        Resources
	FetchGBPerS float64
	// Price orders machines that promise the same finish: work gathers on the
	// cheap ones, so that dear ones fall idle and can be returned.
	Price float64
	// Loads are in the order of their ends.
	Loads []Load
	// Images holds when an image is there, zero when it is cached.
	Images map[string]float64
	// Avoid names jobs whose tasks failed here.
	Avoid map[string]bool
	// HasReservation keeps the machine from jobs with a priority lower than ReservedRank.
	HasReservation bool
	ReservedRank   int
	// Modified is set by a pass that has changed the machine's state: it has
	// to be made anew before the next one.
	Modified bool

	queuedLevel int // highest priority with a queued task or a reservation, -1 for none
	version     int // raised by every change within a pass
}

// PendingJob is a job with ready tasks, alike among themselves.
type PendingJob struct {
	Job          string
	Team         string
	PriorityRank int
	Guaranteed   bool
	// AgedS is for how many seconds a job has waited without a start, if that
	// is long, or zero. Aged jobs go before all others, whatever their level,
	// and among themselves in the order of their waits: an order by level would
	// starve the lowest again once many have aged.
	AgedS float64
	// Urgency orders jobs of one level, lower first, in steps within which
	// the speedup decides: the seconds that may pass before the job is late.
	Urgency   float64
	Tasks     int
	Request   Resources
	EstimateS float64
	Image     string
	ImageGB   float64
	Types     []string
	Zone      string
	SameZone  bool
	Spread    bool
	Spot      bool
	// Total is the number of tasks of the job, for Spread.
	Total int
	// InZone counts the job's tasks that may be on machines, by zone.
	InZone map[string]int

	choices []choice // a heap, the best machine first
	scored  bool
	closed  bool
}

// Team is a team's use and limit.
type Team struct {
	Used, Max Resources
}

// Assignment is a decision: one task of the job goes to the machine now.
type Assignment struct {
	Job     string
	Machine string
}

// Allowed reports whether a machine may run tasks of the job at all,
// whatever its room: type, zone and kind, together and apart.
func (r *PendingJob) Allowed(m *Machine) bool {
	if m.Spot && !r.Spot || r.Zone != "" && r.Zone != m.Zone {
		return false
	}
	if len(r.Types) > 0 && !slices.Contains(r.Types, m.Type) {
		return false
	}
	if r.SameZone {
		for zone, n := range r.InZone {
			if n > 0 && zone != m.Zone {
				return false
			}
		}
	}
	if r.Spread && r.InZone[m.Zone] >= (r.Total+1)/2 {
		return false
	}
	return m.Total.Fits(r.Request)
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
	// candidates are the machines with room for the smallest of the tasks, in the
	// order of machines; those that fill up are left out as they are met.
	candidates []*Machine
	least      Resources
	// holders are the machines with an image, or with a fetch of it under way
	// when the pass began, by the images asked for so far.
	holders   map[string][]*Machine
	teams     map[string]*Team
	limit     int
	starts    []Assignment
	queued    int
	full      int // the level for whose jobs no machine has room, -1 for none
	work      PassStats
	startOnly bool // nothing is queued or kept
}

// Run places ready tasks of the highest priority first, queuing them behind
// busy machines where they finish earlier, and goes on with lower priorities
// on what room is left. now is the time on the clock of the machines. It ends
// after limit starts, or after a bounded number of scores.
func Run(now float64, ready []*PendingJob, machines []*Machine, teams map[string]*Team, limit int) ([]Assignment, PassStats) {
	p := &pass{now: now, machines: machines, teams: teams, limit: limit, full: -1, holders: map[string][]*Machine{}}
	jobs := make([]*PendingJob, 0, len(ready))
	for _, r := range ready {
		if r.Tasks > 0 {
			if len(jobs) == 0 {
				p.least = r.Request
			}
			p.least = p.least.least(r.Request)
			jobs = append(jobs, r)
		}
	}
	for _, m := range machines {
		m.queuedLevel = -1
		if m.HasReservation {
			m.queuedLevel = m.ReservedRank
		}
		if m.Free.Fits(p.least) {
			p.candidates = append(p.candidates, m)
		}
	}
	slices.SortStableFunc(jobs, func(a, b *PendingJob) int { return cmp.Or(compareQueues(a, b), strings.Compare(a.Job, b.Job)) })
	p.startAged(jobs)
	for from := 0; from < len(jobs) && !p.work.Truncated; {
		to := from + 1
		for to < len(jobs) && compareQueues(jobs[to], jobs[from]) == 0 {
			to++
		}
		if jobs[from].PriorityRank == p.full && jobs[from].AgedS == 0 {
			from = to
			continue
		}
		if !p.placeQueue(jobs[from:to], jobs[to:]) {
			p.work.Truncated = true
			break
		}
		from = to
	}
	return p.starts, p.work
}

// startAged lets all aged jobs have what they can start on now, before room is kept
// for those of them that can't: the first in line for whom nothing comes free would
// otherwise keep the others waiting for as long. A turn is a few tasks of a job that
// has waited long, so the first ones still get their room before all that has not.
func (p *pass) startAged(jobs []*PendingJob) {
	aged := 0
	for aged < len(jobs) && jobs[aged].AgedS > 0 {
		aged++
	}
	if aged < 2 {
		return
	}
	p.startOnly = true
	for i := range aged {
		if jobs[i].Tasks > 0 && !p.placeQueue(jobs[i:i+1], jobs[i+1:]) {
			p.work.Truncated = true
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
		if len(p.starts) >= p.limit || p.work.ScoredPairs > 2*tuning.PassMaxScoredPairs {
			return false
		}
		var next *PendingJob
		var best *choice
		for _, r := range jobs {
			if r.closed || r.Tasks == 0 {
				continue
			}
			team := p.teams[r.Team]
			if team == nil || !team.Max.Fits(team.Used.Add(r.Request, 1)) {
				// The team is at its limit: the next ones are scored instead. For
				// an aged job room within the limit is kept, or its team's smaller
				// tasks would take every bit of it that comes free.
				r.closed = true
				if r.AgedS > 0 && team != nil && !p.startOnly {
					team.Used = team.Used.Add(r.Request, 1)
				}
				continue
			}
			if !r.scored && p.work.ScoredPairs > tuning.PassMaxScoredPairs {
				// The jobs scored so far get their places first: a pass that only
				// scored would start nothing, and the next one would do the same.
				p.work.Truncated = true
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
			return !p.work.Truncated
		}
		if best.wait > 0 {
			// The paper waits for an idle machine before it queues anything, so
			// as not to become a static schedule.
			if p.queued >= tuning.PassMaxQueued {
				return true
			}
			if next.AgedS == 0 && !p.fitsAny(jobs, later) {
				p.full = next.PriorityRank
				return true
			}
		}
		p.assign(next, *best, jobs)
	}
}

// assign gives one task of the job to the machine: to start now, or to its
// queue, which lives for the pass only.
func (p *pass) assign(r *PendingJob, c choice, jobs []*PendingJob) {
	m := c.m
	_, known := m.Images[r.Image]
	fetch := m.fetch(p.now, r.Image, r.ImageGB)
	r.Tasks--
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
		if r.InZone == nil {
			r.InZone = map[string]int{}
		}
		r.InZone[m.Zone]++
		team := p.teams[r.Team]
		team.Used = team.Used.Add(r.Request, 1)
	} else {
		p.queued++
		if m.queuedLevel < 0 || r.PriorityRank < m.queuedLevel {
			m.queuedLevel = r.PriorityRank
		}
	}
	m.Free = m.Free.Add(r.Request, -1)
	m.addLoad(Load{Request: r.Request, EndS: p.now + c.wait + fetch + r.EstimateS})
	if known || c.wait > 0 {
		return
	}
	// An image under way makes the machine better for the other jobs that
	// need it; all other changes make machines worse, which best finds out.
	for _, o := range jobs {
		if o != r && o.scored && !o.closed && o.Image == r.Image {
			if c, ok := p.score(o, m); ok {
				heap.Push((*choices)(&o.choices), c)
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
			if r.Tasks == 0 || r.closed {
				continue
			}
			found := false
			p.eachCandidate(func(m *Machine) bool {
				found = m.Free.Fits(r.Request) && r.Allowed(m) && !m.Avoid[r.Job] && (m.queuedLevel < 0 || m.queuedLevel >= r.PriorityRank)
				return !found
			})
			if found {
				return true
			}
			p.work.ScoredPairs += len(p.candidates) / 8
		}
	}
	return false
}
