package simtest

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/wire"
)

// Prefixes of the stored records of drains and of their charges.
const (
	drainRecords = "e/"
	drainCharges = "b/"
)

// DrainWatch checks that drains keep to the budgets, by what the workers have seen. A stop of a
// running task counts as an eviction if its machine is, or ever was, in a batch.
type DrainWatch struct {
	Budgets *drain.Budgets

	cordoned  map[string]bool // machines that were in a batch
	charged   map[uint64]bool // attempts in stored charges
	evictions []eviction
	out       map[string]evictedTask // by name, until they run again
}

// eviction is a running task that was stopped.
type eviction struct {
	at    time.Time
	team  string
	lostS float64
}

// evictedTask is a task that was stopped and does not run again yet.
type evictedTask struct {
	team    string
	attempt uint64
}

// NewDrainWatch returns a watch over the given budgets.
func NewDrainWatch(budgets *drain.Budgets) *DrainWatch {
	return &DrainWatch{Budgets: budgets, cordoned: map[string]bool{}, charged: map[uint64]bool{}, out: map[string]evictedTask{}}
}

// Evicted notes that a running task was stopped.
func (d *DrainWatch) Evicted(now time.Time, team, task string, attempt uint64, lostS float64) {
	d.evictions = append(d.evictions, eviction{now, team, lostS})
	d.out[task] = evictedTask{team, attempt}
}

// Check compares with the budgets what is out and what was stopped within the window; over
// reports whether a task is not to run any more.
func (d *DrainWatch) Check(now time.Time, workers []*Worker, over func(task string) bool) error {
	if len(d.out) > 0 {
		d.dropReturned(workers, over)
	}
	unavailable := map[string]int{}
	for _, t := range d.out {
		unavailable[t.team]++
	}
	used := map[string]drain.Use{}
	for _, e := range d.evictions {
		if now.Sub(e.at) < d.Budgets.Window {
			use := used[e.team]
			used[e.team] = drain.Use{Evictions: use.Evictions + 1, LostS: use.LostS + e.lostS}
		}
	}
	for team, use := range used {
		budget := d.Budgets.For(team)
		switch {
		case unavailable[team] > budget.MaxUnavailable:
			return fmt.Errorf("budget: %d tasks of %s are unavailable, allowed are %d", unavailable[team], team, budget.MaxUnavailable)
		case use.Evictions > budget.Evictions:
			return fmt.Errorf("budget: %d evictions of %s in a window, allowed are %d", use.Evictions, team, budget.Evictions)
		case use.LostS > budget.LostS:
			return fmt.Errorf("budget: %g s of %s lost in a window, allowed are %g", use.LostS, team, budget.LostS)
		}
	}
	return nil
}

// dropReturned takes the tasks that run again, or are not to run any more, out of the count.
func (d *DrainWatch) dropReturned(workers []*Worker, over func(task string) bool) {
	for task := range d.out {
		if over(task) {
			delete(d.out, task)
		}
	}
	for _, w := range workers {
		for _, t := range w.Tasks {
			if out, is := d.out[t.Name]; is && t.State == wire.TaskRunning && t.Attempt != out.attempt {
				delete(d.out, t.Name)
			}
		}
	}
}

// WatchDrains turns drains on at all nodes and checks the budgets after every step.
func (w *World) WatchDrains(budgets *drain.Budgets) {
	w.Operator.Drains = budgets
	w.drainWatch = NewDrainWatch(budgets)
}

// DrainsOff turns drains off at the first nodes.
func (w *World) DrainsOff(nodes int) {
	for _, n := range w.nodes[:nodes] {
		n.drainsOff = true
	}
}

// checkDrains checks the budgets from what the workers have seen.
func (w *World) checkDrains(workers []*Worker) error {
	if w.drainWatch == nil {
		return nil
	}
	return w.drainWatch.Check(w.now, workers, w.Rules.TaskOver)
}

