package placement

import (
	"math"

	"switchshore.example/switchshore/internal/tuning"
)

// FetchTime is T(f) of the paper: an image's size over the fetch bandwidth, or
// zero if the bandwidth is not known.
func FetchTime(gb, gbPerS float64) float64 {
	if gbPerS <= 0 {
		return 0
	}
	return gb / gbPerS
}

// fetchDelay is the time until the machine has the image: T(f) counted only for
// what the cache lacks; other fetches in progress share the bandwidth.
func (m *Machine) fetchDelay(now float64, image string, gb float64) float64 {
	if at, ok := m.Images[image]; ok {
		return max(0, at-now)
	}
	if m.FetchGBPerS <= 0 {
		return 0
	}
	// Whole milliseconds, so that the order of the sum doesn't matter.
	var othersMS float64
	for _, at := range m.Images {
		if at > now {
			othersMS += math.Round((at - now) * 1000)
		}
	}
	return FetchTime(gb, m.FetchGBPerS) + othersMS/1000
}

// waitFor is the time until the request fits, given what runs and is queued on
// the machine; zero only if it fits now. A task beyond its estimate has no time
// left by MinRemainingS alone, but it is still there: counting its resources as
// free made machines refuse starts.
func (m *Machine) waitFor(now float64, request Resources) float64 {
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

// isReservedFrom reports whether the machine is reserved, or has a queue, for a
// priority above the job's.
func (m *Machine) isReservedFrom(j *PendingJob) bool {
	return m.queuedRank != noRank && m.queuedRank < j.PriorityRank
}

// isEligible reports whether the machine may take a task of the job.
func (m *Machine) isEligible(j *PendingJob) bool {
	if m.isReservedFrom(j) && j.AgedS == 0 {
		return false
	}
	return len(m.PlacedTasks) < tuning.MaxTasksPerMachine && !m.AvoidedJobs[j.Job] && j.CanRunOn(m)
}

// score is S(t, vm) = Rs(t) - Rvm(t, vm) in microseconds, and the wait for
// capacity in it; false if the machine can't take the task. R(t) cancels out:
// what is left is the fetch on an empty machine less the fetch and the wait here.
func (p *pass) score(j *PendingJob, m *Machine) (candidate, bool) {
	p.stats.ScoredPairs++
	if !m.isEligible(j) {
		return candidate{}, false
	}
	wait := m.waitFor(p.now, j.Request)
	if math.IsInf(wait, 1) || p.startOnly && wait > 0 {
		return candidate{}, false
	}
	speedup := FetchTime(j.ImageGB, m.FetchGBPerS) - wait - m.fetchDelay(p.now, j.Image, j.ImageGB)
	return candidate{machine: m, version: m.version, score: int64(math.Round(speedup * 1e6)), wait: wait}, true
}
