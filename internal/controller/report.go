package controller

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// ReportOutcome is what becomes of a report.
type ReportOutcome int

// Outcomes of reports.
const (
	// ReportApplied: it gets the answer, which renews the worker's lease.
	ReportApplied ReportOutcome = iota
	// ReportStale: it is older than what is known. An answer would renew the lease
	// of a worker whose tasks are presumed to have ended, or of a new one that
	// has taken the place of the one known: it gets none.
	ReportStale
	// ReportSuperseded: the worker has seen a later term.
	ReportSuperseded
)

// Report takes in a worker's report and answers it. With authority false
// (the state service is out of reach) nothing is started.
func (c *Controller) Report(now time.Time, r *wire.Report, authority bool) (wire.ReportAnswer, ReportOutcome) {
	answer := wire.ReportAnswer{Token: c.term, Commands: []wire.Command{}}
	if r.Token > c.term {
		return answer, ReportSuperseded
	}
	if c.released[r.Machine] {
		return answer, ReportStale
	}
	m := c.machines[r.Machine]
	if m == nil {
		m = c.addMachine(now, r.Machine, r.Type, r.Zone, r.Addr, r.Spot)
	}
	if m.reordered(r) {
		// It is on its way still, and its worker waits for an answer.
		m.lastReport = r.Seq
		m.heardAt, m.answeredAt = now, now
		answer.Commands = c.stopCommands(r)
		return answer, ReportApplied
	}
	if m.isStale(r) {
		// It proves nothing, renews nothing and gets no commands.
		if m.staleReports++; m.staleReports == 1 {
			m.staleSince = now
		}
		return answer, ReportStale
	}
	c.observeDelivery(now, m, r)
	c.advanceSequence(m, r)
	if c.lateStart(now, m) {
		return answer, ReportStale
	}
	c.noteHeard(now, m, r)
	if r.Token < c.term {
		// The worker may still take orders of an earlier term: only a report
		// sent after it has seen this term shows all that it holds.
		answer.Commands = c.stopCommands(r)
		return answer, ReportApplied
	}
	c.applyReport(now, m, r, true)
	c.saveBeforeReclaim(now, m)
	answer.Commands = c.commands(m, r, authority)
	return answer, ReportApplied
}

// noteHeard notes what a report that is answered says of the machine itself.
func (c *Controller) noteHeard(now time.Time, m *machine, r *wire.Report) {
	m.lastReport = r.Seq
	m.heardAt, m.answeredAt = now, now
	m.addr = r.Addr
	if !m.up {
		m.up = true
		c.changed = true
	}
	if m.noticeEnds.IsZero() && r.NoticeS != nil {
		m.noticeEnds = now.Add(seconds(*r.NoticeS))
		m.cordon(recalled)
		c.log.Debug().Str("machine", m.id).Float64("notice", *r.NoticeS).Msg("spot notice")
	}
}

// stopCommands are the stops of all listed tasks that nobody wants any more. Every
// answer renews the lease, so every answer carries them: leaders that ended
// one after the other, each having heard a worker once in its term, would
// otherwise keep a cancelled task alive for longer than a cancellation may take.
func (c *Controller) stopCommands(r *wire.Report) []wire.Command {
	stops := []wire.Command{}
	zero := 0.0
	for i := range r.Tasks {
		t := &r.Tasks[i]
		id, index, ok := wire.SplitTask(t.Task)
		if j := c.jobs[id]; t.State != wire.TaskExited && (!ok || j == nil || !j.wants(index)) && len(stops) < tuning.AnswerCommands {
			stops = append(stops, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: &zero})
		}
	}
	return stops
}

// lateStart reports whether a start of a job that ended a while ago may still come
// late to the machine's present session: no answer may keep that up.
func (c *Controller) lateStart(now time.Time, m *machine) bool {
	bound := lateStartBound(c.params.Workers)
	return slices.ContainsFunc(m.attempts, func(a *attempt) bool {
		return a.state == startSent && a.direct && a.job.state != jobActive && now.Sub(a.job.endedAt) > bound
	})
}

// isStale reports whether a report is of a session known to be over, or not newer
// than the newest one taken in.
func (m *machine) isStale(r *wire.Report) bool {
	return r.Session <= m.lostSession || r.Session < m.session || r.Session == m.session && r.Seq <= m.sequence
}

// reordered reports whether a report is older than the newest message only
// because the answer to a direct call came before it, by a shorter way. Refused,
// its worker would leave its node for nothing.
func (m *machine) reordered(r *wire.Report) bool {
	return r.Session > m.lostSession && r.Session == m.session && r.Seq > m.lastReport && r.Seq <= m.sequence
}

// advanceSequence notes the order of a report; a new session ends all that is late.
func (c *Controller) advanceSequence(m *machine, r *wire.Report) {
	if r.Session > m.session {
		clear(m.unforgettable)
		m.lastReport = 0
		if !m.cordonedFor(consolidated | awaitsLateStart) {
			m.fenceBy = time.Time{}
		}
		for _, a := range m.attempts {
			a.direct = false
		}
	}
	m.session, m.sequence = r.Session, r.Seq
}

// saveBeforeReclaim stops tasks that can save when the machine is about to be taken.
func (c *Controller) saveBeforeReclaim(now time.Time, m *machine) {
	if m.noticeEnds.IsZero() {
		return
	}
	left := m.noticeEnds.Sub(now).Seconds()
	margin := tuning.NoticeSlack.Seconds()
	for _, a := range m.attempts {
		if a.stop || a.job.CheckpointS <= 0 || a.state != running {
			continue
		}
		if left <= a.job.SaveS+margin {
			a.stop, a.grace = true, a.job.SaveS
		}
	}
}

// commands are those of the answer to a report: stops first, as the answer renews the
// lease whether all fit or not, then forgets, then starts.
func (c *Controller) commands(m *machine, r *wire.Report, authority bool) []wire.Command {
	out := c.stopCommands(r)
	for _, a := range m.attempts {
		if !a.stop || !a.job.wants(int(a.index)) || a.state < fetching || a.state == saving && a.grace > 0 || len(out) >= tuning.AnswerCommands {
			continue // the stops of what nobody wants are there already
		}
		out = append(out, a.stopCommand())
	}
	for _, e := range m.exited {
		if e.forget && len(out) < tuning.AnswerCommands {
			out = append(out, wire.Command{Op: wire.OpForget, Task: e.task, Attempt: e.attempt})
		}
	}
	if authority && !m.releasing {
		for _, a := range m.attempts {
			if a.state != startSent || !a.wanted() || a.direct && m.calling || len(out) >= tuning.AnswerCommands {
				continue
			}
			a.sentSeq = r.Seq
			out = append(out, a.startCommand())
		}
	}
	return out
}
