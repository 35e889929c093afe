package machines_test

import (
	"fmt"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// timing is that of a term that began at start.
var timing = &machines.Timing{
	HeartbeatTimeout:  9 * time.Second,
	Lease:             15 * time.Second,
	LeaseExpiry:       20 * time.Second,
	TermStart:         start,
	InheritedTasksEnd: start.Add(30 * time.Second),
}

// newReportingMachine returns a machine that has reported once, knowing the term.
func newReportingMachine(now time.Time) *machines.Machine {
	m := newInheritedMachine(now)
	m.MarkReconciled(now)
	return m
}

// newInheritedMachine returns a machine that has reported once, not knowing the term.
func newInheritedMachine(now time.Time) *machines.Machine {
	m := newMachine()
	m.SetCapacity(placement.Resources{CPUs: 8})
	heartbeat(m, now, 1, 1)
	return m
}

// heartbeat lets a heartbeat of the agent be answered.
func heartbeat(m *machines.Machine, now time.Time, epoch, sequence uint64) (lost bool) {
	lost = m.DetectLostResponses(now, epoch, timing)
	m.AdvanceSession(epoch, sequence)
	m.RecordHeartbeat(now, &wire.Heartbeat{Addr: "m1:9", AgentEpoch: epoch, Sequence: sequence})
	return lost
}

func TestCordonsFollowFromWhatIsKnown(t *testing.T) {
	notice := 30.0
	for name, c := range map[string]struct {
		change func(*machines.Machine)
		want   machines.CordonReason
	}{
		"none":    {change: func(*machines.Machine) {}},
		"drained": {change: func(m *machines.Machine) { m.Cordon(machines.CordonDrained) }, want: machines.CordonDrained},
		"two, one lifted": {change: func(m *machines.Machine) {
			m.SetCordon(machines.CordonDrained, true)
			m.Cordon(machines.CordonLateStart)
			m.SetCordon(machines.CordonDrained, false)
		}, want: machines.CordonLateStart},
		"reclaim notice": {change: func(m *machines.Machine) {
			m.RecordHeartbeat(start, &wire.Heartbeat{ReclaimNoticeS: &notice})
		}, want: machines.CordonReclaimed},
		"some responses ignored": {change: func(m *machines.Machine) {
			for range tuning.MaxIgnoredResponses - 1 {
				m.RecordIgnoredResponse(start)
			}
		}},
		"responses ignored": {change: func(m *machines.Machine) {
			for range tuning.MaxIgnoredResponses {
				m.RecordIgnoredResponse(start)
			}
		}, want: machines.CordonUnresponsive},
		"start observed": {change: func(m *machines.Machine) {
			for range tuning.MaxIgnoredResponses {
				m.RecordIgnoredResponse(start)
			}
			m.RecordStartObserved()
		}},
	} {
		m := newReportingMachine(start)
		c.change(m)
		if got := m.CordonReasons(); got != c.want || m.Cordoned() != (c.want != 0) || m.IsSchedulable(start, timing) != (c.want == 0) {
			t.Errorf("%s: reasons %b", name, got)
		}
	}
}

func TestQuarantineAfterFailuresOfSeveralJobs(t *testing.T) {
	m := newReportingMachine(start)
	for i := range tuning.QuarantineJobs {
		id := fmt.Sprintf("job-%d", i)
		m.AvoidJob(id)
		if quarantined := m.AddFailedJob(id); quarantined != (i == tuning.QuarantineJobs-1) {
			t.Errorf("after %d jobs: %v", i+1, quarantined)
		}
	}
	m.RecordTaskSuccess()
	if !m.CordonedFor(machines.CordonFaulty) || m.AddFailedJob("another") {
		t.Error("quarantined anew, or no longer")
	}
	m.RemoveFailedJob("another")
	m.RemoveFailedJob("job-0")
	if m.CordonedFor(machines.CordonFaulty) || !m.Avoids("job-0") {
		t.Error("still quarantined, or the job is no longer avoided")
	}
	m.RecordTaskSuccess()
	if m.AddFailedJob("job-0") {
		t.Error("failures before a success count")
	}
}

func TestLeaseExpiry(t *testing.T) {
	replaced := newReportingMachine(start)
	replaced.Cordon(machines.CordonAgentReplaced)
	for name, c := range map[string]struct {
		machine *machines.Machine
		after   time.Duration
		want    bool
	}{
		"renewed":                     {machine: newReportingMachine(start), after: timing.LeaseExpiry},
		"expired":                     {machine: newReportingMachine(start), after: timing.LeaseExpiry + 1, want: true},
		"agent replaced":              {machine: replaced, after: time.Hour},
		"inherited, within the bound": {machine: newInheritedMachine(start), after: timing.LeaseExpiry + 1},
		"inherited, after the bound":  {machine: newInheritedMachine(start), after: 30 * time.Second, want: true},
	} {
		if got := c.machine.LeaseExpired(start.Add(c.after), timing); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestHeartbeatsOfAnExpiredSessionAreStale(t *testing.T) {
	m := newReportingMachine(start)
	heartbeat(m, start, 2, 5)
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
			t.Errorf("%s: stale: %v, overtaken: %v", name, m.IsStale(r), m.IsOvertakenByDirectReply(r))
		}
	}
	m.AdvanceSession(2, 8) // the reply to a direct call
	if r := (&wire.Heartbeat{AgentEpoch: 2, Sequence: 7}); !m.IsOvertakenByDirectReply(r) {
		t.Error("a heartbeat overtaken by a reply is refused")
	}
	m.ExpireSession()
	if r := (&wire.Heartbeat{AgentEpoch: 2, Sequence: 9}); !m.IsStale(r) || m.IsOvertakenByDirectReply(r) {
		t.Error("a heartbeat of the expired session is not stale")
	}
}

func TestNewSessionAfterSteadyHeartbeatsShowsLostResponses(t *testing.T) {
	m := newReportingMachine(start)
	now, sequence := start, uint64(1)
	steady := func(epoch uint64, d time.Duration) (lost bool) {
		for end := now.Add(d); now.Before(end); {
			now, sequence = now.Add(3*time.Second), sequence+1
			lost = heartbeat(m, now, epoch, sequence) || lost
		}
		return lost
	}
	if steady(1, 18*time.Second) {
		t.Fatal("lost within a session")
	}
	if !steady(2, 3*time.Second) || !m.CordonedFor(machines.CordonUnresponsive) || m.CanBeCalled(now, timing) {
		t.Error("a new session right after steady heartbeats shows nothing")
	}
	if steady(2, timing.LeaseExpiry+3*time.Second) || m.CordonedFor(machines.CordonUnresponsive) || !m.CanBeCalled(now, timing) {
		t.Error("a session longer than the lease does not show that responses arrive")
	}
	now = now.Add(time.Minute) // a gap
	if steady(3, 3*time.Second) {
		t.Error("a new session after a gap counts")
	}
}

func TestMachinesThatWillDoNoMoreWorkAreReleased(t *testing.T) {
	const bootTimeS = 10
	missTwice := func(m *machines.Machine) {
		m.ApplyListed(start, start, &wire.ListedMachine{})
		m.CountMissingFromList(start, time.Minute)
		m.CountMissingFromList(start, time.Minute)
	}
	for name, c := range map[string]struct {
		change func(*machines.Machine)
		after  time.Duration
		want   bool
	}{
		"reports": {change: func(*machines.Machine) {}},
		"failed": {change: func(m *machines.Machine) {
			m.ApplyListed(start, start, &wire.ListedMachine{State: wire.MachineFailed})
		}, want: true},
		"replaced":               {change: func(m *machines.Machine) { m.Cordon(machines.CordonAgentReplaced) }, want: true},
		"release required later": {change: func(m *machines.Machine) { m.RequireRelease(start.Add(time.Second)) }},
		"release required":       {change: func(m *machines.Machine) { m.RequireRelease(start.Add(-time.Second)) }, want: true},
		"empty and drained":      {change: func(m *machines.Machine) { m.Cordon(machines.CordonDrained) }, want: true},
		"not listed, reports":    {change: missTwice},
		"not listed, silent":     {change: missTwice, after: 10 * time.Second, want: true},
		"silent for long":        {change: func(*machines.Machine) {}, after: timing.LeaseExpiry + tuning.UnreachableReleaseDelay + 1, want: true},
	} {
		m := newReportingMachine(start)
		c.change(m)
		if got := m.ShouldBeReleased(start.Add(c.after), timing, bootTimeS); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
	if m := newMachine(); m.ShouldBeReleased(start.Add(time.Second), timing, bootTimeS) || !m.ShouldBeReleased(start.Add(time.Hour), timing, bootTimeS) {
		t.Error("a machine that never comes up is not released in time")
	}
}

func TestMachineMissingFromListsIsGone(t *testing.T) {
	const lag = 8 * time.Second
	m := newMachine()
	if m.CountMissingFromList(start.Add(time.Hour), lag) {
		t.Error("gone although it was never listed")
	}
	m.ApplyListed(start, start, &wire.ListedMachine{AgeS: 60, Addr: "other:9"})
	if !m.IsListed() || !m.ProvisionedAt().Equal(start.Add(-time.Minute)) || m.Addr != "m1:9" {
		t.Errorf("listed: %v, provisioned at %v, address %s", m.IsListed(), m.ProvisionedAt(), m.Addr)
	}
	if m.CountMissingFromList(start.Add(lag), lag) {
		t.Error("gone although the list may be older than the machine")
	}
	if !m.CountMissingFromList(start.Add(lag+1), lag) {
		t.Error("not gone although the list is newer than the machine")
	}
}

func TestExitedAttemptIsForgottenUnlessItsStartMayComeLate(t *testing.T) {
	m := newReportingMachine(start)
	key := machines.ExitKey{Task: "job-1/0", Attempt: 1}
	m.RetainExit(key)
	m.AddExited(key, true)
	m.AddExited(machines.ExitKey{Task: "job-1/0", Attempt: 2}, true)
	m.AddExited(machines.ExitKey{Task: "job-1/1", Attempt: 3}, false)
	for i, want := range []bool{false, true, false} {
		if got := m.Exited()[i].Forget; got != want {
			t.Errorf("%v: forgotten: %v", m.Exited()[i].ExitKey, got)
		}
	}
	m.ClearExited()
	m.AdvanceSession(2, 1)
	m.AddExited(key, true)
	if !m.Exited()[0].Forget {
		t.Error("not forgotten in a new session")
	}
}

func TestReservationKeepsTheHighestPriority(t *testing.T) {
	m := newReportingMachine(start)
	if _, reserved := m.Reservation(start); reserved {
		t.Error("reserved without need")
	}
	m.Reserve(start, 1)
	m.Reserve(start, 2)
	if rank, reserved := m.Reservation(start); rank != 1 || !reserved {
		t.Errorf("rank %d, %v", rank, reserved)
	}
	later := start.Add(tuning.PreemptReservation)
	m.Reserve(later, 2)
	if rank, reserved := m.Reservation(later); rank != 2 || !reserved {
		t.Errorf("after the reservation: rank %d, %v", rank, reserved)
	}
}
