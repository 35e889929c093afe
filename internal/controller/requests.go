package controller

import (
	"net/http"
	"time"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/sched"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// Verdict is the outcome of a request: a status for the user, with a job's state or why the
// request is refused.
type Verdict struct {
	Status int
	State  string
	Done   int
	Run    int
	Why    string
	// RetryAfter is when a user who is refused should come back, in seconds; 0 for the
	// usual time.
	RetryAfter int
}

// Final reports whether the verdict stays true for good, whoever leads: others may
// be told only by a leader.
func (v Verdict) Final() bool {
	return v.Status/100 == 2 && wire.Final(v.State)
}

func (c *Controller) verdict(id string) (Verdict, bool) {
	if f, ok := c.finals[id]; ok {
		state := wire.JobDone
		if f.how == finalCancelled {
			state = wire.JobCancelled
		}
		return Verdict{Status: http.StatusOK, State: state, Done: int(f.done)}, true
	}
	j := c.jobs[id]
	if j == nil {
		return Verdict{Status: http.StatusNotFound}, false
	}
	v := Verdict{Status: http.StatusOK, State: wire.JobQueued, Done: j.done.Len(), Run: j.running}
	if j.running > 0 {
		v.State = wire.JobRunning
	}
	return v, true
}

// RejectedError is why a submission is not accepted: now, or ever.
type RejectedError struct {
	Status     int
	Reason     string
	RetryAfter int
}

func (e *RejectedError) Error() string { return e.Reason }

func (e *RejectedError) verdict() Verdict {
	return Verdict{Status: e.Status, Why: e.Reason, RetryAfter: e.RetryAfter}
}

// Submit takes a checked submission of which no other node has told anything.
func (c *Controller) Submit(now time.Time, wall time.Time, spec *wire.Job, then func(Verdict)) {
	c.SubmitClaimed(now, wall, spec, nil, then)
}

// SubmitClaimed takes a checked submission with what the node that its user has reached
// says of it. It either answers at once or calls then later, when the job is durable or
// the term is over.
func (c *Controller) SubmitClaimed(now time.Time, wall time.Time, spec *wire.Job, claim *admission.Claim, then func(Verdict)) {
	// Until the acceptance is durable nobody may be told of the job, not even
	// once its cancellation has been asked for.
	if j := c.jobs[spec.ID]; j != nil && j.undecided() {
		j.waiting = append(j.waiting, func(ok bool) { then(c.accepted(ok, spec.ID, http.StatusOK)) })
		return
	}
	if v, known := c.verdict(spec.ID); known {
		then(v)
		return
	}
	rejected := c.checkSubmission(spec)
	if rejected == nil {
		rejected = c.checkAdmission(now, spec, claim)
	}
	if rejected != nil {
		then(rejected.verdict())
		return
	}
	c.accept(now, wall, spec, then)
}

// checkSubmission returns why a job that is not known yet can't be accepted, or nil.
func (c *Controller) checkSubmission(spec *wire.Job) *RejectedError {
	if !c.Ready() {
		return &RejectedError{Status: http.StatusServiceUnavailable, Reason: "machine types not known yet"}
	}
	if why := c.impossible(spec); why != "" {
		return &RejectedError{Status: http.StatusUnprocessableEntity, Reason: why}
	}
	if rejected := c.checkDependencies(spec); rejected != nil {
		return rejected
	}
	if c.active+spec.Tasks > tuning.ActiveTasks || c.interactiveWrites.len() >= c.maxInteractiveWrites() {
		// More than the state service takes while users wait for an answer:
		// waiting in line would only end in a timeout.
		return &RejectedError{Status: http.StatusServiceUnavailable, Reason: "too much work queued"}
	}
	return nil
}

// accept stores a new job; its user is told when it is durable.
func (c *Controller) accept(now time.Time, wall time.Time, spec *wire.Job, then func(Verdict)) {
	j := newJob(*spec, wall.UnixMilli(), now)
	c.jobs[j.ID] = j
	c.countUnfinished(j.Team, j.Tasks)
	c.linkDependencies(j)
	for _, need := range j.Needs {
		c.scheduleCriticalPath(c.jobs[need])
	}
	j.waiting = append(j.waiting, func(ok bool) { then(c.accepted(ok, j.ID, http.StatusCreated)) })
	c.storeJob(j, func() {
		j.stored = true
		if j.state == jobAccepting {
			j.state = jobActive
			c.releaseIfUnblocked(now, j)
		}
		if j.state == jobActive {
			j.tellWaiting(true)
		}
	})
	if j.needCancelled {
		c.cancelDependent(now, j)
	}
}

// maxInteractiveWrites is how many changes the write budget takes while a user waits.
func (c *Controller) maxInteractiveWrites() int {
	return max(1, int(c.params.State.WriteRPS*tuning.StoreWriteShare*tuning.SubmitWait.Seconds()))
}

func (c *Controller) accepted(ok bool, id string, status int) Verdict {
	if !ok {
		return Verdict{Status: http.StatusServiceUnavailable, Why: "the term ended"}
	}
	v, _ := c.verdict(id)
	v.Status = status
	return v
}

// impossible says why a job can never run, or "".
func (c *Controller) impossible(spec *wire.Job) string {
	if why := aboveLimit(c.teams[spec.Team], spec); why != "" {
		return why
	}
	need := sched.Resources{CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB}
	probe := sched.Ready{Types: spec.Types, Zone: spec.Zone, Spot: true, Need: need, Total: spec.Tasks}
	for _, mt := range c.types {
		for _, zone := range mt.Zones {
			if probe.Allowed(&sched.Machine{Type: mt.Name, Zone: zone, Total: resources(mt)}) {
				return ""
			}
		}
	}
	return "a task fits no allowed machine type"
}

// aboveLimit says why a job can never run, as far as its team's settings tell, or "".
func aboveLimit(t *team, spec *wire.Job) string {
	if t == nil {
		return "unknown team"
	}
	if !(sched.Resources{CPUs: t.CPUsMax, GPUs: t.GPUsMax}).Fits(sched.Resources{CPUs: spec.CPUs, GPUs: spec.GPUs}) {
		return "a task needs more than the team's limit"
	}
	return ""
}

// AboveLimit says why a job can never run, as far as the settings alone tell, or "": any
// node can say that, whether or not a leader is known.
func AboveLimit(teams []config.Team, spec *wire.Job) string {
	for _, t := range teams {
		if t.Name == spec.Team {
			return aboveLimit(&team{Team: withLimits(t)}, spec)
		}
	}
	return aboveLimit(nil, spec)
}

func resources(t wire.MachineType) sched.Resources {
	return sched.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

// Query tells a job's state, 503 while it can't be told.
func (c *Controller) Query(id string) Verdict {
	if j := c.jobs[id]; j != nil && j.undecided() {
		return Verdict{Status: http.StatusServiceUnavailable, Why: "being accepted or cancelled"}
	}
	v, _ := c.verdict(id)
	return v
}

// Cancel cancels a job. It answers at once or calls then when it is durable.
func (c *Controller) Cancel(now time.Time, id string, then func(Verdict)) {
	if _, ended := c.finals[id]; ended {
		v, _ := c.verdict(id)
		then(v)
		return
	}
	j := c.jobs[id]
	switch {
	case j == nil:
		then(Verdict{Status: http.StatusNotFound})
	case j.state == jobDone, j.state == jobCancelled:
		// Decided, and on its way to the state service.
		j.waiting = append(j.waiting, func(ok bool) { then(c.accepted(ok, id, http.StatusOK)) })
	default:
		// A submission still waiting hears of its acceptance, as that is
		// written first, or of the end.
		j.waiting = append(j.waiting, func(ok bool) { then(c.accepted(ok, id, http.StatusOK)) })
		c.end(now, j, jobCancelled, &c.interactiveWrites)
	}
}
