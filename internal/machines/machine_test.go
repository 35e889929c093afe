package machines_test

import (
	"fmt"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// timing contains the timeouts of a term that began at termStart.
var timing = &machines.Timing{
	HeartbeatTimeout:           9 * time.Second,
	LeaseDuration:              15 * time.Second,
	LeaseCertainlyExpiredAfter: 20 * time.Second,
	TermStart:                  termStart,
	InheritedTasksEnd:          termStart.Add(30 * time.Second),
}

// newReportingMachine returns a reconciled machine with 8 CPUs: it has sent one heartbeat at now, with
// the token of the term.
func newReportingMachine(now time.Time) *machines.Machine {
	m := newInheritedMachine(now)
	m.MarkReconciled(now)
	return m
}

// newInheritedMachine returns a machine with 8 CPUs that has sent one heartbeat at now, without the
// token of the term. An earlier leader may have started tasks on it.
func newInheritedMachine(now time.Time) *machines.Machine {
	m := newMachine()
	m.SetCapacity(placement.Resources{CPUs: 8})
	applyHeartbeat(m, now, 1, 1)
	return m
}

// applyHeartbeat applies a heartbeat, which renews the lease. It returns true if the heartbeat shows
// for the first time that responses are lost.
func applyHeartbeat(m *machines.Machine, now time.Time, epoch, sequence uint64) (lost bool) {
	lost = m.DetectLostResponses(now, epoch, timing)
	m.AdvanceSession(&wire.Heartbeat{AgentEpoch: epoch, Sequence: sequence})
	m.RecordHeartbeat(now, &wire.Heartbeat{Addr: "m1:9", AgentEpoch: epoch, Sequence: sequence})
	return lost
}

func TestCordonReasons(t *testing.T) {
	notice := 30.0
	for name, c := range map[string]struct {
		change func(*machines.Machine)
		want   machines.CordonReason
	}{
		"none":    {change: func(*machines.Machine) {}},
		"drained": {change: func(m *machines.Machine) { m.Cordon(machines.CordonDrained) }, want: machines.CordonDrained},
		"two set, one cleared": {change: func(m *machines.Machine) {
			m.SetCordon(machines.CordonDrained, true)
			m.Cordon(machines.CordonLateStart)
			m.SetCordon(machines.CordonDrained, false)
		}, want: machines.CordonLateStart},
		"reclaim notice": {change: func(m *machines.Machine) {
			m.RecordHeartbeat(termStart, &wire.Heartbeat{ReclaimNoticeS: &notice})
		}, want: machines.CordonReclaimed},
		"too few responses without effect": {change: func(m *machines.Machine) {
			for range tuning.MaxIneffectiveResponses - 1 {
				m.RecordIneffectiveResponse(termStart)
			}
		}},
		"many responses without effect": {change: func(m *machines.Machine) {
			for range tuning.MaxIneffectiveResponses {
				m.RecordIneffectiveResponse(termStart)
			}
		}, want: machines.CordonUnresponsive},
		"start executed": {change: func(m *machines.Machine) {
			for range tuning.MaxIneffectiveResponses {
				m.RecordIneffectiveResponse(termStart)
			}
			m.RecordStartExecuted()
		}},
	} {
		m := newReportingMachine(termStart)
		c.change(m)
		if got := m.CordonReasons(); got != c.want || m.IsCordoned() != (c.want != 0) || m.IsSchedulable(termStart, timing) != (c.want == 0) {
			t.Errorf("%s: got reasons %b, want those of the case, and a schedulable machine only if there is none", name, got)
		}
	}
}

func TestQuarantineAfterFailuresOfSeveralJobs(t *testing.T) {
	m := newReportingMachine(termStart)
	for i := range tuning.FaultyMachineJobs {
		id := fmt.Sprintf("job-%d", i)
		m.ExcludeJob(termStart, id)
		if quarantined := m.CountFailedJob(termStart, id); quarantined != (i == tuning.FaultyMachineJobs-1) {
			t.Errorf("after %d failed jobs: quarantined: %v, want the opposite", i+1, quarantined)
		}
	}
	m.RecordTaskSuccess()
	if !m.IsCordonedFor(machines.CordonFaulty) || m.CountFailedJob(termStart, "another") {
		t.Error("want a machine that remains quarantined and isn't quarantined again")
	}
	m.UncountFailedJob("another")
	m.UncountFailedJob("job-0")
	if _, excluded := m.Host().ExcludedJobs["job-0"]; m.IsCordonedFor(machines.CordonFaulty) || !excluded {
		t.Error("want a machine that isn't quarantined any more, but still excludes the job")
	}
	m.RecordTaskSuccess()
	if m.CountFailedJob(termStart, "job-0") {
		t.Error("failures before a success are still counted, want none counted")
	}
}

// TestExclusionsEnd guards against jobs that wait forever because every machine that fits excludes them, or
// is quarantined while it runs other tasks, and the cloud has no more.
func TestExclusionsEnd(t *testing.T) {
	m := newReportingMachine(termStart)
	for _, id := range []string{"job-0", "job-1"} {
		m.ExcludeJob(termStart, id)
		m.CountFailedJob(termStart, id)
	}
	m.EndExclusions(termStart.Add(min(tuning.JobExclusionTime, tuning.QuarantineTime) - 1))
	if len(m.Host().ExcludedJobs) != 2 || !m.IsCordonedFor(machines.CordonFaulty) {
		t.Error("exclusions ended before their time")
	}
	m.EndExclusions(termStart.Add(max(tuning.JobExclusionTime, tuning.QuarantineTime)))
	if len(m.Host().ExcludedJobs) != 0 || m.IsCordonedFor(machines.CordonFaulty) {
		t.Error("want a machine that excludes no job and isn't quarantined")
	}
}

func TestLeaseHasExpired(t *testing.T) {
	replaced := newReportingMachine(termStart)
	replaced.Cordon(machines.CordonAgentReplaced)
	for name, c := range map[string]struct {
		machine *machines.Machine
		after   time.Duration
		want    bool
	}{
		"renewed":                     {machine: newReportingMachine(termStart), after: timing.LeaseCertainlyExpiredAfter},
		"expired":                     {machine: newReportingMachine(termStart), after: timing.LeaseCertainlyExpiredAfter + 1, want: true},
		"agent replaced":              {machine: replaced, after: time.Hour},
		"inherited, tasks may run":    {machine: newInheritedMachine(termStart), after: timing.LeaseCertainlyExpiredAfter + 1},
		"inherited, tasks have ended": {machine: newInheritedMachine(termStart), after: 30 * time.Second, want: true},
	} {
		if got := c.machine.HasLeaseExpired(termStart.Add(c.after), timing); got != c.want {
			t.Errorf("%s: lease expired: %v, want the opposite", name, got)
		}
	}
}

func TestStaleHeartbeats(t *testing.T) {
	m := newReportingMachine(termStart)
	applyHeartbeat(m, termStart, 2, 5)
	for name, c := range map[string]struct {
		epoch, sequence  uint64
		stale, overtaken bool
	}{
		"newer":             {epoch: 2, sequence: 6},
		"repeated":          {epoch: 2, sequence: 5, stale: true},
		"earlier session":   {epoch: 1, sequence: 9, stale: true},
		"following session": {epoch: 3, sequence: 1},
	} {
		r := &wire.Heartbeat{AgentEpoch: c.epoch, Sequence: c.sequence}
		if m.IsStale(r) != c.stale || m.IsOvertakenByDirectReply(r) != c.overtaken {
			t.Errorf("%s: got stale %v, overtaken %v, want the values of the case", name, m.IsStale(r), m.IsOvertakenByDirectReply(r))
		}
	}
	m.AdvanceSession(&wire.Heartbeat{AgentEpoch: 2, Sequence: 8}) // the reply to a direct call
	if r := (&wire.Heartbeat{AgentEpoch: 2, Sequence: 7}); !m.IsOvertakenByDirectReply(r) {
		t.Error("heartbeat doesn't count as overtaken by the direct reply, want it overtaken")
	}
	m.ExpireSession()
	if r := (&wire.Heartbeat{AgentEpoch: 2, Sequence: 9}); !m.IsStale(r) || m.IsOvertakenByDirectReply(r) {
		t.Error("want a heartbeat of the expired session to be stale, and not just overtaken")
	}
}

// TestDetectLostResponses: responses count as lost from the start of a new session that follows a
// series of heartbeats without a gap, until a session lasts longer than the lease.
func TestDetectLostResponses(t *testing.T) {
	m := newReportingMachine(termStart)
	now, sequence := termStart, uint64(1)
	sendHeartbeats := func(epoch uint64, d time.Duration) (lost bool) {
		for end := now.Add(d); now.Before(end); {
			now, sequence = now.Add(3*time.Second), sequence+1
			lost = applyHeartbeat(m, now, epoch, sequence) || lost
		}
		return lost
	}
	if sendHeartbeats(1, 18*time.Second) {
		t.Fatal("responses count as lost within one session, want a new session first")
	}
	if !sendHeartbeats(2, 3*time.Second) || !m.IsCordonedFor(machines.CordonUnresponsive) || m.CanBeCalled(now, timing) {
		t.Error("want lost responses after a new session without a heartbeat gap, and no direct calls")
	}
	if sendHeartbeats(2, timing.LeaseCertainlyExpiredAfter+3*time.Second) || m.IsCordonedFor(machines.CordonUnresponsive) || !m.CanBeCalled(now, timing) {
		t.Error("want no lost responses in a session that is longer than the lease, and direct calls again")
	}
	now = now.Add(time.Minute) // heartbeat gap
	if sendHeartbeats(3, 3*time.Second) {
		t.Error("responses count as lost after a new session that follows a heartbeat gap, want no conclusion")
	}
}

func TestShouldBeReleased(t *testing.T) {
	const bootTimeS = 10
	listOnceThenMissTwice := func(m *machines.Machine) {
		m.ApplyCloudListing(termStart, termStart, &wire.ListedMachine{})
		m.DetectDeletion(termStart, time.Minute)
		m.DetectDeletion(termStart, time.Minute)
	}
	for name, c := range map[string]struct {
		change func(*machines.Machine)
		after  time.Duration
		want   bool
	}{
		"sends heartbeats": {change: func(*machines.Machine) {}},
		"failed": {change: func(m *machines.Machine) {
			m.ApplyCloudListing(termStart, termStart, &wire.ListedMachine{State: wire.MachineFailed})
		}, want: true},
		"agent replaced":         {change: func(m *machines.Machine) { m.Cordon(machines.CordonAgentReplaced) }, want: true},
		"release required later": {change: func(m *machines.Machine) { m.RequireRelease(termStart.Add(time.Second)) }},
		"release required":       {change: func(m *machines.Machine) { m.RequireRelease(termStart.Add(-time.Second)) }, want: true},
		"stale heartbeat, a task, expired": {change: func(m *machines.Machine) {
			m.AddAttempt(machines.NewPossiblyStartedAttempt(m, jobs.New(wire.Job{ID: "job-0", Tasks: 1}, 0, termStart), 0, termStart))
			m.RecordStaleHeartbeat(termStart.Add(timing.LeaseDuration))
		}, after: timing.LeaseCertainlyExpiredAfter + 1, want: true},
		"stale heartbeat, no task, expired": {change: func(m *machines.Machine) { m.RecordStaleHeartbeat(termStart.Add(timing.LeaseDuration)) }, after: timing.LeaseCertainlyExpiredAfter + 1},
		"empty and drained":                 {change: func(m *machines.Machine) { m.Cordon(machines.CordonDrained) }, want: true},
		"not listed, reachable":             {change: listOnceThenMissTwice},
		"not listed, unreachable":           {change: listOnceThenMissTwice, after: 10 * time.Second, want: true},
		"unreachable for long":              {change: func(*machines.Machine) {}, after: timing.LeaseCertainlyExpiredAfter + tuning.UnreachableReleaseDelay + 1, want: true},
	} {
		m := newReportingMachine(termStart)
		c.change(m)
		if got := m.ShouldBeReleased(termStart.Add(c.after), timing, bootTimeS); got != c.want {
			t.Errorf("%s: should be released: %v, want the opposite", name, got)
		}
	}
	if m := newMachine(); m.ShouldBeReleased(termStart.Add(time.Second), timing, bootTimeS) || !m.ShouldBeReleased(termStart.Add(time.Hour), timing, bootTimeS) {
		t.Error("want a machine that never boots to be released after an hour, and not after a second")
	}
}

// TestDetectDeletion: a cloud list without the machine proves its deletion only if the machine was
// listed before, and the list can't show a state from before that listing.
func TestDetectDeletion(t *testing.T) {
	const lag = 8 * time.Second
	m := newMachine()
	if m.DetectDeletion(termStart.Add(time.Hour), lag) {
		t.Error("machine counts as deleted although it was never listed, want not")
	}
	m.ApplyCloudListing(termStart, termStart, &wire.ListedMachine{AgeS: 60, Addr: "other:9"})
	if !m.WasListedByCloud() || !m.ProvisionedAt().Equal(termStart.Add(-time.Minute)) || m.Addr != "m1:9" {
		t.Errorf("listed: %v, provisioned at %v, address %s, want true, one minute before the term, m1:9", m.WasListedByCloud(), m.ProvisionedAt(), m.Addr)
	}
	if m.DetectDeletion(termStart.Add(lag), lag) {
		t.Error("machine counts as deleted although the list may show a state before its first listing, want not")
	}
	if !m.DetectDeletion(termStart.Add(lag+1), lag) {
		t.Error("machine doesn't count as deleted although the list shows a state after its first listing, want it deleted")
	}
}

// TestExitsToForget: the agent is told to forget the exited attempts that the leader no longer needs, and none
// of an earlier task list.
func TestExitsToForget(t *testing.T) {
	m := newReportingMachine(termStart)
	m.AddExited(machines.ExitKey{Task: "job-1/0", Attempt: 1}, true)
	m.AddExited(machines.ExitKey{Task: "job-1/1", Attempt: 3}, false)
	for i, want := range []bool{true, false} {
		if got := m.Exited()[i].Forget; got != want {
			t.Errorf("%v: forget: %v, want the opposite", m.Exited()[i].ExitKey, got)
		}
	}
	m.ClearExited()
	if len(m.Exited()) > 0 {
		t.Errorf("exits %v after they were cleared, want none", m.Exited())
	}
}

// TestReserveKeepsHighestPriority: a reservation for a lower priority doesn't replace one for a higher
// priority that has not ended.
func TestReserveKeepsHighestPriority(t *testing.T) {
	m := newReportingMachine(termStart)
	if _, reserved := m.Reservation(termStart); reserved {
		t.Error("new machine has a reservation, want none")
	}
	m.Reserve(termStart, 1)
	m.Reserve(termStart, 2)
	if rank, reserved := m.Reservation(termStart); rank != 1 || !reserved {
		t.Errorf("rank %d, reserved: %v, want rank 1, reserved", rank, reserved)
	}
	later := termStart.Add(tuning.PreemptReservationTime)
	m.Reserve(later, 2)
	if rank, reserved := m.Reservation(later); rank != 2 || !reserved {
		t.Errorf("after the end of the first reservation: rank %d, reserved: %v, want rank 2, reserved", rank, reserved)
	}
}
