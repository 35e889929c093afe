package simulation

import (
	"fmt"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/wire"
)

// Rules checks the protocol's rules after every step.
type Rules struct {
	Teams  []config.Team
	Cancel time.Duration

	jobs    map[string]*jobRecord
	on      map[string]string // task -> machine, while it is on it
	started int
	// Ended, if set, is told of every job whose last task has just completed.
	Ended func(id string)
	// waiting is since when jobs wait although they could start, lookedAt when
	// that was looked at last.
	waiting  map[string]waitingSince
	lookedAt time.Time
}

type jobRecord struct {
	job         *wire.Job
	accepted    bool
	askedCancel bool
	cancelledAt time.Time // when its user was told
	done        bool      // its user was told
	finished    map[string]bool
	completed   bool // all tasks have completed
	toldAt      time.Time
	answeredAt  time.Time // when a question about it was last answered
}

// cancelledBy reports whether the user's cancellation of a job before this one,
// through any number of steps, was asked for, and since when its user has been
// told of one, zero if of none.
func (r *Rules) cancelledBy(t *jobRecord) (asked bool, told time.Time) {
	for _, id := range t.job.DependsOn {
		need := r.jobs[id]
		if need == nil {
			continue
		}
		a, at := r.cancelledBy(need)
		asked = asked || a || need.askedCancel && !need.done
		if need.askedCancel && !need.cancelledAt.IsZero() && (at.IsZero() || need.cancelledAt.Before(at)) {
			at = need.cancelledAt
		}
		if !at.IsZero() && (told.IsZero() || at.Before(told)) {
			told = at
		}
	}
	return asked, told
}

// unanswered is for how long no question about a job may go unanswered once
// all faults are over.
const unanswered = 75 * time.Second

// Forgotten finds an accepted job about which no question has been answered
// for long, however others fare; settled is when all faults were over.
func (r *Rules) Forgotten(now, settled time.Time) error {
	if now.Sub(settled) < unanswered {
		return nil
	}
	for id, t := range r.jobs {
		if t.accepted && !t.askedCancel && now.Sub(t.answeredAt) > unanswered {
			return fmt.Errorf("forgotten: no question about %s answered for %v", id, now.Sub(t.answeredAt))
		}
	}
	return nil
}

// NewRules returns a checker.
func NewRules(teams []config.Team, cancel time.Duration) *Rules {
	return &Rules{Teams: teams, Cancel: cancel, jobs: map[string]*jobRecord{}, on: map[string]string{}, waiting: map[string]waitingSince{}}
}

// Submitted notes that a user submits a job.
func (r *Rules) Submitted(j *wire.Job) {
	if r.jobs[j.ID] == nil {
		r.jobs[j.ID] = &jobRecord{job: j, finished: map[string]bool{}}
	}
}

// AskedCancel notes that a user asks for a job's cancellation.
func (r *Rules) AskedCancel(id string) { r.jobs[id].askedCancel = true }

// Told checks what a user is told of a job by an answer that left its node at
// the given time, in the order in which the user has the answers of all nodes; one
// that left before the user had the last one crossed it, and says nothing.
func (r *Rules) Told(now, given time.Time, id string, status int, state string, submission bool) error {
	t := r.jobs[id]
	if t != nil {
		if given.Before(t.toldAt) {
			return nil
		}
		defer func() { t.toldAt = now }()
	}
	if t == nil {
		if status/100 == 2 {
			return fmt.Errorf("invented: %s answered %d", id, status)
		}
		return nil
	}
	if t.accepted && (status == 404 || submission && (status == 400 || status == 422)) {
		return fmt.Errorf("forgotten: %s answered %d", id, status)
	}
	if status/100 != 2 {
		return nil
	}
	t.answeredAt = now
	t.accepted = true
	asked, told := r.cancelledBy(t)
	switch {
	case t.done && state != wire.JobDone, !t.cancelledAt.IsZero() && state != wire.JobCancelled:
		return fmt.Errorf("went_back: %s is called %s", id, state)
	case state == wire.JobCancelled && !t.askedCancel && !asked:
		return fmt.Errorf("went_back: %s is called cancelled, and its user did not cancel it", id)
	case (state == wire.JobQueued || state == wire.JobRunning) && !told.IsZero() && now.Sub(told) > r.Cancel:
		return fmt.Errorf("orphaned: %s is called %s %v after a job before it was cancelled", id, state, now.Sub(told))
	case state == wire.JobCancelled && t.cancelledAt.IsZero():
		t.cancelledAt = now
	case state == wire.JobDone:
		if len(t.finished) != t.job.Tasks {
			return fmt.Errorf("not_done: %s is called done with %d of %d tasks", id, len(t.finished), t.job.Tasks)
		}
		t.done = true
	}
	return nil
}

// Check compares the tasks on all machines with the step before.
func (r *Rules) Check(now time.Time, workers []*Worker) error {
	on, err := r.tasksOn(now, workers)
	if err != nil {
		return err
	}
	used := map[string]float64{}
	zones := map[string]map[string]int{}
	byID := map[string]*Worker{}
	for _, w := range workers {
		byID[w.ID] = w
	}
	for task, machine := range on {
		id, _, _ := wire.SplitTask(task)
		t := r.jobs[id]
		used[t.job.Team] += t.job.CPUs
		if zones[id] == nil {
			zones[id] = map[string]int{}
		}
		zones[id][byID[machine].Offer.Zone]++
		if !t.cancelledAt.IsZero() && now.Sub(t.cancelledAt) > r.Cancel {
			return fmt.Errorf("ran_cancelled: %s on %s", task, machine)
		}
	}
	for _, team := range r.Teams {
		if team.CPUsMax > 0 && used[team.Name] > team.CPUsMax+1e-6 {
			return fmt.Errorf("quota: %s uses %v of %v", team.Name, used[team.Name], team.CPUsMax)
		}
	}
	for task, machine := range on {
		if r.on[task] == machine {
			continue
		}
		r.started++
		id, _, _ := wire.SplitTask(task)
		if err := r.checkStart(task, r.jobs[id].job, byID[machine], zones[id]); err != nil {
			return err
		}
	}
	r.on = on
	return nil
}

