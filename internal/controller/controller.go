// Package controller is the leader's picture of jobs, tasks and machines and
// all decisions about them. It does no I/O and reads no clock: time, requests,
// reports and outcomes are passed in, and what has to be written, rented or
// sent comes out. Callers serialise access.
package controller

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/provision"
	"switchshore.example/switchshore/internal/ranges"
	"switchshore.example/switchshore/internal/sched"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// Controller is one term's picture.
type Controller struct {
	log      zerolog.Logger
	params   config.Params
	operator config.Operator
	term     uint64
	attempts uint64
	rentals  uint64

	// inheritedUntil is when every task that a predecessor may have left on a
	// machine unheard in this term is gone.
	inheritedUntil time.Time
	started        time.Time

	jobs   map[string]*job
	finals map[string]final // ended jobs, for good
	active int              // unfinished tasks, for the memory bound
	// live are the unfinished jobs that need no other any more.
	live map[*job]struct{}
	// dependents are the jobs that need one that is not over, by its id.
	dependents map[string][]*job
	freed      []*job // a job that they need is done
	doomed     []*job // a job that they need was cancelled
	reweighed  []*job // what others expect of them may have changed
	teams      map[string]*team
	machines   map[string]*machine
	order      []*machine      // the machines by name
	released   map[string]bool // names never to be taken in again
	types      map[string]wire.MachineType
	offers     []wire.MachineType
	// catalogue is the stored form of the types.
	catalogue json.RawMessage

	urgent  writeQueue  // what users wait for
	chain   writeQueue  // final states that follow from those of other jobs
	bulk    writeQueue  // what nobody waits for
	unsaved []*startLog // records of starts to be written
	logs    uint64      // start records so far
	// loadedLogs are a predecessor's start records while they are loaded.
	loadedLogs []*startLog
	// pieces are parts of job records while those are loaded, by key.
	pieces   map[string][]byte
	dirty    map[*job]time.Time // jobs with unwritten completions, since when
	ratio    map[string]float64 // run time over estimate, by class
	refused  map[provision.Offer]time.Time
	dark     map[string]time.Time // zones that seem to be cut off, until then
	renting  map[string]*rental
	lists    uint64
	nextPlan time.Time
	lastPass time.Time
	nextPass time.Time // no sooner
	lastLook time.Time // for leases that ran out
	lastStop time.Time // for room made by stopping tasks
	lastMove time.Time // for machines to be emptied
	changed  bool
	scores   int        // pairs of job and machine looked at, for the logs
	round    uint64     // number of task lists taken in
	calls    []*machine // that may have something to be told directly
	calling  int        // direct calls under way
	// releasing is the number of releases without an answer.
	releasing int
	reserve   float64
	reserved  time.Time
	// inflow is the smoothed work of new jobs, in CPU seconds a second, as of
	// inflowAt.
	inflow   float64
	inflowAt time.Time
}

type team struct {
	config.Team
	used sched.Resources // of all tasks that may be on a machine
}

// New returns an empty picture for a term won at now. grace is how long a
// leader without the state service goes on answering reports.
func New(log zerolog.Logger, p config.Params, o config.Operator, term uint64, now time.Time, grace time.Duration) *Controller {
	c := &Controller{
		log:      log,
		params:   p,
		operator: o,
		term:     term,
		started:  now,
		jobs:     map[string]*job{},
		finals:   map[string]final{},
		live:     map[*job]struct{}{},
		pieces:   map[string][]byte{},
		teams:    map[string]*team{},
		machines: map[string]*machine{},
		released: map[string]bool{},
		types:    map[string]wire.MachineType{},
		dirty:    map[*job]time.Time{},
		ratio:    map[string]float64{},
		refused:  map[provision.Offer]time.Time{},
		dark:     map[string]time.Time{},
		renting:  map[string]*rental{},

		dependents: map[string][]*job{},
	}
	for _, t := range p.Teams {
		if t.CPUsMax == 0 && t.GPUsMax == 0 {
			// "A value of 0 means none": a guest without a guarantee and without a
			// limit, not one that may use nothing.
			t.CPUsMax, t.GPUsMax = math.Inf(1), math.Inf(1)
		}
		c.teams[t.Name] = &team{Team: t}
	}
	// A predecessor's last answer comes at the latest a grace after its
	// authority, which ended before now; the worker's lease runs from the
	// sending of the report answered.
	c.inheritedUntil = now.Add(grace + c.leaseTime())
	return c
}

