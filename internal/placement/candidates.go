package placement

import (
	"container/heap"

	"switchshore.example/switchshore/internal/tuning"
)

// candidate is a machine scored for a job.
type candidate struct {
	machine *Machine
	version int // of the machine when it was scored
	score   int64
	wait    float64
}

// better orders candidates: the larger speedup, then the cheaper machine, then
// the fuller one.
func (c *candidate) better(other *candidate) bool {
	a, b := c.machine, other.machine
	if c.score != other.score {
		return c.score > other.score
	}
	if a.Price != b.Price {
		return a.Price < b.Price
	}
	if a.Free.CPUs != b.Free.CPUs {
		return a.Free.CPUs < b.Free.CPUs
	}
	return a.ID < b.ID
}

// candidateHeap implements heap.Interface on the jobs' own slices, so that a
// pass allocates little.
type candidateHeap []candidate

func (h candidateHeap) Len() int { return len(h) }

func (h candidateHeap) Less(i, j int) bool { return h[i].better(&h[j]) }

func (h candidateHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an entry.
func (h *candidateHeap) Push(x any) { *h = append(*h, x.(candidate)) }

// Pop removes the last entry. It returns nil in its place, as nobody needs the
// entry and boxing it would allocate.
func (h *candidateHeap) Pop() any {
	*h = (*h)[:len(*h)-1]
	return nil
}

// scoreAll builds the job's heap: the machines where its tasks fit now and, if
// one of them can win, the busy ones.
func (p *pass) scoreAll(j *PendingJob) {
	j.scored = true
	j.candidates = j.candidates[:0]
	cached := false
	p.eachOpenMachine(func(m *Machine) bool {
		if !m.Free.Fits(j.Request) {
			return true
		}
		if c, ok := p.score(j, m); ok {
			j.candidates = append(j.candidates, c)
			at, here := m.Images[j.Image]
			cached = cached || here && at <= p.now
		}
		return true
	})
	for _, m := range p.busyMachines(j, cached) {
		if m.Free.Fits(j.Request) {
			continue
		}
		if c, ok := p.score(j, m); ok {
			j.candidates = append(j.candidates, c)
		}
	}
	heap.Init((*candidateHeap)(&j.candidates))
}

// busyMachines are the machines to be scored after those where the job's tasks
// fit now; cached reports whether one of these has the image. A busy machine
// can win only if it has the image and none of these has, or if the tasks fit
// nowhere now: they are queued then, so that smaller tasks don't take the
// capacity that they need. Once the queues behind busy machines are full, or
// half of the pass is used up, there are none: at 2,000 full machines each aged
// job would otherwise score them all in vain, and leave nothing for the jobs
// that fit.
func (p *pass) busyMachines(j *PendingJob, cached bool) []*Machine {
	if p.startOnly || p.queuedTasks >= tuning.PassMaxQueuedTasks || p.stats.ScoredPairs >= tuning.PassMaxScoredPairs/2 {
		return nil
	}
	switch {
	case len(j.candidates) == 0:
		return p.machines
	case !cached && j.ImageGB > 0:
		return p.machinesWithImage(j.Image)
	}
	return nil
}

// eachOpenMachine calls f for the machines on which the smallest request fits,
// until it returns false.
func (p *pass) eachOpenMachine(f func(*Machine) bool) {
	kept := 0
	for i, m := range p.openMachines {
		if !m.Free.Fits(p.smallestRequest) {
			continue // what is free only shrinks within a pass
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

// machinesWithImage lists the machines that have the image or fetch it.
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

// bestMachine brings the best machine to the top of the job's heap: entries
// scored before their machine changed are scored again. It is nil if there is none.
func (p *pass) bestMachine(j *PendingJob) *candidate {
	if !j.scored {
		p.scoreAll(j)
	}
	zoneMatters := j.OneZone || j.SpreadZones
	h := (*candidateHeap)(&j.candidates)
	for len(j.candidates) > 0 {
		top := &j.candidates[0]
		if top.version == top.machine.version && (!zoneMatters || j.CanRunOn(top.machine)) {
			return top
		}
		if c, ok := p.score(j, top.machine); ok {
			j.candidates[0] = c
			heap.Fix(h, 0)
		} else {
			heap.Pop(h)
		}
	}
	return nil
}
