package loadtest

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// Options bound a run.
type Options struct {
	// Duration is how long the load lasts.
	Duration time.Duration
	// Rate is how many new jobs are submitted a second by all teams; the flooding one
	// submits as many again.
	Rate float64
	Seed uint64
	// Tasks and TaskTime are those of a job.
	Tasks    int
	TaskTime time.Duration
	// CheckpointEvery is the interval at which tasks of the class "nightly" save checkpoints, 0 for never.
	CheckpointEvery time.Duration
	// OnePriority gives all jobs the same priority: none is preempted.
	OnePriority bool
	// KillLeader are the times at which the leader is killed.
	KillLeader []time.Duration
	// Flood lets a script of one team submit as many jobs again, and two teams in bursts.
	Flood bool
}

const (
	// maxUsers bounds the users with a request under way or a pause.
	maxUsers = 20_000
	// burstEvery paces bursts that reach all controllers at the same moment, of burstJobs
	// jobs each, each submitted at two of them.
	burstEvery = 30 * time.Second
	burstJobs  = 60
	// saveTime is what a task that saves checkpoints takes to save when it is stopped.
	saveTime = time.Second
)

// stream is what one team submits of one class, as its part of the rate.
type stream struct {
	team, class, priority string
	part                  float64
}

// streams are six parts of the rate, and a script of blue's that submits as much again.
var streams = []stream{
	{"blue", "urgent", wire.PriorityHigh, 0.17},
	{"blue", "nightly", wire.PriorityNormal, 0.17},
	{"green", "urgent", wire.PriorityHigh, 0.17},
	{"green", "nightly", wire.PriorityNormal, 0.17},
	{"guests", "urgent", wire.PriorityHigh, 0.16},
	{"guests", "nightly", wire.PriorityNormal, 0.16},
	{"blue", "nightly", wire.PriorityNormal, 1},
}

// load is a run's users.
type load struct {
	cluster *Cluster
	options Options
	client  *fasthttp.Client
	begun   time.Time
	users   *semaphore.Weighted
	waiting sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	number  int
	history []Answer
}

// Run plays the load against the cluster, kills the leader at the given times, and returns the
// history.
func Run(ctx context.Context, c *Cluster, o Options) ([]Answer, error) {
	l := &load{
		cluster: c, options: o, client: &fasthttp.Client{MaxConnsPerHost: maxUsers}, begun: time.Now(),
		users: semaphore.NewWeighted(maxUsers), rng: rand.New(rand.NewPCG(o.Seed, 7)),
	}
	for _, s := range streams {
		if s.part == 1 && !o.Flood {
			continue
		}
		l.waiting.Add(1)
		go func() {
			defer l.waiting.Done()
			l.submitStream(ctx, s, o.Rate*s.part, o.Duration)
		}()
	}
	if o.Flood {
		l.waiting.Add(1)
		go func() {
			defer l.waiting.Done()
			l.submitBursts(ctx, o.Duration)
		}()
	}
	for _, at := range o.KillLeader {
		if err := ctxtime.Sleep(ctx, at-time.Since(l.begun)); err != nil {
			return nil, err
		}
		if err := c.KillLeader(); err != nil {
			return nil, err
		}
	}
	// At the end of the context every user stops where he is; the checker tells whose job
	// is not over.
	l.waiting.Wait()
	return l.history, nil
}

func (l *load) submitStream(ctx context.Context, s stream, perSecond float64, d time.Duration) {
	for time.Since(l.begun) < d && ctx.Err() == nil {
		l.mu.Lock()
		gap := time.Duration(l.rng.ExpFloat64() / perSecond * float64(time.Second))
		l.mu.Unlock()
		if ctxtime.Sleep(ctx, gap) != nil {
			return
		}
		l.user(ctx, l.newJob(s), -1)
	}
}

// submitBursts lets two teams submit at all controllers at the same moments, each job at two.
func (l *load) submitBursts(ctx context.Context, d time.Duration) {
	for ctxtime.Sleep(ctx, burstEvery) == nil && time.Since(l.begun) < d {
		for i := range burstJobs {
			j := l.newJob(streams[1+2*(i%2)])
			l.user(ctx, j, i%nodes)
			l.again(ctx, j, (i+1)%nodes)
		}
	}
}

