package controller

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"switchshore.example/switchshore/internal/ranges"
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

// Load takes in one stored record; wall and now relate the time of day in
// the records to the steady clock.
func (c *Controller) Load(now, wall time.Time, item wire.Item) error {
	kind, id, ok := strings.Cut(item.Key, "/")
	if !ok {
		return nil
	}
	err := c.load(now, wall, kind, id, item.Value)
	if err == nil {
		return nil
	}
	switch kind {
	case "c", "d", "n", "e", "b":
		// The cloud tells the catalogue again, tasks without a completion run
		// again, a piece may belong to no job, and drains can wait: no reason to serve nobody.
		c.log.Error().Err(err).Str("key", item.Key).Msg("damaged record, left out")
		return nil
	}
	return fmt.Errorf("%w %s: %w", ErrDamaged, item.Key, err)
}

// load takes in a record by the part of its key before the first slash.
func (c *Controller) load(now, wall time.Time, kind, id string, value json.RawMessage) error {
	switch kind {
	case "c":
		return c.loadTypes(value)
	case "n":
		return c.loadPiece(id, value)
	case "j":
		return c.loadJob(now, wall, id, value)
	case "d":
		return c.loadCompletions(id, value)
	case "f":
		return c.loadFinal(id, value)
	case "m":
		var rec machineStarts
		if err := json.Unmarshal(value, &rec); err != nil {
			return err
		}
		rec.ID = id
		return c.loadStarts(now, "m/"+id, []machineStarts{rec})
	case "s":
		var rec startRecord
		if err := json.Unmarshal(value, &rec); err != nil {
			return err
		}
		return c.loadStarts(now, "s/"+id, rec.Machines)
	case "e":
		return c.loadDrain(id, value)
	case "b":
		return c.loadCharge(now, wall, id, value)
	}
	return nil
}

func (c *Controller) loadTypes(value json.RawMessage) error {
	var types []wire.MachineType
	if err := json.Unmarshal(value, &types); err != nil {
		return err
	}
	c.catalogue = value // as stored: nothing to be written
	c.SetTypes(types)
	return nil
}

// loadPiece keeps a piece of a job record until the job is loaded.
func (c *Controller) loadPiece(id string, value json.RawMessage) error {
	var piece []byte
	err := json.Unmarshal(value, &piece)
	c.pieces["n/"+id] = piece
	return err
}

func (c *Controller) loadCompletions(id string, value json.RawMessage) error {
	key := "d/" + id
	jobID, _, _ := strings.Cut(id, "/")
	j := c.jobs[jobID]
	if j == nil {
		// Left by a leader of an earlier version, which doesn't know of it.
		c.backgroundWrites.del(key)
		return nil
	}
	j.keys[key] = true
	var completed string
	if err := json.Unmarshal(value, &completed); err != nil {
		return err
	}
	if j.durable == nil {
		j.durable = ranges.New(j.Tasks)
	}
	return ranges.Each(completed, j.Tasks, func(i int) {
		j.done.Add(i)
		j.durable.Add(i)
	})
}

func (c *Controller) loadFinal(id string, value json.RawMessage) error {
	f, err := parseFinal(value)
	if err != nil {
		return err
	}
	c.finals[id] = f
	j := c.jobs[id]
	if j == nil {
		return nil
	}
	j.ended = true
	j.state = jobCancelled
	if f.how == finalDone {
		j.state = jobDone
	}
	c.countUnfinished(j.Team, -j.Tasks)
	return nil
}

// loadStarts takes in a start record: its machines may hold its tasks.
func (c *Controller) loadStarts(now time.Time, key string, machines []machineStarts) error {
	log := &pendingRecord{key: key, saved: true}
	c.loadedStarts = append(c.loadedStarts, log)
	for _, rec := range machines {
		m := c.machines[rec.ID]
		if m == nil {
			m = c.addMachine(now, rec.ID, rec.Type, rec.Zone, "", rec.Spot)
		}
		m.recorded, m.up = true, true
		for _, id := range slices.Sorted(maps.Keys(rec.Tasks)) {
			text := rec.Tasks[id]
			j := c.jobs[id]
			if j == nil {
				continue
			}
			err := ranges.Each(text, j.Tasks, func(i int) {
				// A stored completion proves that the task has exited and is
				// not started again.
				if j.done.Has(i) {
					return
				}
				earlier := j.claims[int32(i)]
				a := &attempt{state: possiblyStarted, orderedAt: now, record: log}
				log.live++
				c.hold(m, j, int32(i), a)
				if j.claims == nil {
					j.claims = map[int32]*attempt{}
				}
				j.claims[int32(i)] = a
				if earlier != nil {
					// It was started again since, so it had left that place.
					c.drop(now, earlier)
				}
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// Loaded ends the loading: tasks that no machine may hold can be placed.
func (c *Controller) Loaded(now time.Time) {
	for _, log := range c.loadedStarts {
		if log.live == 0 {
			c.backgroundWrites.del(log.key)
		}
	}
	c.loadedStarts = nil
	for _, key := range slices.Sorted(maps.Keys(c.pieces)) {
		// Of a job that was not accepted, or is over.
		c.backgroundWrites.del(key)
	}
	c.pieces = nil
	jobs := c.sortedJobs()
	c.linkAllDependencies(jobs)
	for _, j := range jobs {
		j.claims = nil
		if len(j.Needs) > 0 {
			// When the last job that it needs was done is not stored.
			j.since, j.startAt = now, now
		}
		if j.state == jobActive && j.done.Full() {
			c.end(now, j, jobDone, &c.interactiveWrites)
		}
		c.releaseIfUnblocked(now, j)
		c.tidy(j)
	}
	for len(c.toCancel) > 0 {
		// All of them, before anyone is told anything.
		c.processDependencyChanges(now)
	}
	c.applyLoadedDrains()
	c.changed = true
	c.log.Info().Int("jobs", len(c.jobs)).Int("ended", len(c.finals)).Int("machines", len(c.machines)).Msg("loaded")
}

// Counts sums the state up for logs.
type Counts struct {
	Jobs, Ready, Held, Machines, Up, Spot, Writes int
	// Chain are the steps still to be taken after the ends of jobs that others
	// need.
	Chain int
	// Scores are the pairs of job and machine looked at so far.
	Scores int
	// DrainLooks are the machines and attempts that drains have looked at so far.
	DrainLooks int
	// UsedCPUs may be in use, of the CPUs of machines that are up; WantedCPUs
	// are those of ready tasks.
	CPUs, UsedCPUs, WantedCPUs float64
}

// Counts returns the sums.
func (c *Controller) Counts() Counts {
	n := Counts{Jobs: len(c.jobs), Machines: len(c.machines), Writes: c.queued(), Scores: c.scores, DrainLooks: c.drainLooks}
	n.Chain = c.openSteps()
	for _, j := range c.jobs {
		n.Ready += len(j.ready)
		n.WantedCPUs += float64(len(j.ready)) * j.CPUs
		n.Held += j.held
	}
	for _, m := range c.machines {
		if m.up && !m.releasing {
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