// tasksOn are the tasks that are on machines, by name, with the machine of each. It notes
// those that have completed.
func (r *Rules) tasksOn(now time.Time, workers []*Worker) (map[string]string, error) {
	on := map[string]string{}
	for _, w := range workers {
		if now.After(w.LeaseEnd) {
			// A hanging machine whose lease has run out kills all it holds
			// before it does anything else.
			continue
		}
		for _, t := range w.sorted() {
			if t.State == wire.TaskExited && t.Why == wire.ExitDone {
				r.noteCompleted(t.Name)
			}
			if !t.On() {
				continue
			}
			if other, twice := on[t.Name]; twice {
				return nil, fmt.Errorf("ran_twice: %s on %s and %s", t.Name, other, w.ID)
			}
			on[t.Name] = w.ID
		}
	}
	return on, nil
}

func (r *Rules) noteCompleted(task string) {
	id, _, _ := wire.SplitTask(task)
	t := r.jobs[id]
	t.finished[task] = true
	if len(t.finished) < t.job.Tasks || t.completed {
		return
	}
	t.completed = true
	if r.Ended != nil {
		r.Ended(id)
	}
}

// checkStart checks the place and the time of a start; zones counts the tasks of the job
// that are on machines, this one included.
func (r *Rules) checkStart(task string, j *wire.Job, w *Worker, zones map[string]int) error {
	switch {
	case w.Offer.Spot && !j.Spot, j.Zone != "" && j.Zone != w.Offer.Zone,
		len(j.Types) > 0 && !slices.Contains(j.Types, w.Offer.Type):
		return fmt.Errorf("wrong_place: %s on %s", task, w.ID)
	case !r.allFinished(j.DependsOn):
		return fmt.Errorf("too_early: %s on %s before %v are done", task, w.ID, j.DependsOn)
	case j.OneZone && len(zones) > 1:
		return fmt.Errorf("wrong_place: %s, a job for one zone, in %v", task, zones)
	case j.Spread && zones[w.Offer.Zone] > (j.Tasks+1)/2:
		return fmt.Errorf("wrong_place: %s, a job to be spread, in %v", task, zones)
	}
	return nil
}

// allFinished reports whether all tasks of the jobs have completed.
func (r *Rules) allFinished(ids []string) bool {
	for _, id := range ids {
		if t := r.jobs[id]; t == nil || len(t.finished) != t.job.Tasks {
			return false
		}
	}
	return true
}

// Accepted reports whether the users of all the jobs were told of their
// acceptance.
func (r *Rules) Accepted(ids []string) bool {
	for _, id := range ids {
		if t := r.jobs[id]; t == nil || !t.accepted {
			return false
		}
	}
	return true
}

// Unfinished lists accepted jobs that were neither cancelled nor completed.
func (r *Rules) Unfinished() []string {
	var out []string
	for id, t := range r.jobs {
		if t.accepted && !t.askedCancel && !t.done && t.cancelledAt.IsZero() {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Ordered checks the commands that a controller gives now: no start of a job whose
// user was told that it is cancelled.
func (r *Rules) Ordered(now time.Time, commands []wire.Command) error {
	for _, c := range commands {
		id, _, _ := wire.SplitTask(c.Task)
		if t := r.jobs[id]; c.Op == wire.OpStart && t != nil && !t.cancelledAt.IsZero() {
			return fmt.Errorf("started_cancelled: a start of %s is ordered %v after the confirmation", c.Task, now.Sub(t.cancelledAt))
		}
	}
	return nil
}

// Holders lists the machines that tasks of a job are on.
func (r *Rules) Holders(id string) []string {
	var out []string
	for task, machine := range r.on {
		if job, _, _ := wire.SplitTask(task); job == id && !slices.Contains(out, machine) {
			out = append(out, machine)
		}
	}
	slices.Sort(out)
	return out
}

// Holds reports whether a task is on a machine.
func (r *Rules) Holds(machine string) bool {
	for _, m := range r.on {
		if m == machine {
			return true
		}
	}
	return false
}

// Cancelled is the number of jobs whose users were told that they are cancelled.
func (r *Rules) Cancelled() int {
	n := 0
	for _, t := range r.jobs {
		if !t.cancelledAt.IsZero() {
			n++
		}
	}
	return n
}

// CancelRequested reports whether a job's user has asked for its cancellation.
func (r *Rules) CancelRequested(id string) bool { return r.jobs[id].askedCancel }

// TaskOver reports whether a task is not to run any more: it has completed, or its job was called
// off or is done.
func (r *Rules) TaskOver(task string) bool {
	id, _, _ := wire.SplitTask(task)
	t := r.jobs[id]
	return t == nil || t.askedCancel || t.done || t.finished[task]
}

// KnownDone reports whether a job's user was told that it is done.
func (r *Rules) KnownDone(id string) bool { return r.jobs[id].done }

// Started is the number of starts seen.
func (r *Rules) Started() int { return r.started }
