package leader_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/wire"
)

// sheddingLeader returns a leader that has accepted job-1 and whose admission control now rejects new
// jobs, because writes that users wait for have been pending for too long.
func sheddingLeader(t *testing.T) *testLeader {
	t.Helper()
	settings := config.OperatorSettings{Admission: &config.Admission{}}
	l := &testLeader{
		Leader: leader.New(zerolog.Nop(), testParams, settings, 5, startTime, leader.GracePeriod(testParams.Workers)),
		t:      t, now: startTime, store: map[string]json.RawMessage{},
	}
	l.FinishLoading(startTime)
	l.SetMachineTypes([]wire.MachineType{std8Type})
	l.submit("job-1")
	l.UpdateAdmission(l.now, l.now, 0, nil) // without lag and without load offered to other nodes
	for round := range 5 {
		for i := range 120 {
			l.Submit(l.now, l.now, newJob(fmt.Sprintf("job-7%d%03d", round, i)), func(leader.JobResponse) {})
		}
		l.now = l.now.Add(time.Second)
		l.UpdateAdmission(l.now, l.now, 0, nil)
	}
	if s, on := l.AdmissionSummary(); !on || !s.Shedding {
		t.Fatalf("admission control: got %+v, want it to shed load", s)
	}
	return l
}

// submitWithAdmissionClaim submits a job with the admission claim of the node that received it. It
// returns the response; its status is 0 if the leader has not responded yet.
func (l *testLeader) submitWithAdmissionClaim(j *wire.Job, claim *admission.Claim) (got leader.JobResponse) {
	l.SubmitWithClaim(l.now, l.now, j, claim, func(v leader.JobResponse) { got = v })
	return got
}

// TestSheddingRejectsOnlyNewJobs checks the responses while admission control sheds load: a new job
// gets 429 with a retry time, a repeated submission of an accepted job gets its state, and a job that
// can never run still gets 422. Queries and cancellations are executed as usual.
func TestSheddingRejectsOnlyNewJobs(t *testing.T) {
	l := sheddingLeader(t)
	// Empty the write queue: while it is full, jobs get 503 before admission control decides.
	l.commit()
	rejected := 0
	for i := range 50 {
		if v := l.submitWithAdmissionClaim(newJob(fmt.Sprint("job-8", i)), nil); v.Status == 429 && v.RetryAfterS >= 1 {
			rejected++
		}
	}
	if rejected < 40 {
		t.Errorf("%d of 50 new jobs got 429 with a retry time, want at least 40", rejected)
	}
	if v := l.submitWithAdmissionClaim(newJob("job-1"), nil); v.Status != 200 {
		t.Errorf("repeated submission of an accepted job: got %+v, want status 200", v)
	}
	unknownTeam := newJob("job-2")
	unknownTeam.Team = "nobody"
	if v := l.submitWithAdmissionClaim(unknownTeam, nil); v.Status != 422 {
		t.Errorf("submission for an unknown team: got %+v, want status 422", v)
	}
	if v := l.Query("job-1"); v.Status != 200 {
		t.Errorf("query: got %+v, want status 200", v)
	}
	cancelled := false
	l.Cancel(l.now, "job-1", func(v leader.JobResponse) { cancelled = v.Status == 200 })
	l.commit()
	if !cancelled {
		t.Error("cancellation not executed, want status 200")
	}
}

// TestAcceptedJobsStartUnderOverload checks, with admission control on and off, that a transaction
// contains a start record even if the queued acceptances alone would fill it. Without the start
// record, no accepted job would start.
func TestAcceptedJobsStartUnderOverload(t *testing.T) {
	withoutAdmission := newLeader(t, 5, startTime, map[string]json.RawMessage{})
	withoutAdmission.submit("job-1")
	for i := range 120 {
		withoutAdmission.Submit(withoutAdmission.now, withoutAdmission.now, newJob(fmt.Sprint("job-7", i)), func(leader.JobResponse) {})
	}
	for name, l := range map[string]*testLeader{"on": sheddingLeader(t), "off": withoutAdmission} {
		l.sendHeartbeat("m1", 1)
		l.tickAfter(time.Second)
		starts, acceptances := 0, 0
		for _, w := range l.NextWriteBatch(8, 0).Mutations {
			if strings.HasPrefix(w.Put, "s/") {
				starts++
			}
			if strings.HasPrefix(w.Put, "j/") {
				acceptances++
			}
		}
		if starts != 1 || acceptances != 7 {
			t.Errorf("admission control %s: got %d start records and %d acceptances in a transaction of 8, want 1 and 7", name, starts, acceptances)
		}
	}
}

// TestLimitViolationAgreesWithLeader checks that LimitViolation rejects the same jobs as a leader, for
// the same reasons. Any node calls LimitViolation, even while no leader is known.
func TestLimitViolationAgreesWithLeader(t *testing.T) {
	l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
	for i, change := range []func(*wire.Job){
		func(*wire.Job) {},
		func(j *wire.Job) { j.Team = "nobody" },
		func(j *wire.Job) { j.CPUs = 17 },
		func(j *wire.Job) { j.GPUs = 1 },
	} {
		j := newJob(fmt.Sprint("job-3", i))
		change(j)
		reason := leader.QuotaViolation(testParams.Teams, j)
		if v := l.submitWithAdmissionClaim(j, nil); (reason != "") != (v.Status == 422) || reason != v.Reason {
			t.Errorf("job %d: LimitViolation returns %q, want the reason in the leader's response %+v", i, reason, v)
		}
	}
}
