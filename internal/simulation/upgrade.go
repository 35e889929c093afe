package simulation

import "time"

// upgradeDownTime is the time for which a node is down during its upgrade.
const upgradeDownTime = 4 * time.Second

// RollingUpgrade starts every node with the previous version and restarts the nodes one after the
// other with the present version, beginning at from. It returns a time by which all nodes run
// again.
func (sim *Simulation) RollingUpgrade(from, interval time.Duration) time.Duration {
	for i, n := range sim.nodes {
		n.previousVersion = true
		sim.after(from+time.Duration(i)*interval, func() {
			n.previousVersion = false
			n.crash(upgradeDownTime)
		})
	}
	return from + time.Duration(len(sim.nodes))*interval + upgradeDownTime
}

// finishUpgrade restarts all nodes that still run the previous version, or have drains disabled, with the
// present version and drains enabled. Otherwise such a node could lead until the end of the run.
func (sim *Simulation) finishUpgrade() {
	for _, n := range sim.nodes {
		if n.previousVersion || n.drainsDisabled {
			n.previousVersion, n.drainsDisabled = false, false
			n.crash(time.Second)
		}
	}
}
