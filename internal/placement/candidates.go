package placement

import (
	"container/heap"

	"switchshore.example/switchshore/internal/tuning"
)

// candidate is a machine with its score for a job.
type candidate struct {
	machine *Machine
	version int // version of the machine when it was scored
	score   int64
	wait    float64 // seconds until the task could start
}

// betterThan reports whether c precedes other: the larger speedup first, then the
// cheaper machine, then the one with fewer free CPUs.
func (c *candidate) betterThan(other *candidate) bool {
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

// candidateHeap implements heap.Interface on the slice of a job, so that a pass
// allocates little.
type candidateHeap []candidate

func (h candidateHeap) Len() int { return len(h) }

func (h candidateHeap) Less(i, j int) bool { return h[i].betterThan(&h[j]) }

func (h candidateHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an entry.
func (h *candidateHeap) Push(x any) { *h = append(*h, x.(candidate)) }

// Pop removes the last entry. It returns nil instead of the entry, as no
// caller needs it and boxing it would allocate.
func (h *candidateHeap) Pop() any {
	*h = (*h)[:len(*h)-1]
	return nil
}

// scoreMachines builds the job's heap from the machines on which its tasks fit
// now and the busy machines that could have a better score.
func (p *pass) scoreMachines(j *PendingJob) {
	j.scored = true
	j.candidates = j.candidates[:0]
	cached := false
	p.eachAvailableMachine(func(m *Machine) bool {
		if !m.Free.Fits(j.Request) {
			return true
		}
		if c, ok := p.score(j, m); ok {
			j.candidates = append(j.candidates, c)
			readyAt, listed := m.Images[j.Image]
			cached = cached || listed && readyAt <= p.now
		}
		return true
	})
	for _, m := range p.busyCandidates(j, cached) {
		if m.Free.Fits(j.Request) {
			continue
		}
		if c, ok := p.score(j, m); ok {
			j.candidates = append(j.candidates, c)
		}
	}
	heap.Init((*candidateHeap)(&j.candidates))
}

// busyCandidates returns the machines to score after those on which the job's
// tasks fit now. cached says whether one of the latter has the image. A busy
// machine can have the best score only if it has the image and none of the
// latter has, or if the tasks fit nowhere now. In that case they are queued, so
// that smaller tasks don't use the resources that they need.
//
// It returns none if the pass has queued its maximum of tasks or used half of
// its scores. Otherwise, with 2,000 full machines, each aged job would score all
// of them without result and leave no scores for the jobs that fit.
func (p *pass) busyCandidates(j *PendingJob, cached bool) []*Machine {
	if p.startOnly || p.queuedTasks >= tuning.PlacementMaxQueuedTasks || p.stats.ScoredPairs >= tuning.PlacementMaxScoredPairs/2 {
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

// eachAvailableMachine calls f for the machines on which the smallest request
// fits, until f returns false. It removes machines that have become too full.
func (p *pass) eachAvailableMachine(f func(*Machine) bool) {
	kept := 0
	for i, m := range p.availableMachines {
		if !m.Free.Fits(p.smallestRequest) {
			continue // free resources only decrease within a pass
		}
		p.availableMachines[kept] = m
		kept++
		if !f(m) {
			kept += copy(p.availableMachines[kept:], p.availableMachines[i+1:])
			break
		}
	}
	p.availableMachines = p.availableMachines[:kept]
}

// machinesWithImage returns the machines that have the image or are fetching it.
func (p *pass) machinesWithImage(image string) []*Machine {
	list, ok := p.machinesByImage[image]
	if !ok {
		for _, m := range p.machines {
			if _, listed := m.Images[image]; listed {
				list = append(list, m)
			}
		}
		p.machinesByImage[image] = list
	}
	return list
}

// bestMachine returns the best candidate of the job, which is the top of its
// heap, or nil if there is none. It scores entries again whose machine has
// changed since.
func (p *pass) bestMachine(j *PendingJob) *candidate {
	if !j.scored {
		p.scoreMachines(j)
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
