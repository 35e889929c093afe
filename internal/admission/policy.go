package admission

import (
	"hash/fnv"
	"math"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// Policy is what a leader publishes to every node: the share of the submissions
// of each key that is admitted now.
type Policy struct {
	Term uint64 `json:"term"`
	// Revision grows with every policy. It follows the time of day in seconds, so that
	// it continues to grow when the leader changes.
	Revision uint64 `json:"revision"`
	// TTLMS is how long a node may apply the policy after it has received it first.
	TTLMS int64 `json:"lifeMs"`
	// Shares are the keys of which not everything is admitted.
	Shares []Share `json:"shares,omitempty"`
}

// Share is the part of a key's submissions that is admitted.
type Share struct {
	Key
	Admit float64 `json:"admit"`
}

// ttl is how long the policy may be applied.
func (p *Policy) ttl() time.Duration { return time.Duration(p.TTLMS) * time.Millisecond }

// newerThan reports whether the policy replaces another one.
func (p *Policy) newerThan(other *Policy) bool {
	if p.Term != other.Term {
		return p.Term > other.Term
	}
	return p.Revision > other.Revision
}

// share is the part of a key's submissions that is admitted: all if the policy has none.
func (p *Policy) share(k Key) float64 {
	for _, s := range p.Shares {
		if s.Key == k {
			return s.Admit
		}
	}
	return 1
}

// Decide applies the policy to a request. Nodes with the same policy that know the
// same wait of the job come to the same decision.
func (p *Policy) Decide(r *Request) Decision {
	share := p.share(r.Key)
	if share >= 1 || ticket(r.ID, p.Revision) < share*r.agingFactor() {
		return Decision{Admitted: true}
	}
	return rejection(r.ID, p.Revision, share)
}

// rejection asks the user to retry within a time that grows as the share shrinks.
// The times are spread by job, so that retries don't come all at once.
func rejection(id string, revision uint64, share float64) Decision {
	spread := float64(tuning.AdmissionRetryMaxS)
	if share > 0 {
		spread = min(spread, math.Ceil(1/share))
	}
	spread = max(spread, tuning.AdmissionRetryMinS)
	return Decision{RetryAfterS: 1 + int(ticket(id, ^revision)*spread)}
}

// goldenRatio is 2^64 divided by the golden ratio: multiples of it, modulo 2^64, are
// spread more evenly than random numbers.
const goldenRatio = 0x9E3779B97F4A7C15

// mantissaBits is the precision of a float64, in bits.
const mantissaBits = 53

// ticket draws a number in [0, 1) for a job and a revision. The draws of one job in
// successive revisions are spread evenly: the longer it has missed a share, the
// likelier it is to be admitted next, whichever node or leader it reaches.
func ticket(id string, revision uint64) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // a hash never fails to write
	draw := mix(h.Sum64()) + revision*goldenRatio
	return float64(draw>>(64-mantissaBits)) / (1 << mantissaBits)
}

// mix makes every bit of the result depend on all bits of x (the finaliser of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xFF51AFD7ED558CCD
	x ^= x >> 33
	x *= 0xC4CEB9FE1A85EC53
	return x ^ x>>33
}
