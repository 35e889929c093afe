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

// TestDirectStartMayArriveLateWithinSession: a start sent by a direct call may arrive late until the
// agent begins a new session. Until the machine reports the attempt, the start is also sent in
// responses.
func TestDirectStartMayArriveLateWithinSession(t *testing.T) {
	m := newReportingMachine(termStart)
	a := newRecordedAttempt(m)
	if c := a.StartCommand(); c.Op != wire.OpStart || c.Task != "job-1/1" || c.Attempt != 7 {
		t.Errorf("command %+v, want the start of attempt 7 of job-1/1", c)
	}
	a.MarkDirectStartSent(termStart)
	if !a.DirectStartMayArrive() || !a.MayBeginByLateStart() || !a.NeedsStart() {
		t.Error("after a direct call: want a start that may arrive late and still has to be sent in a response")
	}
	m.AdvanceSession(&wire.Heartbeat{AgentEpoch: m.Epoch(), Sequence: m.NewestPosition().Sequence + 1})
	if !a.MayBeginByLateStart() {
		t.Error("MayBeginByLateStart is false in the same session, want true")
	}
	m.AdvanceSession(&wire.Heartbeat{AgentEpoch: m.Epoch() + 1, Sequence: 1})
	if a.MayBeginByLateStart() || a.DirectStartMayArrive() || !a.NeedsStart() {
		t.Error("in a new session: want a start that can't arrive late and has to be sent again")
	}
}

// TestResponseStartWithoutEffectIsSentAgain: a start whose response had no effect is sent again until
// the machine reports the attempt. The attempt then has the reported number, also in its stop.
func TestResponseStartWithoutEffectIsSentAgain(t *testing.T) {
	m := newReportingMachine(termStart)
	a := newRecordedAttempt(m)
	a.MarkResponseStartSent(3)
	if !a.ResponseStartMayTakeEffect() || a.MayBeginByLateStart() {
		t.Error("want a start in a response that may take effect, and no direct start that may arrive late")
	}
	a.MarkResponseStartIneffective()
	if a.ResponseStartMayTakeEffect() || !a.NeedsStart() {
		t.Error("after a response without effect: want a start that has to be sent again")
	}
	a.MarkInTaskList(5, 8)
	if !a.IsInTaskList(5) || a.IsInTaskList(6) || a.Number() != 8 {
		t.Errorf("attempt number %d, want 8, in task list 5 only", a.Number())
	}
	a.ApplyReport(termStart, machines.Fetching)
	if a.NeedsStart() {
		t.Error("start needed although the machine has reported the attempt, want no further start")
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
	if !m.TryQueueCall() || m.TryQueueCall() {
		t.Error("want TryQueueCall to return true for the first call only")
	}
	m.MarkCallDequeued()
	if !m.TryQueueCall() {
		t.Error("TryQueueCall returns false after MarkCallDequeued, want true")
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
	expired := termStart.Add(timing.LeaseCertainlyExpiredAfter + 1)
	if m.ShouldBeReleased(expired.Add(-2), timing, 0) {
		t.Error("should be released before its lease has expired, want only after that")
	}
	if late := expired.Add(timing.HeartbeatTimeout); !m.ShouldBeReleased(late, timing, 0) {
		t.Error("not to be released although its lease has expired and all later heartbeats were stale, want a release")
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
		t.Error("cached snapshot still valid after an attempt was added, want none")
	}
	if s = m.ResetSnapshot(); s.Free != m.Free() || m.CachedSnapshot() != s {
		t.Errorf("cached snapshot has %+v free, want the free resources of the machine", s.Free)
	}
	a.ApplyReport(termStart, machines.Running)
	if m.CachedSnapshot() != nil {
		t.Error("cached snapshot still valid after an attempt has begun to run, want none")
	}
	m.ResetSnapshot().Modified = true
	if m.CachedSnapshot() != nil {
		t.Error("cached snapshot still valid after a pass has modified it, want none")
	}
}

func TestReclaimNotice(t *testing.T) {
	m := newReportingMachine(termStart)
	if _, announced := m.TimeUntilReclaim(termStart); announced {
		t.Error("got a reclaim time without a notice, want none")
	}
	first, second := 30.0, 60.0
	for _, notice := range []*float64{&first, &second} {
		_, announced := m.RecordHeartbeat(termStart, &wire.Heartbeat{ReclaimNoticeS: notice})
		if announced != (notice == &first) {
			t.Errorf("notice of %v s counts as the first: %v, want this for 30 s only", *notice, announced)
		}
	}
	if left, announced := m.TimeUntilReclaim(termStart.Add(10 * time.Second)); left != 20*time.Second || !announced {
		t.Errorf("%v left until the reclaim, want an announced reclaim in 20s", left)
	}
}

func TestFullMachineIsUnschedulable(t *testing.T) {
	m := newReportingMachine(termStart)
	m.MarkTaskRefused(termStart.Add(time.Second))
	if m.IsSchedulable(termStart, timing) || !m.IsSchedulable(termStart.Add(time.Second), timing) {
		t.Error("want a full machine to be schedulable from the given time on, and not before")
	}
	m.BeginRelease()
	if m.IsSchedulable(termStart.Add(time.Second), timing) || !m.IsBeingReleased() {
		t.Error("machine is schedulable while it is being released, want not")
	}
}

// TestFencingTokenIsRaisedAfterDirectStarts guards against a copied start: between a direct call with
// starts and the next command to forget an attempt, the machine's token must be raised, once.
func TestFencingTokenIsRaisedAfterDirectStarts(t *testing.T) {
	const term, maxRaises = 5, 1
	m := newReportingMachine(termStart)
	if !m.FenceDirectStarts(maxRaises) || m.FencingToken(term) != term {
		t.Errorf("token %d without a direct call, want that of the term", m.FencingToken(term))
	}
	a := newRecordedAttempt(m)
	a.MarkDirectStartSent(termStart)
	m.BeginCall()
	if m.FenceDirectStarts(maxRaises) || m.FencingToken(term) != term {
		t.Error("token raised while a call is in progress that the agent would refuse, want it raised later")
	}
	m.EndCall()
	a.RuleOutDirectStart() // the call was answered, but a copy may still arrive
	for range 2 {
		if !m.FenceDirectStarts(maxRaises) || m.FencingToken(term) != term+1 {
			t.Errorf("token %d after an answered direct call, want %d", m.FencingToken(term), term+1)
		}
	}
	a.MarkDirectStartSent(termStart)
	if m.FenceDirectStarts(maxRaises) {
		t.Error("token raised beyond the reserved ones, want not")
	}
}
