package standin

import (
	"fmt"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/sched"
	"switchshore.example/switchshore/wire"
)

// Rules checks the protocol's rules after every step.
type Rules struct {
	Teams  []config.Team
	Cancel time.Duration

	jobs    map[string]*jobTruth
	on      map[string]string // task -> machine, while it is on it
	started int
	// Ended, if set, is told of every job whose last task has just completed.
	Ended func(id string)
	// waitsFrom is since when jobs wait although they could start, lookedAt when
	// that was looked at last.
	waitsFrom map[string]waitingSince
	lookedAt  time.Time
}

type jobTruth struct {
	job         *wire.Job
	accepted    bool
	askedCancel bool
	cancelledAt time.Time // when its user was told
	done        bool      // its user was told
	finished    map[string]bool
	over        bool // all tasks have completed
	toldAt      time.Time
	answeredAt  time.Time // when a question about it was last answered
}

// cancelledBy reports whether the user's cancellation of a job before this one,
// through any number of steps, was asked for, and since when its user has been
// told of one, zero if of none.
func (r *Rules) cancelledBy(t *jobTruth) (asked bool, told time.Time) {
	for _, id := range t.job.Needs {
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
// all troubles are over.
const unanswered = 75 * time.Second

// Forgotten finds an accepted job about which no question has been answered
// for long, however others fare; settled is when all troubles were over.
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
	return &Rules{Teams: teams, Cancel: cancel, jobs: map[string]*jobTruth{}, on: map[string]string{}, waitsFrom: map[string]waitingSince{}}
}

// Submitted notes that a user submits a job.
func (r *Rules) Submitted(j *wire.Job) {
	if r.jobs[j.ID] == nil {
		r.jobs[j.ID] = &jobTruth{job: j, finished: map[string]bool{}}
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
	on := map[string]string{}
	for _, w := range workers {
		if now.After(w.LeaseEnd) {
			// A hanging machine whose lease has run out kills all it holds
			// before it does anything else.
			continue
		}
		for _, t := range w.sorted() {
			if t.State == wire.TaskExited && t.Why == wire.WhyDone {
				id, _, _ := wire.SplitTask(t.Name)
				truth := r.jobs[id]
				if truth.finished[t.Name] = true; len(truth.finished) == truth.job.Tasks && !truth.over {
					truth.over = true
					if r.Ended != nil {
						r.Ended(id)
					}
				}
			}
			if !t.On() {
				continue
			}
			if other, twice := on[t.Name]; twice {
				return fmt.Errorf("ran_twice: %s on %s and %s", t.Name, other, w.ID)
			}
			on[t.Name] = w.ID
		}
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
		j, w := r.jobs[id].job, byID[machine]
		count := zones[id]
		switch {
		case w.Offer.Spot && !j.Spot, j.Zone != "" && j.Zone != w.Offer.Zone,
			len(j.Types) > 0 && !slices.Contains(j.Types, w.Offer.Type):
			return fmt.Errorf("wrong_place: %s on %s", task, machine)
		case !r.over(j.Needs):
			return fmt.Errorf("too_early: %s on %s before %v are done", task, machine, j.Needs)
		case j.OneZone && len(count) > 1:
			return fmt.Errorf("wrong_place: %s, a job for one zone, in %v", task, count)
		case j.Spread && count[w.Offer.Zone] > (j.Tasks+1)/2:
			return fmt.Errorf("wrong_place: %s, a job to be spread, in %v", task, count)
		}
	}
	r.on = on
	return nil
}

// over reports whether all tasks of the jobs have completed.
func (r *Rules) over(ids []string) bool {
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

// longestWait is for how long a job may wait while it could start, once all
// troubles are over.
const longestWait = 90 * time.Second

// LeftWaiting finds a job of which a task has waited for long, without the start of any
// other of the job, while a machine that fits had room and its team was under its limit.
// It is to be asked only once all troubles are over, and looks once a second.
func (r *Rules) LeftWaiting(now time.Time, workers []*Worker) error {
	if now.Sub(r.lookedAt) < time.Second {
		return nil
	}
	r.lookedAt = now
	o := r.occupancy(workers)
	for id, t := range r.jobs {
		if !r.waits(t, o.listed[id]) || !r.underLimit(t.job, o.used) || !slices.ContainsFunc(workers, func(w *Worker) bool { return o.admits(now, w, t.job) }) {
			delete(r.waitsFrom, id)
			continue
		}
		started := len(o.listed[id])
		since, ok := r.waitsFrom[id]
		if !ok || started > since.listed {
			r.waitsFrom[id] = waitingSince{now, started}
			continue
		}
		r.waitsFrom[id] = waitingSince{since.at, started}
		if waited := now.Sub(since.at); waited > longestWait {
			return fmt.Errorf("left_waiting: %s for %v, though a machine has room", id, waited)
		}
	}
	return nil
}

// waitingSince is since when a job has waited, and how many of its tasks were on
// machines when that was looked at last.
type waitingSince struct {
	at     time.Time
	listed int
}

// waits reports whether a task of a job is to be started: one that has neither completed
// nor is listed by a machine. What completed on a machine that was lost may have to run
// again, so as long as nothing is listed, what its user was told counts.
func (r *Rules) waits(t *jobTruth, listed map[string]bool) bool {
	if !t.accepted || t.askedCancel || t.done || !r.toldDone(t.job.Needs) {
		return false
	}
	if len(listed) == 0 {
		return true
	}
	there := len(t.finished)
	for task := range listed {
		if !t.finished[task] {
			there++
		}
	}
	return there < t.job.Tasks
}

// occupancy is what machines list that has not exited, tasks that fetch their image
// included.
type occupancy struct {
	listed map[string]map[string]bool // tasks, by job
	zones  map[string]map[string]int  // number of tasks, by job and zone
	used   map[string]float64         // CPUs, by team
	free   map[*Worker]sched.Resources
}

func (r *Rules) occupancy(workers []*Worker) occupancy {
	o := occupancy{map[string]map[string]bool{}, map[string]map[string]int{}, map[string]float64{}, map[*Worker]sched.Resources{}}
	for _, w := range workers {
		room := sched.Resources{CPUs: w.Type.CPUs, GPUs: w.Type.GPUs, MemoryGB: w.Type.MemoryGB}
		for _, t := range w.Tasks {
			if t.State == wire.TaskExited {
				continue
			}
			id, _, _ := wire.SplitTask(t.Name)
			j := r.jobs[id].job
			if o.listed[id] == nil {
				o.listed[id], o.zones[id] = map[string]bool{}, map[string]int{}
			}
			o.listed[id][t.Name] = true
			o.zones[id][w.Offer.Zone]++
			o.used[j.Team] += j.CPUs
			room = room.Add(taskNeed(j), -1)
		}
		o.free[w] = room
	}
	return o
}

func taskNeed(j *wire.Job) sched.Resources {
	return sched.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB}
}

// admits reports whether one more task of a job could start on a machine now.
func (o occupancy) admits(now time.Time, w *Worker, j *wire.Job) bool {
	zone, zones := w.Offer.Zone, o.zones[j.ID]
	switch {
	case w.Faulty, w.Notice != nil, now.After(w.LeaseEnd):
		return false
	case w.Offer.Spot && !j.Spot, j.Zone != "" && j.Zone != zone:
		return false
	case len(j.Types) > 0 && !slices.Contains(j.Types, w.Offer.Type):
		return false
	case j.OneZone && len(zones) > 0 && zones[zone] == 0:
		return false
	case j.Spread && zones[zone] >= (j.Tasks+1)/2:
		return false
	}
	return o.free[w].Fits(taskNeed(j))
}

// toldDone reports whether the users of all the jobs were told that they are done.
func (r *Rules) toldDone(ids []string) bool {
	return !slices.ContainsFunc(ids, func(id string) bool { return !r.KnownDone(id) })
}

// underLimit reports whether one more task of a job fits into its team's limit.
func (r *Rules) underLimit(j *wire.Job, used map[string]float64) bool {
	return slices.ContainsFunc(r.Teams, func(t config.Team) bool {
		return t.Name == j.Team && (t.CPUsMax == 0 || used[t.Name]+j.CPUs <= t.CPUsMax)
	})
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

// CalledOff reports whether a job's user has asked for its cancellation.
func (r *Rules) CalledOff(id string) bool { return r.jobs[id].askedCancel }

// KnownDone reports whether a job's user was told that it is done.
func (r *Rules) KnownDone(id string) bool { return r.jobs[id].done }

// Started is the number of starts seen.
func (r *Rules) Started() int { return r.started }
