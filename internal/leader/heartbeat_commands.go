package leader

import (
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// commands are those of the response to a heartbeat: stops first, as the response renews the
// lease whether all fit or not, then forgets, then starts.
func (l *Leader) commands(m *machines.Machine, r *wire.Heartbeat, authority bool) []wire.Command {
	list := l.stopCommands(r)
	for _, a := range m.Attempts() {
		// The stops of tasks that are not to run anywhere are there already.
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

// appendStarts adds the starts that no task list has shown yet, unless a direct call with them
// is under way.
func appendStarts(list []wire.Command, m *machines.Machine, sequence uint64) []wire.Command {
	for _, a := range m.Attempts() {
		if !a.NeedsStart() || a.WasSentDirectly() && m.IsBeingCalled() || len(list) >= tuning.MaxCommandsPerResponse {
			continue
		}
		a.MarkSentInResponse(sequence)
		list = append(list, a.StartCommand())
	}
	return list
}

// stopCommands are the stops of all listed tasks that are not to run anywhere any more. Every
// response renews the lease, so every response carries them: leaders that ended
// one after the other, each having got one heartbeat of an agent in its term, would
// otherwise keep a cancelled task running for longer than a cancellation may take.
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
