package node_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/node"
	"switchshore.example/switchshore/internal/simulation"
	"switchshore.example/switchshore/wire"
)

const submission = `{"ref":"%s","muster":"c","crew":"blue","rig":"batch","rank":"high","oars":3,
 "cores":2,"cards":0,"memoryGb":1,"hull":"img","imageGb":0.1,"builds":null,"berth":null,
 "together":false,"apart":false,"driftwood":true,"reckonS":0.1,"loglineS":0,"stowS":0,"tideS":null}`

// cluster is a group of nodes on loopback, with simulated services and agents. Nodes are indexed in
// the order in which they were started.
type cluster struct {
	t           *testing.T
	addrs       []string
	peerAddrs   []string
	stopNode    []context.CancelFunc
	nodeStopped []chan struct{}
	// services simulates the key-value store and the cloud.
	services *simulation.Server
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

func freeAddr(t *testing.T) string {
	ln := listen(t)
	defer ln.Close()
	return ln.Addr().String()
}

func startCluster(t *testing.T, size int) *cluster {
	return startClusterWith(t, size, &config.OperatorSettings{}, func(*config.Params) {})
}

// startClusterWith starts a cluster with the given operator settings. change modifies the other
// settings of each node.
func startClusterWith(t *testing.T, size int, operator *config.OperatorSettings, change func(*config.Params)) *cluster {
	services := simulation.NewServer(wire.MachineType{
		Name: "std-8", CPUs: 8, MemoryGB: 32, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootTimeS: 0.1, Zones: []string{"a"},
	})
	ln := listen(t)
	t.Cleanup(func() { _ = ln.Close() })
	go func() { _ = services.Serve(ln) }() // ends with the listener
	c := &cluster{t: t, services: services}
	var peers []config.Peer
	for i := range size {
		c.addrs = append(c.addrs, freeAddr(t))
		peers = append(peers, config.Peer{Name: fmt.Sprint("n", i), Addr: freeAddr(t)})
		c.peerAddrs = append(c.peerAddrs, peers[i].Addr)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	services.OnBoot = func(row wire.ListedMachine) { runAgent(ctx, row, c.addrs) }
	for i := range size {
		cfg := nodeConfig(c.addrs[i], peers, i, ln.Addr().String())
		change(&cfg.Params)
		c.startNode(ctx, cfg, operator)
	}
	return c
}

// nodeConfig returns the configuration of the node that is peers[self] and listens on addr for
// users and agents.
func nodeConfig(addr string, peers []config.Peer, self int, services string) *config.Config {
	cfg := &config.Config{
		Name: peers[self].Name, Zone: "a", Listen: addr, PeerListen: peers[self].Addr,
		Services: config.Services{Cloud: services, KVStore: services},
		Params: config.Params{
			Teams:   []config.Team{{Name: "blue", CPUs: 8, CPUsMax: 16}},
			Workers: config.Workers{HeartbeatIntervalS: 0.3, LeaseS: 5, CancelDeadlineS: 20},
			KVStore: config.KVStoreLimits{RPS: 500, WriteRPS: 300, ValueKB: 16, TxnOps: 48},
			Cloud:   config.CloudLimits{RPS: 50, ListLagS: 0.1},
		},
	}
	for i, p := range peers {
		if i != self {
			cfg.Peers = append(cfg.Peers, p)
		}
	}
	return cfg
}

// startNode runs a node until the context ends or the node is stopped.
func (c *cluster) startNode(ctx context.Context, cfg *config.Config, operator *config.OperatorSettings) {
	ctx, stop := context.WithCancel(ctx)
	stopped := make(chan struct{})
	c.stopNode, c.nodeStopped = append(c.stopNode, stop), append(c.nodeStopped, stopped)
	go func() {
		defer close(stopped)
		if err := node.New(zerolog.Nop(), cfg, operator).Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			c.t.Log(err)
		}
	}()
}

// runAgent simulates an agent that finishes every task as soon as it is started. When a node
// doesn't respond with 200, the agent sends its next heartbeat to the next node.
func runAgent(ctx context.Context, machine wire.ListedMachine, nodes []string) {
	heartbeat := wire.Heartbeat{Machine: machine.Name, Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot, AgentEpoch: 1, Tasks: []wire.TaskStatus{}}
	for current := 0; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		heartbeat.Sequence++
		data, _ := json.Marshal(heartbeat)
		status, body := send(nodes[current], fasthttp.MethodPost, wire.PathHeartbeat, string(data))
		var response wire.HeartbeatResponse
		if status != 200 || json.Unmarshal(body, &response) != nil {
			current = (current + 1) % len(nodes)
			continue
		}
		heartbeat.FencingToken = response.FencingToken
		for _, c := range response.Commands {
			switch c.Op {
			case wire.OpStart:
				heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskExited, ExitReason: wire.ExitDone})
			case wire.OpForget:
				for i, t := range heartbeat.Tasks {
					if t.Task == c.Task && t.Attempt == c.Attempt {
						heartbeat.Tasks = append(heartbeat.Tasks[:i], heartbeat.Tasks[i+1:]...)
						break
					}
				}
			}
		}
	}
}

func send(addr, method, path, body string) (int, []byte) {
	status, _, data := exchange(addr, method, path, body)
	return status, data
}

// exchange sends a request and returns the status, Retry-After and body of the response. The status
// is 0 if there was no response.
func exchange(addr, method, path, body string) (int, string, []byte) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + addr + path)
	req.SetBodyString(body)
	if err := fasthttp.DoTimeout(req, res, 5*time.Second); err != nil {
		return 0, "", nil
	}
	return res.StatusCode(), string(res.Header.Peek(fasthttp.HeaderRetryAfter)), append([]byte(nil), res.Body()...)
}

// waitForResponse repeats a request until the response has the status and, if given, the state.
func (c *cluster) waitForResponse(addr, method, path, body string, status int, state string) {
	c.t.Helper()
	var got int
	var job wire.JobStatus
	for range 600 {
		var data []byte
		got, data = send(addr, method, path, body)
		job = wire.JobStatus{}
		_ = json.Unmarshal(data, &job)
		if got == status && (state == "" || job.State == state) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("%s %s: %d %+v, want %d %s", method, path, got, job, status, state)
}

// submitUntilAccepted repeats a submission until it is accepted. Any 2xx is allowed: if the response
// to the first acceptance was lost, the retry gets the status of a repeated submission.
func (c *cluster) submitUntilAccepted(addr, body string) {
	c.t.Helper()
	var status int
	for range 600 {
		if status, _ = send(addr, "POST", wire.PathJobs, body); status/100 == 2 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("submission not accepted: status %d, want 2xx", status)
}
