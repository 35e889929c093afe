package startlog

import (
	"sort"

	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/records"
)

// Record is a start record, either queued or stored.
type Record struct {
	log          *Log
	key          string
	liveAttempts int  // number of linked attempts, which have not ended
	written      bool // durable or in a batch
	closed       bool // accepts no further attempts
	size         records.StartsSize
	// attempts are the attempts that were added before the record was written. The list is cleared
	// when the record is durable or refused.
	attempts []*machines.Attempt
}

// add adds an attempt to a record that is not written yet.
func (r *Record) add(machine records.MachineStarts, a *machines.Attempt) {
	r.size.Add(machine, a.Job.ID)
	r.attempts = append(r.attempts, a)
	r.LinkAttempt(a)
}

// LinkAttempt links an attempt to the record, which names it. The record is not deleted while it has
// linked attempts.
func (r *Record) LinkAttempt(a *machines.Attempt) {
	r.liveAttempts++
	a.StartRecord = r
}

// MaxSize implements records.PendingStarts.
func (r *Record) MaxSize() int {
	if r.liveAttempts == 0 {
		return 0
	}
	return r.size.Bytes()
}

// Finalize implements records.PendingStarts.
func (r *Record) Finalize() *records.Write {
	r.closed = true
	if r.liveAttempts == 0 {
		return nil
	}
	r.written = true
	return &records.Write{
		Key:       r.key,
		Value:     r.buildStarts().Encode(),
		OnCommit:  []func(){func() { r.notifyAttempts(r.log.callbacks.OnDurable) }},
		OnRefused: func() { r.notifyAttempts(r.log.callbacks.OnRefused) },
	}
}

// notifyAttempts calls callback for each attempt whose start waits until the record is durable. It
// then clears the fields that are not needed any more.
func (r *Record) notifyAttempts(callback func(*machines.Attempt)) {
	for _, a := range r.attempts {
		if a.State() == machines.RecordPending && a.StartRecord == r {
			callback(a)
		}
	}
	r.attempts, r.size = nil, records.StartsSize{}
}

// buildStarts returns the content of the record, which excludes attempts that have ended.
func (r *Record) buildStarts() *records.Starts {
	byMachine := map[*machines.Machine]map[string][]int{}
	var order []*machines.Machine
	for _, a := range r.attempts {
		if a.StartRecord != r {
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
		machine := m.NewStartsRecord()
		for id, indexes := range byMachine[m] {
			sort.Ints(indexes)
			machine.SetTasks(id, indexes)
		}
		starts.Machines = append(starts.Machines, machine)
	}
	return starts
}
