package leader

import (
	"sort"

	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/tuning"
)

// startLog collects the starts of a scheduling pass in records.
type startLog struct {
	named  uint64         // records named so far
	newest *pendingStarts // takes further starts until it is full or put into a batch
}

// pendingStarts is a start record and the attempts that it still stands for.
type pendingStarts struct {
	key      string
	live     int
	saved    bool // durable or on its way
	closed   bool // takes no further starts
	size     *records.StartsSize
	attempts []*machines.Attempt // until it is durable
	leader   *Leader
}

// recordStart puts an attempt into the record that is written next.
func (l *Leader) recordStart(a *machines.Attempt) {
	machine, jobID := a.Machine.RecordIdentity(), a.Job.ID
	rec := l.starts.newest
	if rec == nil || rec.closed || float64(rec.size.With(machine, jobID)) > float64(l.valueLimit())*tuning.StartRecordValueShare {
		rec = l.newStartRecord()
	}
	rec.size.Add(machine, jobID)
	rec.live++
	rec.attempts = append(rec.attempts, a)
	a.Record = rec
}

// newStartRecord queues an empty record.
func (l *Leader) newStartRecord() *pendingStarts {
	l.starts.named++
	rec := &pendingStarts{key: records.StartsKey(l.term, l.starts.named), size: records.NewStartsSize(), leader: l}
	l.starts.newest = rec
	l.writes.PutStarts(rec)
	return rec
}

// unrecord takes an attempt that is gone out of its record's count.
func (l *Leader) unrecord(a *machines.Attempt) {
	rec, recorded := a.Record.(*pendingStarts)
	if !recorded {
		return
	}
	a.Record = nil
	if rec.live--; rec.live == 0 && rec.saved {
		l.writes.Background.Delete(rec.key)
	}
}

// Size implements records.PendingStarts.
func (r *pendingStarts) Size() int {
	if r.live == 0 {
		return 0
	}
	return r.size.Bytes()
}

// Take implements records.PendingStarts.
func (r *pendingStarts) Take() *records.Write {
	r.closed = true
	if r.live == 0 {
		return nil
	}
	r.saved = true
	return &records.Write{
		Key:       r.key,
		Value:     r.starts().Encode(),
		OnCommit:  []func(){r.sendStarts},
		OnRefused: r.abandonStarts,
	}
}

// sendStarts lets the starts of a durable record go out.
func (r *pendingStarts) sendStarts() {
	for _, a := range r.attempts {
		if a.State == machines.RecordPending && a.Record == r {
			a.State = machines.StartSent
			r.leader.scheduleCall(a.Machine)
		}
	}
	r.attempts, r.size = nil, nil
}

// abandonStarts lets the tasks of a record that can't be stored be placed anew:
// none of its starts has gone out.
func (r *pendingStarts) abandonStarts() {
	for _, a := range r.attempts {
		if a.State == machines.RecordPending && a.Record == r {
			r.leader.release(a.OrderedAt, a)
		}
	}
	r.attempts, r.size = nil, nil
}

// starts is the record's content; attempts that have ended meanwhile are left out.
func (r *pendingStarts) starts() *records.Starts {
	byMachine := map[*machines.Machine]map[string][]int{}
	var order []*machines.Machine
	for _, a := range r.attempts {
		if a.Record != r {
			continue
		}
		tasks := byMachine[a.Machine]
		if tasks == nil {
			tasks = map[string][]int{}
			byMachine[a.Machine] = tasks
			order = append(order, a.Machine)
		}
		tasks[a.Job.ID] = append(tasks[a.Job.ID], int(a.Index))
	}
	starts := &records.Starts{}
	for _, m := range order {
		machine := m.RecordIdentity()
		for id, indexes := range byMachine[m] {
			sort.Ints(indexes)
			machine.SetTasks(id, indexes)
		}
		starts.Machines = append(starts.Machines, machine)
	}
	return starts
}
