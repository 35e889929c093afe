package admission

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/time/rate"

	"switchshore.example/switchshore/internal/tuning"
)

// Gate is a node's own part in admission: it counts what its users submit, remembers
// whom it has refused since when, and applies the leader's policy. It outlives terms.
type Gate struct {
	settings      *Settings
	policy        Policy
	expires       time.Time
	started       uint64
	offered       map[Key]*OfferedLoad
	historyByTeam map[string]*jobHistory
	leaderQueries *rate.Limiter
}

// jobHistory is what a node remembers of one team's jobs. Each team has a table of its own:
// a flood of ids pushes out those of its own team only.
type jobHistory struct {
	// rejected: since when, for jobs that were refused and may come back.
	rejected *simplelru.LRU[string, time.Time]
	// admitted are jobs that were let through and may have been accepted: they are never
	// turned away as new work.
	admitted *simplelru.LRU[string, struct{}]
}

// OfferedLoad are the submissions of a key since a node's start.
type OfferedLoad struct {
	Key
	Count int64 `json:"count"`
	// Boosted is the same, each counted as often as it is likelier than a new one.
	Boosted float64 `json:"boosted"`
	// Weight is the sum of the weights of their priorities.
	Weight float64 `json:"weight"`
}

// NodeOfferedLoad are all offers of a node. Counts only grow as long as Started stays.
type NodeOfferedLoad struct {
	Node    string        `json:"node"`
	Started uint64        `json:"started"`
	Loads   []OfferedLoad `json:"offers,omitempty"`
}

// olderThan reports whether the counts are from before others of the same process: a copy
// that came late.
func (n *NodeOfferedLoad) olderThan(other *NodeOfferedLoad) bool {
	return n.Started == other.Started && n.total() < other.total()
}

func (n *NodeOfferedLoad) total() (count int64) {
	for _, o := range n.Loads {
		count += o.Count
	}
	return count
}

// NewGate returns the gate of a node that has started now; started tells its counts from
// those of an earlier process.
func NewGate(s *Settings, started uint64) *Gate {
	g := &Gate{settings: s, started: started, offered: map[Key]*OfferedLoad{}, historyByTeam: map[string]*jobHistory{}}
	g.leaderQueries = rate.NewLimiter(tuning.AdmissionChecksPerSecond, tuning.AdmissionChecksPerSecond)
	size := max(tuning.AdmissionMaxRemembered/max(len(s.Teams), 1), 1)
	for _, t := range s.Teams {
		// The only error is a size below one.
		refused, _ := simplelru.NewLRU[string, time.Time](size, nil)
		passed, _ := simplelru.NewLRU[string, struct{}](size, nil)
		g.historyByTeam[t.Name] = &jobHistory{refused, passed}
	}
	return g
}

// ApplyPolicy takes in a policy. One that is not newer than the one known changes nothing: a
// copy that comes late prolongs nothing.
func (g *Gate) ApplyPolicy(now time.Time, p Policy) {
	if p.newerThan(&g.policy) {
		g.policy = p
		g.expires = now.Add(min(p.ttl(), tuning.AdmissionPolicyTTL))
	}
}

// RecordArrival counts a submission and completes the request by what the node remembers. It
// returns false if the job may have been accepted already, or its team is unknown: then
// only the leader can tell.
func (g *Gate) RecordArrival(now time.Time, r *Request) bool {
	m := g.historyByTeam[r.Key.Team]
	if m == nil || m.admitted.Contains(r.ID) {
		return false
	}
	if since, ok := m.rejected.Peek(r.ID); ok {
		if now.Sub(since) < tuning.AdmissionRetryWindow {
			r.Waited = now.Sub(since)
		} else {
			// The user has given up since: it is a new try.
			m.rejected.Remove(r.ID)
		}
	}
	countRequest(g.offered, r)
	return true
}

// Decide applies the policy that is known. Without one, or with one that has expired,
// all goes on to the leader. The revision is that of the policy applied, 0 for none.
func (g *Gate) Decide(now time.Time, r *Request) (d Decision, revision uint64) {
	if !now.Before(g.expires) {
		return Decision{Admitted: true}, 0
	}
	return g.policy.Decide(r), g.policy.Revision
}

// MayQueryLeader reports whether the leader may be asked about a job that was refused before: it may
// have been accepted through another node.
func (g *Gate) MayQueryLeader(now time.Time, r *Request) bool {
	return r.Waited > 0 && g.leaderQueries.AllowN(now, 1)
}

// RecordAdmitted notes that a job is let through.
func (g *Gate) RecordAdmitted(r *Request) {
	if m := g.historyByTeam[r.Key.Team]; m != nil {
		m.admitted.Add(r.ID, struct{}{})
	}
}

// RecordRejected notes that a job was turned away, here or by the leader.
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

// OfferedLoad are the submissions counted so far.
func (g *Gate) OfferedLoad(node string) NodeOfferedLoad {
	n := NodeOfferedLoad{Node: node, Started: g.started}
	for _, o := range g.offered {
		n.Loads = append(n.Loads, *o)
	}
	return n
}

// countRequest counts a request into the offers of its key.
func countRequest(offers map[Key]*OfferedLoad, r *Request) {
	o := offers[r.Key]
	if o == nil {
		o = &OfferedLoad{Key: r.Key}
		offers[r.Key] = o
	}
	o.Count++
	o.Boosted += r.agingFactor()
	o.Weight += priorityWeight(r.PriorityRank)
}

// priorityWeight is what a job of a priority counts in the division of its team's share.
func priorityWeight(level int) float64 {
	return float64(int(1) << max(0, tuning.AdmissionLowestRank-level))
}
