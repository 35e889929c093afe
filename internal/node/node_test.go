package node_test

import (
	"fmt"
	"strings"
	"testing"

	"switchshore.example/switchshore/wire"
)

// TestNodesOverLoopback sends a user's requests over real sockets: it submits jobs to each node,
// repeats the submissions, waits until the jobs are done and cancels them, submits a job with
// dependencies and sends invalid requests. Then it stops all nodes but the last, one after the
// other, and checks after each that the last one still knows and runs jobs.
func TestNodesOverLoopback(t *testing.T) {
	c := startCluster(t, 3)
	for i, addr := range c.addrs {
		id := fmt.Sprintf("job-%06d", i)
		c.await(addr, "POST", wire.PathJobs, fmt.Sprintf(submission, id), 201, "")
		c.await(addr, "POST", wire.PathJobs, fmt.Sprintf(submission, id), 200, "")
		c.await(c.addrs[0], "GET", wire.PathJobs+"/"+id, "", 200, wire.JobDone)
		c.await(addr, "POST", wire.PathJobs+"/"+id+"/"+wire.CancelSuffix, "", 200, wire.JobDone)
	}
	const dependencies = `"tideS":null,"awaits":["job-000000","job-000002"]}`
	dependent := strings.Replace(fmt.Sprintf(submission, "job-000100"), `"tideS":null}`, dependencies, 1)
	for _, addr := range c.addrs {
		c.await(addr, "POST", wire.PathJobs, dependent, map[bool]int{true: 201, false: 200}[addr == c.addrs[0]], "")
		c.await(addr, "GET", wire.PathJobs+"/job-000100", "", 200, wire.JobDone)
	}
	addr := c.addrs[1]
	for _, r := range []struct {
		method, path, body string
		status             int
	}{
		{"GET", wire.PathHealth, "", 200},
		{"GET", wire.PathJobs + "/job-999999", "", 404},
		{"GET", wire.PathJobs + "/else", "", 404},
		{"GET", "/else", "", 404},
		{"GET", wire.PathJobs, "", 405},
		{"POST", wire.PathJobs, "{", 400},
		{"POST", wire.PathJobs, fmt.Sprintf(submission, "else"), 400},
		{"POST", wire.PathJobs, strings.NewReplacer("job-000100", "job-000101", "job-000002", "job-999999").Replace(dependent), 422},
		{"POST", wire.PathJobs, strings.NewReplacer("job-000100", "job-000101", `"job-000002"`, "2").Replace(dependent), 400},
		{"POST", wire.PathHeartbeat, "{}", 400},
		{"POST", wire.PathJobs + "/job-999999/" + wire.CancelSuffix, "", 404},
	} {
		if got, body := send(addr, r.method, r.path, r.body); got != r.status {
			t.Errorf("%s %s %.20s: %d %s, want %d", r.method, r.path, r.body, got, body, r.status)
		}
	}
	for i := range 2 {
		c.stop[i]()
		<-c.stopped[i]
		last := c.addrs[2]
		c.await(last, "GET", wire.PathJobs+"/job-000000", "", 200, wire.JobDone)
		id := fmt.Sprintf("job-00001%d", i)
		c.await(last, "POST", wire.PathJobs, fmt.Sprintf(submission, id), 201, "")
		c.await(last, "GET", wire.PathJobs+"/"+id, "", 200, wire.JobDone)
	}
}
