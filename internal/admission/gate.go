package admission

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/time/rate"

	"switchshore.example/switchshore/internal/tuning"
)

// Gate is a node's part in admission control, across terms. It counts the submissions
// that the node receives, records the jobs that it has rejected with the time of the
// first rejection, and applies the leader's policy.
type Gate struct {
	settings      *Settings
	policy        Policy
	expires       time.Time
	started       uint64
	offered       map[Key]*OfferedLoad
	histories     map[string]*jobHistory
	leaderQueries *rate.Limiter
}

// jobHistory has the rejected and admitted jobs of one team. Each team has tables of
// its own, so that a flood of IDs evicts only entries of the same team.
type jobHistory struct {
	// rejected has jobs that may be retried, with the time of their first rejection.
	rejected *simplelru.LRU[string, time.Time]
	// admitted has jobs that were forwarded and may have been accepted: they must not
	// be rejected as new jobs.
	admitted *simplelru.LRU[string, struct{}]
}

// OfferedLoad counts the submissions of a key since the node started.
type OfferedLoad struct {
	Key
	Count int64 `json:"count"`
	// AgingFactorSum is the sum of the submissions' aging factors.
	AgingFactorSum float64 `json:"boosted"`
	// PriorityWeightSum is the sum of the weights of the submissions' priorities.
	PriorityWeightSum float64 `json:"weight"`
}

// NodeOfferedLoad is the offered load of a node. Started identifies the process; the
// counts never decrease while it stays the same.
type NodeOfferedLoad struct {
	Node    string        `json:"node"`
	Started uint64        `json:"started"`
	Loads   []OfferedLoad `json:"offers,omitempty"`
}

// olderThan reports whether the counts are older than others of the same process,
// because their message was delayed.
func (n *NodeOfferedLoad) olderThan(other *NodeOfferedLoad) bool {
	return n.Started == other.Started && n.total() < other.total()
}

func (n *NodeOfferedLoad) total() (count int64) {
	for _, o := range n.Loads {
		count += o.Count
	}
	return count
}

// NewGate returns the gate of a node. started distinguishes its counts from those of
// earlier processes.
func NewGate(s *Settings, started uint64) *Gate {
	g := &Gate{
		settings: s, started: started, offered: map[Key]*OfferedLoad{}, histories: map[string]*jobHistory{},
		leaderQueries: rate.NewLimiter(tuning.AdmissionLeaderQueriesPerSecond, tuning.AdmissionLeaderQueriesPerSecond),
	}
	size := max(tuning.AdmissionMaxTrackedJobs/max(len(s.Teams), 1), 1)
	for _, t := range s.Teams {
		rejected, _ := simplelru.NewLRU[string, time.Time](size, nil) // the only error is a size below one
		admitted, _ := simplelru.NewLRU[string, struct{}](size, nil)  // the same
		g.histories[t.Name] = &jobHistory{rejected: rejected, admitted: admitted}
	}
	return g
}

// ApplyPolicy replaces the current policy by a newer one. It ignores any other: a
// delayed copy must not extend the time for which a policy is applied.
func (g *Gate) ApplyPolicy(now time.Time, p Policy) {
	if p.newerThan(&g.policy) {
		g.policy = p
		g.expires = now.Add(min(p.ttl(), tuning.AdmissionPolicyTTL))
	}
}

// RecordArrival counts a submission and sets how long it has waited. It returns
// false if the job may have been accepted already or its team is unknown: only the
// leader can decide on such a job.
func (g *Gate) RecordArrival(now time.Time, r *Request) bool {
	h := g.histories[r.Key.Team]
	if h == nil || h.admitted.Contains(r.ID) {
		return false
	}
	if since, ok := h.rejected.Peek(r.ID); ok {
		if now.Sub(since) < tuning.AdmissionRetryWindow {
			r.Waited = now.Sub(since)
		} else {
			// The user's retries have ended since: this is a new submission.
			h.rejected.Remove(r.ID)
		}
	}
	countRequest(g.offered, r)
	return true
}

// Decide applies the current policy. Without one, or with an expired one, it admits
// every job, so that the leader decides. The revision is that of the applied policy,
// 0 for none.
func (g *Gate) Decide(now time.Time, r *Request) (d Decision, revision uint64) {
	if !now.Before(g.expires) {
		return Decision{Admitted: true}, 0
	}
	return g.policy.Decide(r), g.policy.Revision
}

// MayQueryLeader reports whether the node may query the leader about a job that was
// rejected before and may have been accepted through another node since. The rate of
// queries is limited.
func (g *Gate) MayQueryLeader(now time.Time, r *Request) bool {
	return r.Waited > 0 && g.leaderQueries.AllowN(now, 1)
}

// RecordAdmitted records that a job is forwarded to the leader.
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
	n := NodeOfferedLoad{Node: node, Started: g.started}
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
