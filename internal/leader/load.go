package leader

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"switchshore.example/switchshore/internal/intervals"
	"switchshore.example/switchshore/wire"
)

// Prefixes of the stored records, in the order in which they must be loaded:
// pieces of jobs, the jobs, their completions, the final states, then the starts,
// oldest first. Below "m/" earlier versions kept one record a machine. The
// catalogue comes first: a successor that waited for the cloud's would refuse
// submissions.
var Prefixes = []string{keyTypes, "n/", "j/", "d/", "f/", "m/", "s/", keyDrains, keyCharges}

// loading is what is kept only while stored records are loaded.
type loading struct {
	loadedStarts  []*pendingRecord  // a predecessor's start records
	pieces        map[string][]byte // parts of job records, by key
	loadedCharges []loadedCharge
}

// LoadRecord takes in one stored record; wall and now relate the time of day in
// the records to the steady clock.
func (l *Leader) LoadRecord(now, wall time.Time, item wire.KeyValue) error {
	kind, id, ok := strings.Cut(item.Key, "/")
	if !ok {
		return nil
	}
	err := l.load(now, wall, kind, id, item.Value)
	if err == nil {
		return nil
	}
	switch kind {
	case "c", "d", "n", "e", "b":
		// The cloud tells the catalogue again, tasks without a completion run
		// again, a piece may belong to no job, and drains can wait: no reason to serve nobody.
		l.log.Error().Err(err).Str("key", item.Key).Msg("corrupt record skipped")
		return nil
	}
	return fmt.Errorf("%w %s: %w", ErrDamaged, item.Key, err)
}

// load takes in a record by the part of its key before the first slash.
func (l *Leader) load(now, wall time.Time, kind, id string, value json.RawMessage) error {
	switch kind {
	case "c":
		return l.loadTypes(value)
	case "n":
		return l.loadPiece(id, value)
	case "j":
		return l.loadJob(now, wall, id, value)
	case "d":
		return l.loadCompletions(id, value)
	case "f":
		return l.loadFinal(id, value)
	case "m":
		var rec machineStarts
		if err := json.Unmarshal(value, &rec); err != nil {
			return err
		}
		rec.ID = id
		return l.loadStarts(now, "m/"+id, []machineStarts{rec})
	case "s":
		var rec startRecord
		if err := json.Unmarshal(value, &rec); err != nil {
			return err
		}
		return l.loadStarts(now, "s/"+id, rec.Machines)
	case "e":
		return l.loadDrain(id, value)
	case "b":
		return l.loadCharge(now, wall, id, value)
	}
	return nil
}

func (l *Leader) loadTypes(value json.RawMessage) error {
	var types []wire.MachineType
	if err := json.Unmarshal(value, &types); err != nil {
		return err
	}
	l.catalogue = value // as stored: nothing to be written
	l.SetMachineTypes(types)
	return nil
}

// loadPiece keeps a piece of a job record until the job is loaded.
func (l *Leader) loadPiece(id string, value json.RawMessage) error {
	var piece []byte
	err := json.Unmarshal(value, &piece)
	l.pieces["n/"+id] = piece
	return err
}

func (l *Leader) loadCompletions(id string, value json.RawMessage) error {
	key := "d/" + id
	jobID, _, _ := strings.Cut(id, "/")
	j := l.jobs[jobID]
	if j == nil {
		// Left by a leader of an earlier version, which doesn't know of it.
		l.backgroundWrites.del(key)
		return nil
	}
	j.keys[key] = true
	var completed string
	if err := json.Unmarshal(value, &completed); err != nil {
		return err
	}
	if j.durable == nil {
		j.durable = intervals.New(j.Tasks)
	}
	return intervals.Each(completed, j.Tasks, func(i int) {
		j.done.Add(i)
		j.durable.Add(i)
	})
}

func (l *Leader) loadFinal(id string, value json.RawMessage) error {
	f, err := parseFinal(value)
	if err != nil {
		return err
	}
	l.finals[id] = f
	j := l.jobs[id]
	if j == nil {
		return nil
	}
	j.endDurable = true
	j.state = jobCancelled
	if f.how == finalDone {
		j.state = jobDone
	}
	l.countUnfinished(j.Team, -j.Tasks)
	return nil
}

