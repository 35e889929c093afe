package machines_test

import (
	"testing"
	"time"

	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// newRecordedAttempt returns an attempt on the machine whose start may be sent.
func newRecordedAttempt(m *machines.Machine) *machines.Attempt {
	a := machines.NewPendingAttempt(m, newActiveJob(30), 1, start, 7, false)
	m.AddAttempt(a)
	a.MarkRecorded()
	return a
}

func TestStartSentDirectlyMayComeLateWithinTheSession(t *testing.T) {
	m := newReportingMachine(start)
	a := newRecordedAttempt(m)
	if c := a.StartCommand(); c.Op != wire.OpStart || c.Task != "job-1/1" || c.Attempt != 7 {
		t.Errorf("%+v", c)
	}
	a.MarkSentDirectly()
	if !a.WasSentDirectly() || !a.MayStartLate() || !a.NeedsStart() {
		t.Error("a start sent by a direct call is taken for delivered")
	}
	m.AdvanceSession(m.Epoch(), m.Sequence()+1)
	if !a.MayStartLate() {
		t.Error("the start can't come late in the same session")
	}
	m.AdvanceSession(m.Epoch()+1, 1)
	if a.MayStartLate() || a.WasSentDirectly() || !a.NeedsStart() {
		t.Error("the start comes late in a new session, or is not needed any more")
	}
}

func TestStartSentInAResponseIsObservedOrIgnored(t *testing.T) {
	m := newReportingMachine(start)
	a := newRecordedAttempt(m)
	a.MarkSentInResponse(3)
	if !a.WasSentInResponse() || a.MayStartLate() {
		t.Error("not sent in a response")
	}
	a.MarkResponseIgnored()
	if a.WasSentInResponse() || !a.NeedsStart() {
		t.Error("not to be sent again")
	}
	a.MarkListed(5, 8)
	if !a.IsListed(5) || a.IsListed(6) || a.Number() != 8 {
		t.Errorf("listed as %d", a.Number())
	}
	a.ApplyReport(start, machines.Fetching)
	if a.NeedsStart() {
		t.Error("to be sent although the machine lists the attempt")
	}
	a.StopGracefully()
	if c := a.StopCommand(); c.Op != wire.OpStop || c.Attempt != 8 || c.GracePeriodS == nil || *c.GracePeriodS != 7 {
		t.Errorf("%+v", c)
	}
}

func TestPlannedEvictionCanBeTakenBack(t *testing.T) {
	a := newRecordedAttempt(newReportingMachine(start))
	a.PlanEviction()
	if !a.IsEvicting() || a.IsStopping() {
		t.Error("stopped before the charge is durable")
	}
	a.RevertEviction()
	if a.IsEvicting() || !a.ShouldRun() {
		t.Error("not taken back")
	}
}

func TestDirectCallsToOneMachineDoNotOverlap(t *testing.T) {
	m := newReportingMachine(start)
	if !m.QueueCall() || m.QueueCall() {
		t.Error("queued twice, or not at all")
	}
	m.DequeueCall()
	if !m.QueueCall() {
		t.Error("not queued anew")
	}
	m.BeginCall()
	if m.CanBeCalled(start, timing) || !m.IsBeingCalled() {
		t.Error("called while a call is under way")
	}
	m.EndCall()
	m.PauseCalls(start.Add(time.Second))
	if m.CanBeCalled(start, timing) || !m.CanBeCalled(start.Add(time.Second), timing) {
		t.Error("not paused, or for too long")
	}
	if newInheritedMachine(start).CanBeCalled(start, timing) {
		t.Error("called before its tasks are known")
	}
}

func TestMachineWithOnlyStaleHeartbeatsIsReleased(t *testing.T) {
	m := newReportingMachine(start)
	now := start
	for range tuning.MaxStaleHeartbeats {
		now = now.Add(3 * time.Second)
		m.RecordStaleHeartbeat(now)
	}
	expired := start.Add(timing.LeaseExpiry + 1)
	if m.ShouldBeReleased(expired.Add(-2), timing, 0) {
		t.Error("released before its lease has expired")
	}
	if late := expired.Add(timing.HeartbeatTimeout); !m.ShouldBeReleased(late, timing, 0) {
		t.Error("not released")
	}
	heartbeat(m, expired, 1, 9)
	if m.ShouldBeReleased(expired.Add(timing.HeartbeatTimeout), timing, 0) {
		t.Error("released although a newer heartbeat has come")
	}
}

func TestSnapshotIsMadeAnewOnceOutdated(t *testing.T) {
	m := newReportingMachine(start)
	if m.CachedSnapshot() != nil {
		t.Error("a snapshot before the first one")
	}
	m.RecordImage(start, "img")
	s := m.NewSnapshot()
	if _, has := s.Images["img"]; !has || s.Free != m.Free() || s.Capacity != m.Capacity() || m.CachedSnapshot() != s {
		t.Errorf("%+v", s)
	}
	a := newRecordedAttempt(m)
	if m.CachedSnapshot() != nil {
		t.Error("an attempt more, and still the old snapshot")
	}
	if s = m.NewSnapshot(); s.Free != m.Free() || m.CachedSnapshot() != s {
		t.Errorf("free %+v", s.Free)
	}
	a.ApplyReport(start, machines.Running)
	if m.CachedSnapshot() != nil {
		t.Error("an attempt has begun to run, and still the old snapshot")
	}
	m.NewSnapshot().Modified = true // by a pass
	if m.CachedSnapshot() != nil {
		t.Error("a snapshot that a pass has modified")
	}
}

func TestReclaimNoticeCountsDown(t *testing.T) {
	m := newReportingMachine(start)
	if _, reclaimed := m.ReclaimIn(start); reclaimed {
		t.Error("reclaimed without a notice")
	}
	first, second := 30.0, 60.0
	for _, notice := range []*float64{&first, &second} {
		_, reclaimed := m.RecordHeartbeat(start, &wire.Heartbeat{ReclaimNoticeS: notice})
		if reclaimed != (notice == &first) {
			t.Errorf("notice of %v s: new: %v", *notice, reclaimed)
		}
	}
	if left, reclaimed := m.ReclaimIn(start.Add(10 * time.Second)); left != 20*time.Second || !reclaimed {
		t.Errorf("%v left", left)
	}
}

func TestFullMachineTakesNoWorkForAWhile(t *testing.T) {
	m := newReportingMachine(start)
	m.MarkFull(start.Add(time.Second))
	if m.IsSchedulable(start, timing) || !m.IsSchedulable(start.Add(time.Second), timing) {
		t.Error("takes work at once, or not at all")
	}
	m.BeginRelease()
	if m.IsSchedulable(start.Add(time.Second), timing) || !m.IsReleasing() {
		t.Error("takes work while it is being released")
	}
}