func (l *load) newJob(s stream) *wire.Job {
	l.mu.Lock()
	l.number++
	id := fmt.Sprintf("job-%06d", l.number)
	l.mu.Unlock()
	j := &wire.Job{
		ID: id, Class: s.class, Team: s.team, Kind: wire.KindArray, Priority: s.priority, Tasks: l.options.Tasks, CPUs: 1,
		MemoryGB: 1, Image: "img", ImageGB: 0.1, Spot: true, EstimateS: l.options.TaskTime.Seconds(),
	}
	if l.options.OnePriority {
		j.Priority = wire.PriorityNormal
	}
	if s.class == "nightly" && l.options.CheckpointEvery > 0 {
		j.CheckpointIntervalS, j.CheckpointSaveS = l.options.CheckpointEvery.Seconds(), saveTime.Seconds()
	}
	l.cluster.mu.Lock()
	l.cluster.jobs[id] = j
	l.cluster.mu.Unlock()
	return j
}

// user plays one user from the first try to the end of the job; node is where he begins, -1
// for any.
func (l *load) user(ctx context.Context, j *wire.Job, node int) {
	if !l.users.TryAcquire(1) {
		return
	}
	l.waiting.Add(1)
	go func() {
		defer l.waiting.Done()
		defer l.users.Release(1)
		first := time.Now()
		for ctx.Err() == nil {
			a := l.submit(j, node)
			node = -1
			if a.accepted() {
				l.follow(ctx, j)
				return
			}
			wait := max(time.Duration(a.RetryAfter)*time.Second, time.Second) + l.jitter(time.Second/4)
			if time.Since(first)+wait > tuning.AdmissionRetryWindow {
				l.note(Answer{SentMS: time.Since(l.begun).Milliseconds(), Op: OpGiveUp, Job: j.ID, Team: j.Team, Class: j.Class})
				return
			}
			_ = ctxtime.Sleep(ctx, wait)
		}
	}()
}

// again submits a job a second time at the same moment, at another controller.
func (l *load) again(ctx context.Context, j *wire.Job, node int) {
	if ctx.Err() == nil {
		l.waiting.Add(1)
		go func() {
			defer l.waiting.Done()
			l.submit(j, node)
		}()
	}
}

// follow asks about an accepted job until it is over.
func (l *load) follow(ctx context.Context, j *wire.Job) {
	for ctx.Err() == nil {
		if ctxtime.Sleep(ctx, 5*time.Second+l.jitter(time.Second)) != nil {
			return
		}
		a := l.send(Answer{Op: OpQuery, Job: j.ID, Team: j.Team, Class: j.Class, Node: l.anyNode()}, http.MethodGet, wire.PathJobs+"/"+j.ID, nil, 2*time.Second)
		if a.Status == http.StatusOK && wire.IsTerminal(a.State) {
			return
		}
	}
}

func (l *load) submit(j *wire.Job, node int) Answer {
	if node < 0 {
		node = int(l.anyNode())
	}
	body, _ := json.Marshal(j)
	a := Answer{Op: OpSubmit, Job: j.ID, Team: j.Team, Class: j.Class, Node: int32(node)}
	return l.send(a, http.MethodPost, wire.PathJobs, body, 5*time.Second)
}

// send carries a request out and notes the answer.
func (l *load) send(a Answer, method, path string, body []byte, timeout time.Duration) Answer {
	sent := time.Now()
	status, retryAfter, data := exchange(l.client, l.cluster.addrs[a.Node], method, path, body, timeout)
	a.SentMS, a.TookMS = sent.Sub(l.begun).Milliseconds(), time.Since(sent).Milliseconds()
	a.Status, a.RetryAfter = int32(status), int32(retryAfter)
	var s wire.JobStatus
	if json.Unmarshal(data, &s) == nil {
		a.State = s.State
	}
	l.note(a)
	return a
}

func (l *load) note(a Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = append(l.history, a)
}

func (l *load) anyNode() int32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Int32N(nodes)
}

func (l *load) jitter(most time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.rng.Int64N(int64(most)))
}

// exchange sends a request to an address on loopback; status 0 stands for no answer.
func exchange(client *fasthttp.Client, addr, method, path string, body []byte, timeout time.Duration) (status, retryAfter int, data []byte) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + addr + path)
	request.SetBody(body)
	if err := client.DoTimeout(request, response, timeout); err != nil {
		return 0, 0, nil
	}
	retryAfter, _ = strconv.Atoi(string(response.Header.Peek(fasthttp.HeaderRetryAfter)))
	return response.StatusCode(), retryAfter, append([]byte(nil), response.Body()...)
}
