package placement

import (
	"container/heap"
	"math"
	"slices"
	"sort"

	"switchshore.example/switchshore/internal/tuning"
)

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
func (m *Machine) fetch(now float64, image string, gb float64) float64 {
	if at, ok := m.Images[image]; ok {
		return max(0, at-now)
	}
	if m.FetchGBPerS <= 0 {
		return 0
	}
	// Whole milliseconds, so that the order of the sum doesn't matter.
	var others float64
	for _, at := range m.Images {
		if at > now {
			others += math.Round((at - now) * 1000)
		}
	}
	return FetchTime(gb, m.FetchGBPerS) + others/1000
}

// waitFor is the time until the machine has room for need, given what runs
// and queues there; zero only if there is room now. A task over its estimate
// has no time left by the floor, but it is still there: taking its room for
// free made machines refuse starts.
func (m *Machine) waitFor(now float64, need Resources) float64 {
	if m.Free.Fits(need) {
		return 0
	}
	free := m.Free
	for _, l := range m.Loads {
		free = free.Add(l.Request, 1)
		if free.Fits(need) {
			return max(l.EndS-now, tuning.MinRemainingS)
		}
	}
	return math.Inf(1)
}

func (m *Machine) addLoad(l Load) {
	i := sort.Search(len(m.Loads), func(i int) bool { return m.Loads[i].EndS > l.EndS })
	m.Loads = slices.Insert(m.Loads, i, l)
}

// choice is a machine scored for a job.
type choice struct {
	m       *Machine
	version int // of the machine when it was scored
	score   int64
	wait    float64
}

// better orders choices: the larger speedup, then the cheaper machine, then
// the fuller one.
func (a *choice) better(b *choice) bool {
	if a.score != b.score {
		return a.score > b.score
	}
	if a.m.Price != b.m.Price {
		return a.m.Price < b.m.Price
	}
	if a.m.Free.CPUs != b.m.Free.CPUs {
		return a.m.Free.CPUs < b.m.Free.CPUs
	}
	return a.m.ID < b.m.ID
}

// choices is a heap; the jobs' own slices are used, so that a pass allocates
// little.
type choices []choice

func (h choices) Len() int { return len(h) }

func (h choices) Less(i, j int) bool { return h[i].better(&h[j]) }

func (h choices) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *choices) Push(x any) { *h = append(*h, x.(choice)) }

// Pop drops the last entry; only its place is wanted.
func (h *choices) Pop() any {
	*h = (*h)[:len(*h)-1]
	return nil
}

// score is S(t, vm) = Rs(t) - Rvm(t, vm) in microseconds, and the wait for
// room in it; false if the machine can't have the task. R(t) cancels out: what
// is left is the fetch on an empty machine less the fetch and the wait here.
func (p *pass) score(r *PendingJob, m *Machine) (choice, bool) {
	p.work.ScoredPairs++
	if m.queuedLevel >= 0 && m.queuedLevel < r.PriorityRank && r.AgedS == 0 || len(m.Loads) >= tuning.MaxTasksPerMachine || m.Avoid[r.Job] || !r.Allowed(m) {
		return choice{}, false
	}
	wait := m.waitFor(p.now, r.Request)
	if math.IsInf(wait, 1) || p.startOnly && wait > 0 {
		return choice{}, false
	}
	s := FetchTime(r.ImageGB, m.FetchGBPerS) - wait - m.fetch(p.now, r.Image, r.ImageGB)
	return choice{m: m, version: m.version, score: int64(math.Round(s * 1e6)), wait: wait}, true
}

// scoreAll makes the job's heap. Machines with room are scored first. A busy
// one is looked at only where it can win: if it has the image and no machine
// with room has, or if no machine has room at all for the task, which then
// waits in line so that smaller work doesn't take the room that it needs.
// Once the lines behind busy machines are full, or half of the pass is used up,
// none is looked at: at 2,000 full machines each job that has aged would otherwise
// score them all to no avail, and leave nothing for the work that finds room.
func (p *pass) scoreAll(r *PendingJob) {
	r.scored = true
	r.choices = r.choices[:0]
	cached := false
	p.eachCandidate(func(m *Machine) bool {
		if !m.Free.Fits(r.Request) {
			return true
		}
		if c, ok := p.score(r, m); ok {
			r.choices = append(r.choices, c)
			at, here := m.Images[r.Image]
			cached = cached || here && at <= p.now
		}
		return true
	})
	if none := len(r.choices) == 0; !p.startOnly && p.queued < tuning.PassMaxQueued && p.work.ScoredPairs < tuning.PassMaxScoredPairs/2 && (!cached && r.ImageGB > 0 || none) {
		busy := p.machines
		if !none {
			busy = p.holdersOf(r.Image)
		}
		for _, m := range busy {
			if m.Free.Fits(r.Request) {
				continue
			}
			if c, ok := p.score(r, m); ok {
				r.choices = append(r.choices, c)
			}
		}
	}
	heap.Init((*choices)(&r.choices))
}

// eachCandidate calls f for the machines with room for the smallest of the tasks
// until it returns false.
func (p *pass) eachCandidate(f func(*Machine) bool) {
	kept := 0
	for i, m := range p.candidates {
		if !m.Free.Fits(p.least) {
			continue // room only shrinks within a pass
		}
		p.candidates[kept] = m
		kept++
		if !f(m) {
			kept += copy(p.candidates[kept:], p.candidates[i+1:])
			break
		}
	}
	p.candidates = p.candidates[:kept]
}

func (p *pass) holdersOf(image string) []*Machine {
	list, ok := p.holders[image]
	if !ok {
		for _, m := range p.machines {
			if _, here := m.Images[image]; here {
				list = append(list, m)
			}
		}
		p.holders[image] = list
	}
	return list
}

// best brings the best machine to the top of the job's heap: entries scored
// before their machine changed are scored again. It is nil if there is none.
func (p *pass) best(r *PendingJob) *choice {
	if !r.scored {
		p.scoreAll(r)
	}
	h := (*choices)(&r.choices)
	for len(r.choices) > 0 {
		top := &r.choices[0]
		if top.version == top.m.version && (!r.SameZone && !r.Spread || r.Allowed(top.m)) {
			return top
		}
		if c, ok := p.score(r, top.m); ok {
			r.choices[0] = c
			heap.Fix(h, 0)
		} else {
			heap.Pop(h)
		}
	}
	return nil
}
