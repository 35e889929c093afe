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

// cluster is a group of nodes on loopback, with simulated services and workers.
type cluster struct {
	t         *testing.T
	addrs     []string
	peerAddrs []string
	stop      []context.CancelFunc
	stopped   []chan struct{}
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

// startClusterWith starts nodes with the given operator settings, and with the other settings
// modified by change.
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
	services.OnBoot = func(row wire.ListedMachine) { runWorker(ctx, row, c.addrs) }
	for i := range size {
		cfg := nodeConfig(c.addrs[i], peers, i, ln.Addr().String())
		change(&cfg.Params)
		c.startNode(ctx, cfg, operator)
	}
	return c
}

// nodeConfig returns the configuration of the peer with the index self.
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
	c.stop, c.stopped = append(c.stop, stop), append(c.stopped, stopped)
	go func() {
		defer close(stopped)
		if err := node.New(zerolog.Nop(), cfg, operator).Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			c.t.Log(err)
		}
	}()
}

// runWorker simulates a worker that finishes every task at once. It uses the next node when one
// doesn't respond with 200.
func runWorker(ctx context.Context, row wire.ListedMachine, nodes []string) {
	r := wire.Heartbeat{Machine: row.Name, Type: row.Type, Zone: row.Zone, Spot: row.Spot, AgentEpoch: 1, Tasks: []wire.TaskStatus{}}
	for current := 0; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		r.Sequence++
		data, _ := json.Marshal(r)
		status, body := send(nodes[current], fasthttp.MethodPost, wire.PathHeartbeat, string(data))
		var a wire.HeartbeatResponse
		if status != 200 || json.Unmarshal(body, &a) != nil {
			current = (current + 1) % len(nodes)
			continue
		}
		r.FencingToken = a.FencingToken
		for _, c := range a.Commands {
			switch c.Op {
			case wire.OpStart:
				r.Tasks = append(r.Tasks, wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskExited, ExitReason: wire.ExitDone})
			case wire.OpForget:
				for i, t := range r.Tasks {
					if t.Task == c.Task && t.Attempt == c.Attempt {
						r.Tasks = append(r.Tasks[:i], r.Tasks[i+1:]...)
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

// exchange sends a request and returns the status, Retry-After and body of the response.
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

// await repeats a request until the response has the status and, if given, the state.
func (c *cluster) await(addr, method, path, body string, status int, state string) {
	c.t.Helper()
	var got int
	var js wire.JobStatus
	for range 600 {
		var data []byte
		got, data = send(addr, method, path, body)
		js = wire.JobStatus{}
		_ = json.Unmarshal(data, &js)
		if got == status && (state == "" || js.State == state) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("%s %s: %d %+v, want %d %s", method, path, got, js, status, state)
}

// awaitAccepted repeats a submission until it is accepted. The status may be that of a repeated
// submission, because the first acceptance may have got no response.
func (c *cluster) awaitAccepted(addr, body string) {
	c.t.Helper()
	var status int
	for range 600 {
		if status, _ = send(addr, "POST", wire.PathJobs, body); status/100 == 2 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("submission not accepted: %d", status)
}
