package node

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/election"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/peer"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

const testTerm = 5

// newTestNode returns a node without peers, key-value store or cloud.
func newTestNode() *Node {
	return &Node{
		hub:         peer.NewHub(zerolog.Nop(), nil),
		gracePeriod: 10 * time.Second,
		tickSignal:  make(chan struct{}, 1),
		writeSignal: make(chan struct{}, 1),
	}
}

// becomeLeader makes the node the leader of testTerm, with a lease renewed at the given time.
func (n *Node) becomeLeader(renewed time.Time) {
	params := config.Params{Workers: config.Workers{HeartbeatIntervalS: 3, LeaseS: 15, CancelDeadlineS: 45}}
	n.leadership = election.NewLeadership(testTerm, renewed)
	n.leader = leader.New(zerolog.Nop(), params, config.OperatorSettings{}, testTerm, renewed, n.gracePeriod)
	n.leader.FinishLoading(renewed)
}

// TestHandleLocally checks that only the holder of the lease handles a user's request, and that
// a leader still handles agent heartbeats in the grace period after its lease. A heartbeat from a
// later term must revoke the leadership.
func TestHandleLocally(t *testing.T) {
	heartbeat := func(token uint64) peer.Call {
		return peer.Call{Op: peer.OpHeartbeat, Heartbeat: &wire.Heartbeat{
			Machine: "m1", Addr: "m1:9", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: 1, FencingToken: token,
		}}
	}
	query := peer.Call{Op: peer.OpQuery, JobID: "job-000001"}
	now := time.Now()
	// Times of a last renewal: after the first, the grace period runs now, and after the second it is over.
	inGrace, expired := now.Add(-tuning.LeaderLeaseTTL), now.Add(-time.Minute)
	for _, c := range []struct {
		name    string
		renewed time.Time // time of the last lease renewal; zero if the node isn't the leader
		call    peer.Call
		handled bool
		status  int
		revoked bool // the leadership is revoked
		ticks   bool // tickLoop is signalled
	}{
		{name: "heartbeat, not the leader", call: heartbeat(testTerm)},
		{name: "heartbeat, leader", renewed: now, call: heartbeat(testTerm), handled: true, status: http.StatusOK, ticks: true},
		{name: "heartbeat, grace period", renewed: inGrace, call: heartbeat(testTerm), handled: true, status: http.StatusOK, ticks: true},
		{name: "heartbeat, after the grace period", renewed: expired, call: heartbeat(testTerm), ticks: true},
		{name: "heartbeat that knows a later term", renewed: now, call: heartbeat(testTerm + 1), revoked: true, ticks: true},
		{name: "query, not the leader", call: query},
		{name: "query, leader", renewed: now, call: query, handled: true, status: http.StatusNotFound},
		{name: "query, grace period", renewed: inGrace, call: query},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newTestNode()
			if !c.renewed.IsZero() {
				n.becomeLeader(c.renewed)
			}
			response, handled := n.handleLocally(context.Background(), c.call)
			if handled != c.handled || response.Status != c.status {
				t.Errorf("handled: %v, %+v; want both as in the test case", handled, response)
			}
			if revoked := n.leadership != nil && !n.leadership.MayRespondToHeartbeats(c.renewed, n.gracePeriod); revoked != c.revoked {
				t.Errorf("revoked: %v, want the opposite", revoked)
			}
			if ticks := len(n.tickSignal) > 0; ticks != c.ticks {
				t.Errorf("tick signalled: %v, want the opposite", ticks)
			}
		})
	}
}

// TestResponseDecidedBeforeTheEndIsUpdated guards against went_back: a response decided while its job was
// queued is sent after another response has contained the job's final state.
func TestResponseDecidedBeforeTheEndIsUpdated(t *testing.T) {
	const ended, unknown = "job-000001", "job-000002"
	queued := peer.Response{Status: http.StatusCreated, Job: &wire.JobStatus{ID: ended, State: wire.JobQueued}}
	n := newTestNode()
	if got := n.updateIfEnded(ended, queued); got.Job.State != wire.JobQueued {
		t.Errorf("not the leader: got %+v, want the response unchanged", got.Job)
	}
	n.becomeLeader(time.Now())
	record := wire.KeyValue{Key: records.FinalStateKey(ended), Value: []byte(`"c0"`)}
	if err := n.leader.LoadRecord(time.Now(), time.Now(), record); err != nil {
		t.Fatal(err)
	}
	if got := n.updateIfEnded(ended, queued); got.Job.State != wire.JobCancelled || got.Status != http.StatusCreated {
		t.Errorf("got status %d, %+v, want the final state with the status of the response", got.Status, got.Job)
	}
	if got := n.updateIfEnded(unknown, queued); got.Job.State != wire.JobQueued {
		t.Errorf("job without a final state: got %+v, want the response unchanged", got.Job)
	}
}

// TestRevokeEarlierTerm checks that a later term of a peer revokes the leadership, and that an
// earlier or the same term doesn't.
func TestRevokeEarlierTerm(t *testing.T) {
	for term, leads := range map[uint64]bool{testTerm - 1: true, testTerm: true, testTerm + 1: false} {
		n := newTestNode()
		now := time.Now()
		n.becomeLeader(now)
		n.revokeEarlierTerm(term)
		if got := n.leadership.HoldsLease(now); got != leads {
			t.Errorf("peer with term %d: holds the lease: %v, want the opposite", term, got)
		}
	}
}

// TestWaitForResult checks that after the lease has expired only a terminal result is returned, and
// that waiting ends with 503 when the caller's context ends.
func TestWaitForResult(t *testing.T) {
	now := time.Now()
	valid, expired := election.NewLeadership(testTerm, now), election.NewLeadership(testTerm, now.Add(-time.Minute))
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	job := func(state string) *peer.Response {
		return &peer.Response{Status: http.StatusOK, Job: &wire.JobStatus{State: state}}
	}
	for _, c := range []struct {
		name       string
		leadership *election.Leadership
		result     *peer.Response
		status     int
	}{
		{"valid lease", valid, job(wire.JobRunning), http.StatusOK},
		{"lease expired", expired, job(wire.JobRunning), http.StatusServiceUnavailable},
		{"lease expired, job done", expired, job(wire.JobDone), http.StatusOK},
		{"no result before the context ended", valid, nil, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx := context.Background()
			result := make(chan peer.Response, 1)
			if c.result != nil {
				result <- *c.result
			} else {
				ctx = ended
			}
			if got := waitForResult(ctx, c.leadership, result); got.Status != c.status {
				t.Errorf("got %+v, want status %d", got, c.status)
			}
		})
	}
}
