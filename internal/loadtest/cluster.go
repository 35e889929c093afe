package loadtest

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/election"
	"switchshore.example/switchshore/internal/simulation"
	"switchshore.example/switchshore/wire"
)

const (
	nodes = 3
	// downtime is how long a controller that was killed is away.
	downtime = 3 * time.Second
	// leaseTime is that of the settings below.
	leaseTime = 17 * time.Second
)

// Size is what a cluster is made for.
type Size struct {
	// Machines bounds the stand-in cloud's machines of each kind, spot and ordinary.
	Machines int
	// WriteRPS is what the state service is said to take, in changes a second.
	WriteRPS float64
	// ReportEvery is the workers' interval.
	ReportEvery time.Duration
	// RunTime is for how long a job's tasks run; as estimated if it is nil.
	RunTime func(*wire.Job) time.Duration
	// Zones are those that machines can be rented in.
	Zones []string
}

// Usage is what a controller's process has used in the end.
type Usage struct {
	Node      int
	CPU       time.Duration
	MaxMemory int64 // MiB
}

// settings is the platform's file of a controller. The state service is slow on purpose:
// its write budget is what is overloaded.
const settings = `label = "node-%d"
domain = "a"
client_listen = "%s"
peer_bind = "%s"
%s
[services]
cloud = "%s"
state = "%s"
[facts]
initial_size = 3
zones = ["%s"]
clock_error_ms = 250.0
%s
[facts.workers]
report_s = %g
lease_s = 17.0
cancel_s = 47.0
[facts.state]
rps = 200.0
write_rps = %g
value_kb = 16.0
txn_ops = 48
[facts.cloud]
rps = 20.0
list_lag_s = 1.0
[facts.resources]
core_share = 1.0
memory_mb = 450.0
fd_limit = 12000
`

// teams are what the load is submitted for; the last one has neither guarantee nor limit.
const teams = `[[facts.teams]]
name = "blue"
cpus = 100.0
cpus_max = 200.0
[[facts.teams]]
name = "green"
cpus = 50.0
cpus_max = 200.0
[[facts.teams]]
name = "guests"
`

// Objective is what the settings promise for a class: the share of its jobs that are done within
// a time.
type Objective struct {
	Class  string
	Within time.Duration
	Share  float64
}

// Objectives are those of all classes of the load.
var Objectives = []Objective{{"urgent", time.Minute, 0.9}, {"nightly", 250 * time.Second, 0.9}}

// LongestObjective is the time within which the last accepted jobs are promised to be done.
func LongestObjective() time.Duration {
	return slices.MaxFunc(Objectives, func(a, b Objective) int { return cmp.Compare(a.Within, b.Within) }).Within
}

// objectives is the part of the platform's file that names them.
func objectives() string {
	var text strings.Builder
	for _, o := range Objectives {
		fmt.Fprintf(&text, "[[facts.objectives]]\nkind = \"finished\"\nclass = \"%s\"\nwithin_s = %g\nshare = %g\n", o.Class, o.Within.Seconds(), o.Share)
	}
	return text.String()
}

// Cluster is a few controllers, as processes on loopback, and the stand-ins around them.
type Cluster struct {
	ctx      context.Context
	binary   string
	operator string
	size     Size
	folder   string
	addrs    []string
	peers    []string // addresses for operators' commands
	services *simulation.Server

	mu        sync.Mutex
	jobs      map[string]*wire.Job
	processes []*exec.Cmd
	leader    int
	tasks     []TaskEvent
	progress  map[string]time.Duration // run time saved, by task
	begun     time.Time
	usage     []Usage
	waiting   sync.WaitGroup
}

