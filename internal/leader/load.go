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
	jobPieces records.JobPieces // pieces of job records that are too large for one value, by key
	// newestAttempts maps each task to the attempt that was loaded for it last. Start records are loaded
	// oldest first.
	newestAttempts map[taskKey]*machines.Attempt
}

// taskKey identifies a task of a job.
type taskKey struct {
	job   *jobs.Job
	index int32
}

// LoadRecord loads one stored record, and ignores keys that belong to no kind of record. Records
// must be loaded in records.LoadOrder. now and wall are the same instant: now on the monotonic
// clock, wall in wall-clock time, which the records use. For a corrupt record, LoadRecord returns a
// records.CorruptError. If records of its kind may be skipped, it logs the error and returns nil
// instead.
func (l *Leader) LoadRecord(now, wall time.Time, item wire.KeyValue) error {
	kind, id, ok := records.ParseKey(item.Key)
	if !ok {
		return nil
	}
	loading := &recordLoading{Leader: l, now: now, wall: wall}
	err := loading.loadRecordOfKind(kind, id, item)
	switch {
	case err == nil:
		return nil
	case kind.MayBeSkippedIfCorrupt():
		l.log.Error().Err(err).Str("key", item.Key).Msg("corrupt record skipped")
		return nil
	}
	return &records.CorruptError{Key: item.Key, Err: err}
}

// recordLoading loads one stored record. now and wall are the same instant, see LoadRecord.
type recordLoading struct {
	*Leader
	now, wall time.Time
}

// loadRecordOfKind loads a record of the given kind. id is the part of the key that identifies the
// record among those of its kind.
func (r *recordLoading) loadRecordOfKind(kind records.Kind, id string, item wire.KeyValue) error {
	switch kind {
	case records.KindMachineTypes:
		return r.loadMachineTypes(item.Value)
	case records.KindJobPiece:
		return r.loading.jobPieces.Add(item.Key, item.Value)
	case records.KindJob:
		return r.loadJob(id, item.Value)
	case records.KindCompletions:
		return r.loadCompletions(id, item)
	case records.KindFinalState:
		return r.loadFinalState(id, item.Value)
	case records.KindMachineStarts: // written by earlier versions
		starts, err := records.DecodeMachineStarts(id, item.Value)
		if err != nil {
			return err
		}
		return r.loadStarts(item.Key, starts)
	case records.KindStarts:
		starts, err := records.DecodeStarts(item.Value)
		if err != nil {
			return err
		}
		return r.loadStarts(item.Key, starts)
	case records.KindDrain:
		return r.drainer.LoadDrain(id, item.Value)
	case records.KindCharge: // evictions of a drain, charged to the teams' budgets
		return r.drainer.LoadCharge(r.now, r.wall, item.Key, item.Value)
	}
	return nil
}

func (r *recordLoading) loadMachineTypes(value json.RawMessage) error {
	types, err := records.DecodeMachineTypes(value)
	if err != nil {
		return err
	}
	r.catalogue.SetStoredTypes(value) // loaded from the store, so no write is queued
	r.SetMachineTypes(types)
	return nil
}

// loadJob loads a job's record. The pieces of the record must have been loaded before.
func (r *recordLoading) loadJob(id string, value json.RawMessage) error {
	stored, err := records.DecodeJob(id, value, r.loading.jobPieces)
	if err != nil {
		return err
	}
	sinceSubmission := max(0, r.wall.Sub(time.UnixMilli(stored.SubmittedAtMS)))
	j := jobs.Restore(stored, r.now.Add(-sinceSubmission))
	r.jobs.Add(j)
	r.admission.addUnfinishedTasks(j.Team, j.Tasks)
	return nil
}

// loadCompletions loads a record of completed tasks of a job.
func (r *recordLoading) loadCompletions(id string, item wire.KeyValue) error {
	j := r.jobs.Get(records.CompletionsJobID(id))
	if j == nil {
		// A leader of an earlier version deleted the job's other records. It left this one, because
		// it did not know this kind of record.
		r.writes.Background.Delete(item.Key)
		return nil
	}
	j.AddRecordKey(item.Key)
	return records.DecodeCompletions(item.Value, j.Tasks, j.RestoreCompletion)
}

