package node

// logSummary logs the main figures of the leader's state for operators. While admission control
// sheds load, it also logs the figures of admission control.
func (t *term) logSummary() {
	t.node.mu.Lock()
	summary := t.state.Summary()
	admission, enabled := t.state.AdmissionSummary()
	t.node.mu.Unlock()
	if enabled && admission.Shedding {
		event := t.node.log.Info().Float64("pressure", admission.Pressure).Float64("budget", admission.Budget).Float64("offered", admission.OfferedRate)
		for _, s := range admission.ReducedShares {
			event = event.Float64(s.Team+"/"+s.Class, s.AdmitRatio)
		}
		event.Msg("admission control is shedding load")
	}
	t.node.log.Debug().Int("jobs", summary.Jobs).Int("ready_tasks", summary.ReadyTasks).Int("allocated_tasks", summary.AllocatedTasks).
		Int("machines", summary.Machines).Int("up_machines", summary.UpMachines).Int("spot_machines", summary.SpotMachines).
		Float64("cpus", summary.CPUs).Float64("used_cpus", summary.UsedCPUs).Float64("wanted_cpus", summary.WantedCPUs).
		Int("pending_writes", summary.PendingWrites).Int("dependency_updates", summary.QueuedDependencyUpdates).Int("scored_pairs", summary.ScoredPairs).Msg("leader state summary")
}
