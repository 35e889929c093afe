package placement

import (
	"math"

	"switchshore.example/switchshore/internal/tuning"
)

// FetchTimeS returns the time in seconds that a machine needs to fetch an image of the
// size, T(f) in the paper. It is zero if the bandwidth is unknown.
func FetchTimeS(sizeGB, gbPerS float64) float64 {
	if gbPerS <= 0 {
		return 0
	}
	return sizeGB / gbPerS
}

// fetchDelayS returns the time in seconds until the machine has the image. It is zero
// if the image is cached, and the remaining fetch time if it is being fetched. Otherwise
// it is FetchTimeS plus the remaining times of the other images' fetches, which share
// the bandwidth.
func (m *Machine) fetchDelayS(now float64, image string, sizeGB float64) float64 {
	if readyAt, ok := m.Images[image]; ok {
		return max(0, readyAt-now)
	}
	if m.FetchGBPerS <= 0 {
		return 0
	}
	// The sum of whole milliseconds is exact, so the random iteration order of the map
	// doesn't change it.
	var othersMS float64
	for _, readyAt := range m.Images {
		if readyAt > now {
			othersMS += math.Round((readyAt - now) * 1000)
		}
	}
	return FetchTimeS(sizeGB, m.FetchGBPerS) + othersMS/1000
}

// timeUntilFits returns the time in seconds until the request fits on the machine, as
// its running and queued tasks end. It is zero only if the request fits now. A task
// that has exceeded its estimate counts as running for another tuning.MinRemainingS;
// if its resources counted as free, the pass would start tasks for which the machine
// has no capacity yet, and the machine would refuse them.
func (m *Machine) timeUntilFits(now float64, request Resources) float64 {
	if m.Free.Fits(request) {
		return 0
	}
	free := m.Free
	for _, task := range m.PlacedTasks {
		free = free.Add(task.Request, 1)
		if free.Fits(request) {
			return max(task.EndS-now, tuning.MinRemainingS)
		}
	}
	return math.Inf(1)
}

// isReservedForHigherPriority reports whether the machine has a reservation or a queued task of
// a higher priority than the job's.
func (m *Machine) isReservedForHigherPriority(j *PendingJob) bool {
	return m.queuedRank != noRank && m.queuedRank < j.PriorityRank
}

// isEligible reports whether a task of the job may be assigned to the machine.
func (m *Machine) isEligible(j *PendingJob) bool {
	if m.isReservedForHigherPriority(j) && j.AgedS == 0 {
		return false
	}
	return j.CanRunOn(&m.Host)
}

// score returns the machine as a candidate for the job, or false if no task of the job
// may be assigned to it. The score is the speedup S(t, vm) = Rs(t) - Rvm(t, vm) of the
// paper, in microseconds: the time that the task takes with a fetch on an idle machine,
// minus its time on this machine. The run time is part of both and cancels out. The
// fetch time remains, minus the wait and the fetch delay on this machine.
func (p *pass) score(j *PendingJob, m *Machine) (candidate, bool) {
	p.stats.ScoredPairs++
	if !m.isEligible(j) {
		return candidate{}, false
	}
	waitS := m.timeUntilFits(p.now, j.Request)
	if math.IsInf(waitS, 1) || p.startOnly && waitS > 0 {
		return candidate{}, false
	}
	speedupS := FetchTimeS(j.ImageGB, m.FetchGBPerS) - waitS - m.fetchDelayS(p.now, j.Image, j.ImageGB)
	return candidate{machine: m, version: m.version, score: int64(math.Round(speedupS * 1e6)), waitS: waitS}, true
}
