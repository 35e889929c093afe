package admission

import (
	"hash/fnv"
	"math"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// Policy has the share of submissions that is admitted for each key. The leader
// publishes it to every node.
type Policy struct {
	Term uint64 `json:"term"`
	// Revision increases with every policy. It follows the Unix time in seconds, so
	// that it keeps increasing when the leader changes.
	Revision uint64 `json:"revision"`
	// TTLMS is how long a node may apply the policy after it first received it.
	TTLMS int64 `json:"lifeMs"`
	// Shares has the keys of which not all submissions are admitted.
	Shares []Share `json:"shares,omitempty"`
}

// Share is the part of a key's submissions that is admitted.
type Share struct {
	Key
	Admit float64 `json:"admit"`
}

// ttl returns how long the policy may be applied.
func (p *Policy) ttl() time.Duration { return time.Duration(p.TTLMS) * time.Millisecond }

// newerThan reports whether the policy replaces the other one.
func (p *Policy) newerThan(other *Policy) bool {
	if p.Term != other.Term {
		return p.Term > other.Term
	}
	return p.Revision > other.Revision
}

// share returns the part of a key's submissions that is admitted: 1 if the policy
// doesn't limit the key.
func (p *Policy) share(k Key) float64 {
	for _, s := range p.Shares {
		if s.Key == k {
			return s.Admit
		}
	}
	return 1
}

// Decide applies the policy to a request. Nodes with the same policy and the same
// record of the job's wait decide alike.
func (p *Policy) Decide(r *Request) Decision {
	share := p.share(r.Key)
	if share >= 1 || samplingValue(r.ID, p.Revision) < share*r.agingFactor() {
		return Decision{Admitted: true}
	}
	return rejection(r.ID, p.Revision, share)
}

// rejection returns a rejection whose retry delay is longer for smaller shares. The
// delays are spread by job ID, so that retries don't arrive all at once.
func rejection(id string, revision uint64, share float64) Decision {
	spread := float64(tuning.AdmissionRetryMaxS)
	if share > 0 {
		spread = min(spread, math.Ceil(1/share))
	}
	spread = max(spread, tuning.AdmissionRetryMinS)
	return Decision{RetryAfterS: 1 + int(samplingValue(id, ^revision)*spread)}
}

// goldenRatioMultiplier is 2^64 divided by the golden ratio: its multiples, modulo
// 2^64, are spread more evenly than random numbers.
const goldenRatioMultiplier = 0x9E3779B97F4A7C15

// mantissaBits is the precision of a float64, in bits.
const mantissaBits = 53

// samplingValue returns a pseudo-random number in [0, 1) for a job and a revision. The
// values of one job in successive revisions are spread evenly: the more revisions have
// rejected a job, the likelier the next one admits it, at any node and leader.
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
