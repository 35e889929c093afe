// Package sched decides which ready task goes to which machine. It is pure:
// it works on a snapshot and starts nothing.
//
// The rule is File Locality-Aware Scheduling from Bryk, Malawski, Juve and
// Deelman, "Storage-aware Algorithms for Scheduling of Workflow Ensembles in
// Clouds", section 4.2, with images in the place of files and machines that
// run several tasks at once; docs/design.md tells what was kept and changed.
package sched

import (
	"math"
	"slices"
	"sort"

	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// Resources are amounts of a machine.
type Resources struct {
	CPUs, GPUs, MemoryGB float64
}

// epsilon absorbs rounding of sums of decimal amounts.
const epsilon = 1e-6

// Fits reports whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.CPUs <= r.CPUs+epsilon && need.GPUs <= r.GPUs+epsilon && need.MemoryGB <= r.MemoryGB+epsilon
}

// Add returns r + o*n.
func (r Resources) Add(o Resources, n float64) Resources {
	return Resources{r.CPUs + o.CPUs*n, r.GPUs + o.GPUs*n, r.MemoryGB + o.MemoryGB*n}
}

// Load is a task that runs on, is being started on or is queued for a machine.
type Load struct {
	Need Resources
	// RemainingS is Rncf of the task less the time it has run, at least zero.
	RemainingS float64
}

// Machine is the snapshot of a machine that takes tasks.
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
	Loads []Load
	// Images holds the seconds until an image is there, zero when cached.
	Images map[string]float64
	// Avoid names jobs whose tasks failed here.
	Avoid map[string]bool

	queuedLevel int // lowest priority level with a queued task, -1 for none
	tasks       int
}

// Ready is a job with ready tasks, alike among themselves.
type Ready struct {
	Job        string
	Team       string
	Level      int
	Guaranteed bool
	// Urgency orders jobs of one level, lower first, in steps within which
	// the speedup decides: the seconds that may pass before the job is late.
	Urgency   float64
	Tasks     int
	Need      Resources
	EstimateS float64
	Image     string
	ImageGB   float64
	Types     []string
	Zone      string
	OneZone   bool
	Spread    bool
	Spot      bool
	// Total is the number of tasks of the job, for Spread.
	Total int
	// InZone counts the job's tasks that may be on machines, by zone.
	InZone map[string]int

	best   *Machine
	score  float64
	wait   float64
	closed bool
}

// Team is a team's use and limit.
type Team struct {
	Used, Max Resources
}

// Start is a decision: one task of the job goes to the machine now.
type Start struct {
	Job     string
	Machine string
}

// Allowed reports whether a machine may run tasks of the job at all,
// whatever its room: type, zone and kind, together and apart.
func (r *Ready) Allowed(m *Machine) bool {
	if m.Spot && !r.Spot || r.Zone != "" && r.Zone != m.Zone {
		return false
	}
	if len(r.Types) > 0 && !slices.Contains(r.Types, m.Type) {
		return false
	}
	if r.OneZone {
		for zone, n := range r.InZone {
			if n > 0 && zone != m.Zone {
				return false
			}
		}
	}
	if r.Spread && r.InZone[m.Zone] >= (r.Total+1)/2 {
		return false
	}
	return m.Total.Fits(r.Need)
}

// FetchTime is T(f): an image's size over the fetch rate, zero if the rate is
// not known.
func FetchTime(gb, gbPerS float64) float64 {
	if gbPerS <= 0 {
		return 0
	}
	return gb / gbPerS
}

// fetch is the time until the machine has the job's image: T(f) counted only
// for what the cache lacks; other fetches under way share the rate.
func (m *Machine) fetch(image string, gb float64) float64 {
	if left, ok := m.Images[image]; ok {
		return left
	}
	if m.FetchGBPerS <= 0 {
		return 0
	}
	// Whole milliseconds, so that the order of the sum doesn't matter.
	var others float64
	for _, left := range m.Images {
		others += math.Round(left * 1000)
	}
	return FetchTime(gb, m.FetchGBPerS) + others/1000
}

// waitFor is the time until the machine has room for need, given what runs
// and queues there; zero only if there is room now. A task over its estimate
// has no time left by the floor, but it is still there: taking its room for
// free made machines refuse starts.
func (m *Machine) waitFor(need Resources) float64 {
	if m.Free.Fits(need) {
		return 0
	}
	free := m.Free
	for _, l := range m.Loads {
		free = free.Add(l.Need, 1)
		if free.Fits(need) {
			return max(l.RemainingS, tuning.OverdueS)
		}
	}
	return math.Inf(1)
}

func (m *Machine) addLoad(l Load) {
	i := sort.Search(len(m.Loads), func(i int) bool { return m.Loads[i].RemainingS > l.RemainingS })
	m.Loads = slices.Insert(m.Loads, i, l)
}

// speedup is S(t, vm) = Rs(t) - Rvm(t, vm). R(t) cancels out: what is left
// is the fetch on an empty machine less the fetch and the wait on this one.
func (r *Ready) speedup(m *Machine) (score, wait float64) {
	wait = m.waitFor(r.Need)
	if math.IsInf(wait, 1) {
		return math.Inf(-1), wait
	}
	return FetchTime(r.ImageGB, m.FetchGBPerS) - (wait + m.fetch(r.Image, r.ImageGB)), wait
}

