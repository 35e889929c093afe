package placement

import (
	"math"

	"switchshore.example/switchshore/internal/tuning"
)

// FetchTimeS returns T(f) of the paper, an image's size divided by the fetch
// bandwidth, or zero if the bandwidth is unknown.
func FetchTimeS(gb, gbPerS float64) float64 {
	if gbPerS <= 0 {
		return 0
	}
	return gb / gbPerS
}

// fetchDelayS returns the time until the machine has the image: zero if it is cached,
// the rest of its fetch if that is in progress, or else T(f) plus the time of the
// other fetches in progress, which share the bandwidth.
func (m *Machine) fetchDelayS(now float64, image string, gb float64) float64 {
	if readyAt, ok := m.Images[image]; ok {
		return max(0, readyAt-now)
	}
	if m.FetchGBPerS <= 0 {
		return 0
	}
	// Whole milliseconds make the sum independent of the iteration order.
	var othersMS float64
	for _, readyAt := range m.Images {
		if readyAt > now {
			othersMS += math.Round((readyAt - now) * 1000)
		}
	}
	return FetchTimeS(gb, m.FetchGBPerS) + othersMS/1000
}

// timeUntilFits returns the time until the request fits, given the tasks that run or are
// queued on the machine. It is zero only if the request fits now: a task that has
// exceeded its estimate counts as running for another MinRemainingS. If its
// resources counted as free, the machine would refuse starts.
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
	return len(m.PlacedTasks) < tuning.MaxTasksPerMachine && !m.AvoidedJobs[j.JobID] && j.CanRunOn(m)
}

// score returns the machine as a candidate for the job, or false if the machine
// can't run its tasks. The score is S(t, vm) = Rs(t) - Rvm(t, vm) of the paper, in
// microseconds. R(t) cancels out, which leaves the fetch time on an empty machine
// minus the wait and the fetch delay on this one.
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
