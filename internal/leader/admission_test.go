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

// sheddingLeader returns a leader that has accepted job-1 and now rejects new jobs, because the
// changes that users wait for have been queued for too long.
func sheddingLeader(t *testing.T) *testLeader {
	t.Helper()
	operator := config.OperatorSettings{Admission: &config.Admission{}}
	l := &testLeader{
		Leader: leader.New(zerolog.Nop(), params, operator, 5, start, leader.GracePeriod(params.Workers)),
		t:      t, now: start, store: map[string]json.RawMessage{},
	}
	l.FinishLoading(start)
	l.SetMachineTypes([]wire.MachineType{bigType})
	l.submit("job-1")
	l.UpdateAdmission(l.now, l.now, 0, nil)
	for round := range 5 {
		for i := range 120 {
			l.Submit(l.now, l.now, newJob(fmt.Sprintf("job-7%d%03d", round, i)), func(leader.JobResponse) {})
		}
		l.now = l.now.Add(time.Second)
		l.UpdateAdmission(l.now, l.now, 0, nil)
	}
	if s, on := l.AdmissionSummary(); !on || !s.Shedding {
		t.Fatalf("does not shed load: %+v", s)
	}
	return l
}

// submitWithClaim submits a job and returns the response, which has status 0 if there is none yet.
func (l *testLeader) submitWithClaim(j *wire.Job, claim *admission.Claim) (got leader.JobResponse) {
	l.SubmitWithClaim(l.now, l.now, j, claim, func(v leader.JobResponse) { got = v })
	return got
}

// TestSheddingRejectsOnlyNewJobs checks that, while admission control sheds load, a new job gets 429
// with a retry time, a repeated submission of an accepted job gets its state, and a job that can
// never run still gets 422.
func TestSheddingRejectsOnlyNewJobs(t *testing.T) {
	l := sheddingLeader(t)
	l.commit() // until then, the bound of the write queue rejects the jobs
	rejected := 0
	for i := range 50 {
		if v := l.submitWithClaim(newJob(fmt.Sprint("job-8", i)), nil); v.Status == 429 && v.RetryAfter >= 1 {
			rejected++
		}
	}
	if rejected < 40 {
		t.Errorf("%d of 50 new jobs rejected", rejected)
	}
	if v := l.submitWithClaim(newJob("job-1"), nil); v.Status != 200 {
		t.Errorf("repeated submission of an accepted job: %+v", v)
	}
	unknownTeam := newJob("job-2")
	unknownTeam.Team = "nobody"
	if v := l.submitWithClaim(unknownTeam, nil); v.Status != 422 {
		t.Errorf("submission of an unknown team: %+v", v)
	}
	if v := l.Query("job-1"); v.Status != 200 {
		t.Errorf("query: %+v", v)
	}
	cancelled := false
	l.Cancel(l.now, "job-1", func(v leader.JobResponse) { cancelled = v.Status == 200 })
	l.commit()
	if !cancelled {
		t.Error("cancellation not carried out")
	}
}

// TestAcceptedJobsStartUnderOverload checks, with admission control on and off, that queued
// acceptances do not fill every transaction. Otherwise no accepted job would start.
func TestAcceptedJobsStartUnderOverload(t *testing.T) {
	off := newLeader(t, 5, start, map[string]json.RawMessage{})
	off.submit("job-1")
	for i := range 120 {
		off.Submit(off.now, off.now, newJob(fmt.Sprint("job-7", i)), func(leader.JobResponse) {})
	}
	for name, l := range map[string]*testLeader{"on": sheddingLeader(t), "off": off} {
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
			t.Errorf("admission %s: %d starts and %d acceptances in a transaction of 8", name, starts, acceptances)
		}
	}
}

// TestLimitViolationAgreesWithLeader checks that LimitViolation, which a node uses without a leader,
// finds the same jobs impossible as a leader does.
func TestLimitViolationAgreesWithLeader(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	for i, change := range []func(*wire.Job){
		func(*wire.Job) {},
		func(j *wire.Job) { j.Team = "nobody" },
		func(j *wire.Job) { j.CPUs = 17 },
		func(j *wire.Job) { j.GPUs = 1 },
	} {
		j := newJob(fmt.Sprint("job-3", i))
		change(j)
		reason := leader.QuotaViolation(params.Teams, j)
		if v := l.submitWithClaim(j, nil); (reason != "") != (v.Status == 422) || reason != v.Reason {
			t.Errorf("%d: got %q, the leader responds %+v", i, reason, v)
		}
	}
}