// pick finds the machine with the largest speedup for the job.
func (r *Ready) pick(machines []*Machine) {
	r.best, r.score, r.wait = nil, math.Inf(-1), 0
	for _, m := range machines {
		if m.queuedLevel >= 0 && m.queuedLevel < r.Level || m.Avoid[r.Job] || m.tasks >= tuning.MachineTasks || !r.Allowed(m) {
			continue
		}
		score, wait := r.speedup(m)
		if math.IsInf(score, -1) {
			continue
		}
		if r.best == nil || score > r.score+epsilon || score > r.score-epsilon && prefer(m, r.best) {
			r.best, r.score, r.wait = m, score, wait
		}
	}
}

// prefer breaks ties between machines: the cheaper one, then the fuller one.
func prefer(a, b *Machine) bool {
	if a.Price != b.Price {
		return a.Price < b.Price
	}
	if a.Free.CPUs != b.Free.CPUs {
		return a.Free.CPUs < b.Free.CPUs
	}
	return a.ID < b.ID
}

// before orders candidates of one level: teams within their guarantee before
// borrowers, the more urgent job, then the larger speedup.
func before(a, b *Ready) bool {
	if a.Guaranteed != b.Guaranteed {
		return a.Guaranteed
	}
	if ua, ub := math.Floor(a.Urgency/tuning.UrgencyStep), math.Floor(b.Urgency/tuning.UrgencyStep); ua != ub {
		return ua < ub
	}
	if math.Abs(a.score-b.score) > epsilon {
		return a.score > b.score
	}
	return a.Job < b.Job
}

// Pass places ready tasks of the highest priority first, queuing them behind
// busy machines where they finish earlier, and goes on with lower priorities
// on what room is left. The snapshot is used up.
func Pass(ready []*Ready, machines []*Machine, teams map[string]*Team, limit int) []Start {
	for _, m := range machines {
		m.queuedLevel = -1
		m.tasks = len(m.Loads)
		slices.SortFunc(m.Loads, func(a, b Load) int {
			switch {
			case a.RemainingS < b.RemainingS:
				return -1
			case a.RemainingS > b.RemainingS:
				return 1
			}
			return 0
		})
	}
	var starts []Start
	for level := range wire.PriorityLevels {
		var jobs []*Ready
		for _, r := range ready {
			if r.Level == level && r.Tasks > 0 {
				jobs = append(jobs, r)
			}
		}
		starts = passLevel(jobs, machines, teams, limit, starts)
		if len(starts) >= limit {
			break
		}
	}
	return starts
}

func passLevel(jobs []*Ready, machines []*Machine, teams map[string]*Team, limit int, starts []Start) []Start {
	for _, r := range jobs {
		r.pick(machines)
	}
	for len(starts) < limit {
		var next *Ready
		for _, r := range jobs {
			if r.closed || r.Tasks == 0 || r.best == nil {
				continue
			}
			team := teams[r.Team]
			if team == nil || !team.Max.Fits(team.Used.Add(r.Need, 1)) {
				// The team is at its limit: the next ones are scored instead.
				r.closed = true
				continue
			}
			if next == nil || before(r, next) {
				next = r
			}
		}
		if next == nil {
			return starts
		}
		m := next.best
		fetch := m.fetch(next.Image, next.ImageGB)
		next.Tasks--
		m.tasks++
		if m.Images == nil {
			m.Images = map[string]float64{}
		}
		if next.wait == 0 {
			starts = append(starts, Start{Job: next.Job, Machine: m.ID})
			m.Images[next.Image] = fetch
			if next.InZone == nil {
				next.InZone = map[string]int{}
			}
			next.InZone[m.Zone]++
			team := teams[next.Team]
			team.Used = team.Used.Add(next.Need, 1)
		} else if m.queuedLevel < 0 {
			m.queuedLevel = next.Level
		}
		m.Free = m.Free.Add(next.Need, -1)
		m.addLoad(Load{Need: next.Need, RemainingS: next.wait + fetch + next.EstimateS})
		room := false
		for _, r := range jobs {
			if r.Tasks > 0 && !r.closed && (r == next || r.best == m || r.Image == next.Image) {
				r.pick(machines)
			}
			room = room || r.Tasks > 0 && !r.closed && r.best != nil && r.wait == 0
		}
		if !room && !anyRoom(jobs, machines) {
			return starts
		}
	}
	return starts
}

// anyRoom reports whether some machine could start a task of the jobs now;
// without one, nothing is queued: the paper waits for an idle machine, so as
// not to become a static schedule.
func anyRoom(jobs []*Ready, machines []*Machine) bool {
	for _, r := range jobs {
		if r.Tasks == 0 || r.closed {
			continue
		}
		for _, m := range machines {
			if m.Free.Fits(r.Need) && r.Allowed(m) && !m.Avoid[r.Job] && (m.queuedLevel < 0 || m.queuedLevel >= r.Level) {
				return true
			}
		}
	}
	return false
}