// StartCluster starts the controllers; operator is the operators' file, or "".
func StartCluster(ctx context.Context, binary, operator, folder string, size Size) (*Cluster, error) {
	c := &Cluster{
		ctx: ctx, binary: binary, operator: operator, folder: folder, size: size, jobs: map[string]*wire.Job{},
		processes: make([]*exec.Cmd, nodes), leader: -1, begun: time.Now(), progress: map[string]time.Duration{},
		services: simulation.NewServer(wire.MachineType{
			Name: "std-8", CPUs: 8, MemoryGB: 32, FetchGBPerS: 1, CacheGB: 20, Price: 1, SpotPrice: 0.4, BootTimeS: 1, Zones: size.Zones,
		}),
	}
	c.services.Cloud.Capacity = size.Machines
	services, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { _ = services.Close() })
	go func() { _ = c.services.Serve(services) }()
	if err := c.writeSettings(services.Addr().String()); err != nil {
		return nil, err
	}
	c.services.OnBoot = c.work
	for i := range nodes {
		if err := c.startNode(i); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// writeSettings gives every controller a settings file with addresses that are free.
func (c *Cluster) writeSettings(services string) error {
	for range nodes {
		for _, list := range []*[]string{&c.addrs, &c.peers} {
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				return err
			}
			*list = append(*list, ln.Addr().String())
			defer ln.Close()
		}
	}
	for i := range nodes {
		var others strings.Builder
		for k, addr := range c.peers {
			if k != i {
				fmt.Fprintf(&others, "[[peers]]\nlabel = \"node-%d\"\ndomain = \"a\"\naddr = \"%s\"\n", k, addr)
			}
		}
		text := fmt.Sprintf(settings, i, c.addrs[i], c.peers[i], others.String(), services, services, strings.Join(c.size.Zones, `", "`), teams+objectives(),
			c.size.ReportEvery.Seconds(), c.size.WriteRPS)
		if err := os.WriteFile(c.path(i, "toml"), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) path(node int, ending string) string {
	return filepath.Join(c.folder, fmt.Sprintf("node-%d.%s", node, ending))
}

// startNode starts a controller; its log is kept, and tells when it leads.
func (c *Cluster) startNode(i int) error {
	args := []string{"--config", c.path(i, "toml")}
	if c.operator != "" {
		args = append([]string{"--operator", c.operator}, args...)
	}
	process := exec.CommandContext(c.ctx, c.binary, args...)
	log, err := process.StderrPipe()
	if err != nil {
		return err
	}
	kept, err := os.OpenFile(c.path(i, "log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if err := process.Start(); err != nil {
		return err
	}
	c.mu.Lock()
	c.processes[i] = process
	c.mu.Unlock()
	c.waiting.Add(1)
	go func() {
		defer c.waiting.Done()
		defer kept.Close()
		c.readLog(i, io.TeeReader(log, kept))
		_ = process.Wait()
		c.noteUsage(i, process.ProcessState)
	}()
	return nil
}

// noteUsage keeps what a process that has ended has used.
func (c *Cluster) noteUsage(i int, state *os.ProcessState) {
	usage := Usage{Node: i, CPU: state.UserTime() + state.SystemTime()}
	if r, ok := state.SysUsage().(*syscall.Rusage); ok {
		usage.MaxMemory = r.Maxrss / 1024
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usage = append(c.usage, usage)
}

// Sockets is the number of files and sockets that each controller has open now.
func (c *Cluster) Sockets() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := make([]int, nodes)
	for i, process := range c.processes {
		files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.Process.Pid))
		open[i] = len(files)
	}
	return open
}

// Usage is what the processes that have ended have used.
func (c *Cluster) Usage() []Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usage
}

func (c *Cluster) readLog(i int, log io.Reader) {
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		var entry struct {
			Message string `json:"message"`
		}
		if json.Unmarshal(lines.Bytes(), &entry) == nil && entry.Message == election.LeadershipAcquired {
			c.mu.Lock()
			c.leader = i
			c.mu.Unlock()
		}
	}
}

// KillLeader ends the leader's process without a signal that it could handle, and starts it
// again a little later.
func (c *Cluster) KillLeader() error {
	c.mu.Lock()
	i := c.leader
	if i < 0 {
		c.mu.Unlock()
		return fmt.Errorf("no controller leads")
	}
	process := c.processes[i]
	c.mu.Unlock()
	if err := process.Process.Kill(); err != nil {
		return err
	}
	time.Sleep(downtime)
	return c.startNode(i)
}

// Wait waits for the end of all processes, after the context has ended.
func (c *Cluster) Wait() { c.waiting.Wait() }

// job is what a user has uploaded for workers.
func (c *Cluster) job(id string) *wire.Job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id]
}

// work plays the worker of a machine that has come up.
func (c *Cluster) work(row wire.ListedMachine) {
	// Commands come with the answers to reports only: nothing listens there.
	row.Addr = "127.0.0.1:1"
	w := simulation.NewAgent(time.Now(), row, c.services.Cloud.Type, leaseTime)
	w.LookUpJob = c.job
	w.RunTime = c.size.RunTime
	if w.RunTime == nil {
		w.RunTime = func(j *wire.Job) time.Duration { return time.Duration(j.EstimateS * float64(time.Second)) }
	}
	w.SavedProgress = c.savedProgress
	watch := c.watchTasks(w)
	defer watch.lost()
	client := &fasthttp.Client{MaxConnsPerHost: 1}
	at := int(w.LeaseEnd.UnixNano() % nodes)
	for c.ctx.Err() == nil && c.services.HasMachine(row.Name) {
		w.Advance(time.Now())
		watch.look()
		sent := time.Now()
		body, _ := json.Marshal(w.NextHeartbeat())
		var answer wire.HeartbeatResponse
		status, _, data := exchange(client, c.addrs[at], "POST", wire.PathHeartbeat, body, 4*time.Second)
		if status == 200 && json.Unmarshal(data, &answer) == nil {
			w.HandleHeartbeatResponse(time.Now(), sent, w.Epoch, answer)
		} else {
			at = (at + 1) % nodes
		}
		time.Sleep(c.size.ReportEvery)
	}
}
