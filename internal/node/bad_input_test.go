package node_test

import (
	"fmt"
	"strings"
	"testing"

	"switchshore.example/switchshore/wire"
)

// doneJobPath is the path of the job that TestBadInput runs to its end first.
const doneJobPath = wire.PathJobs + "/job-000001"

// request is a request and the status expected from a node that can decide on it.
type request struct {
	method, path, body string
	status             int
}

// TestBadInput checks the responses of every node to invalid requests: without faults, during
// an outage of the key-value store and during failovers. A malformed submission gets 400, one
// that can never run 422, an unknown job 404, and a job that is done 200 with that state, never
// an older one. A node that can't decide responds with 503 and Retry-After. No invalid
// submission is ever accepted.
func TestBadInput(t *testing.T) {
	c := startCluster(t, 3)
	done := fmt.Sprintf(submission, "job-000001")
	c.await(c.addrs[0], "POST", wire.PathJobs, done, 201, "")
	c.await(c.addrs[0], "GET", doneJobPath, "", 200, wire.JobDone)
	requests := append(malformedRequests(t, done), leaderRequests(t, done)...)
	for _, addr := range c.addrs {
		c.await(addr, "GET", doneJobPath, "", 200, wire.JobDone)
	}
	c.checkResponses("no fault", requests, c.addrs...)
	c.services.SetStoreDown(true)
	c.await(c.addrs[0], "GET", doneJobPath, "", 503, "")
	c.checkResponses("outage", requests, c.addrs...)
	c.services.SetStoreDown(false)
	c.await(c.addrs[2], "GET", doneJobPath, "", 200, wire.JobDone)
	for i := range 2 {
		c.stop[i]()
		c.checkResponses("failover", requests, c.addrs[2])
		<-c.stopped[i]
		c.checkResponses("failover", requests, c.addrs[2])
	}
	c.await(c.addrs[2], "GET", doneJobPath, "", 200, wire.JobDone)
	c.await(c.addrs[2], "GET", wire.PathJobs+"/job-999999", "", 404, "")
}

// checkResponses sends requests to nodes and checks the responses. 503 with Retry-After is
// allowed for every request that isn't malformed, as only a leader can decide on it.
func (c *cluster) checkResponses(when string, requests []request, addrs ...string) {
	c.t.Helper()
	for _, addr := range addrs {
		for _, r := range requests {
			status, retryAfter, body := exchange(addr, r.method, r.path, r.body)
			undecided := status == 503 && retryAfter != "" && r.status != 400
			if !undecided && status != r.status {
				c.t.Fatalf("%s: %s %s %s: %d %s, want %d", when, r.method, r.path, r.body, status, body, r.status)
			}
			if status == 200 && !strings.Contains(string(body), `"`+wire.JobDone+`"`) {
				c.t.Fatalf("%s: %s %s: response %s, want state done", when, r.method, r.path, body)
			}
		}
	}
}

// modifiedRequest submits another job, with one part of the submission replaced.
func modifiedRequest(t *testing.T, submission string, status int, from, to string) request {
	t.Helper()
	body := strings.Replace(strings.Replace(submission, "job-000001", "job-000002", 1), from, to, 1)
	if !strings.Contains(body, to) || strings.Contains(body, from) {
		t.Fatalf("replacing %s failed: it is not in the submission, or still there", from)
	}
	return request{"POST", wire.PathJobs, body, status}
}

// leaderRequests returns requests that only a leader can decide on.
func leaderRequests(t *testing.T, done string) []request {
	t.Helper()
	requests := []request{
		{"GET", wire.PathJobs + "/job-999999", "", 404},
		{"POST", wire.PathJobs + "/job-999999/" + wire.CancelSuffix, "", 404},
		{"GET", doneJobPath, "", 200},
		{"POST", wire.PathJobs, done, 200},
		{"POST", doneJobPath + "/" + wire.CancelSuffix, "", 200},
	}
	for _, replacement := range [][2]string{
		{`"crew":"blue"`, `"crew":"green"`},
		{`"cores":2`, `"cores":64`},
		{`"cores":2`, `"cores":17`},
		{`"cards":0`, `"cards":1`},
		{`"memoryGb":1`, `"memoryGb":999`},
		{`"builds":null`, `"builds":["none"]`},
		{`"berth":null`, `"berth":"nowhere"`},
	} {
		requests = append(requests, modifiedRequest(t, done, 422, replacement[0], replacement[1]))
	}
	return requests
}

// malformedRequests returns submissions that every node rejects: bodies that aren't a JSON object,
// an invalid job ID, and each field absent, null or of another type.
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
			modifiedRequest(t, done, 400, field+",", ""),
			modifiedRequest(t, done, 400, field, name+":null"),
			modifiedRequest(t, done, 400, field, name+":{}"))
	}
	return requests
}
