package scaling

import (
	"slices"

	"switchshore.example/switchshore/internal/tuning"
)

// ReleaseInFlight reports whether calls to release machines have not been answered. The next
// releases then take all that has gathered meanwhile: the budget of calls is better spent on
// provisioning.
func (s *Scaler) ReleaseInFlight() bool { return s.releasesUnanswered > 0 }

// ScaleIn marks the named machines, the most urgent first, as being released, and returns the
// calls for that, as many as may be under way.
func (s *Scaler) ScaleIn(names []string) []CloudCall {
	most := tuning.MaxReleaseCount * max(1, int(s.config.CloudRPS*tuning.CloudShare*tuning.ReleasesInFlight))
	var releasing []string
	for _, name := range names {
		if m := s.cluster.Machines.Get(name); m != nil && !m.IsReleasing() && len(releasing) < most {
			m.BeginRelease()
			releasing = append(releasing, name)
		}
	}
	var calls []CloudCall
	for some := range slices.Chunk(releasing, tuning.MaxReleaseCount) {
		s.releasesUnanswered++
		calls = append(calls, CloudCall{Op: CloudRelease, Release: some})
	}
	return calls
}

// FinishRelease ends a call to release machines.
func (s *Scaler) FinishRelease() { s.releasesUnanswered = max(0, s.releasesUnanswered-1) }