// Grace is how long a leader without the state service goes on answering
// reports: as long as possible, with a worker's lease on top still within
// the time for cancellations.
func Grace(w config.Workers) time.Duration {
	return max(0, min(seconds(w.LeaseS), seconds(w.CancelS-w.LeaseS)-tuning.GraceReserve))
}

// lateStartBound is how long after the end of a job a machine may still be
// answered on which a start of that job may come late: the rest of its lease ends
// within the time for cancellations, with the same reserve, and with its session
// the start is void, even if nobody can release the machine.
func lateStartBound(w config.Workers) time.Duration {
	return max(0, min(seconds(w.CancelS)/tuning.FenceParts, seconds(w.CancelS-w.LeaseS)-tuning.GraceReserve))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// leaseTime is the time after which a worker's lease has provably run out.
func (c *Controller) leaseTime() time.Duration {
	return seconds(c.params.Workers.LeaseS*(1+tuning.ClockDrift)) + tuning.ExpiryMargin
}

// Term is the term of this picture.
func (c *Controller) Term() uint64 { return c.term }

// Ready reports whether submissions can be decided: the machine types are known.
func (c *Controller) Ready() bool { return len(c.types) > 0 }

func (c *Controller) nextAttempt() uint64 {
	c.attempts++
	return c.term<<32 | c.attempts
}

// Jobs.

const (
	finalDone      = 'd'
	finalCancelled = 'c'
)

// final is the end of a job, stored as "d14" or "c3": how, and how many of
// its tasks were done.
type final struct {
	how  byte
	done int32
}

func (f final) value() json.RawMessage {
	return json.RawMessage(`"` + string(f.how) + strconv.Itoa(int(f.done)) + `"`)
}

func parseFinal(value json.RawMessage) (final, error) {
	var text string
	if err := json.Unmarshal(value, &text); err != nil {
		return final{}, err
	}
	if text == "" || text[0] != finalDone && text[0] != finalCancelled {
		return final{}, fmt.Errorf("final state %q", text)
	}
	n, err := strconv.ParseInt(text[1:], 10, 32)
	return final{text[0], int32(n)}, err
}

type jobState int

const (
	jobAccepting jobState = iota // not durable yet
	jobActive
	jobCancelled // its record stays until no task may be on a machine
	jobDone
)

type job struct {
	wire.Job
	at        int64 // submission, time of day in milliseconds
	submitted time.Time
	// since is when its waits begin: when it was submitted, or the last job
	// that it needs was done.
	since time.Time
	// level is its priority, or that of a job that needs it, if higher.
	level   int
	path    path
	state   jobState
	endedAt time.Time // when its end was decided, in this term
	open    int       // jobs that it needs and that are not over
	// doomed: a job that it needs was cancelled, and so will it be.
	doomed  bool
	tangled bool // its path can't be derived: damaged records lead in a circle
	inLine  bool // among those to be reweighed
	stored  bool // the acceptance is durable
	ended   bool // the final state is durable
	done    *ranges.Set
	durable *ranges.Set // completions known to be stored
	ready   []int32     // tasks to be placed, last first
	holders map[int32]int8
	held    int // tasks that may be on a machine
	// claims are the attempts known from start records while those are loaded.
	claims  map[int32]*attempt
	running int
	inZone  map[string]int
	need    sched.Resources

	// progress is what tasks that are to run again have saved, in seconds, as
	// far as this term has seen it.
	progress map[int32]float64

	failures int
	// failedOn are the machines where tasks have failed since one was done.
	failedOn map[string]bool
	notUntil time.Time
	// startAt is when a task of the job was last placed, or when the job came.
	startAt time.Time
	waiting []func(ok bool) // told when the acceptance is durable
	chunks  map[int]bool    // parts of the done-set to be written
	// keys are the records of the job beside its own.
	keys map[string]bool
}

func newJob(spec wire.Job, at int64, since time.Time) *job {
	j := &job{
		Job:       spec,
		at:        at,
		submitted: since,
		since:     since,
		startAt:   since,
		done:      ranges.New(spec.Tasks),
		holders:   map[int32]int8{},
		inZone:    map[string]int{},
		chunks:    map[int]bool{},
		keys:      map[string]bool{},
		need:      sched.Resources{CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB},
	}
	j.level, j.path = j.own()
	return j
}

// wants reports whether a task of the job is still to run.
func (j *job) wants(index int) bool { return j.state == jobActive && !j.done.Has(index) }

// fillReady queues every task that is neither done nor maybe on a machine.
func (j *job) fillReady() {
	j.ready = j.ready[:0]
	for i := j.Tasks - 1; i >= 0; i-- {
		if !j.done.Has(i) && j.holders[int32(i)] == 0 {
			j.ready = append(j.ready, int32(i))
		}
	}
}

// Verdict is the outcome of a request: a status for the user and, if Wait is
// set, the need to wait for the state service first.
type Verdict struct {
	Status int
	State  string
	Done   int
	Run    int
	Why    string
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
		return Verdict{Status: 200, State: state, Done: int(f.done)}, true
	}
	j := c.jobs[id]
	if j == nil {
		return Verdict{Status: 404}, false
	}
	v := Verdict{Status: 200, State: wire.JobQueued, Done: j.done.Len(), Run: j.running}
	if j.running > 0 {
		v.State = wire.JobRunning
	}
	return v, true
}

