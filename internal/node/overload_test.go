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
	// usersPerNode are so many that the queue is full however fast the machine is: each
	// waits for the acceptance of a job, and only then submits again.
	usersPerNode = 20
	// pollInterval is the time between two submissions of a user.
	pollInterval = 20 * time.Millisecond
)

// TestOverloadOverLoopback: users flood all nodes at once. Each node turns some of their
// jobs away at once, with a time to come back; what is wrong gets the same answers as ever,
// an accepted job is known, and another team's jobs are accepted when they come back.
func TestOverloadOverLoopback(t *testing.T) {
	c := startWith(t, 3, &config.OperatorSettings{Admission: &config.Admission{}}, func(p *config.Params) {
		p.KVStore.WriteRPS = 20
		p.Teams = append(p.Teams, config.Team{Name: "green", CPUs: 8, CPUsMax: 16})
	})
	first := fmt.Sprintf(submission, "job-000001")
	c.until(c.addrs[0], "POST", wire.PathJobs, first, 201, "")
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
	c.until(c.addrs[0], "GET", wire.PathJobs+"/job-000010", "", 200, wire.JobDone)
}

// flood submits one job after the other, and counts those turned away for a time of one to
// ten seconds.
func flood(ctx context.Context, addr, idPrefix string, shed *atomic.Int64) error {
	for n := 0; ctx.Err() == nil && n < 10_000; n++ {
		id := fmt.Sprintf("%s%05d", idPrefix, n)
		status, after, body := exchange(addr, "POST", wire.PathJobs, fmt.Sprintf(submission, id))
		seconds, _ := strconv.Atoi(after) // 0 for none
		switch {
		case status == 429 && seconds >= 1 && seconds <= 10:
			shed.Add(1)
		case status != 201 && status != 503 && status != 0:
			return fmt.Errorf("%s: %d %s, Retry-After %q", id, status, body, after)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// awaitShedding waits until a node has turned something away.
func (c *cluster) awaitShedding(node int, shed *atomic.Int64) {
	c.t.Helper()
	for range 3000 {
		if shed.Load() > 0 {
			return
		}
		time.Sleep(pollInterval)
	}
	c.t.Errorf("node %d turns nothing away", node)
}

// withTeam is a submission of another team.
func withTeam(submission, team string) string {
	return strings.Replace(submission, "blue", team, 1)
}

// checkDuringOverload submits to one node what is wrong, what is known and what another team
// has.
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
	c.until(addr, "POST", wire.PathJobs, known, 200, "")
	c.untilAccepted(addr, withTeam(fmt.Sprintf(submission, fmt.Sprintf("job-00001%d", node)), "green"))
}

// checkWithoutLeader: during an outage a node still tells what the settings rule out.
func (c *cluster) checkWithoutLeader() {
	c.t.Helper()
	c.services.SetStoreDown(true)
	defer c.services.SetStoreDown(false)
	c.until(c.addrs[0], "POST", wire.PathJobs, fmt.Sprintf(submission, "job-000031"), 503, "")
	for _, addr := range c.addrs {
		if status, body := send(addr, "POST", wire.PathJobs, withTeam(fmt.Sprintf(submission, "job-000030"), "nobody")); status != 422 {
			c.t.Errorf("an unknown team without a leader: %d %s", status, body)
		}
	}
}
