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

// ClusterOptions are what a cluster is made for.
type ClusterOptions struct {
	// Machines bounds the cloud's machines of each kind, spot and ordinary.
	Machines int
	// WriteRPS is the write rate of the key-value store in the settings, in changes a second.
	WriteRPS float64
	// HeartbeatInterval is that of the agents.
	HeartbeatInterval time.Duration
	// RunTime tells for how long a job's tasks run; as estimated if it is nil.
	RunTime func(*wire.Job) time.Duration
	// Zones are those of the machines.
	Zones []string
}

// Cluster is a few controllers, as processes on loopback, with a simulated cloud, store and agents.
type Cluster struct {
	ctx         context.Context
	binary      string
	operator    string
	dir         string
	options     ClusterOptions
	clientAddrs []string
	peerAddrs   []string // for operators' requests
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

// StartCluster starts the controllers, which run until the context ends; operator is the path of the
// operators' file, or "".
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

// serve serves store and cloud until the context ends, and returns their address.
func (c *Cluster) serve() (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	context.AfterFunc(c.ctx, func() { _ = ln.Close() }) // nobody is left who needs it
	go func() { _ = c.services.Serve(ln) }()            // ends with the listener
	return ln.Addr().String(), nil
}

// Wait waits for the end of all processes, after the context has ended.
func (c *Cluster) Wait() { c.background.Wait() }

// addJob makes a job known to the agents.
func (c *Cluster) addJob(job *wire.Job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[job.ID] = job
}

// job is what a user has uploaded, nil if nothing.
func (c *Cluster) job(id string) *wire.Job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id]
}

// ReleaseZone removes all machines of a zone at once, and returns how many there were.
func (c *Cluster) ReleaseZone(zone string) int { return c.services.ReleaseZone(zone) }
