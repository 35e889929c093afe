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

// Handle executes an operator's request and calls respond with the response. If the response reports a
// change, Handle calls respond only once the change is durable. now and wall are the same moment on the
// monotonic clock and as wall-clock time.
func (d *Drainer) Handle(now, wall time.Time, request *drain.Request, respond func(drain.Response)) {
	switch {
	case d.config.Budgets == nil:
		respond(drain.Response{HTTPStatus: http.StatusForbidden, Reason: "drains are off at the leader: its operators' file has no drains element"})
	case request.Action == drain.List:
		respond(drain.Response{HTTPStatus: http.StatusOK, Drains: d.statuses(now, wall)})
	case request.Action == drain.Apply:
		d.apply(now, wall, request, respond)
	default:
		d.handleExisting(now, wall, request, respond)
	}
}

// apply accepts a new drain. If a drain with an equal spec exists already, it changes nothing.
func (d *Drainer) apply(now, wall time.Time, request *drain.Request, respond func(drain.Response)) {
	if request.Spec == nil {
		respond(drain.Response{HTTPStatus: http.StatusBadRequest, Reason: "no drain is given"})
		return
	}
	name := request.Spec.Name
	r, status := d.drains[name], http.StatusOK
	if r == nil {
		if rejection := d.checkNewDrain(wall, request.Spec); rejection != nil {
			respond(*rejection)
			return
		}
		r, status = &storedDrain{Record: drain.NewRecord(*request.Spec, wall)}, http.StatusCreated
		d.drains[name] = r
	} else if !r.Spec.Equal(request.Spec) {
		respond(drain.Response{HTTPStatus: http.StatusConflict, Reason: fmt.Sprintf("name: a drain %q with other content is known", name)})
		return
	}
	d.storeDrain(r, func() {
		respond(drain.Response{HTTPStatus: status, Drains: []drain.Status{d.status(now, wall, r)}})
	})
}

// checkNewDrain returns the response that rejects a new drain, or nil if the drain is acceptable.
func (d *Drainer) checkNewDrain(wall time.Time, s *drain.Spec) *drain.Response {
	if !d.cluster.MachinesAndTypesKnown() {
		return &drain.Response{HTTPStatus: http.StatusServiceUnavailable, Reason: "the machines are not known yet"}
	}
	err := s.Validate(wall)
	if err == nil {
		err = s.ValidateFor(drain.Deployment{
			Zones:      slices.Concat(d.config.Zones, d.cluster.Catalogue.OfferedZones()),
			Types:      d.cluster.Catalogue.TypeNames(),
			HasMachine: func(name string) bool { return d.cluster.Machines.Get(name) != nil },
		})
	}
	if err == nil && maxRecordSize(s) > d.config.MaxValueBytes {
		err = &drain.FieldError{Field: "batchSize", Reason: "the drain's record would be larger than a value of the state service"}
	}
	switch {
	case err != nil:
		return &drain.Response{HTTPStatus: http.StatusUnprocessableEntity, Reason: err.Error()}
	case d.unreadableDrains[s.Name]:
		return &drain.Response{HTTPStatus: http.StatusConflict, Reason: fmt.Sprintf("name: a stored drain %q can't be read", s.Name)}
	case !d.ensureRecordCapacity():
		return &drain.Response{HTTPStatus: http.StatusTooManyRequests, Reason: fmt.Sprintf("%d drains are not over yet", len(d.drains))}
	}
	return nil
}

// maxRecordSize estimates the maximum size, in bytes, that the record of a drain can reach. The record
// is largest while it names the machines of a full batch and a replacement for each of them.
func maxRecordSize(s *drain.Spec) int {
	const fixedBytes = 512 + tuning.MaxExecutedDrainRequests*(tuning.MaxDrainRequestIDBytes+len(`"",`)) // counts, reason, state and requests
	return len(drain.NewRecord(*s, time.Time{}).Encode()) + fixedBytes + 2*s.BatchSize*tuning.DrainMachineNameBytes
}

