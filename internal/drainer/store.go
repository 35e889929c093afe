package drainer

import (
	"encoding/json"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/records"
)

// loadedCharge is a charge of an earlier leader.
type loadedCharge struct {
	key    string
	charge *drain.Charge
	at     time.Time
}

// LoadDrain loads a stored drain. The errors are those of drain.DecodeRecord.
func (d *Drainer) LoadDrain(name string, value json.RawMessage) error {
	if d.config.Budgets == nil {
		return nil
	}
	r, err := drain.DecodeRecord(name, value)
	if err != nil {
		d.unreadable[name] = true
		return err
	}
	d.drains[name] = &storedDrain{r, true}
	return nil
}

// LoadCharge loads a stored charge; wall and now relate the time of day in the record to
// the steady clock. The errors are those of drain.DecodeCharge.
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

// FinishLoading cordons what the loaded drains have cordoned, and counts what they have
// been charged for, before the first placement.
func (d *Drainer) FinishLoading() {
	for _, loaded := range d.loadedCharges {
		d.ledger.RecordCharge(loaded.key, loaded.charge, loaded.at, d.teamOfAttempt)
	}
	d.loadedCharges = nil
	for _, m := range d.cluster.Machines.All() {
		d.ApplyCordon(m)
	}
}

// teamOfAttempt is the team of a task that is still to run.
func (d *Drainer) teamOfAttempt(a drain.Attempt) (string, bool) {
	j := d.cluster.Job(a.Job)
	if j == nil || a.Index < 0 || int(a.Index) >= j.Tasks || !j.NeedsTask(int(a.Index)) {
		return "", false
	}
	return j.Team, true
}

// storeDrain queues the write of a drain's record and calls then when it is durable.
func (d *Drainer) storeDrain(r *storedDrain, then func()) {
	d.cluster.Writes.Interactive.Put(records.DrainKey(r.Spec.Name), r.Encode(), func() {
		r.durable = true
		if then != nil {
			then()
		}
	})
}

// storeCharge counts a charge and queues its write; then is called when it is durable.
func (d *Drainer) storeCharge(now time.Time, charge *drain.Charge, then func()) {
	d.chargesNamed++
	key := records.ChargeKey(d.config.Term, d.chargesNamed)
	d.ledger.RecordCharge(key, charge, now, d.teamOfAttempt)
	d.cluster.Writes.Interactive.Put(key, charge.Encode(), then)
}

// expireCharges deletes the charges that count no more.
func (d *Drainer) expireCharges(wall time.Time) {
	keys := d.ledger.Expire(wall)
	slices.Sort(keys)
	for _, key := range keys {
		d.cluster.Writes.Background.Delete(key)
	}
}
