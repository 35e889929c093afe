package leader

import (
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// heartbeatCommands returns the commands of the response to a heartbeat: stops first, because
// the response renews the lease even if not all commands fit, then forgets, then starts.
func (l *Leader) heartbeatCommands(m *machines.Machine, r *wire.Heartbeat, authority bool) []wire.Command {
	list := l.stopCommands(r)
	for _, a := range m.Attempts() {
		// stopCommands has already added the stops of tasks that are no longer needed.
		if a.NeedsStop() && len(list) < tuning.MaxCommandsPerResponse {
			list = append(list, a.StopCommand())
		}
	}
	for _, e := range m.Exited() {
		if e.Forget && len(list) < tuning.MaxCommandsPerResponse {
			list = append(list, wire.Command{Op: wire.OpForget, Task: e.Task, Attempt: e.Attempt})
		}
	}
	if authority && !m.IsReleasing() {
		list = appendStarts(list, m, r.Sequence)
	}
	return list
}

// appendStarts appends the starts that no task list has confirmed yet, unless a direct call that
// carries them is in flight.
func appendStarts(list []wire.Command, m *machines.Machine, sequence uint64) []wire.Command {
	for _, a := range m.Attempts() {
		if !a.NeedsStart() || a.StartSentDirectly() && m.IsBeingCalled() || len(list) >= tuning.MaxCommandsPerResponse {
			continue
		}
		a.MarkStartSentInResponse(sequence)
		list = append(list, a.StartCommand())
	}
	return list
}

// stopCommands returns stops for all listed tasks that are no longer needed. Every response
// renews the lease, so every response carries them. Otherwise successive leaders that each
// receive one heartbeat of an agent in their term could keep a cancelled task running beyond the
// deadline for cancellations.
func (l *Leader) stopCommands(r *wire.Heartbeat) []wire.Command {
	stops := []wire.Command{}
	zero := 0.0
	for i := range r.Tasks {
		t := &r.Tasks[i]
		id, index, ok := wire.SplitTask(t.Task)
		if j := l.jobs.Get(id); t.State != wire.TaskExited && (!ok || j == nil || !j.NeedsTask(index)) && len(stops) < tuning.MaxCommandsPerResponse {
			stops = append(stops, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GracePeriodS: &zero})
		}
	}
	return stops
}
