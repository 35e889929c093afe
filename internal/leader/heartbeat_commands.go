package leader

import (
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// heartbeatCommands returns the commands of the response to a heartbeat: first stops, then commands
// to forget exited tasks, then starts. The number of commands is limited. Stops come first because
// the response renews the lease, so a task whose stop is left out would continue to run.
func (l *Leader) heartbeatCommands(m *machines.Machine, h *wire.Heartbeat, holdsLeaderLease bool) []wire.Command {
	commands := l.stopCommands(h)
	for _, a := range m.Attempts() {
		// stopCommands has already added the stops of tasks that their jobs no longer need.
		if a.NeedsStop() && len(commands) < tuning.MaxCommandsPerMessage {
			commands = append(commands, a.StopCommand())
		}
	}
	commands = l.appendForgets(commands, m)
	if holdsLeaderLease && !m.IsBeingReleased() {
		commands = appendStarts(commands, m, h.Sequence)
	}
	return commands
}

// appendForgets appends the commands to forget exited attempts, if the response has a higher fencing
// token than all direct calls that may have started them. If it can't have one yet, the response to a
// later heartbeat contains the commands.
func (l *Leader) appendForgets(commands []wire.Command, m *machines.Machine) []wire.Command {
	for _, e := range m.Exited() {
		if !e.Forget || len(commands) >= tuning.MaxCommandsPerMessage {
			continue
		}
		if !l.fencingTokens.fenceDirectStarts(m) {
			return commands
		}
		commands = append(commands, wire.Command{Op: wire.OpForget, Task: e.Task, Attempt: e.Attempt})
	}
	return commands
}

// appendStarts appends the starts of attempts that no task list has contained yet. It omits the
// starts that are part of a direct call in flight. If an attempt is still in no task list after the
// call, a later response contains its start. sequence is the sequence number of the heartbeat.
func appendStarts(commands []wire.Command, m *machines.Machine, sequence uint64) []wire.Command {
	for _, a := range m.Attempts() {
		if !a.NeedsStart() || a.DirectStartMayArrive() && m.IsBeingCalled() || len(commands) >= tuning.MaxCommandsPerMessage {
			continue
		}
		a.MarkResponseStartSent(sequence)
		commands = append(commands, a.StartCommand())
	}
	return commands
}

// stopCommands returns stops for the tasks in the heartbeat's task list that their jobs no longer
// need. Every response contains these stops, because every response renews the lease. Without the
// stops, a cancelled task could run beyond the deadline for cancellations if the leader changes
// several times and each leader receives a single heartbeat of the agent.
func (l *Leader) stopCommands(h *wire.Heartbeat) []wire.Command {
	stops := []wire.Command{}
	noGracePeriod := 0.0
	for i := range h.Tasks {
		t := &h.Tasks[i]
		id, index, ok := wire.SplitTask(t.Task)
		if j := l.jobs.Get(id); t.State != wire.TaskExited && (!ok || j == nil || !j.NeedsTask(index)) && len(stops) < tuning.MaxCommandsPerMessage {
			stops = append(stops, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GracePeriodS: &noGracePeriod})
		}
	}
	return stops
}
