package scaling

import (
	"slices"

	"switchshore.example/switchshore/internal/tuning"
)

// ReleaseInFlight reports whether a release call is in flight. Until it returns, the caller makes no
// further release calls. Later releases then share a call, which leaves more of the cloud's rate limit
// for provision calls.
func (s *Scaler) ReleaseInFlight() bool { return s.releasesInFlight > 0 }

// ScaleIn marks the named machines as being released and returns the release calls for them. names
// lists the most urgent machines first. ScaleIn leaves out the machines that exceed the limit of
// release calls in flight; the caller names them again later.
func (s *Scaler) ScaleIn(names []string) []CloudCall {
	maxReleases := tuning.MaxReleaseCount * max(1, int(s.config.CloudRPS*tuning.CloudCallShare*tuning.ReleasesInFlight))
	var releasing []string
	for _, name := range names {
		if m := s.cluster.Machines.Get(name); m != nil && !m.IsBeingReleased() && len(releasing) < maxReleases {
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
