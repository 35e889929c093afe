package loadtest

import (
	"context"
	"net"
	"os/exec"
	"sync"
	"time"

	"switchshore.example/switchshore/internal/simulation"
	"switchshore.example/switchshore/wire"
)

// nodeCount is the number of controllers of a cluster.
const nodeCount = 3

// ClusterOptions configure a cluster.
type ClusterOptions struct {
	// Machines is the cloud's capacity in each offering: a zone with spot or on-demand machines.
	Machines int
	// WriteRPS is the limit on writes to the key-value store in the settings, in changes a second.
	WriteRPS float64
	// HeartbeatInterval is the time between two heartbeats of an agent.
	HeartbeatInterval time.Duration
	// RunTime returns how long each task of a job runs. If it is nil, tasks run as long as estimated.
	RunTime func(*wire.Job) time.Duration
	// Zones are the zones in which the cloud offers machines.
	Zones []string
}

// Cluster runs nodeCount controllers as processes on loopback, with a simulated cloud, key-value store
// and agents.
type Cluster struct {
	ctx         context.Context
	binary      string
	operator    string
	dir         string
	options     ClusterOptions
	clientAddrs []string
	peerAddrs   []string // also serve operators' requests
	services    *simulation.Server
	startedAt   time.Time
	background  sync.WaitGroup

	mu         sync.Mutex
	jobs       map[string]*wire.Job
	processes  []*exec.Cmd
	leader     int // -1 if unknown
	taskEvents []TaskEvent
	progress   map[string]time.Duration // saved run time, by task
	usage      []ResourceUsage
}

// StartCluster starts the controllers, which run until the context ends. operator is the path of the
// operator settings; if it is "", the controllers start without them.
func StartCluster(ctx context.Context, binary, operator, dir string, options ClusterOptions) (*Cluster, error) {
	c := &Cluster{
		ctx: ctx, binary: binary, operator: operator, dir: dir, options: options, startedAt: time.Now(),
		jobs: map[string]*wire.Job{}, progress: map[string]time.Duration{},
		processes: make([]*exec.Cmd, nodeCount), leader: -1,
		services: simulation.NewServer(wire.MachineType{
			Name: "std-8", CPUs: 8, MemoryGB: 32, FetchGBPerS: 1, CacheGB: 20,
			Price: 1, SpotPrice: 0.4, BootTimeS: 1, Zones: options.Zones,
		}),
	}
	c.services.Cloud.Capacity = options.Machines
	c.services.OnBoot = c.runAgent
	addr, err := c.serve()
	if err != nil {
		return nil, err
	}
	if err := c.writeSettings(addr); err != nil {
		return nil, err
	}
	for node := range nodeCount {
		if err := c.startNode(node); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// serve serves the simulated key-value store and cloud until the context ends. It returns their
// address.
func (c *Cluster) serve() (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	context.AfterFunc(c.ctx, func() { _ = ln.Close() }) // the run is over: the error has no effect
	go func() { _ = c.services.Serve(ln) }()            // returns when the listener is closed
	return ln.Addr().String(), nil
}

// Wait waits until all controllers have ended. The context must have ended before.
func (c *Cluster) Wait() { c.background.Wait() }

// addJob stores a job, so that agents can look it up.
func (c *Cluster) addJob(job *wire.Job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[job.ID] = job
}

// job returns a submitted job, or nil if the ID is unknown.
func (c *Cluster) job(id string) *wire.Job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id]
}

// ReleaseZone releases all machines of a zone at once. It returns their number.
func (c *Cluster) ReleaseZone(zone string) int { return c.services.ReleaseZone(zone) }