// noteStop tells the watch of a running task that a worker stops now.
func (w *World) noteStop(m *worker, t *Task, saves bool) {
	id, _, _ := wire.SplitTask(t.Name)
	if w.drainWatch == nil || !w.drainWatch.cordoned[m.ID] || w.Rules.TaskOver(t.Name) {
		return
	}
	if m.Notice != nil && !w.drainWatch.charged[t.Attempt] {
		// The cloud is about to take the machine: its tasks save whatever is drained.
		return
	}
	lost := w.now.Sub(t.Began).Seconds()
	if saves {
		lost = 0
		w.Observed[DrainMove]++
	}
	w.Observed[DrainEviction]++
	w.drainWatch.Evicted(w.now, w.jobs[id].Team, t.Name, t.Attempt, lost)
	if w.OnEviction != nil {
		w.OnEviction()
	}
}

// noteCommit learns from what is stored which machines are cordoned, and which attempts are to be
// evicted.
func (w *World) noteCommit(txn wire.Txn) {
	for _, change := range txn.Then {
		name, isDrain := strings.CutPrefix(change.Put, drainRecords)
		if isDrain && w.drainWatch != nil {
			w.noteDrainRecord(name, change.Value)
		}
		if strings.HasPrefix(change.Put, drainCharges) {
			w.noteCharge(change.Value)
		}
	}
}

func (w *World) noteCharge(value []byte) {
	charge, err := drain.DecodeCharge(value)
	if err != nil {
		w.err = err
		return
	}
	for _, a := range charge.Attempts {
		w.drainWatch.charged[a.Number] = true
	}
	w.Observed[DrainCharge]++
	if w.OnCharge != nil {
		w.OnCharge()
	}
}

func (w *World) noteDrainRecord(name string, value []byte) {
	r, err := drain.DecodeRecord(name, value)
	if err != nil {
		w.err = err
		return
	}
	if r.State == drain.Paused {
		w.Observed[DrainPaused]++
	}
	if r.Batch == nil || !r.Batch.Cordoned {
		return
	}
	for _, machine := range r.Batch.Machines {
		w.drainWatch.cordoned[machine] = true
	}
}

// DrainRecord is the stored record of a drain, nil if there is none.
func (w *World) DrainRecord(name string) *drain.Record {
	item, err := w.State.Get(drainRecords + name)
	if err != nil {
		return nil
	}
	r, err := drain.DecodeRecord(name, item.Value)
	if err != nil {
		return nil
	}
	return r
}

// MachinesInZone is the number of machines that the cloud has in a zone.
func (w *World) MachinesInZone(zone string) int {
	n := 0
	for _, row := range w.Cloud.rows {
		if row.Zone == zone {
			n++
		}
	}
	return n
}

// RequestDrain lets an operator send a request, again and again until it is answered.
func (w *World) RequestDrain(after time.Duration, q *drain.Request, done func(drain.Response)) {
	w.after(after, func() { w.tryDrainRequest(q, done) })
}

func (w *World) tryDrainRequest(q *drain.Request, done func(drain.Response)) {
	answered := false
	finish := func(r drain.Response) {
		if answered {
			return
		}
		answered = true
		if r.Status == http.StatusServiceUnavailable || r.Status == http.StatusForbidden || w.chance(0.2) {
			// No leader that knows of drains; or the answer is lost on its way to the operator.
			w.RequestDrain(w.between(500, 3000), q, done)
			return
		}
		if done != nil {
			done(r)
		}
	}
	w.after(5*time.Second, func() { finish(drain.Response{Status: http.StatusServiceUnavailable}) })
	n := w.leaderFor(w.anyNode())
	if n == nil || n.previousVersion {
		return
	}
	w.onNode(n, w.between(1, 30), func() {
		if n.controller != nil {
			n.controller.DrainRequest(w.clock(n), w.now, q, func(r drain.Response) {
				w.trace(edgeOperatorAnswer, n, q, r.Status, r.Why, r.Drains)
				finish(r)
			})
		}
	})
}
