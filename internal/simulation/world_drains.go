package simulation

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

// DrainBudgetChecker checks that drains keep to the budgets, by what the workers have seen. A stop of a
// running task counts as an eviction if its machine is, or ever was, in a batch.
type DrainBudgetChecker struct {
	Budgets *drain.Budgets

	cordoned    map[string]bool // machines that were in a batch
	charged     map[uint64]bool // attempts in stored charges
	evictions   []eviction
	unavailable map[string]evictedTask // by name, until they run again
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

// NewDrainBudgetChecker returns a watch over the given budgets.
func NewDrainBudgetChecker(budgets *drain.Budgets) *DrainBudgetChecker {
	return &DrainBudgetChecker{Budgets: budgets, cordoned: map[string]bool{}, charged: map[uint64]bool{}, unavailable: map[string]evictedTask{}}
}

// Evicted notes that a running task was stopped.
func (c *DrainBudgetChecker) Evicted(now time.Time, team, task string, attempt uint64, lostS float64) {
	c.evictions = append(c.evictions, eviction{now, team, lostS})
	c.unavailable[task] = evictedTask{team, attempt}
}

// Check compares with the budgets what is out and what was stopped within the window; over
// reports whether a task is not to run any more.
func (c *DrainBudgetChecker) Check(now time.Time, workers []*Agent, over func(task string) bool) error {
	if len(c.unavailable) > 0 {
		c.removeResumed(workers, over)
	}
	unavailable := map[string]int{}
	for _, t := range c.unavailable {
		unavailable[t.team]++
	}
	used := map[string]drain.Use{}
	for _, e := range c.evictions {
		if now.Sub(e.at) < c.Budgets.Window {
			use := used[e.team]
			used[e.team] = drain.Use{Evictions: use.Evictions + 1, LostS: use.LostS + e.lostS}
		}
	}
	for team, use := range used {
		budget := c.Budgets.For(team)
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

// removeResumed takes the tasks that run again, or are not to run any more, out of the count.
func (c *DrainBudgetChecker) removeResumed(workers []*Agent, over func(task string) bool) {
	for task := range c.unavailable {
		if over(task) {
			delete(c.unavailable, task)
		}
	}
	for _, w := range workers {
		for _, t := range w.Tasks {
			if out, is := c.unavailable[t.Name]; is && t.State == wire.TaskRunning && t.Attempt != out.attempt {
				delete(c.unavailable, t.Name)
			}
		}
	}
}

// EnableDrains turns drains on at all nodes and checks the budgets after every step.
func (sim *Simulation) EnableDrains(budgets *drain.Budgets) {
	sim.Operator.Drains = budgets
	sim.drainChecker = NewDrainBudgetChecker(budgets)
}

// DrainsOff turns drains off at the first nodes.
func (sim *Simulation) DrainsOff(nodes int) {
	for _, n := range sim.nodes[:nodes] {
		n.drainsOff = true
	}
}

// checkDrains checks the budgets from what the workers have seen.
func (sim *Simulation) checkDrains(workers []*Agent) error {
	if sim.drainChecker == nil {
		return nil
	}
	return sim.drainChecker.Check(sim.now, workers, sim.Invariants.TaskSettled)
}

// taskStopped tells the watch of a running task that a worker stops now.
func (sim *Simulation) taskStopped(m *agentProcess, t *Task, saves bool) {
	id, _, _ := wire.SplitTask(t.Name)
	if sim.drainChecker == nil || !sim.drainChecker.cordoned[m.ID] || sim.Invariants.TaskSettled(t.Name) {
		return
	}
	if m.ReclaimNotice != nil && !sim.drainChecker.charged[t.Attempt] {
		// The cloud is about to take the machine: its tasks save whatever is drained.
		return
	}
	lost := sim.now.Sub(t.StartedAt).Seconds()
	if saves {
		lost = 0
		sim.Observed[DrainCheckpoint]++
	}
	sim.Observed[DrainEviction]++
	sim.drainChecker.Evicted(sim.now, sim.uploadedJobs[id].Team, t.Name, t.Attempt, lost)
	if sim.OnEviction != nil {
		sim.OnEviction()
	}
}

// transactionCommitted learns from what is stored which machines are cordoned, and which attempts are to be
// evicted.
func (sim *Simulation) transactionCommitted(txn wire.Txn) {
	for _, change := range txn.Then {
		name, isDrain := strings.CutPrefix(change.Put, drainRecords)
		if isDrain && sim.drainChecker != nil {
			sim.drainRecordStored(name, change.Value)
		}
		if strings.HasPrefix(change.Put, drainCharges) {
			sim.chargeStored(change.Value)
		}
	}
}

func (sim *Simulation) chargeStored(value []byte) {
	charge, err := drain.DecodeCharge(value)
	if err != nil {
		sim.failure = err
		return
	}
	for _, a := range charge.Attempts {
		sim.drainChecker.charged[a.Number] = true
	}
	sim.Observed[DrainCharge]++
	if sim.OnCharge != nil {
		sim.OnCharge()
	}
}

func (sim *Simulation) drainRecordStored(name string, value []byte) {
	r, err := drain.DecodeRecord(name, value)
	if err != nil {
		sim.failure = err
		return
	}
	if r.State == drain.Paused {
		sim.Observed[DrainPaused]++
	}
	if r.Batch == nil || !r.Batch.Cordoned {
		return
	}
	for _, machine := range r.Batch.Machines {
		sim.drainChecker.cordoned[machine] = true
	}
}

// DrainRecord is the stored record of a drain, nil if there is none.
func (sim *Simulation) DrainRecord(name string) *drain.Record {
	item, err := sim.Store.Get(drainRecords + name)
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
func (sim *Simulation) MachinesInZone(zone string) int {
	n := 0
	for _, row := range sim.Cloud.machines {
		if row.Zone == zone {
			n++
		}
	}
	return n
}

// RequestDrain lets an operator send a request, again and again until it is answered.
func (sim *Simulation) RequestDrain(after time.Duration, q *drain.Request, done func(drain.Response)) {
	sim.after(after, func() { sim.tryDrainRequest(q, done) })
}

func (sim *Simulation) tryDrainRequest(q *drain.Request, done func(drain.Response)) {
	answered := false
	finish := func(r drain.Response) {
		if answered {
			return
		}
		answered = true
		if r.Status == http.StatusServiceUnavailable || r.Status == http.StatusForbidden || sim.chance(0.2) {
			// No leader that knows of drains; or the answer is lost on its way to the operator.
			sim.RequestDrain(sim.between(500, 3000), q, done)
			return
		}
		if done != nil {
			done(r)
		}
	}
	sim.after(5*time.Second, func() { finish(drain.Response{Status: http.StatusServiceUnavailable}) })
	n := sim.leaderFor(sim.anyNode())
	if n == nil || n.previousVersion {
		return
	}
	sim.onNode(n, sim.between(1, 30), func() {
		if n.leader != nil {
			n.leader.DrainRequest(sim.clock(n), sim.now, q, func(r drain.Response) {
				sim.trace(boundaryOperatorResponse, n, q, r.Status, r.Reason, r.Drains)
				finish(r)
			})
		}
	})
}
