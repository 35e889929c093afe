package startlog

import (
	"sort"

	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/records"
)

// Record is a start record and the attempts that it still stands for.
type Record struct {
	log      *Log
	key      string
	live     int  // attempts
	saved    bool // durable or on its way
	closed   bool // takes no further starts
	size     records.StartsSize
	attempts []*machines.Attempt // until it is durable
}

// add puts an attempt in.
func (r *Record) add(machine records.MachineStarts, a *machines.Attempt) {
	r.size.Add(machine, a.Job.ID)
	r.attempts = append(r.attempts, a)
	r.AddLoaded(a)
}

// AddLoaded counts an attempt that the stored record names.
func (r *Record) AddLoaded(a *machines.Attempt) {
	r.live++
	a.Record = r
}

// Size implements records.PendingStarts.
func (r *Record) Size() int {
	if r.live == 0 {
		return 0
	}
	return r.size.Bytes()
}

// Take implements records.PendingStarts.
func (r *Record) Take() *records.Write {
	r.closed = true
	if r.live == 0 {
		return nil
	}
	r.saved = true
	return &records.Write{
		Key:       r.key,
		Value:     r.starts().Encode(),
		OnCommit:  []func(){func() { r.finish(r.log.callbacks.Durable) }},
		OnRefused: func() { r.finish(r.log.callbacks.Refused) },
	}
}

// finish calls back for the attempts whose start waited for the record.
func (r *Record) finish(callback func(*machines.Attempt)) {
	for _, a := range r.attempts {
		if a.State() == machines.RecordPending && a.Record == r {
			callback(a)
		}
	}
	r.attempts, r.size = nil, records.StartsSize{}
}

// starts is the record's content; attempts that have ended meanwhile are left out.
func (r *Record) starts() *records.Starts {
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
		machine := m.NewStartsRecord()
		for id, indexes := range byMachine[m] {
			sort.Ints(indexes)
			machine.SetTasks(id, indexes)
		}
		starts.Machines = append(starts.Machines, machine)
	}
	return starts
}
