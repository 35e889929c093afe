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

// sheddingLeader is a leader with admission control on that turns new jobs away, as users'
// changes have waited for long. One job, job-1, is accepted.
func sheddingLeader(t *testing.T) *testLeader {
	t.Helper()
	operator := config.Operator{Admission: &config.Admission{}}
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
			l.Submit(l.now, l.now, spec(fmt.Sprintf("job-7%d%03d", round, i)), func(leader.Response) {})
		}
		l.now = l.now.Add(time.Second)
		l.UpdateAdmission(l.now, l.now, 0, nil)
	}
	if s, on := l.AdmissionSummary(); !on || !s.Shedding {
		t.Fatalf("doesn't shed: %+v", s)
	}
	return l
}

// submitClaimed submits a job and returns the answer, status 0 if it has to wait.
func (l *testLeader) submitClaimed(j *wire.Job, claim *admission.Claim) (got leader.Response) {
	l.SubmitWithClaim(l.now, l.now, j, claim, func(v leader.Response) { got = v })
	return got
}

// TestSheddingKnowsAcceptedJobs: while new jobs are rejected, with a time to come back, a
// repeat of an accepted one is answered with its state, and what can never run stays 422.
func TestSheddingKnowsAcceptedJobs(t *testing.T) {
	l := sheddingLeader(t)
	l.commit() // up to here the queue's own bound refuses
	refused := 0
	for i := range 50 {
		if v := l.submitClaimed(spec(fmt.Sprint("job-8", i)), nil); v.Status == 429 && v.RetryAfter >= 1 {
			refused++
		}
	}
	if refused < 40 {
		t.Errorf("%d of 50 turned away", refused)
	}
	if v := l.submitClaimed(spec("job-1"), nil); v.Status != 200 {
		t.Errorf("a repeat of an accepted job: %+v", v)
	}
	odd := spec("job-2")
	odd.Team = "nobody"
	if v := l.submitClaimed(odd, nil); v.Status != 422 {
		t.Errorf("an unknown team: %+v", v)
	}
	if v := l.Query("job-1"); v.Status != 200 {
		t.Errorf("a question: %+v", v)
	}
	cancelled := false
	l.Cancel(l.now, "job-1", func(v leader.Response) { cancelled = v.Status == 200 })
	l.commit()
	if !cancelled {
		t.Error("a cancellation is not carried out")
	}
}

// TestAcceptedJobsGoOnUnderOverload: acceptances that wait must not fill every transaction,
// or nothing that was accepted would begin; whether or not admission control is on.
func TestAcceptedJobsGoOnUnderOverload(t *testing.T) {
	off := newLeader(t, 5, start, map[string]json.RawMessage{})
	off.submit("job-1")
	for i := range 120 {
		off.Submit(off.now, off.now, spec(fmt.Sprint("job-7", i)), func(leader.Response) {})
	}
	for name, l := range map[string]*testLeader{"on": sheddingLeader(t), "off": off} {
		l.report("m1", 1)
		l.pass(time.Second)
		starts, acceptances := 0, 0
		for _, w := range l.NextBatch(8, 0).Mutations {
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

// TestSettingsDecideAlone: a node without a leader finds the same jobs impossible, as far as
// the settings tell, as a leader does.
func TestSettingsDecideAlone(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	for i, change := range []func(*wire.Job){
		func(*wire.Job) {},
		func(j *wire.Job) { j.Team = "nobody" },
		func(j *wire.Job) { j.CPUs = 17 },
		func(j *wire.Job) { j.GPUs = 1 },
	} {
		j := spec(fmt.Sprint("job-3", i))
		change(j)
		why := leader.LimitViolation(params.Teams, j)
		if v := l.submitClaimed(j, nil); (why != "") != (v.Status == 422) || why != v.Reason {
			t.Errorf("%d: %q, a leader says %+v", i, why, v)
		}
	}
}