// loadStarts takes in a start record: its machines may hold its tasks.
func (l *Leader) loadStarts(now time.Time, key string, machines []machineStarts) error {
	log := &pendingRecord{key: key, saved: true}
	l.loadedStarts = append(l.loadedStarts, log)
	for _, rec := range machines {
		m := l.machines[rec.ID]
		if m == nil {
			m = l.addMachine(now, rec.ID, rec.Type, rec.Zone, "", rec.Spot)
		}
		m.fromRecord, m.joined = true, true
		for _, id := range slices.Sorted(maps.Keys(rec.Tasks)) {
			text := rec.Tasks[id]
			j := l.jobs[id]
			if j == nil {
				continue
			}
			err := intervals.Each(text, j.Tasks, func(i int) {
				// A stored completion proves that the task has exited and is
				// not started again.
				if j.done.Has(i) {
					return
				}
				earlier := j.recordedAttempts[int32(i)]
				a := &attempt{state: statePossiblyStarted, orderedAt: now, record: log}
				log.live++
				l.allocate(m, j, int32(i), a)
				if j.recordedAttempts == nil {
					j.recordedAttempts = map[int32]*attempt{}
				}
				j.recordedAttempts[int32(i)] = a
				if earlier != nil {
					// It was started again since, so it had left that place.
					l.release(now, earlier)
				}
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// FinishLoading ends the loading: tasks that no machine may hold can be placed.
func (l *Leader) FinishLoading(now time.Time) {
	for _, log := range l.loadedStarts {
		if log.live == 0 {
			l.backgroundWrites.del(log.key)
		}
	}
	l.loadedStarts = nil
	for _, key := range slices.Sorted(maps.Keys(l.pieces)) {
		// Of a job that was not accepted, or is over.
		l.backgroundWrites.del(key)
	}
	l.pieces = nil
	jobs := l.sortedJobs()
	l.linkAllDependencies(jobs)
	for _, j := range jobs {
		j.recordedAttempts = nil
		if len(j.DependsOn) > 0 {
			// When the last job that it needs was done is not stored.
			j.waitingSince, j.startAt = now, now
		}
		if j.state == jobActive && j.done.Full() {
			l.end(now, j, jobDone, &l.interactiveWrites)
		}
		l.releaseIfUnblocked(now, j)
		l.removeIfFinished(j)
	}
	for len(l.toCancel) > 0 {
		// All of them, before anyone is told anything.
		l.processDependencyChanges(now)
	}
	l.applyLoadedDrains()
	l.changed = true
	l.log.Info().Int("jobs", len(l.jobs)).Int("ended", len(l.finals)).Int("machines", len(l.machines)).Msg("records loaded")
}

// Counts sums the state up for logs.
type Counts struct {
	Jobs, Ready, Allocated, Machines, Up, Spot, Writes int
	// DependencyStepsPerTick are the steps still to be taken after the ends of jobs that others
	// need.
	DependencySteps int
	// ScoredPairs are the pairs of job and machine looked at so far.
	ScoredPairs int
	// DrainSteps are the machines and attempts that drains have looked at so far.
	DrainSteps int
	// UsedCPUs may be in use, of the CPUs of machines that are up; WantedCPUs
	// are those of ready tasks.
	CPUs, UsedCPUs, WantedCPUs float64
}

// Counts returns the sums.
func (l *Leader) Counts() Counts {
	n := Counts{Jobs: len(l.jobs), Machines: len(l.machines), Writes: l.queued(), ScoredPairs: l.scores, DrainSteps: l.drainLooks}
	n.DependencySteps = l.openSteps()
	for _, j := range l.jobs {
		n.Ready += len(j.ready)
		n.WantedCPUs += float64(len(j.ready)) * j.CPUs
		n.Allocated += j.allocatedTasks
	}
	for _, m := range l.machines {
		if m.joined && !m.releasing {
			n.Up++
			n.CPUs += m.total.CPUs
			n.UsedCPUs += m.total.CPUs - m.free.CPUs
			if m.spot {
				n.Spot++
			}
		}
	}
	return n
}
