package scaling

import (
	"slices"

	"switchshore.example/switchshore/internal/tuning"
)

// ReleaseInFlight reports whether a release call is in flight. The caller then puts off further
// releases and later sends them in one batch, which leaves more of the call budget for
// provisioning.
func (s *Scaler) ReleaseInFlight() bool { return s.releasesInFlight > 0 }

// ScaleIn marks the named machines as being released and returns the release calls for them.
// names lists the most urgent machines first; those beyond the limit of calls in flight are
// left for a later call.
func (s *Scaler) ScaleIn(names []string) []CloudCall {
	limit := tuning.MaxReleaseCount * max(1, int(s.config.CloudRPS*tuning.CloudCallShare*tuning.MaxReleasesInFlightS))
	var releasing []string
	for _, name := range names {
		if m := s.cluster.Machines.Get(name); m != nil && !m.IsReleasing() && len(releasing) < limit {
			m.BeginRelease()
			releasing = append(releasing, name)
		}
	}
	var calls []CloudCall
	for batch := range slices.Chunk(releasing, tuning.MaxReleaseCount) {
		s.releasesInFlight++
		calls = append(calls, CloudCall{Op: CloudRelease, Release: batch})
	}
	return calls
}

// FinishRelease records that a release call has returned.
func (s *Scaler) FinishRelease() { s.releasesInFlight = max(0, s.releasesInFlight-1) }
