package drainer

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/tuning"
)

// Handle carries out an operator's request; then is called with the answer once what it
// says is durable. wall is the time of day.
func (d *Drainer) Handle(now, wall time.Time, q *drain.Request, then func(drain.Response)) {
	switch {
	case d.config.Budgets == nil:
		then(drain.Response{Status: http.StatusForbidden, Reason: "drains are off at the leader: its operators' file has no drains element"})
	case q.Action == drain.List:
		then(drain.Response{Status: http.StatusOK, Drains: d.statuses(now, wall)})
	case q.Action == drain.Apply:
		d.apply(now, wall, q, then)
	default:
		d.change(now, wall, q, then)
	}
}

// apply accepts a drain, once: a repetition changes nothing.
func (d *Drainer) apply(now, wall time.Time, q *drain.Request, then func(drain.Response)) {
	if q.Spec == nil {
		then(drain.Response{Status: http.StatusBadRequest, Reason: "no drain is given"})
		return
	}
	name := q.Spec.Name
	r, status := d.drains[name], http.StatusOK
	if r == nil {
		if rejected := d.reject(wall, q.Spec); rejected != nil {
			then(*rejected)
			return
		}
		r, status = &storedDrain{Record: drain.NewRecord(*q.Spec, wall)}, http.StatusCreated
		d.drains[name] = r
	} else if !r.Spec.Equal(q.Spec) {
		then(drain.Response{Status: http.StatusConflict, Reason: fmt.Sprintf("name: a drain %q with other content is known", name)})
		return
	}
	d.storeDrain(r, func() {
		then(drain.Response{Status: status, Drains: []drain.Status{d.status(now, wall, r)}})
	})
}

// reject is the answer to a new drain that can't be accepted, nil if it can.
func (d *Drainer) reject(wall time.Time, s *drain.Spec) *drain.Response {
	if !d.cluster.MachinesKnown() {
		return &drain.Response{Status: http.StatusServiceUnavailable, Reason: "the machines are not known yet"}
	}
	err := s.Validate(wall)
	if err == nil {
		err = s.ValidateFor(drain.Deployment{
			Zones:      slices.Concat(d.config.Zones, d.cluster.Catalogue.Zones()),
			Types:      d.cluster.Catalogue.Names(),
			HasMachine: func(name string) bool { return d.cluster.Machines.Get(name) != nil },
		})
	}
	if err == nil && recordSize(s) > d.config.ValueLimit {
		err = &drain.FieldError{Field: "batchSize", Reason: "the drain's record would be larger than a value of the state service"}
	}
	switch {
	case err != nil:
		return &drain.Response{Status: http.StatusUnprocessableEntity, Reason: err.Error()}
	case d.unreadable[s.Name]:
		return &drain.Response{Status: http.StatusConflict, Reason: fmt.Sprintf("name: a stored drain %q can't be read", s.Name)}
	case !d.makeSpace():
		return &drain.Response{Status: http.StatusTooManyRequests, Reason: fmt.Sprintf("%d drains are not over yet", len(d.drains))}
	}
	return nil
}

// recordSize is the size in bytes of a drain's record with a full batch and its replacements.
func recordSize(s *drain.Spec) int {
	const frame = 512 // counts, reason and states
	return len(drain.NewRecord(*s, time.Time{}).Encode()) + frame + 2*s.BatchSize*tuning.DrainMachineNameBytes
}

// makeSpace reports whether another drain may be kept; the oldest one that is over makes way.
func (d *Drainer) makeSpace() bool {
	if len(d.drains) < tuning.MaxDrainRecords {
		return true
	}
	for _, r := range d.records() {
		if r.State == drain.Cancelled || r.State == drain.Done && !r.Spec.Selector.SelectsAllOf(r.Spec.Selector.Type, r.Spec.Selector.Zone) {
			delete(d.drains, r.Spec.Name)
			d.cluster.Writes.Interactive.Delete(records.DrainKey(r.Spec.Name))
			return true
		}
	}
	return false
}

// change carries out a request about one drain that is known.
func (d *Drainer) change(now, wall time.Time, q *drain.Request, then func(drain.Response)) {
	r := d.drains[q.Name]
	if r == nil || !r.durable {
		then(drain.Response{Status: http.StatusNotFound, Reason: fmt.Sprintf("no drain is called %q", q.Name)})
		return
	}
	answer := func() {
		then(drain.Response{Status: http.StatusOK, Drains: []drain.Status{d.status(now, wall, r)}})
	}
	before := r.State
	switch q.Action {
	case drain.Show:
		answer()
		return
	case drain.Pause:
		r.Pause(drain.Reason{Cause: drain.PausedByOperator})
	case drain.Resume:
		r.Resume(wall)
	case drain.Cancel:
		d.cancel(r)
	default:
		then(drain.Response{Status: http.StatusBadRequest, Reason: fmt.Sprintf("unknown action %q", q.Action)})
		return
	}
	if before.IsTerminal() && q.Action != drain.Cancel {
		then(drain.Response{Status: http.StatusConflict, Reason: fmt.Sprintf("%s is %s", q.Name, before)})
		return
	}
	d.log.Info().Str("drain", q.Name).Str("action", string(q.Action)).Str("state", string(r.State)).Msg("drain changed")
	d.storeDrain(r, answer)
}

// cancel ends a drain: its machines take work again, and what was about to be stopped
// goes on.
func (d *Drainer) cancel(r *storedDrain) {
	var drained []string
	if r.Batch != nil {
		drained = r.Batch.Machines
	}
	r.Cancel()
	for _, name := range drained {
		m := d.cluster.Machines.Get(name)
		if m == nil {
			continue
		}
		d.ApplyCordon(m)
		for _, a := range m.Attempts() {
			if a.IsEvicting() && !a.IsStopping() {
				a.RevertEviction()
				d.ledger.RecordAvailable(a.Job.ID, a.Index)
			}
		}
	}
	d.cluster.RequestSchedulingPass()
}

// statuses are those of all drains, oldest first.
func (d *Drainer) statuses(now, wall time.Time) []drain.Status {
	all := d.records()
	list := make([]drain.Status, 0, len(all))
	for _, record := range all {
		if r := d.drains[record.Spec.Name]; r.durable {
			status := d.status(now, wall, r)
			status.Teams = nil
			list = append(list, status)
		}
	}
	return list
}

// status describes a drain to operators.
func (d *Drainer) status(now, wall time.Time, r *storedDrain) drain.Status {
	status := drain.Status{Spec: r.Spec, State: r.State, Reason: r.Reason.String(), Counts: r.Counts}
	if r.Batch != nil {
		batch := *r.Batch
		batch.Machines, batch.Replacements = slices.Clone(batch.Machines), slices.Clone(batch.Replacements)
		status.Batch = &batch
	}
	for _, m := range d.cluster.Machines.All() {
		if !r.State.IsTerminal() && selects(r.Record, now, wall, m) {
			status.MachinesLeft++
		}
	}
	for _, t := range d.config.Teams {
		status.Teams = append(status.Teams, drain.TeamUsage{
			Team:        t.Name,
			Unavailable: d.ledger.Unavailable(t.Name),
			Usage:       d.ledger.Used(t.Name, now),
			Budget:      d.config.Budgets.For(t.Name),
		})
	}
	return status
}
