package drainer

import (
	"encoding/json"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/records"
)

// loadedCharge is a charge that an earlier leader stored.
type loadedCharge struct {
	key       string
	charge    *drain.Charge
	chargedAt time.Time // on the monotonic clock
}

// LoadDrain loads the stored drain with the given name. It returns the errors of drain.DecodeRecord.
func (d *Drainer) LoadDrain(name string, value json.RawMessage) error {
	if d.config.Budgets == nil {
		return nil
	}
	r, err := drain.DecodeRecord(name, value)
	if err != nil {
		d.unreadableDrains[name] = true
		return err
	}
	d.drains[name] = &storedDrain{r, true}
	return nil
}

// LoadCharge loads the charge stored under key. now and wall must be the same moment on the monotonic
// clock and as wall-clock time: the charge's wall-clock time is converted by their difference.
// LoadCharge returns the errors of drain.DecodeCharge.
func (d *Drainer) LoadCharge(now, wall time.Time, key string, value json.RawMessage) error {
	if d.config.Budgets == nil {
		return nil
	}
	charge, err := drain.DecodeCharge(value)
	if err != nil {
		return err
	}
	at := now.Add(-max(0, wall.Sub(time.UnixMilli(charge.AtMS))))
	d.loadedCharges = append(d.loadedCharges, loadedCharge{key, charge, at})
	return nil
}

// FinishLoading adds the loaded charges to the ledger, and cordons the machines of the loaded drains
// again. It must be called before the first placement, so that no task is placed on these machines.
func (d *Drainer) FinishLoading() {
	for _, loaded := range d.loadedCharges {
		d.ledger.RecordCharge(loaded.key, loaded.charge, loaded.chargedAt, d.teamOfAttempt)
	}
	d.loadedCharges = nil
	for _, m := range d.cluster.Machines.All() {
		d.ApplyCordon(m)
	}
}

// teamOfAttempt returns the team of an attempt's task, or false if the task has ended.
func (d *Drainer) teamOfAttempt(a drain.Attempt) (string, bool) {
	j := d.cluster.Job(a.Job)
	if j == nil || a.Index < 0 || int(a.Index) >= j.Tasks || !j.NeedsTask(int(a.Index)) {
		return "", false
	}
	return j.Team, true
}

// storeDrain queues the write of a drain's record. Once the record is durable, it calls onDurable
// unless that is nil.
func (d *Drainer) storeDrain(r *storedDrain, onDurable func()) {
	d.cluster.Writes.Interactive.Put(records.DrainKey(r.Spec.Name), r.Encode(), func() {
		r.durable = true
		if onDurable != nil {
			onDurable()
		}
	})
}

// storeCharge adds a charge to the ledger and queues its write. Once the charge is durable, it calls
// onDurable.
func (d *Drainer) storeCharge(now time.Time, charge *drain.Charge, onDurable func()) {
	d.lastChargeNumber++
	key := records.ChargeKey(d.config.Term, d.lastChargeNumber)
	d.ledger.RecordCharge(key, charge, now, d.teamOfAttempt)
	d.cluster.Writes.Interactive.Put(key, charge.Encode(), onDurable)
}

// deleteOldCharges deletes the stored charges that are no longer needed.
func (d *Drainer) deleteOldCharges(wall time.Time) {
	keys := d.ledger.RemoveOldCharges(wall)
	slices.Sort(keys)
	for _, key := range keys {
		d.cluster.Writes.Background.Delete(key)
	}
}
