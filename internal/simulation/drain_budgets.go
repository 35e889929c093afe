package simulation

import (
	"time"

	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/wire"
)

// DrainBudgetChecker checks that drains stay within the disruption budgets, from the tasks that the
// agents execute. The stop of a running task counts as an eviction if it was charged, or if its machine
// is, or ever was, in a cordoned batch of a drain. Machines of a cancelled drain are used as any others,
// so uncharged stops there count for another stopDelay only, in which a stop may be on its way.
type DrainBudgetChecker struct {
	Budgets *drain.Budgets

	cordonedBy  map[string]string    // drains by the machines that are or were in their cordoned batches
	cancelledAt map[string]time.Time // cancelled drains, and when that was stored
	charged     map[uint64]bool      // attempts in stored charges
	evictions   []eviction
	unavailable map[string]evictedTask // evicted tasks by name, until they run again
}

// eviction is a running task that was stopped.
type eviction struct {
	at    time.Time
	team  string
	lostS float64
}

// evictedTask is an evicted task that has not run since.
type evictedTask struct {
	team    string
	attempt uint64
}

// NewDrainBudgetChecker returns a checker of the given budgets.
func NewDrainBudgetChecker(budgets *drain.Budgets) *DrainBudgetChecker {
	return &DrainBudgetChecker{
		Budgets: budgets, cordonedBy: map[string]string{}, cancelledAt: map[string]time.Time{}, charged: map[uint64]bool{}, unavailable: map[string]evictedTask{},
	}
}

// stopDelay is the maximum time from the decision of a stop to its execution: a lease.
const stopDelay = 15 * time.Second

// IsEviction reports whether the stop of a running attempt on a machine counts as an eviction.
func (c *DrainBudgetChecker) IsEviction(now time.Time, machine string, attempt uint64) bool {
	if c.charged[attempt] {
		return true
	}
	drainName, cordoned := c.cordonedBy[machine]
	cancelledAt, cancelled := c.cancelledAt[drainName]
	return cordoned && (!cancelled || now.Sub(cancelledAt) <= stopDelay)
}

// RecordEviction records that a drain stopped a running task.
func (c *DrainBudgetChecker) RecordEviction(now time.Time, team, task string, attempt uint64, lostS float64) {
	c.evictions = append(c.evictions, eviction{now, team, lostS})
	c.unavailable[task] = evictedTask{team, attempt}
}

// Check returns a violation if the evictions within the window, or the tasks that are unavailable
// now, exceed a team's budget; ended reports whether a task must not run any more.
func (c *DrainBudgetChecker) Check(now time.Time, agents []*Agent, ended func(task string) bool) error {
	if len(c.unavailable) > 0 {
		c.removeAvailable(agents, ended)
	}
	unavailable := map[string]int{}
	for _, t := range c.unavailable {
		unavailable[t.team]++
	}
	for team, usage := range c.usageInWindow(now) {
		budget := c.Budgets.For(team)
		switch {
		case unavailable[team] > budget.MaxUnavailable:
			return violated(WithinDrainBudget, "%d tasks of %s are unavailable, the budget allows %d", unavailable[team], team, budget.MaxUnavailable)
		case usage.Evictions > budget.MaxEvictions:
			return violated(WithinDrainBudget, "%d evictions of %s in a window, the budget allows %d", usage.Evictions, team, budget.MaxEvictions)
		case usage.LostRunTimeS > budget.MaxLostRunTimeS:
			return violated(WithinDrainBudget, "%g s of %s lost in a window, the budget allows %g", usage.LostRunTimeS, team, budget.MaxLostRunTimeS)
		}
	}
	return nil
}

// usageInWindow returns the sums of the evictions within the window, by team.
func (c *DrainBudgetChecker) usageInWindow(now time.Time) map[string]drain.Usage {
	usages := map[string]drain.Usage{}
	for _, e := range c.evictions {
		if now.Sub(e.at) < c.Budgets.Window {
			usage := usages[e.team]
			usages[e.team] = drain.Usage{Evictions: usage.Evictions + 1, LostRunTimeS: usage.LostRunTimeS + e.lostS}
		}
	}
	return usages
}

// removeAvailable removes the tasks that run again, or must not run any more, from the unavailable
// ones.
func (c *DrainBudgetChecker) removeAvailable(agents []*Agent, ended func(task string) bool) {
	for task := range c.unavailable {
		if ended(task) {
			delete(c.unavailable, task)
		}
	}
	for _, a := range agents {
		for _, t := range a.Tasks {
			evicted, found := c.unavailable[t.Name]
			if found && t.State == wire.TaskRunning && t.Attempt != evicted.attempt {
				delete(c.unavailable, t.Name)
			}
		}
	}
}
