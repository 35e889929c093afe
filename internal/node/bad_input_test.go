package node_test

import (
	"fmt"
	"strings"
	"testing"

	"switchshore.example/switchshore/wire"
)

// jobDone is the path of the job that TestBadInput has done before all else.
const jobDone = wire.PathJobs + "/job-000001"

// request is a request and the status that it gets from a node that can decide.
type request struct {
	method, path, body string
	status             int
}

// TestBadInput: at every node, also repeated, during a failover and an outage of
// the key-value store, a malformed submission gets 400, one that can't run 422, an
// unknown job 404, an accepted one 200 with its state and never something older.
// Where a node can't decide it answers 503 with Retry-After. Nothing that is wrong is
// ever called accepted.
func TestBadInput(t *testing.T) {
	c := start(t, 3)
	done := fmt.Sprintf(submission, "job-000001")
	c.until(c.addrs[0], "POST", wire.PathJobs, done, 201, "")
	c.until(c.addrs[0], "GET", jobDone, "", 200, wire.JobDone)
	requests := append(malformedRequests(t, done), leaderRequests(t, done)...)
	for _, addr := range c.addrs {
		c.until(addr, "GET", jobDone, "", 200, wire.JobDone)
	}
	c.check("no fault", requests, c.addrs...)
	c.services.SetStoreDown(true)
	c.until(c.addrs[0], "GET", jobDone, "", 503, "")
	c.check("outage", requests, c.addrs...)
	c.services.SetStoreDown(false)
	c.until(c.addrs[2], "GET", jobDone, "", 200, wire.JobDone)
	for i := range 2 {
		c.stop[i]()
		c.check("failover", requests, c.addrs[2])
		<-c.ended[i]
		c.check("failover", requests, c.addrs[2])
	}
	c.until(c.addrs[2], "GET", jobDone, "", 200, wire.JobDone)
	c.until(c.addrs[2], "GET", wire.PathJobs+"/job-999999", "", 404, "")
}

// check sends requests to nodes; 503 may come for all that it takes a leader to know.
func (c *cluster) check(when string, requests []request, addrs ...string) {
	c.t.Helper()
	for _, addr := range addrs {
		for _, r := range requests {
			status, after, body := exchange(addr, r.method, r.path, r.body)
			refused := status == 503 && after != "" && r.status != 400
			if !refused && status != r.status {
				c.t.Fatalf("%s: %s %s %s: %d %s, want %d", when, r.method, r.path, r.body, status, body, r.status)
			}
			if status == 200 && !strings.Contains(string(body), `"`+wire.JobDone+`"`) {
				c.t.Fatalf("%s: %s %s answered %s", when, r.method, r.path, body)
			}
		}
	}
}

// changed is a submission of another job with a part of the text replaced.
func changed(t *testing.T, submission string, status int, from, to string) request {
	t.Helper()
	body := strings.Replace(strings.Replace(submission, "job-000001", "job-000002", 1), from, to, 1)
	if !strings.Contains(body, to) || strings.Contains(body, from) {
		t.Fatalf("%s is not in the submission", from)
	}
	return request{"POST", wire.PathJobs, body, status}
}

// leaderRequests are those that it takes a leader to answer.
func leaderRequests(t *testing.T, done string) []request {
	t.Helper()
	requests := []request{
		{"GET", wire.PathJobs + "/job-999999", "", 404},
		{"POST", wire.PathJobs + "/job-999999/" + wire.CancelSuffix, "", 404},
		{"GET", jobDone, "", 200},
		{"POST", wire.PathJobs, done, 200},
		{"POST", jobDone + "/" + wire.CancelSuffix, "", 200},
	}
	for _, impossible := range [][2]string{
		{`"crew":"blue"`, `"crew":"green"`},
		{`"cores":2`, `"cores":64`},
		{`"cores":2`, `"cores":17`},
		{`"cards":0`, `"cards":1`},
		{`"memoryGb":1`, `"memoryGb":999`},
		{`"builds":null`, `"builds":["none"]`},
		{`"berth":null`, `"berth":"nowhere"`},
	} {
		requests = append(requests, changed(t, done, 422, impossible[0], impossible[1]))
	}
	return requests
}

// malformedRequests are submissions that every node refuses: other texts than an object, and
// each field absent, null or of another type.
func malformedRequests(t *testing.T, done string) []request {
	t.Helper()
	var requests []request
	for _, body := range []string{"", "[]", "null", "7", "{", done[1:], strings.Replace(done, "job-000001", "job-x", 1)} {
		requests = append(requests, request{"POST", wire.PathJobs, body, 400})
	}
	for _, field := range []string{
		`"muster":"c"`, `"crew":"blue"`, `"rig":"batch"`, `"rank":"high"`, `"oars":3`, `"cores":2`, `"cards":0`, `"memoryGb":1`,
		`"hull":"img"`, `"imageGb":0.1`, `"together":false`, `"apart":false`, `"driftwood":true`, `"reckonS":0.1`, `"loglineS":0`, `"stowS":0`,
	} {
		name, _, _ := strings.Cut(field, ":")
		requests = append(requests,
			changed(t, done, 400, field+",", ""),
			changed(t, done, 400, field, name+":null"),
			changed(t, done, 400, field, name+":{}"))
	}
	return requests
}
