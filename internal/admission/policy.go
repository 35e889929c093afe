package admission

import (
	"hash/fnv"
	"math"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// Policy has, for each key, the share of submissions that are admitted. The leader
// publishes it to every node.
type Policy struct {
	Term uint64 `json:"term"`
	// Revision increases with every policy. It is at least the Unix time in seconds, and
	// thus also increases from one leader to the next.
	Revision uint64 `json:"revision"`
	// TTLMS is how long a node may apply the policy after it first received the policy, in
	// milliseconds.
	TTLMS int64 `json:"lifeMs"`
	// Shares has the keys whose submissions are not all admitted.
	Shares []Share `json:"shares,omitempty"`
}

// Share has the share of a key's submissions that are admitted, between 0 and 1.
type Share struct {
	Key
	AdmitRatio float64 `json:"admit"`
}

// ttl returns how long the policy may be applied.
func (p *Policy) ttl() time.Duration { return time.Duration(p.TTLMS) * time.Millisecond }

// newerThan reports whether the policy is of a later term than other, or of the same term
// and a later revision.
func (p *Policy) newerThan(other *Policy) bool {
	if p.Term != other.Term {
		return p.Term > other.Term
	}
	return p.Revision > other.Revision
}

// share returns the share of a key's submissions that are admitted. It is 1 if the policy
// doesn't limit the key.
func (p *Policy) share(k Key) float64 {
	for _, s := range p.Shares {
		if s.Key == k {
			return s.AdmitRatio
		}
	}
	return 1
}

// Decide applies the policy to a request. Nodes that have the same policy, and have the
// same Waited for the job, decide alike.
func (p *Policy) Decide(r *Request) Decision {
	share := p.share(r.Key)
	if share >= 1 || samplingValue(r.ID, p.Revision) < share*r.agingFactor() {
		return Decision{Admitted: true}
	}
	return rejection(r.ID, p.Revision, share)
}

// rejection returns the decision to reject a job. The retry delay depends on the job ID,
// which prevents that all retries arrive at once, and is longer for smaller shares. With a
// share of 0, the delays are spread over the longest time.
func rejection(id string, revision uint64, share float64) Decision {
	spreadS := float64(tuning.AdmissionRetrySpreadMaxS)
	if share > 0 {
		spreadS = min(spreadS, math.Ceil(1/share))
	}
	spreadS = max(spreadS, tuning.AdmissionRetrySpreadMinS)
	return Decision{RetryAfterS: 1 + int(samplingValue(id, ^revision)*spreadS)}
}

// goldenRatioMultiplier is 2^64 divided by the golden ratio: its multiples, modulo
// 2^64, are spread more evenly than random numbers.
const goldenRatioMultiplier = 0x9E3779B97F4A7C15

// mantissaBits is the precision of a float64, in bits.
const mantissaBits = 53

// samplingValue returns a pseudo-random number in [0, 1) for a job and a revision, which is
// the same on all nodes. The values of one job in successive revisions are spread evenly:
// the more revisions have rejected a job, the likelier the next one admits it.
func samplingValue(id string, revision uint64) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // a hash never fails to write
	value := mixBits(h.Sum64()) + revision*goldenRatioMultiplier
	return float64(value>>(64-mantissaBits)) / (1 << mantissaBits)
}

// mixBits returns a value of which every bit depends on all bits of x (the finaliser
// of MurmurHash3).
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xFF51AFD7ED558CCD
	x ^= x >> 33
	x *= 0xC4CEB9FE1A85EC53
	return x ^ x>>33
}
