package leader

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/intervals"
	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/startlog"
	"switchshore.example/switchshore/wire"
)

// loadState holds the data that is needed only while stored records are loaded.
type loadState struct {
	pieces records.JobPieces // pieces of job records too large for one value, by key
	// attempts holds the attempt of each task in the newest start record that lists the task.
	attempts map[taskKey]*machines.Attempt
}

// taskKey identifies a task of a job.
type taskKey struct {
	job   *jobs.Job
	index int32
}

// LoadRecord loads one stored record, and ignores keys that belong to no kind of record. Records
// must be loaded in records.LoadOrder. now and wall are the same instant on the monotonic clock and
// in wall-clock time, which is the time that records contain. For a corrupt record, LoadRecord
// returns a records.CorruptError, or logs the error and returns nil if the service can do without
// the record.
func (l *Leader) LoadRecord(now, wall time.Time, item wire.KeyValue) error {
	kind, id, ok := records.ParseKey(item.Key)
	if !ok {
		return nil
	}
	err := l.loadRecordOfKind(now, wall, kind, id, item)
	switch {
	case err == nil:
		return nil
	case kind.IsOptional():
		l.log.Error().Err(err).Str("key", item.Key).Msg("corrupt record skipped")
		return nil
	}
	return &records.CorruptError{Key: item.Key, Err: err}
}

// loadRecordOfKind loads a record of the given kind. id is the part of the key that identifies the
// record among those of its kind.
func (l *Leader) loadRecordOfKind(now, wall time.Time, kind records.Kind, id string, item wire.KeyValue) error {
	switch kind {
	case records.KindMachineTypes:
		return l.loadMachineTypes(item.Value)
	case records.KindJobPiece:
		return l.loading.pieces.Add(item.Key, item.Value)
	case records.KindJob:
		return l.loadJob(now, wall, id, item.Value)
	case records.KindCompletions:
		return l.loadCompletions(id, item)
	case records.KindFinalState:
		return l.loadFinalState(id, item.Value)
	case records.KindMachineStarts: // written by earlier versions
		starts, err := records.DecodeMachineStarts(id, item.Value)
		if err != nil {
			return err
		}
		return l.loadStarts(now, item.Key, starts)
	case records.KindStarts:
		starts, err := records.DecodeStarts(item.Value)
		if err != nil {
			return err
		}
		return l.loadStarts(now, item.Key, starts)
	case records.KindDrain:
		return l.drainer.LoadDrain(id, item.Value)
	case records.KindCharge: // evictions charged to a drain
		return l.drainer.LoadCharge(now, wall, item.Key, item.Value)
	}
	return nil
}

func (l *Leader) loadMachineTypes(value json.RawMessage) error {
	types, err := records.DecodeMachineTypes(value)
	if err != nil {
		return err
	}
	l.catalogue.SetStoredTypes(value) // already stored: needs no write
	l.SetMachineTypes(types)
	return nil
}

// loadJob loads a job's record. The pieces of the record must have been loaded before.
func (l *Leader) loadJob(now, wall time.Time, id string, value json.RawMessage) error {
	stored, err := records.DecodeJob(id, value, l.loading.pieces)
	if err != nil {
		return err
	}
	sinceSubmission := max(0, wall.Sub(time.UnixMilli(stored.SubmittedAtMS)))
	j := jobs.Restore(stored, now.Add(-sinceSubmission))
	l.jobs.Add(j)
	l.admission.addUnfinished(j.Team, j.Tasks)
	return nil
}

// loadCompletions loads a record of completed tasks of a job.
func (l *Leader) loadCompletions(id string, item wire.KeyValue) error {
	j := l.jobs.Get(records.CompletionsJobID(id))
	if j == nil {
		// A leader of an earlier version, which does not know this kind of record, deleted the job
		// without it.
		l.writes.Background.Delete(item.Key)
		return nil
	}
	j.AddRecordKey(item.Key)
	return records.DecodeCompletions(item.Value, j.Tasks, j.RestoreCompletion)
}

// loadFinalState loads the final state of a job.
func (l *Leader) loadFinalState(id string, value json.RawMessage) error {
	f, err := records.DecodeFinalState(value)
	if err != nil {
		return err
	}
	l.jobs.SetFinalState(id, f)
	j := l.jobs.Get(id)
	if j == nil {
		return nil
	}
	j.RestoreEnd(f)
	l.admission.addUnfinished(j.Team, -j.Tasks)
	return nil
}

// loadStarts loads a start record, which lists the tasks that may be on each of its machines.
func (l *Leader) loadStarts(now time.Time, key string, starts *records.Starts) error {
	record := l.startLog.AddLoadedRecord(key)
	for _, machine := range starts.Machines {
		m := l.machines.Get(machine.ID)
		if m == nil {
			m = l.addMachine(now, machine.ID, machine.Type, machine.Zone, "", machine.Spot)
		}
		m.MarkInStartRecord()
		for _, id := range slices.Sorted(maps.Keys(machine.Tasks)) {
			j := l.jobs.Get(id)
			if j == nil {
				// The job has ended, and its records have been deleted.
				continue
			}
			err := intervals.ParseEach(machine.Tasks[id], j.Tasks, func(i int) { l.loadAttempt(now, record, m, j, int32(i)) })
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// loadAttempt adds an attempt for a task that may be on a machine, unless the task is completed.
func (l *Leader) loadAttempt(now time.Time, record *startlog.Record, m *machines.Machine, j *jobs.Job, index int32) {
	if j.IsCompleted(index) {
		// A stored completion proves that the task has exited and is not started again.
		return
	}
	task := taskKey{j, index}
	earlierAttempt := l.loading.attempts[task]
	a := machines.NewPossiblyStartedAttempt(m, j, index, now)
	record.LinkAttempt(a)
	l.ledger.Allocate(a)
	l.loading.attempts[task] = a
	if earlierAttempt != nil {
		// The task was started on m later, so it had left the earlier machine by then.
		l.releaseAttempt(now, earlierAttempt)
	}
}

// FinishLoading ends the loading of records. From then on, tasks that are on no machine can be
// placed.
func (l *Leader) FinishLoading(now time.Time) {
	l.startLog.FinishLoading()
	for _, key := range slices.Sorted(maps.Keys(l.loading.pieces)) {
		// The remaining pieces belong to jobs that were not accepted or have ended.
		l.writes.Background.Delete(key)
	}
	loadedJobs := l.jobs.Sorted()
	l.linkLoadedJobs(loadedJobs)
	for _, j := range loadedJobs {
		if len(j.DependsOn) > 0 {
			// The record does not contain the time at which the last dependency was done, so the
			// job's waiting time counts from now.
			j.BeginWaiting(now)
		}
		if j.IsActive() && j.AllCompleted() {
			l.endJob(now, j, jobs.Done, &l.writes.Interactive)
		}
		l.makeReadyIfUnblocked(now, j)
		l.removeIfFinished(j)
	}
	for l.graph.HasJobsToCancel() {
		// Cancel all dependents of cancelled jobs before any request gets a response: no response
		// may say that such a job still waits or runs.
		l.processDependencyChanges(now)
	}
	l.drainer.FinishLoading()
	l.loading = loadState{}
	l.schedulingPassRequested = true
	l.log.Info().Int("jobs", l.jobs.Len()).Int("ended", l.jobs.EndedJobs()).Int("machines", l.machines.Len()).Msg("records loaded")
}
