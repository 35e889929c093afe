package placement

import (
	"container/heap"

	"switchshore.example/switchshore/internal/tuning"
)

// candidate is a machine with its score for a job.
type candidate struct {
	machine *Machine
	version int     // the machine's version when the score was computed
	score   int64   // speedup in microseconds, see pass.score
	waitS   float64 // seconds until the task could start
}

// betterThan reports whether c precedes other: the one with the higher score, then the
// cheaper machine, then the one with fewer free CPUs, then the one with the smaller ID.
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

// candidateHeap implements heap.Interface on a job's slice of candidates. It stores
// them by value, so that a pass allocates little.
type candidateHeap []candidate

func (h candidateHeap) Len() int { return len(h) }

func (h candidateHeap) Less(i, j int) bool { return h[i].betterThan(&h[j]) }

func (h candidateHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a candidate.
func (h *candidateHeap) Push(x any) { *h = append(*h, x.(candidate)) }

// Pop removes the last entry. It returns nil instead of the entry: no caller needs
// the entry, and its conversion to any would allocate.
func (h *candidateHeap) Pop() any {
	*h = (*h)[:len(*h)-1]
	return nil
}

// buildCandidates builds the job's heap of candidates: the machines on which its tasks
// fit now, and the busy machines that could have a better score.
func (p *pass) buildCandidates(j *PendingJob) {
	j.scored = true
	j.candidates = j.candidates[:0]
	imageCached := false
	p.forEachAvailableMachine(func(m *Machine) bool {
		if !m.Free.Fits(j.Request) {
			return true
		}
		if c, ok := p.score(j, m); ok {
			j.candidates = append(j.candidates, c)
			readyAt, listed := m.Images[j.Image]
			imageCached = imageCached || listed && readyAt <= p.now
		}
		return true
	})
	for _, m := range p.busyMachinesToScore(j, imageCached) {
		if m.Free.Fits(j.Request) {
			continue
		}
		if c, ok := p.score(j, m); ok {
			j.candidates = append(j.candidates, c)
		}
	}
	heap.Init((*candidateHeap)(&j.candidates))
}

// busyMachinesToScore returns the busy machines to score, in addition to the machines
// on which the job's tasks fit now. imageCached is true if one of the machines on which
// they fit now has the image. A busy machine can have the best score in two cases: it
// has the image and none of the machines on which the tasks fit now has it, or the
// tasks fit on no machine now. In the second case the tasks are queued, so that smaller tasks don't use the
// resources that these tasks need.
//
// It returns none if the pass only starts tasks, has queued its maximum of tasks, or
// has scored half of its maximum of pairs. Without the last two limits and with 2,000
// full machines, each aged job would score all of them without a start, and no scores
// would be left for the jobs that fit.
func (p *pass) busyMachinesToScore(j *PendingJob, imageCached bool) []*Machine {
	if p.startOnly || p.queuedTasks >= tuning.PlacementMaxQueuedTasks || p.stats.ScoredPairs >= tuning.PlacementMaxScoredPairs/2 {
		return nil
	}
	switch {
	case len(j.candidates) == 0:
		return p.machines
	case !imageCached && j.ImageGB > 0:
		return p.machinesWithImage(j.Image)
	}
	return nil
}

// forEachAvailableMachine calls f for the machines on which the smallest request
// fits, until f returns false. It removes the machines that it finds too full for
// the smallest request from availableMachines.
func (p *pass) forEachAvailableMachine(f func(*Machine) bool) {
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

// machinesWithImage returns the machines that had the image or were fetching it when
// this pass first asked for them.
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

// bestMachine returns the best candidate of the job, or nil if there is none. The
// best candidate is the top of the job's heap. If its machine has changed since it
// was scored, bestMachine scores it again. It also checks the job's zone constraints
// again, as starts of other tasks may have made a zone unavailable.
func (p *pass) bestMachine(j *PendingJob) *candidate {
	if !j.scored {
		p.buildCandidates(j)
	}
	zoneMatters := j.OneZone || j.SpreadZones
	h := (*candidateHeap)(&j.candidates)
	for len(j.candidates) > 0 {
		top := &j.candidates[0]
		if top.version == top.machine.version && (!zoneMatters || j.CanRunOn(&top.machine.Host)) {
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
