package node_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/wire"
)

const (
	// usersPerNode is large enough to cause overload on a machine of any speed, although each user
	// waits for a response before submitting the next job.
	usersPerNode = 20
	// pollInterval is the pause between two submissions of a user, or between two checks.
	pollInterval = 20 * time.Millisecond
)

// TestOverloadOverLoopback floods all nodes with submissions of one team at the same time. It checks
// that each node rejects some of them with Retry-After, that invalid submissions get the same
// responses as without overload, that accepted jobs stay known, and that jobs of another team are
// accepted after retries.
func TestOverloadOverLoopback(t *testing.T) {
	c := startClusterWith(t, 3, &config.OperatorSettings{Admission: &config.Admission{}}, func(p *config.Params) {
		p.KVStore.WriteRPS = 20
		p.Teams = append(p.Teams, config.Team{Name: "green", CPUs: 8, CPUsMax: 16})
	})
	first := fmt.Sprintf(submission, "job-000001")
	c.waitForResponse(c.addrs[0], "POST", wire.PathJobs, first, 201, "")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var users errgroup.Group
	shed := make([]atomic.Int64, len(c.addrs))
	for i, addr := range c.addrs {
		for user := range usersPerNode {
			users.Go(func() error { return flood(ctx, addr, fmt.Sprintf("job-9%d%02d", i, user), &shed[i]) })
		}
	}
	for i := range c.addrs {
		c.waitForShedding(i, &shed[i])
		c.checkDuringOverload(i, first)
	}
	stop()
	if err := users.Wait(); err != nil {
		t.Error(err)
	}
	c.checkWithoutLeader()
	c.waitForResponse(c.addrs[0], "GET", wire.PathJobs+"/job-000010", "", 200, wire.JobDone)
}

// flood submits one job after the other, and counts in shed the jobs that are rejected with a
// Retry-After of one to ten seconds. It returns an error for a response that is neither such a
// rejection nor 201 or 503.
func flood(ctx context.Context, addr, idPrefix string, shed *atomic.Int64) error {
	for n := 0; ctx.Err() == nil && n < 10_000; n++ {
		id := fmt.Sprintf("%s%05d", idPrefix, n)
		status, retryAfter, body := exchange(addr, "POST", wire.PathJobs, fmt.Sprintf(submission, id))
		seconds, _ := strconv.Atoi(retryAfter) // 0 if there is no Retry-After
		switch {
		case status == 429 && seconds >= 1 && seconds <= 10:
			shed.Add(1)
		case status != 201 && status != 503 && status != 0:
			return fmt.Errorf("%s: %d %s, Retry-After %q", id, status, body, retryAfter)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// waitForShedding waits until a node has rejected a submission because of overload.
func (c *cluster) waitForShedding(node int, shed *atomic.Int64) {
	c.t.Helper()
	for range 3000 {
		if shed.Load() > 0 {
			return
		}
		time.Sleep(pollInterval)
	}
	c.t.Errorf("node %d has rejected no submission, want at least one", node)
}

// withTeam returns the submission with another team.
func withTeam(submission, team string) string {
	return strings.Replace(submission, "blue", team, 1)
}

// checkDuringOverload submits invalid jobs, a job that was accepted before the overload and a job of
// another team to one node, and checks the responses.
func (c *cluster) checkDuringOverload(node int, known string) {
	c.t.Helper()
	addr := c.addrs[node]
	if status, body := send(addr, "POST", wire.PathJobs, withTeam(known, "nobody")); status != 200 && status != 422 && status != 503 {
		c.t.Errorf("accepted job, resubmitted for an unknown team: status %d %s, want 200, 422 or 503", status, body)
	}
	newJob := fmt.Sprintf(submission, fmt.Sprintf("job-00002%d", node))
	if status, body := send(addr, "POST", wire.PathJobs, withTeam(newJob, "nobody")); status != 422 && status != 503 {
		c.t.Errorf("new job of an unknown team: status %d %s, want 422 or 503", status, body)
	}
	if status, body := send(addr, "POST", wire.PathJobs, newJob[1:]); status != 400 {
		c.t.Errorf("malformed submission: status %d %s, want 400", status, body)
	}
	c.waitForResponse(addr, "POST", wire.PathJobs, known, 200, "")
	c.submitUntilAccepted(addr, withTeam(fmt.Sprintf(submission, fmt.Sprintf("job-00001%d", node)), "green"))
}

// checkWithoutLeader checks that while no leader responds because of an outage of the key-value
// store, each node still rejects a job that the settings make impossible.
func (c *cluster) checkWithoutLeader() {
	c.t.Helper()
	c.services.SetStoreDown(true)
	defer c.services.SetStoreDown(false)
	c.waitForResponse(c.addrs[0], "POST", wire.PathJobs, fmt.Sprintf(submission, "job-000031"), 503, "")
	for _, addr := range c.addrs {
		if status, body := send(addr, "POST", wire.PathJobs, withTeam(fmt.Sprintf(submission, "job-000030"), "nobody")); status != 422 {
			c.t.Errorf("new job of an unknown team, without a leader: status %d %s, want 422", status, body)
		}
	}
}
