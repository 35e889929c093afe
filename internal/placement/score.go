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
	for _, l := range m.PlacedTasks {
		free = free.Add(l.Request, 1)
		if free.Fits(need) {
			return max(l.EndS-now, tuning.MinRemainingS)
		}
	}
	return math.Inf(1)
}

func (m *Machine) addPlacedTask(l PlacedTask) {
	i := sort.Search(len(m.PlacedTasks), func(i int) bool { return m.PlacedTasks[i].EndS > l.EndS })
	m.PlacedTasks = slices.Insert(m.PlacedTasks, i, l)
}

// candidate is a machine scored for a job.
type candidate struct {
	m       *Machine
	version int // of the machine when it was scored
	score   int64
	wait    float64
}

// better orders choices: the larger speedup, then the cheaper machine, then
// the fuller one.
func (a *candidate) better(b *candidate) bool {
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

// candidateHeap is a heap; the jobs' own slices are used, so that a pass allocates
// little.
type candidateHeap []candidate

func (h candidateHeap) Len() int { return len(h) }

func (h candidateHeap) Less(i, j int) bool { return h[i].better(&h[j]) }

func (h candidateHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *candidateHeap) Push(x any) { *h = append(*h, x.(candidate)) }

// Pop drops the last entry; only its place is wanted.
func (h *candidateHeap) Pop() any {
	*h = (*h)[:len(*h)-1]
	return nil
}

// score is S(t, vm) = Rs(t) - Rvm(t, vm) in microseconds, and the wait for
// room in it; false if the machine can't have the task. R(t) cancels out: what
// is left is the fetch on an empty machine less the fetch and the wait here.
func (p *pass) score(r *PendingJob, m *Machine) (candidate, bool) {
	p.stats.ScoredPairs++
	if m.queuedRank >= 0 && m.queuedRank < r.PriorityRank && r.AgedS == 0 || len(m.PlacedTasks) >= tuning.MaxTasksPerMachine || m.AvoidJobs[r.Job] || !r.Allowed(m) {
		return candidate{}, false
	}
	wait := m.waitFor(p.now, r.Request)
	if math.IsInf(wait, 1) || p.startOnly && wait > 0 {
		return candidate{}, false
	}
	s := FetchTime(r.ImageGB, m.FetchGBPerS) - wait - m.fetch(p.now, r.Image, r.ImageGB)
	return candidate{m: m, version: m.version, score: int64(math.Round(s * 1e6)), wait: wait}, true
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
	r.candidates = r.candidates[:0]
	cached := false
	p.eachOpenMachine(func(m *Machine) bool {
		if !m.Free.Fits(r.Request) {
			return true
		}
		if c, ok := p.score(r, m); ok {
			r.candidates = append(r.candidates, c)
			at, here := m.Images[r.Image]
			cached = cached || here && at <= p.now
		}
		return true
	})
	if none := len(r.candidates) == 0; !p.startOnly && p.queued < tuning.PassMaxQueuedTasks && p.stats.ScoredPairs < tuning.PassMaxScoredPairs/2 && (!cached && r.ImageGB > 0 || none) {
		busy := p.machines
		if !none {
			busy = p.machinesWithImage(r.Image)
		}
		for _, m := range busy {
			if m.Free.Fits(r.Request) {
				continue
			}
			if c, ok := p.score(r, m); ok {
				r.candidates = append(r.candidates, c)
			}
		}
	}
	heap.Init((*candidateHeap)(&r.candidates))
}

// eachOpenMachine calls f for the machines with room for the smallest of the tasks
// until it returns false.
func (p *pass) eachOpenMachine(f func(*Machine) bool) {
	kept := 0
	for i, m := range p.openMachines {
		if !m.Free.Fits(p.smallestRequest) {
			continue // room only shrinks within a pass
		}
		p.openMachines[kept] = m
		kept++
		if !f(m) {
			kept += copy(p.openMachines[kept:], p.openMachines[i+1:])
			break
		}
	}
	p.openMachines = p.openMachines[:kept]
}

func (p *pass) machinesWithImage(image string) []*Machine {
	list, ok := p.machinesByImage[image]
	if !ok {
		for _, m := range p.machines {
			if _, here := m.Images[image]; here {
				list = append(list, m)
			}
		}
		p.machinesByImage[image] = list
	}
	return list
}

// best brings the best machine to the top of the job's heap: entries scored
// before their machine changed are scored again. It is nil if there is none.
func (p *pass) best(r *PendingJob) *candidate {
	if !r.scored {
		p.scoreAll(r)
	}
	h := (*candidateHeap)(&r.candidates)
	for len(r.candidates) > 0 {
		top := &r.candidates[0]
		if top.version == top.m.version && (!r.OneZone && !r.SpreadZones || r.Allowed(top.m)) {
			return top
		}
		if c, ok := p.score(r, top.m); ok {
			r.candidates[0] = c
			heap.Fix(h, 0)
		} else {
			heap.Pop(h)
		}
	}
	return nil
}
