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
	tasksPerMachine   = 4 // of 2 CPUs each, on machines of 8
	// benchmarkEstimateS is longer than any benchmark runs. With a shorter estimate the placement
	// algorithm would wait for machines that seem to become free soon.
	benchmarkEstimateS = 1e6
)

// benchmarkAgent is an agent whose tasks run until completeNewest ends them.
type benchmarkAgent struct {
	heartbeat wire.Heartbeat
}

// benchmarkCluster is a leader and agents that never fail.
type benchmarkCluster struct {
	*leader.Leader
	b      *testing.B
	now    time.Time
	agents []*benchmarkAgent
	jobs   int
}

// newBenchmarkCluster returns a leader that has received a heartbeat of every agent.
func newBenchmarkCluster(b *testing.B) *benchmarkCluster {
	b.Helper()
	settings := params
	settings.Teams = []config.Team{{Name: "blue"}} // without a limit
	l := leader.New(zerolog.Nop(), settings, config.OperatorSettings{}, 1, start, leader.GracePeriod(settings.Workers))
	l.FinishLoading(start)
	l.SetMachineTypes([]wire.MachineType{bigType})
	c := &benchmarkCluster{Leader: l, b: b, now: start}
	for i := range benchmarkMachines {
		name := fmt.Sprintf("i-%06d", i)
		c.agents = append(c.agents, &benchmarkAgent{heartbeat: wire.Heartbeat{
			Machine: name, Addr: name + ":9", Type: bigType.Name, Zone: "a", AgentEpoch: 1, FencingToken: l.Term(),
		}})
	}
	c.sendAllHeartbeats()
	return c
}

// sendHeartbeat sends an agent's heartbeat and executes the commands in the response.
func (c *benchmarkCluster) sendHeartbeat(a *benchmarkAgent) {
	a.heartbeat.Sequence++
	response, outcome := c.HandleHeartbeat(c.now, &a.heartbeat, true)
	if outcome != leader.HeartbeatApplied {
		c.b.Fatalf("%s: outcome %d", a.heartbeat.Machine, outcome)
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

// submit submits a job and commits it.
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

// fill runs the given number of tasks on each machine.
func (c *benchmarkCluster) fill(tasks int) {
	c.submit("lasting", benchmarkMachines*tasks)
	for range 1000 {
		c.now = c.now.Add(time.Second)
		c.Tick(c.now, true)
		c.commit()
		c.sendAllHeartbeats()
		if c.Summary().ReadyTasks == 0 {
			c.sendAllHeartbeats()
			return
		}
	}
	c.b.Fatalf("%d tasks were not placed", c.Summary().ReadyTasks)
}

// completeNewest completes the tasks of the newest job.
func (c *benchmarkCluster) completeNewest() {
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

// BenchmarkPlacementPass measures a pass over 4,000 machines: one that places 100 tasks on a
// half-used cluster, and one over a full cluster with 100 queued jobs.
func BenchmarkPlacementPass(b *testing.B) {
	b.Run("half-used", func(b *testing.B) {
		c := newBenchmarkCluster(b)
		c.fill(tasksPerMachine / 2)
		for b.Loop() {
			b.StopTimer()
			c.now = c.now.Add(time.Second)
			c.submit("short", 100) // its own class, whose estimate is corrected by the run times
			b.StartTimer()
			c.Tick(c.now, true)
			b.StopTimer()
			if ready := c.Summary().ReadyTasks; ready != 0 {
				b.Fatalf("%d tasks were not placed", ready)
			}
			c.commit()
			c.sendAllHeartbeats() // sends the starts
			c.completeNewest()
			c.sendAllHeartbeats() // lists the tasks as exited
			c.Tick(c.now, false)
			c.commit()
			c.sendAllHeartbeats() // sends the forgets
			b.StartTimer()
		}
	})
	b.Run("full", func(b *testing.B) {
		c := newBenchmarkCluster(b)
		c.fill(tasksPerMachine)
		for range 100 {
			c.submit("lasting", 100)
		}
		for b.Loop() {
			b.StopTimer()
			c.now = c.now.Add(time.Second)
			c.sendAllHeartbeats()
			b.StartTimer()
			c.Tick(c.now, true)
		}
	})
}

// BenchmarkHeartbeat measures the handling of one heartbeat in a cluster of 4,000 machines that run
// four tasks each.
func BenchmarkHeartbeat(b *testing.B) {
	c := newBenchmarkCluster(b)
	c.fill(tasksPerMachine)
	step := 3 * time.Second / benchmarkMachines
	next := 0
	for b.Loop() {
		c.now = c.now.Add(step)
		a := c.agents[next]
		next = (next + 1) % benchmarkMachines
		a.heartbeat.Sequence++
		if _, outcome := c.HandleHeartbeat(c.now, &a.heartbeat, true); outcome != leader.HeartbeatApplied {
			b.Fatalf("outcome %d", outcome)
		}
	}
}
