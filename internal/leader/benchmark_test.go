package leader_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/wire"
)

const (
	benchmarkMachines = 4000
	tasksPerMachine   = 4 // tasks have 2 CPUs each, machines 8
	// benchmarkEstimateS is the estimated run time of all tasks. It is longer than any benchmark
	// runs: with a shorter estimate, the placement algorithm would let tasks wait for machines whose
	// tasks are expected to end soon.
	benchmarkEstimateS = 1e6
)

// benchmarkAgent is an agent. Its tasks run until completeNewestJob completes them.
type benchmarkAgent struct {
	heartbeat wire.Heartbeat
}

// benchmarkCluster is a leader and agents that never fail.
type benchmarkCluster struct {
	*leader.Leader
	b      *testing.B
	now    time.Time
	agents []*benchmarkAgent
	jobs   int // number of jobs submitted; the newest has the ID "job-<jobs>"
}

// newBenchmarkCluster returns a leader that has received a heartbeat of every agent.
func newBenchmarkCluster(b *testing.B) *benchmarkCluster {
	b.Helper()
	unlimitedParams := testParams
	unlimitedParams.Teams = []config.Team{{Name: "blue"}} // no limit on the team's CPUs
	l := leader.New(zerolog.Nop(), unlimitedParams, config.OperatorSettings{}, 1, startTime, leader.GracePeriod(unlimitedParams.Workers))
	l.FinishLoading(startTime)
	l.SetMachineTypes([]wire.MachineType{std8Type})
	c := &benchmarkCluster{Leader: l, b: b, now: startTime}
	for i := range benchmarkMachines {
		name := fmt.Sprintf("i-%06d", i)
		c.agents = append(c.agents, &benchmarkAgent{heartbeat: wire.Heartbeat{
			Machine: name, Addr: name + ":9", Type: std8Type.Name, Zone: "a", AgentEpoch: 1, FencingToken: l.Term(),
		}})
	}
	c.sendAllHeartbeats()
	return c
}

// sendHeartbeat sends an agent's heartbeat and executes the commands in the response.
func (c *benchmarkCluster) sendHeartbeat(a *benchmarkAgent) {
	a.heartbeat.Sequence++
	response, outcome := c.HandleHeartbeat(c.now, &a.heartbeat, true /* holdsLeaderLease */)
	if outcome != leader.HeartbeatApplied {
		c.b.Fatalf("heartbeat of %s: got outcome %d, want HeartbeatApplied", a.heartbeat.Machine, outcome)
	}
	for _, command := range response.Commands {
		a.execute(command)
	}
}

func (a *benchmarkAgent) execute(command wire.Command) {
	switch command.Op {
	case wire.OpStart:
		a.heartbeat.Tasks = append(a.heartbeat.Tasks, wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskRunning})
	case wire.OpForget:
		a.heartbeat.Tasks = slices.DeleteFunc(a.heartbeat.Tasks, func(t wire.TaskStatus) bool {
			return t.Task == command.Task && t.Attempt == command.Attempt
		})
	}
}

// sendAllHeartbeats sends a heartbeat of every agent.
func (c *benchmarkCluster) sendAllHeartbeats() {
	for _, a := range c.agents {
		c.sendHeartbeat(a)
	}
}

// submit submits a job with the given class and number of tasks, and commits it.
func (c *benchmarkCluster) submit(class string, tasks int) {
	c.jobs++
	job := newJob(fmt.Sprintf("job-%d", c.jobs))
	job.Class, job.Tasks, job.EstimateS = class, tasks, benchmarkEstimateS
	c.Submit(c.now, c.now, job, func(leader.JobResponse) {})
	c.commit()
}

// commit makes all queued changes durable.
func (c *benchmarkCluster) commit() {
	for batch := c.NextWriteBatch(48, 48); batch != nil; batch = c.NextWriteBatch(48, 48) {
		c.MarkBatchCommitted(batch, nil)
	}
}

// fill submits a job of class "long" and places the given number of its tasks on each machine.
func (c *benchmarkCluster) fill(tasks int) {
	c.submit("long", benchmarkMachines*tasks)
	for range 1000 {
		c.now = c.now.Add(time.Second)
		c.Tick(c.now, true /* holdsLeaderLease */)
		c.commit()
		c.sendAllHeartbeats()
		if c.Summary().ReadyTasks == 0 {
			c.sendAllHeartbeats() // lists the last tasks started as running
			return
		}
	}
	c.b.Fatalf("%d tasks were not placed, want 0", c.Summary().ReadyTasks)
}

// completeNewestJob marks the tasks of the newest job as exited on their agents.
func (c *benchmarkCluster) completeNewestJob() {
	newest := fmt.Sprintf("job-%d", c.jobs)
	for _, a := range c.agents {
		for i := range a.heartbeat.Tasks {
			task := &a.heartbeat.Tasks[i]
			if id, _, _ := wire.SplitTask(task.Task); id == newest {
				task.State, task.ExitReason = wire.TaskExited, wire.ExitDone
			}
		}
	}
}

// BenchmarkPlacementPass measures a placement pass over 4,000 machines: "half-used" places 100 tasks
// on a half-used cluster, "full" places none, because 100 jobs are queued for a full cluster.
func BenchmarkPlacementPass(b *testing.B) {
	b.Run("half-used", func(b *testing.B) {
		c := newBenchmarkCluster(b)
		c.fill(tasksPerMachine / 2)
		for b.Loop() {
			b.StopTimer()
			c.now = c.now.Add(time.Second)
			// The class differs from that of the long jobs, because the short run times lower the
			// estimates of all jobs of the same class.
			c.submit("short", 100)
			b.StartTimer()
			c.Tick(c.now, true /* holdsLeaderLease */)
			b.StopTimer()
			if ready := c.Summary().ReadyTasks; ready != 0 {
				b.Fatalf("%d tasks were not placed, want 0", ready)
			}
			c.commit()
			c.sendAllHeartbeats() // the responses start the tasks
			c.completeNewestJob()
			c.sendAllHeartbeats() // the heartbeats list the tasks as exited
			c.Tick(c.now, false /* holdsLeaderLease */)
			c.commit()
			c.sendAllHeartbeats() // the responses remove the exited tasks
			b.StartTimer()
		}
	})
	b.Run("full", func(b *testing.B) {
		c := newBenchmarkCluster(b)
		c.fill(tasksPerMachine)
		for range 100 {
			c.submit("long", 100)
		}
		for b.Loop() {
			b.StopTimer()
			c.now = c.now.Add(time.Second)
			c.sendAllHeartbeats()
			b.StartTimer()
			c.Tick(c.now, true /* holdsLeaderLease */)
		}
	})
}

// BenchmarkHeartbeat measures the handling of one heartbeat in a cluster of 4,000 machines that run
// four tasks each.
func BenchmarkHeartbeat(b *testing.B) {
	c := newBenchmarkCluster(b)
	c.fill(tasksPerMachine)
	// Each machine sends a heartbeat every 3 s.
	heartbeatSpacing := 3 * time.Second / benchmarkMachines
	nextAgent := 0
	for b.Loop() {
		c.now = c.now.Add(heartbeatSpacing)
		a := c.agents[nextAgent]
		nextAgent = (nextAgent + 1) % benchmarkMachines
		a.heartbeat.Sequence++
		if _, outcome := c.HandleHeartbeat(c.now, &a.heartbeat, true /* holdsLeaderLease */); outcome != leader.HeartbeatApplied {
			b.Fatalf("got outcome %d, want HeartbeatApplied", outcome)
		}
	}
}
