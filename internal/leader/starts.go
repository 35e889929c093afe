package leader

import (
	"encoding/json"
	"fmt"
	"sort"

	"switchshore.example/switchshore/internal/intervals"
	"switchshore.example/switchshore/internal/tuning"
)

// startRecord is the stored form of starts decided together: which tasks may
// have gone to which machine. It is written before the first of them goes out,
// so that a successor knows whom to ask for which task, and deleted when none
// of its attempts is left. One change thus carries the starts of a whole pass,
// however many machines they go to.
//
// Records are ordered by their keys. Where several name a task the last one
// holds: a task is started again only when it provably is nowhere else.
type startRecord struct {
	Machines []machineStarts `json:"machines"`
}

type machineStarts struct {
	ID   string `json:"id"`
	Type string `json:"type"`
	Zone string `json:"zone"`
	Spot bool   `json:"spot,omitempty"`
	// Tasks are ranges of task indexes by job.
	Tasks map[string]string `json:"tasks"`
}

// pendingRecord is a start record and the attempts that it still stands for.
type pendingRecord struct {
	key      string
	live     int
	size     int // bytes, at most
	saved    bool
	attempts []*attempt // until it is durable
	machines map[*machine]map[*job]bool
}

func keyStarts(term, number uint64) string { return fmt.Sprintf("s/%08x-%08x", term, number) }

// recordStart puts an attempt into the record that is written next.
func (l *Leader) recordStart(a *attempt) {
	// What the attempt can add at most: a machine with its frame, a job, an index.
	size := 8
	var log *pendingRecord
	if n := len(l.unsavedStarts); n > 0 {
		log = l.unsavedStarts[n-1]
	}
	cost := func() int {
		sum := size
		var jobs map[*job]bool
		if log != nil {
			jobs = log.machines[a.machine]
		}
		if jobs == nil {
			sum += len(a.machine.id) + len(a.machine.machineType) + len(a.machine.zone) + 72
		}
		if !jobs[a.job] {
			sum += len(a.job.ID) + 8
		}
		return sum
	}
	if log == nil || float64(log.size+cost()) > float64(l.valueLimit())*tuning.StartRecordValueShare {
		l.startRecords++
		log = &pendingRecord{key: keyStarts(l.term, l.startRecords), size: 32, machines: map[*machine]map[*job]bool{}}
		l.unsavedStarts = append(l.unsavedStarts, log)
	}
	log.size += cost()
	if log.machines[a.machine] == nil {
		log.machines[a.machine] = map[*job]bool{}
	}
	log.machines[a.machine][a.job] = true
	log.live++
	log.attempts = append(log.attempts, a)
	a.record = log
}

// unrecord takes an attempt that is gone out of its record's count.
func (l *Leader) unrecord(a *attempt) {
	log := a.record
	if log == nil {
		return
	}
	a.record = nil
	if log.live--; log.live == 0 && log.saved {
		l.backgroundWrites.del(log.key)
	}
}

// addStartRecords puts the records of starts into a batch.
func (l *Leader) addStartRecords(b *Batch, maxOps int) {
	for len(l.unsavedStarts) > 0 {
		log := l.unsavedStarts[0]
		if log.live > 0 {
			if !b.fits(log.size+64, maxOps) {
				return
			}
			b.add(&write{key: log.key, value: log.value(), onCommit: []func(){func() { l.startsDurable(log) }}, onRefused: func() { l.startsRefused(log) }})
			log.saved = true
		}
		l.unsavedStarts = l.unsavedStarts[1:]
	}
	l.unsavedStarts = nil
}

// startsDurable lets the starts of a stored record go out.
func (l *Leader) startsDurable(log *pendingRecord) {
	for _, a := range log.attempts {
		if a.state == stateRecordPending && a.record == log {
			a.state = stateStartSent
			l.scheduleCall(a.machine)
		}
	}
	log.attempts, log.machines = nil, nil
}

// startsRefused lets the tasks of a record that can't be stored be placed anew:
// none of its starts has gone out.
func (l *Leader) startsRefused(log *pendingRecord) {
	for _, a := range log.attempts {
		if a.state == stateRecordPending && a.record == log {
			l.release(a.orderedAt, a)
		}
	}
	log.attempts, log.machines = nil, nil
}

// value is the record's stored form; attempts gone meanwhile are left out.
func (log *pendingRecord) value() json.RawMessage {
	byMachine := map[*machine]map[string][]int{}
	var order []*machine
	for _, a := range log.attempts {
		if a.record != log {
			continue
		}
		jobs := byMachine[a.machine]
		if jobs == nil {
			jobs = map[string][]int{}
			byMachine[a.machine] = jobs
			order = append(order, a.machine)
		}
		jobs[a.job.ID] = append(jobs[a.job.ID], int(a.index))
	}
	rec := startRecord{}
	for _, m := range order {
		tasks := map[string]string{}
		for id, list := range byMachine[m] {
			sort.Ints(list)
			tasks[id] = intervals.FormatList(list)
		}
		rec.Machines = append(rec.Machines, machineStarts{ID: m.id, Type: m.machineType, Zone: m.zone, Spot: m.spot, Tasks: tasks})
	}
	value, _ := json.Marshal(rec)
	return value
}
