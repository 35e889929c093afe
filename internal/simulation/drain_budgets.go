package simulation

import (
	"fmt"
	"time"

	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/wire"
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
	used := map[string]drain.Usage{}
	for _, e := range c.evictions {
		if now.Sub(e.at) < c.Budgets.Window {
			use := used[e.team]
			used[e.team] = drain.Usage{Evictions: use.Evictions + 1, LostS: use.LostS + e.lostS}
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
