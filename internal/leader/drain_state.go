package leader

import (
	"encoding/json"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/autoscale"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// drainState is what the leader knows of drains and of the disruption of the teams' work. All
// of it is empty while drains are off.
type drainState struct {
	budgets *drain.Budgets // nil: drains are off
	ledger  *drain.Ledger
	drains  map[string]*storedDrain
	// unreadable are the names of stored drains that are damaged or of a later version.
	unreadable   map[string]bool
	chargesNamed uint64
	// listsComplete: a machine list describes a time after this term began, so that a machine
	// named by a record and not known is gone.
	listsComplete bool
	// isolated: this node seems to have lost most machines.
	isolated      bool
	nextDrainStep time.Time
	nextBatchLook time.Time
	// drainLooks counts the machines and attempts that drains have looked at.
	drainLooks int
}

// storedDrain is a drain's record; durable once it has been stored for the first time.
type storedDrain struct {
	*drain.Record
	durable bool
}

func newDrainState(budgets *drain.Budgets, w config.Workers) drainState {
	s := drainState{budgets: budgets, drains: map[string]*storedDrain{}, unreadable: map[string]bool{}}
	if budgets != nil {
		// What is charged may come into effect later than what is charged after it.
		s.ledger = drain.NewLedger(budgets.Window + seconds(w.LeaseS*tuning.DrainDeliveryLeases))
	}
	return s
}

// loadedCharge is a charge of an earlier leader.
type loadedCharge struct {
	key    string
	charge *drain.Charge
	at     time.Time
}

func (l *Leader) loadDrain(name string, value json.RawMessage) error {
	if l.budgets == nil {
		return nil
	}
	r, err := drain.DecodeRecord(name, value)
	if err != nil {
		l.unreadable[name] = true
		return err
	}
	l.drains[name] = &storedDrain{r, true}
	return nil
}

func (l *Leader) loadCharge(now, wall time.Time, item wire.KeyValue) error {
	if l.budgets == nil {
		return nil
	}
	charge, err := drain.DecodeCharge(item.Value)
	if err != nil {
		return err
	}
	at := now.Add(-max(0, wall.Sub(time.UnixMilli(charge.At))))
	l.loading.charges = append(l.loading.charges, loadedCharge{item.Key, charge, at})
	return nil
}

// applyLoadedDrains cordons what the loaded drains have cordoned, and counts what they have
// been charged for, before the first placement.
func (l *Leader) applyLoadedDrains(charges []loadedCharge) {
	for _, loaded := range charges {
		l.ledger.RecordCharge(loaded.key, loaded.charge, loaded.at, l.teamOfAttempt)
	}
	for _, m := range l.machines.All() {
		l.applyDrainCordon(m)
	}
}

// teamOfAttempt is the team of a task that is still to run.
func (l *Leader) teamOfAttempt(a drain.Attempt) (string, bool) {
	j := l.jobs[a.Job]
	if j == nil || a.Index < 0 || int(a.Index) >= j.Tasks || !j.NeedsTask(int(a.Index)) {
		return "", false
	}
	return j.Team, true
}

// storeDrain queues the write of a drain's record and calls then when it is durable.
func (l *Leader) storeDrain(d *storedDrain, then func()) {
	l.writes.Interactive.Put(records.DrainKey(d.Spec.Name), d.Encode(), func() {
		d.durable = true
		if then != nil {
			then()
		}
	})
}

// storeCharge counts a charge and queues its write; then is called when it is durable.
func (l *Leader) storeCharge(now time.Time, charge *drain.Charge, then func()) {
	l.chargesNamed++
	key := records.ChargeKey(l.term, l.chargesNamed)
	l.ledger.RecordCharge(key, charge, now, l.teamOfAttempt)
	l.writes.Interactive.Put(key, charge.Encode(), then)
}

// records are those of all drains, oldest first.
func (l *Leader) records() []*drain.Record {
	list := make([]*drain.Record, 0, len(l.drains))
	for _, d := range l.drains {
		list = append(list, d.Record)
	}
	slices.SortFunc(list, (*drain.Record).Compare)
	return list
}

// applyDrainCordon cordons a machine as long as a drain keeps it from taking new work.
func (l *Leader) applyDrainCordon(m *machines.Machine) {
	m.SetCordon(machines.CordonDrained, l.anyDrain(func(r *drain.Record) bool { return r.Cordons(m.ID) }))
}

// closedByDrain reports whether a drain keeps machines of an offer from being rented.
func (l *Leader) closedByDrain(o autoscale.Offer) bool {
	return l.anyDrain(func(r *drain.Record) bool { return r.BlocksProvisioning(o.Type, o.Zone) })
}

// isReplacement reports whether a machine was rented in the place of those that are drained now.
func (l *Leader) isReplacement(machine string) bool {
	return l.anyDrain(func(r *drain.Record) bool { return r.State == drain.Running && r.Replaces(machine) })
}

func (l *Leader) anyDrain(holds func(*drain.Record) bool) bool {
	for _, d := range l.drains {
		if holds(d.Record) {
			return true
		}
	}
	return false
}

// countInterruption counts an attempt that is about to be dropped, if it may have run.
func (l *Leader) countInterruption(now time.Time, a *machines.Attempt) {
	j := a.Job
	if l.ledger == nil || !j.NeedsTask(int(a.Index)) || j.Allocations[a.Index] > 1 || a.Failed {
		return
	}
	switch {
	case l.ledger.IsCharged(a.Number), a.State == machines.PossiblyStarted:
		l.ledger.RecordUnknown(j.Team, j.ID, a.Index)
	case a.State.HasImage():
		l.ledger.RecordInterruption(j.Team, j.ID, a.Index, now, a.LostProgressS(now))
	}
}

// countRunning counts a task that was interrupted as running again, unless it is the very
// attempt that a drain is about to stop.
func (l *Leader) countRunning(a *machines.Attempt) {
	if l.ledger == nil || a.Evicting || l.ledger.IsCharged(a.Number) && a.Machine.CordonedFor(machines.CordonDrained) {
		return
	}
	l.ledger.RecordAvailable(a.Job.ID, a.Index)
}

// countDone counts a task that was interrupted as done.
func (l *Leader) countDone(j *jobs.Job, index int32) {
	if l.ledger != nil {
		l.ledger.RecordAvailable(j.ID, index)
	}
}

// countOver counts no task of a job any more.
func (l *Leader) countOver(j *jobs.Job) {
	if l.ledger != nil {
		l.ledger.RecordJobEnd(j.ID)
	}
}

// expireCharges deletes the charges that count no more.
func (l *Leader) expireCharges(wall time.Time) {
	keys := l.ledger.Expire(wall)
	slices.Sort(keys)
	for _, key := range keys {
		l.writes.Background.Delete(key)
	}
}