// Submit takes a checked submission. It either answers at once or calls then
// later, when the job is durable or the term is over.
func (c *Controller) Submit(now time.Time, wall time.Time, spec *wire.Job, then func(Verdict)) {
	// Until the acceptance is durable nobody may be told of the job, not even
	// once its cancellation has been asked for.
	if j := c.jobs[spec.ID]; j != nil && j.undecided() {
		j.waiting = append(j.waiting, func(ok bool) { then(c.accepted(ok, spec.ID, 200)) })
		return
	}
	if v, known := c.verdict(spec.ID); known {
		then(v)
		return
	}
	if !c.Ready() {
		then(Verdict{Status: 503, Why: "machine types not known yet"})
		return
	}
	if why := c.impossible(spec); why != "" {
		then(Verdict{Status: 422, Why: why})
		return
	}
	if status, why := c.unknownNeed(spec); status != 0 {
		then(Verdict{Status: status, Why: why})
		return
	}
	if c.active+spec.Tasks > tuning.ActiveTasks || c.urgent.len() >= c.maxUrgent() {
		// More than the state service takes while users wait for an answer:
		// waiting in line would only end in a timeout.
		then(Verdict{Status: 503, Why: "too much work queued"})
		return
	}
	j := newJob(*spec, wall.UnixMilli(), now)
	c.jobs[j.ID] = j
	c.active += j.Tasks
	c.link(j)
	for _, need := range j.Needs {
		c.reweighSoon(c.jobs[need])
	}
	j.waiting = append(j.waiting, func(ok bool) { then(c.accepted(ok, j.ID, 201)) })
	c.store(j, func() {
		j.stored = true
		if j.state == jobAccepting {
			j.state = jobActive
			c.begin(now, j)
		}
		if j.state == jobActive {
			for _, f := range j.waiting {
				f(true)
			}
			j.waiting = nil
		}
	})
	if j.doomed {
		c.doom(now, j)
	}
}

// maxUrgent is how many changes the write budget takes while a user waits.
func (c *Controller) maxUrgent() int {
	return max(1, int(c.params.State.WriteRPS*tuning.StoreWriteShare*tuning.SubmitWait.Seconds()))
}

func (c *Controller) accepted(ok bool, id string, status int) Verdict {
	if !ok {
		return Verdict{Status: 503, Why: "the term ended"}
	}
	v, _ := c.verdict(id)
	v.Status = status
	return v
}

