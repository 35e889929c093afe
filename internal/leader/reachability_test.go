package leader_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/scaling"
	"switchshore.example/switchshore/wire"
)

// zonedCluster is a leader and its machines in two zones: a0 to a9 in zone a, b0 to b9 in zone b.
type zonedCluster struct {
	*testLeader
	silentMachines map[string]bool // machines that send no heartbeats
}

var zones = []string{"a", "b"}

// newZonedCluster returns a cluster whose leader has received a machine list but no heartbeats.
func newZonedCluster(t *testing.T, term uint64, now time.Time, store map[string]json.RawMessage) *zonedCluster {
	oldType := std8Type
	std8Type.Zones = zones
	t.Cleanup(func() { std8Type = oldType })
	z := &zonedCluster{newLeader(t, term, now, store), map[string]bool{}}
	var rows []wire.ListedMachine
	for _, zone := range zones {
		for i := range 10 {
			rows = append(rows, wire.ListedMachine{Name: fmt.Sprint(zone, i), Addr: "x:1", Type: "std-8", Zone: zone, State: wire.MachineRunning, AgeS: 100})
		}
	}
	z.ApplyMachineList(now, now, rows)
	return z
}

// sendHeartbeats sends a heartbeat of every machine in the reachable zones that is not silent. It adds
// the tasks that the responses start to the tasks of their machines.
func (z *zonedCluster) sendHeartbeats(tasksByMachine map[string][]wire.TaskStatus, reachable ...string) {
	for _, zone := range reachable {
		for i := range 10 {
			id := fmt.Sprint(zone, i)
			if z.silentMachines[id] {
				continue
			}
			z.lastSequence++
			response, _ := z.HandleHeartbeat(z.now, &wire.Heartbeat{
				Machine: id, Addr: "x:1", Type: "std-8", Zone: zone, AgentEpoch: 1, Sequence: z.lastSequence, FencingToken: z.Term(), Tasks: tasksByMachine[id],
			}, true /* holdsLeaderLease */)
			for _, c := range response.Commands {
				if c.Op == wire.OpStart {
					tasksByMachine[id] = append(tasksByMachine[id], wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
				}
			}
		}
	}
}

// runWideJob gives the job 80 tasks and runs four of them on each machine. It returns the tasks by
// machine.
func (z *zonedCluster) runWideJob(j *wire.Job) map[string][]wire.TaskStatus {
	tasksByMachine := map[string][]wire.TaskStatus{}
	z.sendHeartbeats(tasksByMachine, zones...)
	j.Tasks, j.Team = 80, "wide"
	z.Submit(z.now, z.now, j, func(leader.JobResponse) {})
	for range 4 {
		z.commit()
		z.tickAfter(time.Second)
		z.sendHeartbeats(tasksByMachine, zones...)
	}
	z.commit()
	z.sendHeartbeats(tasksByMachine, zones...)
	z.sendHeartbeats(tasksByMachine, zones...)
	return tasksByMachine
}

// advance advances the time by d in steps of a second, while only the machines in the reachable zones
// send heartbeats. It returns the machines released and the zones in which machines were provisioned.
func (z *zonedCluster) advance(d time.Duration, tasksByMachine map[string][]wire.TaskStatus, reachable ...string) (released, provisioned []string) {
	for range int(d / time.Second) {
		z.tickAfter(time.Second)
		z.sendHeartbeats(tasksByMachine, reachable...)
		z.commit()
		for _, c := range z.PlanScaling(z.now) {
			if c.Op == scaling.CloudProvision {
				provisioned = append(provisioned, c.Provision.Zone)
				z.FinishProvision(z.now, c.Provision, nil)
				continue
			}
			for _, id := range c.Release {
				z.silentMachines[id] = true
			}
			released = append(released, c.Release...)
			z.FinishRelease(z.now, c.Release)
		}
	}
	slices.Sort(released)
	slices.Sort(provisioned)
	return released, slices.Compact(provisioned)
}

// addWideTeam adds the team wide, whose quota has room for the job of runWideJob, until the end of the
// test.
func addWideTeam(t *testing.T) {
	oldParams := testParams
	t.Cleanup(func() { testParams = oldParams })
	testParams.Teams = append(slices.Clone(testParams.Teams), oldParams.Teams[0])
	team := &testParams.Teams[len(testParams.Teams)-1]
	team.Name, team.CPUs, team.CPUsMax = "wide", 500, 500
}

// newJobDueIn returns a job whose deadline is the given time after its submission.
func newJobDueIn(seconds float64) *wire.Job {
	j := newJob("job-1")
	j.DeadlineS = &seconds
	return j
}

// newUrgentJob returns a job that misses its deadline if its tasks are started on other machines only
// after a lease of 15 s has expired.
func newUrgentJob() *wire.Job { return newJobDueIn(50) }

// TestPartitionedZoneIsReleasedForUrgentWork checks that a machine in a zone from which no heartbeats
// arrive is released if a task on it would miss its deadline by waiting for the expiry of the lease: after
// the release, the task can start elsewhere before the lease expires. Machines without such tasks are not
// released. No machine is provisioned in that zone.
func TestPartitionedZoneIsReleasedForUrgentWork(t *testing.T) {
	addWideTeam(t)
	z := newZonedCluster(t, 5, startTime, map[string]json.RawMessage{})
	tasksByMachine := z.runWideJob(newUrgentJob())
	released, provisioned := z.advance(10*time.Second, tasksByMachine, "a")
	if len(released) != 10 || released[0] != "b0" || released[9] != "b9" {
		t.Errorf("released %v, want b0 to b9", released)
	}
	z.sendHeartbeats(tasksByMachine, "a")
	if _, more := z.advance(3*time.Second, tasksByMachine, "a"); fmt.Sprint(append(provisioned, more...)) != "[a]" {
		t.Errorf("provisioned in the zones %v, then %v, want only a", provisioned, more)
	}
	if n := z.Summary(); n.AllocatedTasks != 40 || n.ReadyTasks != 40 {
		t.Errorf("got %+v, want 40 allocated and 40 ready tasks", n)
	}

	// Machines that boot in the partitioned zone do not count as capacity for the tasks.
	booting := newZonedCluster(t, 5, startTime, map[string]json.RawMessage{})
	tasksByMachine = booting.runWideJob(newUrgentJob())
	var rows []wire.ListedMachine
	for i := range 40 {
		rows = append(rows, wire.ListedMachine{Name: fmt.Sprint("b9", i), Addr: "x:1", Type: "std-8", Zone: "b", State: wire.MachineBooting})
	}
	booting.ApplyMachineList(booting.now, booting.now, rows)
	if _, provisioned := booting.advance(10*time.Second, tasksByMachine, "a"); fmt.Sprint(provisioned) != "[a]" {
		t.Errorf("with machines booting in zone b: provisioned in the zones %v, want only a", provisioned)
	}

	nonUrgent := newZonedCluster(t, 5, startTime, map[string]json.RawMessage{})
	if released, _ := nonUrgent.advance(10*time.Second, nonUrgent.runWideJob(newJobDueIn(500)), "a"); len(released) != 0 {
		t.Errorf("released %v without urgent work, want none", released)
	}
}

// TestSilenceOfAllMachinesReleasesNone checks that a leader that receives no heartbeats at all concludes
// that its own node is isolated. It releases no machine before the lease of that machine has expired.
func TestSilenceOfAllMachinesReleasesNone(t *testing.T) {
	addWideTeam(t)
	z := newZonedCluster(t, 5, startTime, map[string]json.RawMessage{})
	if released, _ := z.advance(10*time.Second, z.runWideJob(newUrgentJob())); len(released) != 0 {
		t.Errorf("released %v, want none", released)
	}
}

// TestSilenceInAllZonesReleasesNone checks that a leader concludes that its own node is isolated if it
// receives no heartbeats from half of the machines of every zone. It releases none of these machines.
func TestSilenceInAllZonesReleasesNone(t *testing.T) {
	addWideTeam(t)
	z := newZonedCluster(t, 5, startTime, map[string]json.RawMessage{})
	tasksByMachine := z.runWideJob(newUrgentJob())
	for i := range 5 {
		z.silentMachines[fmt.Sprint("a", 2*i)], z.silentMachines[fmt.Sprint("b", 2*i)] = true, true
	}
	if released, _ := z.advance(10*time.Second, tasksByMachine, zones...); len(released) != 0 {
		t.Errorf("released %v, want none", released)
	}
}

// TestSuccessorReleasesPartitionedZone checks that a successor releases machines with urgent work from
// which it has never received a heartbeat. The predecessor may be in the same partition as these machines
// and still renew their leases.
func TestSuccessorReleasesPartitionedZone(t *testing.T) {
	addWideTeam(t)
	z := newZonedCluster(t, 5, startTime, map[string]json.RawMessage{})
	tasksByMachine := z.runWideJob(newUrgentJob())
	successor := newZonedCluster(t, 6, z.now, z.store)
	successor.sendHeartbeats(tasksByMachine, "a")
	if released, _ := successor.advance(7*time.Second, tasksByMachine, "a"); len(released) != 0 {
		t.Errorf("released %v before a heartbeat was overdue, want none", released)
	}
	if released, _ := successor.advance(4*time.Second, tasksByMachine, "a"); len(released) != 10 {
		t.Errorf("released %v, want 10 machines", released)
	}
	if n := successor.Summary(); n.AllocatedTasks != 40 || n.ReadyTasks != 40 {
		t.Errorf("got %+v, want 40 allocated and 40 ready tasks", n)
	}
}
