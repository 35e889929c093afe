package node

// logSummary logs the main figures of the leader's state for operators, and those of admission
// control while it sheds load.
func (t *term) logSummary() {
	t.node.mu.Lock()
	counts := t.state.Summary()
	shares, on := t.state.AdmissionSummary()
	t.node.mu.Unlock()
	if on && shares.Shedding {
		event := t.node.log.Info().Float64("pressure", shares.Pressure).Float64("budget", shares.Budget).Float64("offered", shares.OfferedRate)
		for _, s := range shares.ReducedShares {
			event = event.Float64(s.Team+"/"+s.Class, s.Admit)
		}
		event.Msg("admission control is shedding load")
	}
	t.node.log.Debug().Int("jobs", counts.Jobs).Int("ready", counts.ReadyTasks).Int("allocated", counts.AllocatedTasks).
		Int("machines", counts.Machines).Int("up", counts.UpMachines).Int("spot", counts.SpotMachines).
		Float64("cpus", counts.CPUs).Float64("used", counts.UsedCPUs).Float64("wanted", counts.WantedCPUs).
		Int("writes", counts.PendingWrites).Int("dependency_steps", counts.QueuedDependencyUpdates).Int("scored_pairs", counts.ScoredPairs).Msg("leader state summary")
}
