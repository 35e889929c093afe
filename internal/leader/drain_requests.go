package leader

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/tuning"
)

// DrainRequest carries out an operator's request; then is called with the answer once what it
// says is durable. wall is the time of day.
func (l *Leader) DrainRequest(now, wall time.Time, q *drain.Request, then func(drain.Response)) {
	switch {
	case l.budgets == nil:
		then(drain.Response{Status: http.StatusForbidden, Reason: "drains are off at the leader: its operators' file has no drains element"})
	case q.Action == drain.List:
		then(drain.Response{Status: http.StatusOK, Drains: l.drainStatuses(now, wall)})
	case q.Action == drain.Apply:
		l.applyDrain(now, wall, q, then)
	default:
		l.changeDrain(now, wall, q, then)
	}
}

// applyDrain accepts a drain, once: a repetition changes nothing.
func (l *Leader) applyDrain(now, wall time.Time, q *drain.Request, then func(drain.Response)) {
	if q.Spec == nil {
		then(drain.Response{Status: http.StatusBadRequest, Reason: "no drain is given"})
		return
	}
	name := q.Spec.Name
	d, status := l.drains[name], http.StatusOK
	if d == nil {
		if refused := l.refuseDrain(wall, q.Spec); refused != nil {
			then(*refused)
			return
		}
		d, status = &storedDrain{Record: drain.NewRecord(*q.Spec, wall)}, http.StatusCreated
		l.drains[name] = d
	} else if !d.Spec.Equal(q.Spec) {
		then(drain.Response{Status: http.StatusConflict, Reason: fmt.Sprintf("name: a drain %q with other content is known", name)})
		return
	}
	l.storeDrain(d, func() {
		then(drain.Response{Status: status, Drains: []drain.Status{l.drainStatus(now, wall, d)}})
	})
}

// refuseDrain is the answer to a new drain that can't be accepted, nil if it can.
func (l *Leader) refuseDrain(wall time.Time, s *drain.Spec) *drain.Response {
	if !l.CatalogueKnown() || l.listsApplied == 0 {
		return &drain.Response{Status: http.StatusServiceUnavailable, Reason: "the machines are not known yet"}
	}
	err := s.Validate(wall)
	if err == nil {
		err = s.ValidateFor(drain.Deployment{
			Zones: slices.Concat(l.params.Zones, l.catalogue.Zones()), Types: l.catalogue.Names(),
			HasMachine: func(name string) bool { return l.machines.Get(name) != nil },
		})
	}
	if err == nil && l.drainSize(s) > l.valueLimit() {
		err = &drain.FieldError{Field: "batchSize", Reason: "the drain's record would be larger than a value of the state service"}
	}
	switch {
	case err != nil:
		return &drain.Response{Status: http.StatusUnprocessableEntity, Reason: err.Error()}
	case l.unreadable[s.Name]:
		return &drain.Response{Status: http.StatusConflict, Reason: fmt.Sprintf("name: a stored drain %q can't be read", s.Name)}
	case !l.roomForDrain():
		return &drain.Response{Status: http.StatusTooManyRequests, Reason: fmt.Sprintf("%d drains are not over yet", len(l.drains))}
	}
	return nil
}

// drainSize is the size in bytes of a drain's record with a full batch and its replacements.
func (l *Leader) drainSize(s *drain.Spec) int {
	const frame = 512 // counts, reason and states
	return len(drain.NewRecord(*s, time.Time{}).Encode()) + frame + 2*s.BatchSize*tuning.DrainMachineNameBytes
}

// roomForDrain reports whether another drain may be kept; the oldest one that is over makes way.
func (l *Leader) roomForDrain() bool {
	if len(l.drains) < tuning.MaxDrainRecords {
		return true
	}
	for _, r := range l.records() {
		if r.State == drain.Cancelled || r.State == drain.Done && !r.Spec.Selector.SelectsAllOf(r.Spec.Selector.Type, r.Spec.Selector.Zone) {
			delete(l.drains, r.Spec.Name)
			l.writes.Interactive.Delete(records.DrainKey(r.Spec.Name))
			return true
		}
	}
	return false
}

// changeDrain carries out a request about one drain that is known.
func (l *Leader) changeDrain(now, wall time.Time, q *drain.Request, then func(drain.Response)) {
	d := l.drains[q.Name]
	if d == nil || !d.durable {
		then(drain.Response{Status: http.StatusNotFound, Reason: fmt.Sprintf("no drain is called %q", q.Name)})
		return
	}
	answer := func() {
		then(drain.Response{Status: http.StatusOK, Drains: []drain.Status{l.drainStatus(now, wall, d)}})
	}
	before := d.State
	switch q.Action {
	case drain.Show:
		answer()
		return
	case drain.Pause:
		d.Pause(drain.Reason{Cause: drain.PausedByOperator})
	case drain.Resume:
		d.Resume(wall)
	case drain.Cancel:
		l.cancelDrain(d)
	default:
		then(drain.Response{Status: http.StatusBadRequest, Reason: fmt.Sprintf("unknown action %q", q.Action)})
		return
	}
	if before.IsTerminal() && q.Action != drain.Cancel {
		then(drain.Response{Status: http.StatusConflict, Reason: fmt.Sprintf("%s is %s", q.Name, before)})
		return
	}
	l.log.Info().Str("drain", q.Name).Str("action", string(q.Action)).Str("state", string(d.State)).Msg("drain changed")
	l.storeDrain(d, answer)
}

// cancelDrain ends a drain: its machines take work again, and what was about to be stopped
// goes on.
func (l *Leader) cancelDrain(d *storedDrain) {
	var machines []string
	if d.Batch != nil {
		machines = d.Batch.Machines
	}
	d.Cancel()
	for _, name := range machines {
		m := l.machines.Get(name)
		if m == nil {
			continue
		}
		l.applyDrainCordon(m)
		for _, a := range m.Attempts {
			if a.Evicting && !a.Stopping {
				a.Evicting = false
				l.ledger.RecordAvailable(a.Job.ID, a.Index)
			}
		}
	}
	l.changed = true
}

// drainStatuses are those of all drains, oldest first.
func (l *Leader) drainStatuses(now, wall time.Time) []drain.Status {
	records := l.records()
	list := make([]drain.Status, 0, len(records))
	for _, r := range records {
		if d := l.drains[r.Spec.Name]; d.durable {
			status := l.drainStatus(now, wall, d)
			status.Teams = nil
			list = append(list, status)
		}
	}
	return list
}

// drainStatus is what operators are told of a drain.
func (l *Leader) drainStatus(now, wall time.Time, d *storedDrain) drain.Status {
	status := drain.Status{Spec: d.Spec, State: d.State, Reason: d.Reason.String(), Counts: d.Counts}
	if d.Batch != nil {
		batch := *d.Batch
		batch.Machines, batch.Replacements = slices.Clone(batch.Machines), slices.Clone(batch.Replacements)
		status.Batch = &batch
	}
	step := drainStep{Leader: l, record: d, now: now, wall: wall}
	for _, m := range l.machines.All() {
		if !d.State.IsTerminal() && step.selects(m) {
			status.MachinesLeft++
		}
	}
	for _, t := range l.params.Teams {
		status.Teams = append(status.Teams, drain.TeamUsage{
			Team: t.Name, Unavailable: l.ledger.Unavailable(t.Name), Usage: l.ledger.Used(t.Name, now), Budget: l.budgets.For(t.Name),
		})
	}
	return status
}
