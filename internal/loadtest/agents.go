package loadtest

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/internal/simulation"
	"switchshore.example/switchshore/wire"
)

// unusedAddress is the address that all agents announce. Nothing listens there, so agents receive
// commands only in the responses to their heartbeats.
const unusedAddress = "127.0.0.1:1"

// heartbeatTimeout is how long an agent waits for the response to a heartbeat.
const heartbeatTimeout = 4 * time.Second

// runAgent simulates the agent of a machine until the machine is released or the context ends. After
// a failed heartbeat it switches to the next controller.
func (c *Cluster) runAgent(machine wire.ListedMachine) {
	machine.Addr = unusedAddress
	agent := c.newAgent(machine)
	recorder := c.recordTasks(agent)
	defer recorder.recordMachineLost()
	client := &fasthttp.Client{MaxConnsPerHost: 1}
	target := int(agent.LeaseEnd.UnixNano() % nodeCount)
	for c.ctx.Err() == nil && c.services.HasMachine(machine.Name) {
		agent.Advance(time.Now())
		recorder.observe()
		if !c.sendHeartbeat(client, c.clientAddrs[target], agent) {
			target = (target + 1) % nodeCount
		}
		if ctxtime.Sleep(c.ctx, c.options.HeartbeatInterval) != nil {
			return
		}
	}
}

// newAgent returns an agent whose tasks run for the time that ClusterOptions.RunTime returns.
func (c *Cluster) newAgent(machine wire.ListedMachine) *simulation.Agent {
	agent := simulation.NewAgent(time.Now(), machine, c.services.Cloud.Type, agentLease)
	agent.LookUpJob = c.job
	agent.SavedProgress = c.savedProgress
	agent.RunTime = c.options.RunTime
	if agent.RunTime == nil {
		agent.RunTime = func(j *wire.Job) time.Duration { return seconds.Duration(j.EstimateS) }
	}
	return agent
}

// sendHeartbeat sends an agent's heartbeat to a controller and applies the response. It reports
// whether it received a valid response.
func (c *Cluster) sendHeartbeat(client *fasthttp.Client, addr string, agent *simulation.Agent) bool {
	sent := time.Now()
	body, err := json.Marshal(agent.NextHeartbeat())
	if err != nil {
		panic(err) // a heartbeat can always be encoded
	}
	response := sendHTTP(client, addr, http.MethodPost, wire.PathHeartbeat, body, heartbeatTimeout)
	var decoded wire.HeartbeatResponse
	if response.status != http.StatusOK || json.Unmarshal(response.body, &decoded) != nil {
		return false
	}
	agent.HandleHeartbeatResponse(time.Now(), sent, agent.Epoch, decoded)
	return true
}
