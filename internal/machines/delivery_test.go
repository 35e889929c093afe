package machines_test

import (
	"testing"
	"time"

	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// newRecordedAttempt adds an attempt whose start may be sent to the machine.
func newRecordedAttempt(m *machines.Machine) *machines.Attempt {
	a := machines.NewPendingAttempt(m, newActiveJob(30), 1, termStart, 7, false)
	m.AddAttempt(a)
	a.MarkStartRecorded()
	return a
}

func TestDirectStartMayArriveLateWithinSession(t *testing.T) {
	m := newReportingMachine(termStart)
	a := newRecordedAttempt(m)
	if c := a.StartCommand(); c.Op != wire.OpStart || c.Task != "job-1/1" || c.Attempt != 7 {
		t.Errorf("%+v", c)
	}
	a.MarkStartSentDirectly()
	if !a.StartSentDirectly() || !a.MayStartLate() || !a.NeedsStart() {
		t.Error("a start sent by a direct call counts as delivered")
	}
	m.AdvanceSession(m.Epoch(), m.Sequence()+1)
	if !a.MayStartLate() {
		t.Error("the start can't arrive late in the same session")
	}
	m.AdvanceSession(m.Epoch()+1, 1)
	if a.MayStartLate() || a.StartSentDirectly() || !a.NeedsStart() {
		t.Error("the start may arrive late in a new session, or is no longer needed")
	}
}

func TestStartSentInResponse(t *testing.T) {
	m := newReportingMachine(termStart)
	a := newRecordedAttempt(m)
	a.MarkStartSentInResponse(3)
	if !a.StartSentInResponse() || a.MayStartLate() {
		t.Error("start doesn't count as sent in a response only")
	}
	a.MarkStartResponseIneffective()
	if a.StartSentInResponse() || !a.NeedsStart() {
		t.Error("start isn't sent again after an ignored response")
	}
	a.MarkInTaskList(5, 8)
	if !a.IsInTaskList(5) || a.IsInTaskList(6) || a.Number() != 8 {
		t.Errorf("listed with number %d", a.Number())
	}
	a.ApplyReport(termStart, machines.Fetching)
	if a.NeedsStart() {
		t.Error("start needed although the machine has reported the attempt")
	}
	a.RequestGracefulStop()
	if c := a.StopCommand(); c.Op != wire.OpStop || c.Attempt != 8 || c.GracePeriodS == nil || *c.GracePeriodS != 7 {
		t.Errorf("%+v", c)
	}
}

func TestRevertEviction(t *testing.T) {
	a := newRecordedAttempt(newReportingMachine(termStart))
	a.PlanEviction()
	if !a.IsEvicting() || a.IsStopping() {
		t.Error("eviction not planned, or stopped before the charge is durable")
	}
	a.RevertEviction()
	if a.IsEvicting() || !a.ShouldRun() {
		t.Error("eviction not reverted")
	}
}

func TestDirectCallsDoNotOverlap(t *testing.T) {
	m := newReportingMachine(termStart)
	if !m.QueueCall() || m.QueueCall() {
		t.Error("not queued, or queued twice")
	}
	m.DequeueCall()
	if !m.QueueCall() {
		t.Error("not queued again")
	}
	m.BeginCall()
	if m.CanBeCalled(termStart, timing) || !m.IsBeingCalled() {
		t.Error("can be called while a call is in progress")
	}
	m.EndCall()
	m.DelayCalls(termStart.Add(time.Second))
	if m.CanBeCalled(termStart, timing) || !m.CanBeCalled(termStart.Add(time.Second), timing) {
		t.Error("calls not paused, or paused for too long")
	}
	if newInheritedMachine(termStart).CanBeCalled(termStart, timing) {
		t.Error("can be called before its tasks are known")
	}
}

func TestMachineWithOnlyStaleHeartbeatsIsReleased(t *testing.T) {
	m := newReportingMachine(termStart)
	now := termStart
	for range tuning.MaxStaleHeartbeats {
		now = now.Add(3 * time.Second)
		m.RecordStaleHeartbeat(now)
	}
	expired := termStart.Add(timing.LeaseExpiry + 1)
	if m.ShouldBeReleased(expired.Add(-2), timing, 0) {
		t.Error("should be released before its lease has expired")
	}
	if late := expired.Add(timing.HeartbeatTimeout); !m.ShouldBeReleased(late, timing, 0) {
		t.Error("should not be released after the lease has expired")
	}
	applyHeartbeat(m, expired, 1, 9)
	if m.ShouldBeReleased(expired.Add(timing.HeartbeatTimeout), timing, 0) {
		t.Error("should be released although a newer heartbeat has arrived")
	}
}

func TestOutdatedSnapshotIsRebuilt(t *testing.T) {
	m := newReportingMachine(termStart)
	if m.CachedSnapshot() != nil {
		t.Error("cached snapshot before the first one was built")
	}
	m.RecordImage(termStart, "img")
	s := m.ResetSnapshot()
	if _, has := s.Images["img"]; !has || s.Free != m.Free() || s.Capacity != m.Capacity() || m.CachedSnapshot() != s {
		t.Errorf("%+v", s)
	}
	a := newRecordedAttempt(m)
	if m.CachedSnapshot() != nil {
		t.Error("cached snapshot still valid after an attempt was added")
	}
	if s = m.ResetSnapshot(); s.Free != m.Free() || m.CachedSnapshot() != s {
		t.Errorf("free %+v", s.Free)
	}
	a.ApplyReport(termStart, machines.Running)
	if m.CachedSnapshot() != nil {
		t.Error("cached snapshot still valid after an attempt has begun to run")
	}
	m.ResetSnapshot().Modified = true
	if m.CachedSnapshot() != nil {
		t.Error("cached snapshot still valid after a pass has modified it")
	}
}

func TestReclaimNotice(t *testing.T) {
	m := newReportingMachine(termStart)
	if _, reclaimed := m.ReclaimIn(termStart); reclaimed {
		t.Error("reclaim time without a notice")
	}
	first, second := 30.0, 60.0
	for _, notice := range []*float64{&first, &second} {
		_, reclaimed := m.RecordHeartbeat(termStart, &wire.Heartbeat{ReclaimNoticeS: notice})
		if reclaimed != (notice == &first) {
			t.Errorf("notice of %v s: first notice: %v", *notice, reclaimed)
		}
	}
	if left, reclaimed := m.ReclaimIn(termStart.Add(10 * time.Second)); left != 20*time.Second || !reclaimed {
		t.Errorf("%v left", left)
	}
}

func TestFullMachineIsUnschedulable(t *testing.T) {
	m := newReportingMachine(termStart)
	m.MarkFull(termStart.Add(time.Second))
	if m.IsSchedulable(termStart, timing) || !m.IsSchedulable(termStart.Add(time.Second), timing) {
		t.Error("full machine is schedulable, or stays unschedulable after the time")
	}
	m.BeginRelease()
	if m.IsSchedulable(termStart.Add(time.Second), timing) || !m.IsReleasing() {
		t.Error("schedulable while it is being released")
	}
}
