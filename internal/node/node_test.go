package node_test

import (
	"fmt"
	"strings"
	"testing"

	"switchshore.example/switchshore/wire"
)

// TestNodesOverLoopback follows a user through real sockets: submission at
// each node, the same again, done, cancellation, refusals, and the end of
// every node in turn but the last.
func TestNodesOverLoopback(t *testing.T) {
	c := start(t, 3)
	for i, addr := range c.addrs {
		id := fmt.Sprintf("job-%06d", i)
		c.until(addr, "POST", wire.PathJobs, fmt.Sprintf(submission, id), 201, "")
		c.until(addr, "POST", wire.PathJobs, fmt.Sprintf(submission, id), 200, "")
		c.until(c.addrs[0], "GET", wire.PathJobs+"/"+id, "", 200, wire.JobDone)
		c.until(addr, "POST", wire.PathJobs+"/"+id+"/"+wire.CancelSuffix, "", 200, wire.JobDone)
	}
	const third = `"tideS":null,"awaits":["job-000000","job-000002"]}`
	chained := strings.Replace(fmt.Sprintf(submission, "job-000100"), `"tideS":null}`, third, 1)
	for _, addr := range c.addrs {
		c.until(addr, "POST", wire.PathJobs, chained, map[bool]int{true: 201, false: 200}[addr == c.addrs[0]], "")
		c.until(addr, "GET", wire.PathJobs+"/job-000100", "", 200, wire.JobDone)
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
		{"POST", wire.PathJobs, strings.NewReplacer("job-000100", "job-000101", "job-000002", "job-999999").Replace(chained), 422},
		{"POST", wire.PathJobs, strings.NewReplacer("job-000100", "job-000101", `"job-000002"`, "2").Replace(chained), 400},
		{"POST", wire.PathHeartbeat, "{}", 400},
		{"POST", wire.PathJobs + "/job-999999/" + wire.CancelSuffix, "", 404},
	} {
		if got, body := send(addr, r.method, r.path, r.body); got != r.status {
			t.Errorf("%s %s %.20s: %d %s, want %d", r.method, r.path, r.body, got, body, r.status)
		}
	}
	for i := range 2 {
		c.stop[i]()
		<-c.ended[i]
		last := c.addrs[2]
		c.until(last, "GET", wire.PathJobs+"/job-000000", "", 200, wire.JobDone)
		id := fmt.Sprintf("job-00001%d", i)
		c.until(last, "POST", wire.PathJobs, fmt.Sprintf(submission, id), 201, "")
		c.until(last, "GET", wire.PathJobs+"/"+id, "", 200, wire.JobDone)
	}
}
