package controller

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/tuning"
)

// DrainRequest carries out an operator's request; then is called with the answer once what it
// says is durable. wall is the time of day.
func (c *Controller) DrainRequest(now, wall time.Time, q *drain.Request, then func(drain.Response)) {
	switch {
	case c.budgets == nil:
		then(drain.Response{Status: http.StatusForbidden, Why: "drains are off at the leader: its operators' file has no drains element"})
	case q.Action == drain.List:
		then(drain.Response{Status: http.StatusOK, Drains: c.drainStatuses(now, wall)})
	case q.Action == drain.Apply:
		c.applyDrain(now, wall, q, then)
	default:
		c.changeDrain(now, wall, q, then)
	}
}

// applyDrain accepts a drain, once: a repetition changes nothing.
func (c *Controller) applyDrain(now, wall time.Time, q *drain.Request, then func(drain.Response)) {
	if q.Spec == nil {
		then(drain.Response{Status: http.StatusBadRequest, Why: "no drain is given"})
		return
	}
	name := q.Spec.Name
	d, status := c.drains[name], http.StatusOK
	if d == nil {
		if refused := c.refuseDrain(wall, q.Spec); refused != nil {
			then(*refused)
			return
		}
		d, status = &storedDrain{Record: drain.NewRecord(*q.Spec, wall)}, http.StatusCreated
		c.drains[name] = d
	} else if !d.Spec.Equal(q.Spec) {
		then(drain.Response{Status: http.StatusConflict, Why: fmt.Sprintf("name: a drain %q with other content is known", name)})
		return
	}
	c.storeDrain(d, func() {
		then(drain.Response{Status: status, Drains: []drain.Status{c.drainStatus(now, wall, d)}})
	})
}

// refuseDrain is the answer to a new drain that can't be accepted, nil if it can.
func (c *Controller) refuseDrain(wall time.Time, s *drain.Spec) *drain.Response {
	if !c.Ready() || c.listsApplied == 0 {
		return &drain.Response{Status: http.StatusServiceUnavailable, Why: "the machines are not known yet"}
	}
	err := s.Validate(wall)
	if err == nil {
		err = s.ValidateFor(drain.Deployment{
			Zones: c.zones(), Types: slices.Sorted(maps.Keys(c.types)),
			HasMachine: func(name string) bool { return c.machines[name] != nil },
		})
	}
	if err == nil && c.drainSize(s) > c.valueLimit() {
		err = &drain.FieldError{Field: "batchSize", Reason: "the drain's record would be larger than a value of the state service"}
	}
	switch {
	case err != nil:
		return &drain.Response{Status: http.StatusUnprocessableEntity, Why: err.Error()}
	case c.unreadable[s.Name]:
		return &drain.Response{Status: http.StatusConflict, Why: fmt.Sprintf("name: a stored drain %q can't be read", s.Name)}
	case !c.roomForDrain():
		return &drain.Response{Status: http.StatusTooManyRequests, Why: fmt.Sprintf("%d drains are not over yet", len(c.drains))}
	}
	return nil
}

// zones are those of the settings and of the catalogue.
func (c *Controller) zones() []string {
	zones := slices.Clone(c.params.Zones)
	for _, t := range c.offers {
		zones = append(zones, t.Zones...)
	}
	return zones
}

// drainSize is the size in bytes of a drain's record with a full batch and its replacements.
func (c *Controller) drainSize(s *drain.Spec) int {
	const frame = 512 // counts, reason and states
	return len(drain.NewRecord(*s, time.Time{}).Encode()) + frame + 2*s.BatchSize*tuning.DrainNameBytes
}

// roomForDrain reports whether another drain may be kept; the oldest one that is over makes way.
func (c *Controller) roomForDrain() bool {
	if len(c.drains) < tuning.DrainRecords {
		return true
	}
	for _, r := range c.records() {
		if r.State == drain.Cancelled || r.State == drain.Done && !r.Spec.Selector.Closes(r.Spec.Selector.Type, r.Spec.Selector.Zone) {
			delete(c.drains, r.Spec.Name)
			c.interactiveWrites.del(keyDrains + r.Spec.Name)
			return true
		}
	}
	return false
}

// changeDrain carries out a request about one drain that is known.
func (c *Controller) changeDrain(now, wall time.Time, q *drain.Request, then func(drain.Response)) {
	d := c.drains[q.Name]
	if d == nil || !d.durable {
		then(drain.Response{Status: http.StatusNotFound, Why: fmt.Sprintf("no drain is called %q", q.Name)})
		return
	}
	answer := func() {
		then(drain.Response{Status: http.StatusOK, Drains: []drain.Status{c.drainStatus(now, wall, d)}})
	}
	before := d.State
	switch q.Action {
	case drain.Show:
		answer()
		return
	case drain.Pause:
		d.Pause(drain.Reason{Cause: drain.ByOperator})
	case drain.Resume:
		d.Resume(wall)
	case drain.Cancel:
		c.cancelDrain(d)
	default:
		then(drain.Response{Status: http.StatusBadRequest, Why: fmt.Sprintf("unknown action %q", q.Action)})
		return
	}
	if before.Over() && q.Action != drain.Cancel {
		then(drain.Response{Status: http.StatusConflict, Why: fmt.Sprintf("%s is %s", q.Name, before)})
		return
	}
	c.log.Info().Str("drain", q.Name).Str("action", string(q.Action)).Str("state", string(d.State)).Msg("drain changed")
	c.storeDrain(d, answer)
}

// cancelDrain ends a drain: its machines take work again, and what was about to be stopped
// goes on.
func (c *Controller) cancelDrain(d *storedDrain) {
	var machines []string
	if d.Batch != nil {
		machines = d.Batch.Machines
	}
	d.Cancel()
	for _, name := range machines {
		m := c.machines[name]
		if m == nil {
			continue
		}
		c.applyDrainCordon(m)
		for _, a := range m.attempts {
			if a.evicting && !a.stop {
				a.evicting = false
				c.ledger.Available(a.job.ID, a.index)
			}
		}
	}
	c.changed = true
}

// drainStatuses are those of all drains, oldest first.
func (c *Controller) drainStatuses(now, wall time.Time) []drain.Status {
	records := c.records()
	list := make([]drain.Status, 0, len(records))
	for _, r := range records {
		if d := c.drains[r.Spec.Name]; d.durable {
			status := c.drainStatus(now, wall, d)
			status.Teams = nil
			list = append(list, status)
		}
	}
	return list
}

// drainStatus is what operators are told of a drain.
func (c *Controller) drainStatus(now, wall time.Time, d *storedDrain) drain.Status {
	status := drain.Status{Spec: d.Spec, State: d.State, Reason: d.Reason.String(), Counts: d.Counts}
	if d.Batch != nil {
		batch := *d.Batch
		batch.Machines, batch.Replacements = slices.Clone(batch.Machines), slices.Clone(batch.Replacements)
		status.Batch = &batch
	}
	step := drainStep{Controller: c, record: d, now: now, wall: wall}
	for _, m := range c.machinesByName {
		if !d.State.Over() && step.selects(m) {
			status.MachinesLeft++
		}
	}
	for _, t := range c.params.Teams {
		status.Teams = append(status.Teams, drain.TeamUse{
			Team: t.Name, Unavailable: c.ledger.Unavailable(t.Name), Used: c.ledger.Used(t.Name, now), Budget: c.budgets.For(t.Name),
		})
	}
	return status
}
