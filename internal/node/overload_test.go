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
	// usersPerNode is large enough to keep the queue full on a machine of any speed: each user
	// submits the next job only after the response to the last one.
	usersPerNode = 20
	// pollInterval is the pause between two submissions of a user, or between two checks.
	pollInterval = 20 * time.Millisecond
)

// TestOverloadOverLoopback floods all nodes with submissions at the same time. It checks that each
// node immediately rejects some of them with Retry-After, that invalid submissions get the same
// responses as without overload, that accepted jobs stay known, and that another team's jobs are
// accepted after retries.
func TestOverloadOverLoopback(t *testing.T) {
	c := startClusterWith(t, 3, &config.OperatorSettings{Admission: &config.Admission{}}, func(p *config.Params) {
		p.KVStore.WriteRPS = 20
		p.Teams = append(p.Teams, config.Team{Name: "green", CPUs: 8, CPUsMax: 16})
	})
	first := fmt.Sprintf(submission, "job-000001")
	c.await(c.addrs[0], "POST", wire.PathJobs, first, 201, "")
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
		c.awaitShedding(i, &shed[i])
		c.checkDuringOverload(i, first)
	}
	stop()
	if err := users.Wait(); err != nil {
		t.Error(err)
	}
	c.checkWithoutLeader()
	c.await(c.addrs[0], "GET", wire.PathJobs+"/job-000010", "", 200, wire.JobDone)
}

// flood submits one job after the other, and counts those rejected with a Retry-After of one to
// ten seconds.
func flood(ctx context.Context, addr, idPrefix string, shed *atomic.Int64) error {
	for n := 0; ctx.Err() == nil && n < 10_000; n++ {
		id := fmt.Sprintf("%s%05d", idPrefix, n)
		status, retryAfter, body := exchange(addr, "POST", wire.PathJobs, fmt.Sprintf(submission, id))
		seconds, _ := strconv.Atoi(retryAfter) // 0 for none
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

// awaitShedding waits until a node has rejected a submission because of overload.
func (c *cluster) awaitShedding(node int, shed *atomic.Int64) {
	c.t.Helper()
	for range 3000 {
		if shed.Load() > 0 {
			return
		}
		time.Sleep(pollInterval)
	}
	c.t.Errorf("node %d sheds no load", node)
}

// withTeam returns the submission with another team.
func withTeam(submission, team string) string {
	return strings.Replace(submission, "blue", team, 1)
}

// checkDuringOverload submits to one node invalid jobs, the known job and a job of another team,
// and checks the responses.
func (c *cluster) checkDuringOverload(node int, known string) {
	c.t.Helper()
	addr := c.addrs[node]
	if status, body := send(addr, "POST", wire.PathJobs, withTeam(known, "nobody")); status != 200 && status != 422 && status != 503 {
		c.t.Errorf("an unknown team: %d %s", status, body)
	}
	other := fmt.Sprintf(submission, fmt.Sprintf("job-00002%d", node))
	if status, body := send(addr, "POST", wire.PathJobs, withTeam(other, "nobody")); status != 422 && status != 503 {
		c.t.Errorf("an unknown team's new job: %d %s", status, body)
	}
	if status, body := send(addr, "POST", wire.PathJobs, other[1:]); status != 400 {
		c.t.Errorf("malformed: %d %s", status, body)
	}
	c.await(addr, "POST", wire.PathJobs, known, 200, "")
	c.awaitAccepted(addr, withTeam(fmt.Sprintf(submission, fmt.Sprintf("job-00001%d", node)), "green"))
}

// checkWithoutLeader checks that a node still rejects what the settings rule out while no leader
// responds because of an outage.
func (c *cluster) checkWithoutLeader() {
	c.t.Helper()
	c.services.SetStoreDown(true)
	defer c.services.SetStoreDown(false)
	c.await(c.addrs[0], "POST", wire.PathJobs, fmt.Sprintf(submission, "job-000031"), 503, "")
	for _, addr := range c.addrs {
		if status, body := send(addr, "POST", wire.PathJobs, withTeam(fmt.Sprintf(submission, "job-000030"), "nobody")); status != 422 {
			c.t.Errorf("an unknown team without a leader: %d %s", status, body)
		}
	}
}
