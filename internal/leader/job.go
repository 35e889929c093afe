package leader

import (
	"math"
	"slices"
	"sort"
	"time"

	"switchshore.example/switchshore/internal/intervals"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

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
	// waitingSince is when its waits begin: when it was submitted, or the last job
	// that it needs was done.
	waitingSince time.Time
	// priorityRank is its priority, or that of a job that needs it, if higher.
	priorityRank     int
	path             criticalPath
	state            jobState
	endedAt          time.Time // when its end was decided, in this term
	openDependencies int       // jobs that it needs and that are not over
	// dependencyCancelled: a job that it needs was cancelled, and so will it be.
	dependencyCancelled bool
	cyclic              bool // its path can't be derived: damaged records lead in a circle
	pathScheduled       bool // among those to be reweighed
	acceptanceDurable   bool // the acceptance is durable
	endDurable          bool // the final state is durable
	done                *intervals.Set
	durable             *intervals.Set // completions known to be stored
	ready               []int32        // tasks to be placed, last first
	allocations         map[int32]int8
	allocatedTasks      int // tasks that may be on a machine
	// recordedAttempts are the attempts known from start records while those are loaded.
	recordedAttempts map[int32]*attempt
	running          int
	inZone           map[string]int
	request          placement.Resources

	// progress is what tasks that are to run again have saved, in seconds, as
	// far as this term has seen it.
	progress map[int32]float64

	failures int
	// failedOn are the machines where tasks have failed since one was done.
	failedOn     map[string]bool
	backOffUntil time.Time
	// startAt is when a task of the job was last placed, or when the job came.
	startAt time.Time
	// firstStartAt and lastStartAt are when the first and the last task were placed in
	// this term, zero before.
	firstStartAt, lastStartAt time.Time
	waiters                   []func(ok bool) // told when the acceptance is durable
	chunks                    map[int]bool    // parts of the done-set to be written
	// keys are the records of the job beside its own.
	keys map[string]bool
}

func newJob(spec wire.Job, at int64, since time.Time) *job {
	j := &job{
		Job:          spec,
		at:           at,
		submitted:    since,
		waitingSince: since,
		startAt:      since,
		done:         intervals.New(spec.Tasks),
		allocations:  map[int32]int8{},
		inZone:       map[string]int{},
		chunks:       map[int]bool{},
		keys:         map[string]bool{},
		request:      placement.Resources{CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB},
	}
	j.priorityRank, j.path = j.standalonePath()
	return j
}

// needsTask reports whether a task of the job is still to run.
func (j *job) needsTask(index int) bool { return j.state == jobActive && !j.done.Has(index) }

// fillReady queues every task that is neither done nor maybe on a machine.
func (j *job) fillReady() {
	j.ready = j.ready[:0]
	for i := j.Tasks - 1; i >= 0; i-- {
		if !j.done.Has(i) && j.allocations[int32(i)] == 0 {
			j.ready = append(j.ready, int32(i))
		}
	}
}

// undecided reports whether a job's state can't be told now: its acceptance is
// not durable, so whether it exists is not decided, or it is being cancelled
// together with one that it needs. However long that takes to become durable,
// nobody hears any more that the job waits or runs.
func (j *job) undecided() bool { return !j.acceptanceDurable || j.dependencyCancelled && !j.endDurable }

// releaseTask counts one holder of a task less, and queues the task again if
// none is left.
func (l *Leader) releaseTask(j *job, index int32) {
	j.allocations[index]--
	if j.allocations[index] > 0 {
		return
	}
	delete(j.allocations, index)
	j.allocatedTasks--
	if j.state == jobActive && !j.done.Has(int(index)) {
		j.ready = append(j.ready, index)
	}
	l.changed = true
	l.removeIfFinished(j)
}

// backOffAfterFailure makes a job with failing tasks back off.
func (l *Leader) backOffAfterFailure(now time.Time, j *job) {
	j.failures++
	d := tuning.FailureBackoffMin << min(j.failures-1, 10)
	if d > tuning.FailureBackoffMax {
		d = tuning.FailureBackoffMax
	}
	j.backOffUntil = now.Add(d)
}

func (l *Leader) backOff(j *job, until time.Time) {
	if until.After(j.backOffUntil) {
		j.backOffUntil = until
	}
}

// recordProgress notes the progress that an attempt that is gone has saved: by itself at
// every interval, and when it was stopped with time to save.
func (j *job) recordProgress(now time.Time, a *attempt) {
	if a.runningAt.IsZero() || j.CheckpointIntervalS <= 0 || j.done.Has(int(a.index)) {
		return
	}
	ran := now.Sub(a.runningAt).Seconds()
	if !a.checkpointSaved {
		ran = math.Floor(ran/j.CheckpointIntervalS) * j.CheckpointIntervalS
	}
	if ran > 0 {
		if j.progress == nil {
			j.progress = map[int32]float64{}
		}
		j.progress[a.index] += ran
	}
}

func (l *Leader) sortedJobs() []*job {
	js := make([]*job, 0, len(l.jobs))
	for _, j := range l.jobs {
		js = append(js, j)
	}
	sortByID(js)
	return js
}

func sortByID(js []*job) {
	sort.Slice(js, func(i, k int) bool { return js[i].ID < js[k].ID })
}

func (j *job) removeReady(index int32) {
	if i := slices.Index(j.ready, index); i >= 0 {
		j.ready = slices.Delete(j.ready, i, i+1)
	}
}

// notifyWaiters answers all who wait for the job's acceptance or end; ok is false if the
// term is over and nothing is decided.
func (j *job) notifyWaiters(ok bool) {
	for _, tell := range j.waiters {
		tell(ok)
	}
	j.waiters = nil
}
