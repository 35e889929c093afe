package machines_test

import (
	"testing"
	"time"

	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// newRecordedAttempt adds an attempt to the machine and marks its start as recorded, so that the
// start may be sent.
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
		t.Errorf("command %+v, want the start of attempt 7 of job-1/1", c)
	}
	a.MarkStartSentDirectly()
	if !a.StartSentDirectly() || !a.MayStartLate() || !a.NeedsStart() {
		t.Error("start counts as delivered, want one that may arrive late and is still needed")
	}
	m.AdvanceSession(m.Epoch(), m.Sequence()+1)
	if !a.MayStartLate() {
		t.Error("MayStartLate is false in the same session, want true")
	}
	m.AdvanceSession(m.Epoch()+1, 1)
	if a.MayStartLate() || a.StartSentDirectly() || !a.NeedsStart() {
		t.Error("in a new session: want a start that can't arrive late and is still needed")
	}
}

func TestStartSentInResponse(t *testing.T) {
	m := newReportingMachine(termStart)
	a := newRecordedAttempt(m)
	a.MarkStartSentInResponse(3)
	if !a.StartSentInResponse() || a.MayStartLate() {
		t.Error("want a start that counts as sent in a response and can't arrive late")
	}
	a.MarkStartResponseIneffective()
	if a.StartSentInResponse() || !a.NeedsStart() {
		t.Error("after a response without effect: want a start that has to be sent again")
	}
	a.MarkInTaskList(5, 8)
	if !a.IsInTaskList(5) || a.IsInTaskList(6) || a.Number() != 8 {
		t.Errorf("attempt number %d, want 8, in task list 5 only", a.Number())
	}
	a.ApplyReport(termStart, machines.Fetching)
	if a.NeedsStart() {
		t.Error("start needed although the machine has reported the attempt")
	}
	a.RequestGracefulStop()
	if c := a.StopCommand(); c.Op != wire.OpStop || c.Attempt != 8 || c.GracePeriodS == nil || *c.GracePeriodS != 7 {
		t.Errorf("command %+v, want the stop of attempt 8 with a grace period of 7 s", c)
	}
}

func TestRevertEviction(t *testing.T) {
	a := newRecordedAttempt(newReportingMachine(termStart))
	a.PlanEviction()
	if !a.IsEvicting() || a.IsStopping() {
		t.Error("want an eviction that is planned, and no stop before the charge is durable")
	}
	a.RevertEviction()
	if a.IsEvicting() || !a.ShouldRun() {
		t.Error("eviction not reverted, want an attempt that should run")
	}
}

func TestDirectCallsDoNotOverlap(t *testing.T) {
	m := newReportingMachine(termStart)
	if !m.QueueCall() || m.QueueCall() {
		t.Error("want QueueCall to return true for the first call only")
	}
	m.DequeueCall()
	if !m.QueueCall() {
		t.Error("machine not queued again after DequeueCall")
	}
	m.BeginCall()
	if m.CanBeCalled(termStart, timing) || !m.IsBeingCalled() {
		t.Error("machine can be called while a call is in progress, want not")
	}
	m.EndCall()
	m.DelayCalls(termStart.Add(time.Second))
	if m.CanBeCalled(termStart, timing) || !m.CanBeCalled(termStart.Add(time.Second), timing) {
		t.Error("want calls from the given time on, and none before")
	}
	if newInheritedMachine(termStart).CanBeCalled(termStart, timing) {
		t.Error("machine can be called before it is reconciled, want not")
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
		t.Error("should be released before its lease has expired, want only after that")
	}
	if late := expired.Add(timing.HeartbeatTimeout); !m.ShouldBeReleased(late, timing, 0) {
		t.Error("should not be released although its lease has expired and all later heartbeats were stale")
	}
	applyHeartbeat(m, expired, 1, 9)
	if m.ShouldBeReleased(expired.Add(timing.HeartbeatTimeout), timing, 0) {
		t.Error("should be released although a newer heartbeat has arrived, want no release")
	}
}

func TestOutdatedSnapshotIsRebuilt(t *testing.T) {
	m := newReportingMachine(termStart)
	if m.CachedSnapshot() != nil {
		t.Error("got a cached snapshot before the first one was built, want none")
	}
	m.RecordImage(termStart, "img")
	s := m.ResetSnapshot()
	if _, has := s.Images["img"]; !has || s.Free != m.Free() || s.Capacity != m.Capacity() || m.CachedSnapshot() != s {
		t.Errorf("snapshot %+v, want one with the image, the free resources and the capacity, which is cached", s)
	}
	a := newRecordedAttempt(m)
	if m.CachedSnapshot() != nil {
		t.Error("cached snapshot still valid after an attempt was added")
	}
	if s = m.ResetSnapshot(); s.Free != m.Free() || m.CachedSnapshot() != s {
		t.Errorf("cached snapshot has %+v free, want the free resources of the machine", s.Free)
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
		t.Error("got a reclaim time without a notice, want none")
	}
	first, second := 30.0, 60.0
	for _, notice := range []*float64{&first, &second} {
		_, reclaimed := m.RecordHeartbeat(termStart, &wire.Heartbeat{ReclaimNoticeS: notice})
		if reclaimed != (notice == &first) {
			t.Errorf("notice of %v s counts as the first: %v, want this for 30 s only", *notice, reclaimed)
		}
	}
	if left, reclaimed := m.ReclaimIn(termStart.Add(10 * time.Second)); left != 20*time.Second || !reclaimed {
		t.Errorf("%v left until the reclaim, want 20s", left)
	}
}

func TestFullMachineIsUnschedulable(t *testing.T) {
	m := newReportingMachine(termStart)
	m.MarkFull(termStart.Add(time.Second))
	if m.IsSchedulable(termStart, timing) || !m.IsSchedulable(termStart.Add(time.Second), timing) {
		t.Error("want a full machine to be schedulable from the given time on, and not before")
	}
	m.BeginRelease()
	if m.IsSchedulable(termStart.Add(time.Second), timing) || !m.IsBeingReleased() {
		t.Error("machine is schedulable while it is being released")
	}
}