// impossible says why a job can never run, or "".
func (c *Controller) impossible(spec *wire.Job) string {
	t := c.teams[spec.Team]
	if t == nil {
		return "unknown team"
	}
	need := sched.Resources{CPUs: spec.CPUs, GPUs: spec.GPUs}
	if !(sched.Resources{CPUs: t.CPUsMax, GPUs: t.GPUsMax}).Fits(need) {
		return "a task needs more than the team's limit"
	}
	need.MemoryGB = spec.MemoryGB
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

func resources(t wire.MachineType) sched.Resources {
	return sched.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

// undecided reports whether a job's state can't be told now: its acceptance is
// not durable, so whether it exists is not decided, or it is being cancelled
// together with one that it needs. However long that takes to become durable,
// nobody hears any more that the job waits or runs.
func (j *job) undecided() bool { return !j.stored || j.doomed && !j.ended }

// Query tells a job's state, 503 while it can't be told.
func (c *Controller) Query(id string) Verdict {
	if j := c.jobs[id]; j != nil && j.undecided() {
		return Verdict{Status: 503, Why: "being accepted or cancelled"}
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
		then(Verdict{Status: 404})
	case j.state == jobDone, j.state == jobCancelled:
		// Decided, and on its way to the state service.
		j.waiting = append(j.waiting, func(ok bool) { then(c.accepted(ok, id, 200)) })
	default:
		// A submission still waiting hears of its acceptance, as that is
		// written first, or of the end.
		j.waiting = append(j.waiting, func(ok bool) { then(c.accepted(ok, id, 200)) })
		c.end(now, j, jobCancelled, &c.urgent)
	}
}

// end decides how a job ends and writes its final state; only then is it told
// to anyone, and followed by what it means for the jobs that need this one.
func (c *Controller) end(now time.Time, j *job, state jobState, queue *writeQueue) {
	j.state, j.endedAt = state, now
	j.ready = nil
	delete(c.dirty, j)
	delete(c.live, j)
	f := final{finalDone, int32(j.done.Len())}
	if state == jobCancelled {
		f.how = finalCancelled
		for _, need := range j.Needs {
			c.reweighSoon(c.jobs[need])
		}
	}
	queue.put(keyFinal(j.ID), f.value(), func() {
		c.finals[j.ID] = f
		c.active -= j.Tasks
		j.ended = true
		c.settle(j.ID, f)
		for _, f := range j.waiting {
			f(true)
		}
		j.waiting = nil
		c.tidy(j)
	})
}

// tidy drops the record of an ended job once none of its tasks may be on a
// machine: until then its team, zone and size are needed for the counts.
func (c *Controller) tidy(j *job) {
	if !j.ended || j.held > 0 || c.jobs[j.ID] != j {
		return
	}
	delete(c.jobs, j.ID)
	delete(c.dirty, j)
	c.bulk.del(keyJob(j.ID))
	for _, key := range slices.Sorted(maps.Keys(j.keys)) {
		c.bulk.del(key)
	}
}

// taskDone notes a completion; it is written soon and told only afterwards.
func (c *Controller) taskDone(now time.Time, j *job, index int32) {
	if !j.done.Add(int(index)) {
		return
	}
	c.changed = true
	if j.state != jobActive {
		return
	}
	if j.done.Full() {
		c.end(now, j, jobDone, &c.urgent)
		return
	}
	j.chunks[int(index)/c.doneChunk()] = true
	if _, ok := c.dirty[j]; !ok {
		c.dirty[j] = now
	}
}

// flushDone queues the writes of completions that have waited long enough.
func (c *Controller) flushDone(now time.Time) {
	var due []*job
	for j, since := range c.dirty {
		if now.Sub(since) >= tuning.DoneFlush {
			due = append(due, j)
		}
	}
	sortByID(due)
	for _, j := range due {
		delete(c.dirty, j)
		ks := make([]int, 0, len(j.chunks))
		for k := range j.chunks {
			ks = append(ks, k)
		}
		sort.Ints(ks)
		for _, k := range ks {
			key, text := c.doneRecord(j, k)
			value, _ := json.Marshal(text)
			j.keys[key] = true
			c.bulk.put(key, value, func() { c.durable(j, text) })
		}
		clear(j.chunks)
	}
}

// durable marks attempts whose completion is stored: they may be forgotten.
func (c *Controller) durable(j *job, covered string) {
	_ = ranges.Each(covered, j.Tasks, func(i int) {
		if j.durable == nil {
			j.durable = ranges.New(j.Tasks)
		}
		j.durable.Add(i)
	})
}

// isDurable reports whether the completion of a task is stored.
func (j *job) isDurable(index int32) bool {
	return j.ended || j.durable != nil && j.durable.Has(int(index))
}

// unhold counts one holder of a task less, and queues the task again if
// none is left.
func (c *Controller) unhold(j *job, index int32) {
	j.holders[index]--
	if j.holders[index] > 0 {
		return
	}
	delete(j.holders, index)
	j.held--
	if j.state == jobActive && !j.done.Has(int(index)) {
		j.ready = append(j.ready, index)
	}
	c.changed = true
	c.tidy(j)
}

// failed makes a job with failing tasks back off.
func (c *Controller) failed(now time.Time, j *job) {
	j.failures++
	d := tuning.RetryMin << min(j.failures-1, 10)
	if d > tuning.RetryMax {
		d = tuning.RetryMax
	}
	j.notUntil = now.Add(d)
}

func (c *Controller) backOff(j *job, until time.Time) {
	if until.After(j.notUntil) {
		j.notUntil = until
	}
}

// Stop ends the term: everyone waiting is told that nothing is decided.
func (c *Controller) Stop() {
	for _, j := range c.jobs {
		for _, f := range j.waiting {
			f(false)
		}
		j.waiting = nil
	}
}
