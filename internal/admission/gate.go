package admission

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/time/rate"

	"switchshore.example/switchshore/internal/tuning"
)

// Gate is a node's part in admission control. It counts the submissions that the node
// receives, records which jobs were rejected and when first, and applies the leader's
// policy. It exists as long as the process, through changes of the leader.
type Gate struct {
	settings      *Settings
	policy        Policy
	policyExpires time.Time
	incarnation   uint64
	offered       map[Key]*OfferedLoad
	histories     map[string]*jobHistory
	leaderQueries *rate.Limiter
}

// jobHistory has the rejected and admitted jobs of one team. Each team has its own tables:
// a flood of job IDs then evicts only entries of the same team.
type jobHistory struct {
	// rejected has jobs that may be retried, with the time of their first rejection.
	rejected *simplelru.LRU[string, time.Time]
	// admitted has jobs that were forwarded to the leader, which may have accepted them.
	// They must not be rejected as new jobs.
	admitted *simplelru.LRU[string, struct{}]
}

// OfferedLoad counts the submissions of a key since the node started, retries included.
type OfferedLoad struct {
	Key
	Count int64 `json:"count"`
	// AgingFactorSum is the sum of the submissions' aging factors.
	AgingFactorSum float64 `json:"boosted"`
	// PriorityWeightSum is the sum of the weights of the submissions' priorities.
	PriorityWeightSum float64 `json:"weight"`
}

// NodeOfferedLoad is the offered load of a node. Incarnation identifies the process. The
// counts never decrease while it stays the same.
type NodeOfferedLoad struct {
	Node        string        `json:"node"`
	Incarnation uint64        `json:"started"`
	Loads       []OfferedLoad `json:"offers,omitempty"`
}

// olderThan reports whether n and other come from the same process, and n was counted
// earlier. Messages with counts may be delayed.
func (n *NodeOfferedLoad) olderThan(other *NodeOfferedLoad) bool {
	return n.Incarnation == other.Incarnation && n.total() < other.total()
}

func (n *NodeOfferedLoad) total() (count int64) {
	for _, o := range n.Loads {
		count += o.Count
	}
	return count
}

// NewGate returns the gate of a node. incarnation distinguishes its counts from those of
// the node's earlier processes.
func NewGate(s *Settings, incarnation uint64) *Gate {
	g := &Gate{
		settings: s, incarnation: incarnation, offered: map[Key]*OfferedLoad{}, histories: map[string]*jobHistory{},
		leaderQueries: rate.NewLimiter(tuning.AdmissionLeaderQueriesPerSecond, tuning.AdmissionLeaderQueriesPerSecond),
	}
	jobsPerTable := max(tuning.AdmissionMaxTrackedJobs/max(len(s.Teams), 1), 1)
	for _, t := range s.Teams {
		rejected, _ := simplelru.NewLRU[string, time.Time](jobsPerTable, nil) // the only error is a size below one
		admitted, _ := simplelru.NewLRU[string, struct{}](jobsPerTable, nil)  // the same
		g.histories[t.Name] = &jobHistory{rejected: rejected, admitted: admitted}
	}
	return g
}

// ApplyPolicy replaces the current policy if p is newer. It ignores older policies and
// copies of the current one: a delayed copy must not extend the time for which a policy is
// applied.
func (g *Gate) ApplyPolicy(now time.Time, p Policy) {
	if p.newerThan(&g.policy) {
		g.policy = p
		g.policyExpires = now.Add(min(p.ttl(), tuning.AdmissionPolicyTTL))
	}
}

// RecordArrival counts a submission and sets r.Waited. It returns false, and does neither,
// if the job may have been accepted already or its team is unknown: only the leader can
// decide on such a job.
func (g *Gate) RecordArrival(now time.Time, r *Request) bool {
	h := g.histories[r.Key.Team]
	if h == nil || h.admitted.Contains(r.ID) {
		return false
	}
	if firstRejectedAt, ok := h.rejected.Peek(r.ID); ok {
		if now.Sub(firstRejectedAt) < tuning.AdmissionRetryWindow {
			r.Waited = now.Sub(firstRejectedAt)
		} else {
			// The user no longer retries the earlier submission: this is a new one.
			h.rejected.Remove(r.ID)
		}
	}
	countRequest(g.offered, r)
	return true
}

// Decide applies the current policy to a job, and returns the policy's revision. If there
// is no policy, or it has expired, Decide admits the job, which leaves the decision to the
// leader, and returns revision 0.
func (g *Gate) Decide(now time.Time, r *Request) (d Decision, revision uint64) {
	if !now.Before(g.policyExpires) {
		return Decision{Admitted: true}, 0
	}
	return g.policy.Decide(r), g.policy.Revision
}

// MayQueryLeader reports whether the node may query the leader about a job before it rejects
// the job. It may only do so for a job that was rejected before, because the job may have
// been accepted through another node since, and only if the limit on the rate of such
// queries allows it. Each true result counts as a query.
func (g *Gate) MayQueryLeader(now time.Time, r *Request) bool {
	return r.Waited > 0 && g.leaderQueries.AllowN(now, 1)
}

// RecordAdmitted records that a job is about to be forwarded to the leader.
func (g *Gate) RecordAdmitted(r *Request) {
	if h := g.histories[r.Key.Team]; h != nil {
		h.admitted.Add(r.ID, struct{}{})
	}
}

// RecordRejected records that this node or the leader has rejected a job.
func (g *Gate) RecordRejected(now time.Time, r *Request) {
	h := g.histories[r.Key.Team]
	if h == nil {
		return
	}
	h.admitted.Remove(r.ID)
	if !h.rejected.Contains(r.ID) {
		h.rejected.Add(r.ID, now)
	}
}

// OfferedLoad returns the counts of submissions so far.
func (g *Gate) OfferedLoad(node string) NodeOfferedLoad {
	n := NodeOfferedLoad{Node: node, Incarnation: g.incarnation}
	for _, o := range g.offered {
		n.Loads = append(n.Loads, *o)
	}
	return n
}

// countRequest adds a request to the offered load of its key.
func countRequest(offered map[Key]*OfferedLoad, r *Request) {
	o := offered[r.Key]
	if o == nil {
		o = &OfferedLoad{Key: r.Key}
		offered[r.Key] = o
	}
	o.Count++
	o.AgingFactorSum += r.agingFactor()
	o.PriorityWeightSum += priorityWeight(r.PriorityRank)
}

// priorityWeight returns the weight of a priority in the division of a team's budget.
func priorityWeight(rank int) float64 {
	return float64(int(1) << max(0, tuning.AdmissionLowestPriorityRank-rank))
}
