package admission

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/time/rate"

	"switchshore.example/switchshore/internal/tuning"
)

// Gate is a node's part in admission, across terms: it counts the submissions of
// its users, remembers which jobs it has rejected and since when, and applies the
// leader's policy.
type Gate struct {
	settings      *Settings
	policy        Policy
	expires       time.Time
	started       uint64
	offered       map[Key]*OfferedLoad
	historyByTeam map[string]*jobHistory
	leaderQueries *rate.Limiter
}

// jobHistory is what a node remembers of one team's jobs. Each team has tables of
// its own, so that a flood of IDs evicts only those of its own team.
type jobHistory struct {
	// rejected has the time of the first rejection of jobs that may be retried.
	rejected *simplelru.LRU[string, time.Time]
	// admitted has jobs that were forwarded and may have been accepted: they are never
	// rejected as new ones.
	admitted *simplelru.LRU[string, struct{}]
}

// OfferedLoad counts the submissions of a key since a node's start.
type OfferedLoad struct {
	Key
	Count int64 `json:"count"`
	// AgingFactorSum is the sum of their aging factors.
	AgingFactorSum float64 `json:"boosted"`
	// PriorityWeightSum is the sum of the weights of their priorities.
	PriorityWeightSum float64 `json:"weight"`
}

// NodeOfferedLoad is the offered load of a node. Counts only grow while Started is the same.
type NodeOfferedLoad struct {
	Node    string        `json:"node"`
	Started uint64        `json:"started"`
	Loads   []OfferedLoad `json:"offers,omitempty"`
}

// olderThan reports whether the counts are from before others of the same process:
// a message that was delayed.
func (n *NodeOfferedLoad) olderThan(other *NodeOfferedLoad) bool {
	return n.Started == other.Started && n.total() < other.total()
}

func (n *NodeOfferedLoad) total() (count int64) {
	for _, o := range n.Loads {
		count += o.Count
	}
	return count
}

// NewGate returns the gate of a node; started distinguishes its counts from those of
// an earlier process.
func NewGate(s *Settings, started uint64) *Gate {
	g := &Gate{
		settings: s, started: started, offered: map[Key]*OfferedLoad{}, historyByTeam: map[string]*jobHistory{},
		leaderQueries: rate.NewLimiter(tuning.AdmissionLeaderQueriesPerSecond, tuning.AdmissionLeaderQueriesPerSecond),
	}
	size := max(tuning.AdmissionMaxTrackedJobs/max(len(s.Teams), 1), 1)
	for _, t := range s.Teams {
		rejected, _ := simplelru.NewLRU[string, time.Time](size, nil) // the only error is a size below one
		admitted, _ := simplelru.NewLRU[string, struct{}](size, nil)  // the same
		g.historyByTeam[t.Name] = &jobHistory{rejected: rejected, admitted: admitted}
	}
	return g
}

// ApplyPolicy takes over a policy unless it is no newer than the present one: a
// delayed copy must not extend the time for which a policy is applied.
func (g *Gate) ApplyPolicy(now time.Time, p Policy) {
	if p.newerThan(&g.policy) {
		g.policy = p
		g.expires = now.Add(min(p.ttl(), tuning.AdmissionPolicyTTL))
	}
}

// RecordArrival counts a submission and sets how long it has waited. It returns
// false if the job may have been accepted already, or its team is unknown: then
// only the leader can decide.
func (g *Gate) RecordArrival(now time.Time, r *Request) bool {
	m := g.historyByTeam[r.Key.Team]
	if m == nil || m.admitted.Contains(r.ID) {
		return false
	}
	if since, ok := m.rejected.Peek(r.ID); ok {
		if now.Sub(since) < tuning.AdmissionRetryWindow {
			r.Waited = now.Sub(since)
		} else {
			// The user has given up since: this is a new submission.
			m.rejected.Remove(r.ID)
		}
	}
	countRequest(g.offered, r)
	return true
}

// Decide applies the present policy. Without one, or with one that has expired,
// every job is forwarded to the leader. The revision is that of the policy applied,
// 0 for none.
func (g *Gate) Decide(now time.Time, r *Request) (d Decision, revision uint64) {
	if !now.Before(g.expires) {
		return Decision{Admitted: true}, 0
	}
	return g.policy.Decide(r), g.policy.Revision
}

// MayQueryLeader reports whether the leader may be asked about a job that was
// rejected before and may have been accepted through another node since.
func (g *Gate) MayQueryLeader(now time.Time, r *Request) bool {
	return r.Waited > 0 && g.leaderQueries.AllowN(now, 1)
}

// RecordAdmitted records that a job is forwarded.
func (g *Gate) RecordAdmitted(r *Request) {
	if m := g.historyByTeam[r.Key.Team]; m != nil {
		m.admitted.Add(r.ID, struct{}{})
	}
}

// RecordRejected records that a job was rejected, here or by the leader.
func (g *Gate) RecordRejected(now time.Time, r *Request) {
	m := g.historyByTeam[r.Key.Team]
	if m == nil {
		return
	}
	m.admitted.Remove(r.ID)
	if !m.rejected.Contains(r.ID) {
		m.rejected.Add(r.ID, now)
	}
}

// OfferedLoad returns the submissions counted so far.
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

// priorityWeight is the weight of a job in the division of its team's share.
func priorityWeight(rank int) float64 {
	return float64(int(1) << max(0, tuning.AdmissionLowestPriorityRank-rank))
}
