package loadtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/wire"
)

// LoadOptions configure the load on a cluster.
type LoadOptions struct {
	// Duration is how long jobs are submitted.
	Duration time.Duration
	// JobsPerSecond is the total rate of jobs from all teams, without the flood.
	JobsPerSecond float64
	Seed          uint64
	TasksPerJob   int
	TaskRunTime   time.Duration
	// CheckpointInterval is the checkpoint interval of tasks of class "nightly", 0 for no checkpoints.
	CheckpointInterval time.Duration
	// EqualPriority gives all jobs the same priority, so that no task is preempted.
	EqualPriority bool
	// KillLeaderAt are the times at which the leader is killed.
	KillLeaderAt []time.Duration
	// Flood adds floodStream, which doubles the rate of jobs, and bursts from two teams.
	Flood bool
}

const (
	// maxUsers bounds the number of concurrent users.
	maxUsers = 20_000
	// burstInterval is the time between bursts of burstJobs jobs, which are submitted to all controllers
	// at the same time.
	burstInterval = 30 * time.Second
	burstJobs     = 60
	// checkpointSaveTime is how long a stopped task takes to save a checkpoint.
	checkpointSaveTime = time.Second
)

// jobStream describes the jobs that a team submits in a class.
type jobStream struct {
	team, class, priority string
	rateShare             float64
}

// jobStreams divide LoadOptions.JobsPerSecond among teams and classes.
var jobStreams = []jobStream{
	{"blue", "urgent", wire.PriorityHigh, 0.17},
	{"blue", "nightly", wire.PriorityNormal, 0.17},
	{"green", "urgent", wire.PriorityHigh, 0.17},
	{"green", "nightly", wire.PriorityNormal, 0.17},
	{"guests", "urgent", wire.PriorityHigh, 0.16},
	{"guests", "nightly", wire.PriorityNormal, 0.16},
}

// floodStream is a script of team blue that submits as many jobs as all jobStreams together.
var floodStream = jobStream{"blue", "nightly", wire.PriorityNormal, 1}

// burstStreams are the streams whose jobs are also submitted in bursts.
var burstStreams = []jobStream{jobStreams[1], jobStreams[3]}

// loadGenerator simulates the users of a run and records their exchanges.
type loadGenerator struct {
	cluster    *Cluster
	options    LoadOptions
	client     *fasthttp.Client
	startedAt  time.Time
	users      *semaphore.Weighted
	background sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	lastJob int
	history []Exchange
}

// RunLoad submits the load to the cluster, kills the leader at the given times, and returns the
// history after all users have ended. A user ends when the job ends, when the user gives up, or with
// the context; Check reports accepted jobs that have not ended by then.
func RunLoad(ctx context.Context, c *Cluster, options LoadOptions) ([]Exchange, error) {
	g := &loadGenerator{
		cluster: c, options: options, client: &fasthttp.Client{MaxConnsPerHost: maxUsers}, startedAt: time.Now(),
		users: semaphore.NewWeighted(maxUsers), rng: rand.New(rand.NewPCG(options.Seed, 7)),
	}
	streams := jobStreams
	if options.Flood {
		streams = append(streams[:len(streams):len(streams)], floodStream)
		g.background.Go(func() { g.submitBursts(ctx) })
	}
	for _, s := range streams {
		g.background.Go(func() { g.submitStream(ctx, s) })
	}
	for _, at := range options.KillLeaderAt {
		if err := ctxtime.Sleep(ctx, at-time.Since(g.startedAt)); err != nil {
			return nil, err
		}
		if err := c.KillLeader(); err != nil {
			return nil, err
		}
	}
	g.background.Wait()
	return g.history, nil
}

// submitStream submits a stream's jobs at exponentially distributed intervals.
func (g *loadGenerator) submitStream(ctx context.Context, s jobStream) {
	perSecond := g.options.JobsPerSecond * s.rateShare
	for time.Since(g.startedAt) < g.options.Duration {
		if ctxtime.Sleep(ctx, g.randomInterval(perSecond)) != nil {
			return
		}
		g.startUser(ctx, g.newJob(s), g.randomNode())
	}
}

// submitBursts submits bursts of jobs of two teams to all controllers at the same time, and each job
// to two controllers.
func (g *loadGenerator) submitBursts(ctx context.Context) {
	for ctxtime.Sleep(ctx, burstInterval) == nil && time.Since(g.startedAt) < g.options.Duration {
		for i := range burstJobs {
			job := g.newJob(burstStreams[i%len(burstStreams)])
			g.startUser(ctx, job, int32(i%nodeCount))
			g.submitDuplicate(ctx, job, int32((i+1)%nodeCount))
		}
	}
}

// newJob creates a job of a stream and stores it for the agents.
func (g *loadGenerator) newJob(s jobStream) *wire.Job {
	g.mu.Lock()
	g.lastJob++
	id := fmt.Sprintf("job-%06d", g.lastJob)
	g.mu.Unlock()
	job := &wire.Job{
		ID: id, Class: s.class, Team: s.team, Kind: wire.KindArray, Priority: s.priority, Tasks: g.options.TasksPerJob,
		CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 0.1, Spot: true, EstimateS: g.options.TaskRunTime.Seconds(),
	}
	if g.options.EqualPriority {
		job.Priority = wire.PriorityNormal
	}
	if s.class == "nightly" && g.options.CheckpointInterval > 0 {
		job.CheckpointIntervalS, job.CheckpointSaveS = g.options.CheckpointInterval.Seconds(), checkpointSaveTime.Seconds()
	}
	g.cluster.addJob(job)
	return job
}

// randomInterval returns an exponentially distributed time between events of the given rate.
func (g *loadGenerator) randomInterval(perSecond float64) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return seconds.Duration(g.rng.ExpFloat64() / perSecond)
}

// randomNode returns a random controller.
func (g *loadGenerator) randomNode() int32 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rng.Int32N(nodeCount)
}

// jitter returns a random duration below a bound.
func (g *loadGenerator) jitter(bound time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(g.rng.Int64N(int64(bound)))
}

// record appends an exchange to the history.
func (g *loadGenerator) record(e Exchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.history = append(g.history, e)
}
