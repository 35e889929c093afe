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

// zonedCluster is a leader of two zones with machines a0 to a9 and b0 to b9.
type zonedCluster struct {
	*testLeader
	silent map[string]bool // machines that send no heartbeats
}

var zones = []string{"a", "b"}

func newZonedCluster(t *testing.T, term uint64, now time.Time, store map[string]json.RawMessage) *zonedCluster {
	old := bigType
	bigType.Zones = zones
	t.Cleanup(func() { bigType = old })
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

// sendHeartbeats sends a heartbeat of every machine in the given zones that is not silent, and
// starts the tasks that the responses ask for.
func (z *zonedCluster) sendHeartbeats(tasks map[string][]wire.TaskStatus, zones ...string) {
	for _, zone := range zones {
		for i := range 10 {
			id := fmt.Sprint(zone, i)
			if z.silent[id] {
				continue
			}
			z.seq++
			response, _ := z.HandleHeartbeat(z.now, &wire.Heartbeat{
				Machine: id, Addr: "x:1", Type: "std-8", Zone: zone, AgentEpoch: 1, Sequence: z.seq, FencingToken: z.Term(), Tasks: tasks[id],
			}, true)
			for _, c := range response.Commands {
				if c.Op == wire.OpStart {
					tasks[id] = append(tasks[id], wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
				}
			}
		}
	}
}

// runWideJob runs a job of 80 tasks, four on each machine, and returns the tasks by machine.
func (z *zonedCluster) runWideJob(j *wire.Job) map[string][]wire.TaskStatus {
	tasks := map[string][]wire.TaskStatus{}
	z.sendHeartbeats(tasks, zones...)
	j.Tasks, j.Team = 80, "wide"
	z.Submit(z.now, z.now, j, func(leader.JobResponse) {})
	for range 4 {
		z.commit()
		z.tickAfter(time.Second)
		z.sendHeartbeats(tasks, zones...)
	}
	z.commit()
	z.sendHeartbeats(tasks, zones...)
	z.sendHeartbeats(tasks, zones...)
	return tasks
}

// advance advances time in steps of a second while only the given zones send heartbeats. It returns
// the machines released and the zones of provisioning calls.
func (z *zonedCluster) advance(d time.Duration, tasks map[string][]wire.TaskStatus, reachable ...string) (released, provisioned []string) {
	for range int(d / time.Second) {
		z.tickAfter(time.Second)
		z.sendHeartbeats(tasks, reachable...)
		z.commit()
		for _, c := range z.PlanScaling(z.now) {
			if c.Op == scaling.CloudProvision {
				provisioned = append(provisioned, c.Provision.Zone)
				z.FinishProvision(z.now, c.Provision, nil)
				continue
			}
			for _, id := range c.Release {
				z.silent[id] = true
			}
			released = append(released, c.Release...)
			z.FinishRelease(z.now, c.Release)
		}
	}
	slices.Sort(released)
	slices.Sort(provisioned)
	return released, slices.Compact(provisioned)
}

func addWideTeam(t *testing.T) {
	old := params
	t.Cleanup(func() { params = old })
	params.Teams = append(slices.Clone(params.Teams), old.Teams[0])
	team := &params.Teams[len(params.Teams)-1]
	team.Name, team.CPUs, team.CPUsMax = "wide", 500, 500
}

// newJobDueIn returns a job with a deadline.
func newJobDueIn(seconds float64) *wire.Job {
	j := newJob("job-1")
	j.DeadlineS = &seconds
	return j
}

// newUrgentJob returns a job that would be late if it waited until a lease of 15 s has expired.
func newUrgentJob() *wire.Job { return newJobDueIn(50) }

// TestPartitionedZoneIsReleasedForUrgentWork checks that, when no heartbeats arrive from a zone, its
// machines are released if their work would be late once their leases have expired, so that it can
// start elsewhere. Nothing is provisioned in that zone. Machines without urgent work are not
// released.
func TestPartitionedZoneIsReleasedForUrgentWork(t *testing.T) {
	addWideTeam(t)
	z := newZonedCluster(t, 5, start, map[string]json.RawMessage{})
	tasks := z.runWideJob(newUrgentJob())
	released, provisioned := z.advance(10*time.Second, tasks, "a")
	if len(released) != 10 || released[0] != "b0" || released[9] != "b9" {
		t.Errorf("released: %v", released)
	}
	z.sendHeartbeats(tasks, "a")
	if _, more := z.advance(3*time.Second, tasks, "a"); fmt.Sprint(append(provisioned, more...)) != "[a]" {
		t.Errorf("provisioned in %v, then %v", provisioned, more)
	}
	if n := z.Summary(); n.AllocatedTasks != 40 || n.ReadyTasks != 40 {
		t.Errorf("%+v", n)
	}

	// Machines that boot in that zone don't count as capacity for the work either.
	booting := newZonedCluster(t, 5, start, map[string]json.RawMessage{})
	tasks = booting.runWideJob(newUrgentJob())
	var rows []wire.ListedMachine
	for i := range 40 {
		rows = append(rows, wire.ListedMachine{Name: fmt.Sprint("b9", i), Addr: "x:1", Type: "std-8", Zone: "b", State: wire.MachineBooting})
	}
	booting.ApplyMachineList(booting.now, booting.now, rows)
	if _, provisioned := booting.advance(10*time.Second, tasks, "a"); fmt.Sprint(provisioned) != "[a]" {
		t.Errorf("with machines booting in the zone: provisioned in %v", provisioned)
	}

	nonUrgent := newZonedCluster(t, 5, start, map[string]json.RawMessage{})
	if released, _ := nonUrgent.advance(10*time.Second, nonUrgent.runWideJob(newJobDueIn(500)), "a"); len(released) != 0 {
		t.Errorf("released without urgent work: %v", released)
	}
}

// TestSilenceOfAllMachinesReleasesNone checks that a node that receives no heartbeats at all
// presumes that it is isolated, and releases no machine before its lease has expired.
func TestSilenceOfAllMachinesReleasesNone(t *testing.T) {
	addWideTeam(t)
	z := newZonedCluster(t, 5, start, map[string]json.RawMessage{})
	if released, _ := z.advance(10*time.Second, z.runWideJob(newUrgentJob())); len(released) != 0 {
		t.Errorf("released: %v", released)
	}
}

// TestSilenceInAllZonesReleasesNone checks that a node that receives no heartbeats from half of the
// machines of every zone releases none either.
func TestSilenceInAllZonesReleasesNone(t *testing.T) {
	addWideTeam(t)
	z := newZonedCluster(t, 5, start, map[string]json.RawMessage{})
	tasks := z.runWideJob(newUrgentJob())
	for i := range 5 {
		z.silent[fmt.Sprint("a", 2*i)], z.silent[fmt.Sprint("b", 2*i)] = true, true
	}
	if released, _ := z.advance(10*time.Second, tasks, zones...); len(released) != 0 {
		t.Errorf("released: %v", released)
	}
}

// TestSuccessorReleasesPartitionedZone checks that a new leader releases machines that it has never
// received a heartbeat from, because its predecessor may be partitioned with them and still respond
// to them.
func TestSuccessorReleasesPartitionedZone(t *testing.T) {
	addWideTeam(t)
	z := newZonedCluster(t, 5, start, map[string]json.RawMessage{})
	tasks := z.runWideJob(newUrgentJob())
	next := newZonedCluster(t, 6, z.now, z.store)
	next.sendHeartbeats(tasks, "a")
	if released, _ := next.advance(7*time.Second, tasks, "a"); len(released) != 0 {
		t.Errorf("released before a heartbeat was overdue: %v", released)
	}
	if released, _ := next.advance(4*time.Second, tasks, "a"); len(released) != 10 {
		t.Errorf("released: %v", released)
	}
	if n := next.Summary(); n.AllocatedTasks != 40 || n.ReadyTasks != 40 {
		t.Errorf("%+v", n)
	}
}