// loadFinalState loads the final state of a job. The job's other records may have been deleted.
func (r *recordLoading) loadFinalState(id string, value json.RawMessage) error {
	f, err := records.DecodeFinalState(value)
	if err != nil {
		return err
	}
	r.jobs.SetFinalState(id, f)
	j := r.jobs.Get(id)
	if j == nil {
		return nil
	}
	j.RestoreEnd(f)
	r.admission.addUnfinishedTasks(j.Team, -j.Tasks)
	return nil
}

// loadStarts loads a start record, which lists machines and the tasks that may be on each of them.
func (r *recordLoading) loadStarts(key string, starts *records.Starts) error {
	record := r.startLog.AddLoadedRecord(key)
	for _, machine := range starts.Machines {
		m := r.machines.Get(machine.ID)
		if m == nil {
			m = r.addMachine(r.now, machine.ID, machine.Type, machine.Zone, "", machine.Spot)
		}
		m.MarkInStartRecord() // the machine has joined under an earlier leader
		for _, id := range slices.Sorted(maps.Keys(machine.Tasks)) {
			j := r.jobs.Get(id)
			if j == nil {
				// The job has ended, and its records have been deleted.
				continue
			}
			err := intervals.ParseEach(machine.Tasks[id], j.Tasks, func(i int) { r.loadAttempt(record, m, j, int32(i)) })
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// loadAttempt adds an attempt for a task that may be on a machine. That includes completed tasks: a
// task may have completed on one machine and still run on another one, where it uses resources until that
// machine's task list proves otherwise.
func (r *recordLoading) loadAttempt(record *startlog.Record, m *machines.Machine, j *jobs.Job, index int32) {
	task := taskKey{j, index}
	earlierAttempt := r.loading.newestAttempts[task]
	a := machines.NewPossiblyStartedAttempt(m, j, index, r.now)
	record.LinkAttempt(a)
	r.ledger.Allocate(a) // counts its resources as allocated
	r.loading.newestAttempts[task] = a
	if earlierAttempt != nil {
		// Start records are loaded oldest first, and the start on m was decided only after the task had
		// left the earlier machine.
		r.releaseAttempt(r.now, earlierAttempt)
	}
}

// FinishLoading ends the loading of records. It builds the dependency graph of the loaded jobs, ends
// the jobs whose tasks are all completed, and marks as ready those tasks of unblocked jobs that can't be
// on any machine.
func (l *Leader) FinishLoading(now time.Time) {
	l.startLog.FinishLoading()
	for _, key := range slices.Sorted(maps.Keys(l.loading.jobPieces)) {
		// The remaining pieces belong to jobs that were not accepted or have ended.
		l.writes.Background.Delete(key)
	}
	loadedJobs := l.jobs.Sorted()
	l.buildDependencyGraph(loadedJobs)
	for _, j := range loadedJobs {
		if len(j.DependsOn) > 0 {
			// The job's record does not contain the time at which its last dependency was done, so
			// its waiting time counts from now.
			j.BeginWaiting(now)
		}
		if j.IsActive() && j.AllCompleted() {
			l.endJob(now, j, jobs.Done, &l.writes.Interactive)
		}
		l.makeReadyIfUnblocked(now, j)
		l.removeIfUnreferenced(j)
	}
	for l.graph.HasJobsToCancel() {
		// All dependents of cancelled jobs are cancelled before any request gets a response, because
		// no response may describe such a job as queued or running.
		l.processDependencyChanges(now)
	}
	l.drainer.FinishLoading()
	l.loading = loadState{}
	l.schedulingPassRequested = true
	l.log.Info().Int("jobs", l.jobs.Len()).Int("ended", l.jobs.EndedJobs()).Int("machines", l.machines.Len()).Msg("records loaded")
}