// ensureRecordCapacity reports whether another drain can be stored. If MaxDrainRecords drains are
// stored, it deletes the oldest one that has ended. It keeps a drain that is done but still blocks
// provisioning.
func (d *Drainer) ensureRecordCapacity() bool {
	if len(d.drains) < tuning.MaxDrainRecords {
		return true
	}
	for _, r := range d.sortedRecords() {
		if r.State == drain.Cancelled || r.State == drain.Done && !r.Spec.Selector.SelectsAllOf(r.Spec.Selector.Type, r.Spec.Selector.Zone) {
			delete(d.drains, r.Spec.Name)
			d.cluster.Writes.Interactive.Delete(records.DrainKey(r.Spec.Name))
			return true
		}
	}
	return false
}

// handleExisting executes a request about one stored drain.
func (d *Drainer) handleExisting(now, wall time.Time, request *drain.Request, respond func(drain.Response)) {
	r := d.drains[request.Name]
	if r == nil || !r.durable {
		respond(drain.Response{HTTPStatus: http.StatusNotFound, Reason: fmt.Sprintf("no drain is called %q", request.Name)})
		return
	}
	respondStatus := func() {
		respond(drain.Response{HTTPStatus: http.StatusOK, Drains: []drain.Status{d.status(now, wall, r)}})
	}
	before := r.State
	switch {
	case request.Action == drain.Show:
		respondStatus()
		return
	case len(request.ID) > tuning.MaxDrainRequestIDBytes:
		respond(drain.Response{HTTPStatus: http.StatusBadRequest, Reason: "the request's ID is too long"})
		return
	case r.HasExecuted(request.ID):
		// A copy of a request that was executed, perhaps before another request.
		d.storeDrain(r, respondStatus)
		return
	}
	switch request.Action {
	case drain.Pause:
		r.Pause(drain.Reason{Cause: drain.PausedByOperator})
	case drain.Resume:
		r.Resume(wall)
	case drain.Cancel:
		d.cancel(r)
	default:
		respond(drain.Response{HTTPStatus: http.StatusBadRequest, Reason: fmt.Sprintf("unknown action %q", request.Action)})
		return
	}
	if before.IsTerminal() && request.Action != drain.Cancel {
		respond(drain.Response{HTTPStatus: http.StatusConflict, Reason: fmt.Sprintf("%s is %s", request.Name, before)})
		return
	}
	r.MarkExecuted(request.ID)
	d.log.Info().Str("drain", request.Name).Str("action", string(request.Action)).Str("state", string(r.State)).Msg("drain changed")
	d.storeDrain(r, respondStatus)
}

// cancel cancels a drain. It removes the drain's cordon from the machines of the batch, and
// withdraws the evictions whose stops have not been sent yet.
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

// statuses returns the status of every durable drain, oldest first, without the teams' usage.
func (d *Drainer) statuses(now, wall time.Time) []drain.Status {
	all := d.sortedRecords()
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

// status returns the status of a drain as shown to operators.
func (d *Drainer) status(now, wall time.Time, r *storedDrain) drain.Status {
	status := drain.Status{Spec: r.Spec, State: r.State, Reason: r.Reason.String(), Counts: r.Counts}
	if r.Batch != nil {
		batch := *r.Batch
		batch.Machines, batch.Replacements = slices.Clone(batch.Machines), slices.Clone(batch.Replacements)
		status.Batch = &batch
	}
	for _, m := range d.cluster.Machines.All() {
		if !r.State.IsTerminal() && isSelected(r.Record, now, wall, m) {
			status.MachinesLeft++
		}
	}
	for _, t := range d.config.Teams {
		status.Teams = append(status.Teams, drain.TeamUsage{
			Team:        t.Name,
			Unavailable: d.ledger.UnavailableTasks(t.Name),
			Usage:       d.ledger.Usage(t.Name, now),
			Budget:      d.config.Budgets.For(t.Name),
		})
	}
	return status
}
