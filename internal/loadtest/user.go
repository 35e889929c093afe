package loadtest

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// Timeouts and delays of users' requests.
const (
	submitTimeout    = 5 * time.Second
	queryTimeout     = 2 * time.Second
	userPollInterval = 5 * time.Second
	minRetryDelay    = time.Second
)

// startUser starts a user who submits a job, first at the given controller, and polls until the job
// ends. It does nothing if maxUsers users are active.
func (g *loadGenerator) startUser(ctx context.Context, job *wire.Job, node int32) {
	if !g.users.TryAcquire(1) {
		return
	}
	g.background.Go(func() {
		defer g.users.Release(1)
		if g.submitUntilAccepted(ctx, job, node) {
			g.poll(ctx, job)
		}
	})
}

// submitUntilAccepted submits a job and retries at random controllers, with the delays that the
// responses ask for, until it is accepted or the retry window ends. It reports whether the job was
// accepted.
func (g *loadGenerator) submitUntilAccepted(ctx context.Context, job *wire.Job, node int32) bool {
	first := time.Now()
	for ctx.Err() == nil {
		e := g.submit(job, node)
		if e.accepted() {
			return true
		}
		delay := max(time.Duration(e.RetryAfter)*time.Second, minRetryDelay) + g.jitter(time.Second/4)
		if time.Since(first)+delay > tuning.AdmissionRetryWindow {
			g.record(Exchange{
				SentMS: time.Since(g.startedAt).Milliseconds(), Op: OpGiveUp, Job: job.ID, Team: job.Team, Class: job.Class,
			})
			return false
		}
		if ctxtime.Sleep(ctx, delay) != nil {
			return false
		}
		node = g.randomNode()
	}
	return false
}

// submitDuplicate submits a job at another controller, concurrently with its user.
func (g *loadGenerator) submitDuplicate(ctx context.Context, job *wire.Job, node int32) {
	if ctx.Err() == nil {
		g.background.Go(func() { g.submit(job, node) })
	}
}

// poll queries an accepted job until it ends.
func (g *loadGenerator) poll(ctx context.Context, job *wire.Job) {
	for ctxtime.Sleep(ctx, userPollInterval+g.jitter(time.Second)) == nil {
		query := Exchange{Op: OpQuery, Job: job.ID, Team: job.Team, Class: job.Class, Node: g.randomNode()}
		e := g.send(query, http.MethodGet, wire.PathJobs+"/"+job.ID, nil, queryTimeout)
		if e.Status == http.StatusOK && wire.IsTerminal(e.State) {
			return
		}
	}
}

// submit sends one submit request for a job to a controller.
func (g *loadGenerator) submit(job *wire.Job, node int32) Exchange {
	body, err := json.Marshal(job)
	if err != nil {
		panic(err) // a job can always be encoded
	}
	submission := Exchange{Op: OpSubmit, Job: job.ID, Team: job.Team, Class: job.Class, Node: node}
	return g.send(submission, http.MethodPost, wire.PathJobs, body, submitTimeout)
}

// send sends a request to the exchange's controller, fills in the response and records the exchange.
func (g *loadGenerator) send(e Exchange, method, path string, body []byte, timeout time.Duration) Exchange {
	sent := time.Now()
	response := sendHTTP(g.client, g.cluster.clientAddrs[e.Node], method, path, body, timeout)
	e.SentMS, e.TookMS = sent.Sub(g.startedAt).Milliseconds(), time.Since(sent).Milliseconds()
	e.Status, e.RetryAfter = int32(response.status), int32(response.retryAfter)
	var status wire.JobStatus
	if json.Unmarshal(response.body, &status) == nil {
		e.State = status.State
	}
	g.record(e)
	return e
}
