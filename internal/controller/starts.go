package controller

import (
	"encoding/json"
	"fmt"
	"sort"

	"switchshore.example/switchshore/internal/ranges"
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
func (c *Controller) recordStart(a *attempt) {
	// What the attempt can add at most: a machine with its frame, a job, an index.
	size := 8
	var log *pendingRecord
	if n := len(c.unsavedStarts); n > 0 {
		log = c.unsavedStarts[n-1]
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
	if log == nil || float64(log.size+cost()) > float64(c.valueLimit())*tuning.ValueShare {
		c.startRecords++
		log = &pendingRecord{key: keyStarts(c.term, c.startRecords), size: 32, machines: map[*machine]map[*job]bool{}}
		c.unsavedStarts = append(c.unsavedStarts, log)
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
func (c *Controller) unrecord(a *attempt) {
	log := a.record
	if log == nil {
		return
	}
	a.record = nil
	if log.live--; log.live == 0 && log.saved {
		c.backgroundWrites.del(log.key)
	}
}

// addStartRecords puts the records of starts into a batch.
func (c *Controller) addStartRecords(b *Batch, maxOps int) {
	for len(c.unsavedStarts) > 0 {
		log := c.unsavedStarts[0]
		if log.live > 0 {
			if !b.fits(log.size+64, maxOps) {
				return
			}
			b.add(&write{key: log.key, value: log.value(), onCommit: []func(){func() { c.startsDurable(log) }}, onRefused: func() { c.startsRefused(log) }})
			log.saved = true
		}
		c.unsavedStarts = c.unsavedStarts[1:]
	}
	c.unsavedStarts = nil
}

// startsDurable lets the starts of a stored record go out.
func (c *Controller) startsDurable(log *pendingRecord) {
	for _, a := range log.attempts {
		if a.state == recordPending && a.record == log {
			a.state = startSent
			c.scheduleCall(a.machine)
		}
	}
	log.attempts, log.machines = nil, nil
}

// startsRefused lets the tasks of a record that can't be stored be placed anew:
// none of its starts has gone out.
func (c *Controller) startsRefused(log *pendingRecord) {
	for _, a := range log.attempts {
		if a.state == recordPending && a.record == log {
			c.drop(a.orderedAt, a)
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
			tasks[id] = ranges.FormatList(list)
		}
		rec.Machines = append(rec.Machines, machineStarts{ID: m.id, Type: m.machineType, Zone: m.zone, Spot: m.spot, Tasks: tasks})
	}
	value, _ := json.Marshal(rec)
	return value
}
