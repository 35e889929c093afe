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
	tasksPerMachine   = 4 // of two CPUs each, on eight
	// benchmarkEstimateS is longer than any benchmark: the rule would otherwise wait for
	// machines that look as if they were about to be free.
	benchmarkEstimateS = 1e6
)

// benchmarkAgent is a machine whose tasks run until they are told to end.
type benchmarkAgent struct {
	heartbeat wire.Heartbeat
}

// benchmarkCluster is a leader with agents that never fail.
type benchmarkCluster struct {
	*leader.Leader
	b      *testing.B
	now    time.Time
	agents []*benchmarkAgent
	jobs   int
}

// newBenchmarkCluster returns a leader to which all machines have reported.
func newBenchmarkCluster(b *testing.B) *benchmarkCluster {
	b.Helper()
	settings := params
	settings.Teams = []config.Team{{Name: "blue"}} // without a limit
	l := leader.New(zerolog.Nop(), settings, config.Operator{}, 1, start, leader.GracePeriod(settings.Workers))
	l.FinishLoading(start)
	l.SetMachineTypes([]wire.MachineType{bigType})
	c := &benchmarkCluster{Leader: l, b: b, now: start}
	for i := range benchmarkMachines {
		name := fmt.Sprintf("i-%06d", i)
		c.agents = append(c.agents, &benchmarkAgent{heartbeat: wire.Heartbeat{
			Machine: name, Addr: name + ":9", Type: bigType.Name, Zone: "a", AgentEpoch: 1, FencingToken: l.Term(),
		}})
	}
	c.reportAll()
	return c
}

// report sends an agent's heartbeat and carries out the commands in the response.
func (c *benchmarkCluster) report(a *benchmarkAgent) {
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

// reportAll sends a heartbeat of every agent.
func (c *benchmarkCluster) reportAll() {
	for _, a := range c.agents {
		c.report(a)
	}
}

// submit has a job accepted.
func (c *benchmarkCluster) submit(class string, tasks int) {
	c.jobs++
	job := spec(fmt.Sprintf("job-%d", c.jobs))
	job.Class, job.Tasks, job.EstimateS = class, tasks, benchmarkEstimateS
	c.Submit(c.now, c.now, job, func(leader.Response) {})
	c.commit()
}

// commit makes all queued changes durable.
func (c *benchmarkCluster) commit() {
	for batch := c.NextBatch(48, 48); batch != nil; batch = c.NextBatch(48, 48) {
		c.BatchCommitted(batch, nil)
	}
}

// fill lets jobs take the given number of tasks on each machine.
func (c *benchmarkCluster) fill(tasks int) {
	c.submit("lasting", benchmarkMachines*tasks)
	for range 1000 {
		c.now = c.now.Add(time.Second)
		c.Tick(c.now, true)
		c.commit()
		c.reportAll()
		if c.Counts().ReadyTasks == 0 {
			c.reportAll()
			return
		}
	}
	c.b.Fatalf("%d tasks are still waiting", c.Counts().ReadyTasks)
}

// completeNewest ends the tasks of the newest job.
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
// cluster that is half used, and one of a full cluster, where 100 jobs wait.
func BenchmarkPlacementPass(b *testing.B) {
	b.Run("half-used", func(b *testing.B) {
		c := newBenchmarkCluster(b)
		c.fill(tasksPerMachine / 2)
		for b.Loop() {
			b.StopTimer()
			c.now = c.now.Add(time.Second)
			c.submit("short", 100) // a class of its own, as its estimate is corrected
			b.StartTimer()
			c.Tick(c.now, true)
			b.StopTimer()
			if ready := c.Counts().ReadyTasks; ready != 0 {
				b.Fatalf("%d tasks were not placed", ready)
			}
			c.commit()
			c.reportAll() // the starts go out
			c.completeNewest()
			c.reportAll() // the tasks end
			c.Tick(c.now, false)
			c.commit()
			c.reportAll() // the agents forget them
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
			c.reportAll()
			b.StartTimer()
			c.Tick(c.now, true)
		}
	})
}

// BenchmarkHeartbeat measures the handling of one heartbeat of 4,000 machines that run four
// tasks each.
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
