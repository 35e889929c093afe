package leader

import (
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// heartbeatCommands returns the commands of the response to a heartbeat: first stops, then commands
// to forget exited tasks, then starts. Stops come first because the number of commands is limited,
// and the response renews the lease even if some commands are left out.
func (l *Leader) heartbeatCommands(m *machines.Machine, h *wire.Heartbeat, authority bool) []wire.Command {
	commands := l.stopCommands(h)
	for _, a := range m.Attempts() {
		// stopCommands has already added the stops of tasks that their jobs no longer need.
		if a.NeedsStop() && len(commands) < tuning.MaxCommandsPerResponse {
			commands = append(commands, a.StopCommand())
		}
	}
	for _, e := range m.Exited() {
		if e.Forget && len(commands) < tuning.MaxCommandsPerResponse {
			commands = append(commands, wire.Command{Op: wire.OpForget, Task: e.Task, Attempt: e.Attempt})
		}
	}
	if authority && !m.IsBeingReleased() {
		commands = appendStarts(commands, m, h.Sequence)
	}
	return commands
}

// appendStarts appends the starts of attempts that no task list has contained yet, except for
// starts in a direct call that is in flight. sequence is the sequence number of the heartbeat.
func appendStarts(commands []wire.Command, m *machines.Machine, sequence uint64) []wire.Command {
	for _, a := range m.Attempts() {
		if !a.NeedsStart() || a.StartSentDirectly() && m.IsBeingCalled() || len(commands) >= tuning.MaxCommandsPerResponse {
			continue
		}
		a.MarkStartSentInResponse(sequence)
		commands = append(commands, a.StartCommand())
	}
	return commands
}

// stopCommands returns stops for all listed tasks that their jobs no longer need. Every response
// contains these stops, because every response renews the lease. Otherwise several leaders in a
// row, each of which receives one heartbeat of an agent in its term, could keep a cancelled task
// running beyond the deadline for cancellations.
func (l *Leader) stopCommands(h *wire.Heartbeat) []wire.Command {
	stops := []wire.Command{}
	noGracePeriod := 0.0
	for i := range h.Tasks {
		t := &h.Tasks[i]
		id, index, ok := wire.SplitTask(t.Task)
		if j := l.jobs.Get(id); t.State != wire.TaskExited && (!ok || j == nil || !j.NeedsTask(index)) && len(stops) < tuning.MaxCommandsPerResponse {
			stops = append(stops, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GracePeriodS: &noGracePeriod})
		}
	}
	return stops
}
