package simulation

import (
	"strings"

	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/wire"
)

// Key prefixes of the stored records of drains and of their charges.
const (
	drainRecordPrefix = "e/"
	drainChargePrefix = "b/"
)

// drainMonitor observes drains through the stored records and the tasks that the agents stop.
type drainMonitor struct {
	sim     *Simulation
	budgets *DrainBudgetChecker // nil if drains are disabled
	// OnCharge, OnEviction and OnRelease, if set, are called when a charge is stored, when an agent
	// stops a task of a drained machine, and when the cloud has released machines.
	OnCharge, OnEviction, OnRelease func()
}

// EnableDrains enables drains at all nodes, and the check of the budgets after every event.
func (m *drainMonitor) EnableDrains(budgets *drain.Budgets) {
	m.sim.Operator.Drains = budgets
	m.budgets = NewDrainBudgetChecker(budgets)
}

// DisableDrains disables drains at the given number of nodes.
func (m *drainMonitor) DisableDrains(nodes int) {
	for _, n := range m.sim.nodes[:nodes] {
		n.drainsDisabled = true
	}
}

// checkDrains checks the disruption budgets, if drains are enabled.
func (m *drainMonitor) checkDrains(agents []*Agent) error {
	if m.budgets == nil {
		return nil
	}
	return m.budgets.Check(m.sim.now, agents, m.sim.Invariants.IsTaskEnded)
}

// recordStop records that an agent is about to stop a running task, which is an eviction if a drain
// has cordoned the machine.
func (m *drainMonitor) recordStop(a *agentProcess, task *Task, saves bool) {
	sim := m.sim
	if m.budgets == nil || !m.budgets.IsEviction(sim.now, a.ID, task.Attempt) || sim.Invariants.IsTaskEnded(task.Name) {
		return
	}
	if !m.budgets.charged[task.Attempt] && (a.ReclaimNotice != nil || m.leaderHasDrainsDisabled()) {
		// The cloud is about to reclaim the machine, so its tasks save their progress whether or
		// not it is drained. Or the leader runs no drains, and uses the machine like any other.
		return
	}
	lostS := sim.now.Sub(task.StartedAt).Seconds()
	if saves {
		lostS = 0
		sim.Observed[DrainCheckpoint]++
	}
	sim.Observed[DrainEviction]++
	id, _, _ := wire.SplitTask(task.Name)
	m.budgets.RecordEviction(sim.now, sim.clients.jobs[id].Team, task.Name, task.Attempt, lostS)
	if m.OnEviction != nil {
		m.OnEviction()
	}
}

// leaderHasDrainsDisabled reports whether a leader runs no drains.
func (m *drainMonitor) leaderHasDrainsDisabled() bool {
	disabled := false
	m.sim.forEachLeader(func(n *node) { disabled = disabled || n.drainsDisabled })
	return disabled
}

// recordTransaction records the machines that a transaction cordons and the attempts that it
// charges.
func (m *drainMonitor) recordTransaction(txn wire.Txn) {
	for _, change := range txn.Then {
		name, isDrain := strings.CutPrefix(change.Put, drainRecordPrefix)
		if isDrain && m.budgets != nil {
			m.recordDrain(name, change.Value)
		}
		if strings.HasPrefix(change.Put, drainChargePrefix) {
			m.recordCharge(change.Value)
		}
	}
}

func (m *drainMonitor) recordCharge(value []byte) {
	charge, err := drain.DecodeCharge(value)
	if err != nil {
		m.sim.fail(err)
		return
	}
	for _, attempt := range charge.Attempts {
		m.budgets.charged[attempt.Number] = true
	}
	m.sim.Observed[DrainCharge]++
	if m.OnCharge != nil {
		m.OnCharge()
	}
}

func (m *drainMonitor) recordDrain(name string, value []byte) {
	record, err := drain.DecodeRecord(name, value)
	if err != nil {
		m.sim.fail(err)
		return
	}
	switch _, known := m.budgets.cancelledAt[name]; {
	case record.State == drain.Paused:
		m.sim.Observed[DrainPaused]++
	case record.State == drain.Cancelled && !known:
		m.budgets.cancelledAt[name] = m.sim.now
	case record.State != drain.Cancelled:
		delete(m.budgets.cancelledAt, name) // a later drain may have the name
	}
	if record.Batch == nil || !record.Batch.Cordoned {
		return
	}
	for _, machine := range record.Batch.Machines {
		m.budgets.cordonedBy[machine] = name
	}
}

// DrainRecord returns the stored record of a drain, or nil if there is none.
func (m *drainMonitor) DrainRecord(name string) *drain.Record {
	item, err := m.sim.Store.Get(drainRecordPrefix + name)
	if err != nil {
		return nil
	}
	record, err := drain.DecodeRecord(name, item.Value)
	if err != nil {
		return nil
	}
	return record
}
