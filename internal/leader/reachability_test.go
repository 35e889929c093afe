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

// zoned is a leader of two zones with machines a0 to a9 and b0 to b9.
type zoned struct {
	*testLeader
	gone map[string]bool // released
}

var zones = []string{"a", "b"}

func newZoned(t *testing.T, term uint64, now time.Time, store map[string]json.RawMessage) *zoned {
	old := bigType
	bigType.Zones = zones
	t.Cleanup(func() { bigType = old })
	z := &zoned{newLeader(t, term, now, store), map[string]bool{}}
	var rows []wire.ListedMachine
	for _, zone := range zones {
		for i := range 10 {
			rows = append(rows, wire.ListedMachine{Name: fmt.Sprint(zone, i), Addr: "x:1", Type: "std-8", Zone: zone, State: wire.MachineRunning, AgeS: 100})
		}
	}
	z.ApplyMachineList(now, now, rows)
	return z
}

// hear lets the machines of the zones report what they were told to start.
func (z *zoned) hear(on map[string][]wire.TaskStatus, zones ...string) {
	for _, zone := range zones {
		for i := range 10 {
			id := fmt.Sprint(zone, i)
			if z.gone[id] {
				continue
			}
			z.seq++
			a, _ := z.HandleHeartbeat(z.now, &wire.Heartbeat{
				Machine: id, Addr: "x:1", Type: "std-8", Zone: zone, AgentEpoch: 1, Sequence: z.seq, FencingToken: z.Term(), Tasks: on[id],
			}, true)
			for _, c := range a.Commands {
				if c.Op == wire.OpStart {
					on[id] = append(on[id], wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
				}
			}
		}
	}
}

// run brings a job of 80 tasks, four to each machine, to run everywhere.
func (z *zoned) run(j *wire.Job) map[string][]wire.TaskStatus {
	on := map[string][]wire.TaskStatus{}
	z.hear(on, zones...)
	j.Tasks, j.Team = 80, "wide"
	z.Submit(z.now, z.now, j, func(leader.Response) {})
	for range 4 {
		z.commit()
		z.pass(time.Second)
		z.hear(on, zones...)
	}
	z.commit()
	z.hear(on, zones...)
	z.hear(on, zones...)
	return on
}

// after plays a time during which only the given zones are heard, and returns
// what is released and the zones in which machines are rented.
func (z *zoned) after(d time.Duration, on map[string][]wire.TaskStatus, heard ...string) (released, rented []string) {
	for range int(d / time.Second) {
		z.pass(time.Second)
		z.hear(on, heard...)
		z.commit()
		for _, c := range z.PlanScaling(z.now) {
			if c.Op == scaling.CloudProvision {
				rented = append(rented, c.Provision.Zone)
				z.ProvisionDone(z.now, c.Provision, nil)
				continue
			}
			for _, id := range c.Release {
				z.gone[id] = true
			}
			released = append(released, c.Release...)
			z.ReleaseDone(z.now, c.Release)
		}
	}
	slices.Sort(released)
	slices.Sort(rented)
	return released, slices.Compact(rented)
}

func addWideTeam(t *testing.T) {
	old := params
	t.Cleanup(func() { params = old })
	params.Teams = append(slices.Clone(params.Teams), old.Teams[0])
	team := &params.Teams[len(params.Teams)-1]
	team.Name, team.CPUs, team.CPUsMax = "wide", 500, 500
}

// dueIn is a job with a deadline.
func dueIn(seconds float64) *wire.Job {
	j := spec("job-1")
	j.DeadlineS = &seconds
	return j
}

// urgentJob would be late if it waited for a lease of 15 s.
func urgentJob() *wire.Job { return dueIn(50) }

// TestUrgentWorkLeavesAPartitionedZone: when a zone falls silent, its machines are
// released where the work on them would be late by the end of their leases, so
// that it can start again; nothing is rented in that zone. Patient work waits.
func TestUrgentWorkLeavesAPartitionedZone(t *testing.T) {
	addWideTeam(t)
	z := newZoned(t, 5, start, map[string]json.RawMessage{})
	on := z.run(urgentJob())
	released, rented := z.after(10*time.Second, on, "a")
	if len(released) != 10 || released[0] != "b0" || released[9] != "b9" {
		t.Errorf("released: %v", released)
	}
	z.hear(on, "a")
	if _, more := z.after(3*time.Second, on, "a"); fmt.Sprint(append(rented, more...)) != "[a]" {
		t.Errorf("rented in %v, then %v", rented, more)
	}
	if n := z.Counts(); n.AllocatedTasks != 40 || n.ReadyTasks != 40 {
		t.Errorf("%+v", n)
	}

	// Machines that boot in that zone are no room for the work either.
	booting := newZoned(t, 5, start, map[string]json.RawMessage{})
	on = booting.run(urgentJob())
	var rows []wire.ListedMachine
	for i := range 40 {
		rows = append(rows, wire.ListedMachine{Name: fmt.Sprint("b9", i), Addr: "x:1", Type: "std-8", Zone: "b", State: wire.MachineBooting})
	}
	booting.ApplyMachineList(booting.now, booting.now, rows)
	if _, rented := booting.after(10*time.Second, on, "a"); fmt.Sprint(rented) != "[a]" {
		t.Errorf("with machines booting in the zone: rented in %v", rented)
	}

	patient := newZoned(t, 5, start, map[string]json.RawMessage{})
	if released, _ := patient.after(10*time.Second, patient.run(dueIn(500)), "a"); len(released) != 0 {
		t.Errorf("released with patient work: %v", released)
	}
}

// TestSilenceOfAllMachinesReleasesNone: a node that hears no machine is cut off itself, and
// gives none of them up before the leases end.
func TestSilenceOfAllMachinesReleasesNone(t *testing.T) {
	addWideTeam(t)
	z := newZoned(t, 5, start, map[string]json.RawMessage{})
	if released, _ := z.after(10*time.Second, z.run(urgentJob())); len(released) != 0 {
		t.Errorf("released: %v", released)
	}
}

// TestSilenceInAllZonesReleasesNone: neither does one that has lost half of them, all
// over the place.
func TestSilenceInAllZonesReleasesNone(t *testing.T) {
	addWideTeam(t)
	z := newZoned(t, 5, start, map[string]json.RawMessage{})
	on := z.run(urgentJob())
	for i := range 5 {
		z.gone[fmt.Sprint("a", 2*i)], z.gone[fmt.Sprint("b", 2*i)] = true, true
	}
	if released, _ := z.after(10*time.Second, on, zones...); len(released) != 0 {
		t.Errorf("released: %v", released)
	}
}

// TestSuccessorLeavesAPartitionedZone: the same for machines that a new leader has never
// heard, on which its predecessor may go on answering.
func TestSuccessorLeavesAPartitionedZone(t *testing.T) {
	addWideTeam(t)
	z := newZoned(t, 5, start, map[string]json.RawMessage{})
	on := z.run(urgentJob())
	next := newZoned(t, 6, z.now, z.store)
	next.hear(on, "a")
	if released, _ := next.after(7*time.Second, on, "a"); len(released) != 0 {
		t.Errorf("released before they can have been missed: %v", released)
	}
	if released, _ := next.after(4*time.Second, on, "a"); len(released) != 10 {
		t.Errorf("released: %v", released)
	}
	if n := next.Counts(); n.AllocatedTasks != 40 || n.ReadyTasks != 40 {
		t.Errorf("%+v", n)
	}
}
