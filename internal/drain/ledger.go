package drain

import "time"

// Ledger records how much each team's work is disrupted: by drains, through their charges, and by
// failures and preemptions. Drains compare it with the teams' budgets. An unavailable task is one
// that was interrupted, or whose stop was charged, and that does not run again yet.
type Ledger struct {
	window time.Duration
	teams  map[string]*teamLedger
	// unavailableByJob holds the indexes of the unavailable tasks by job ID.
	unavailableByJob map[string]map[int32]bool
	teamByJob        map[string]string  // team of each job in unavailableByJob
	chargedAttempts  map[uint64]bool    // numbers of the attempts in chargesByKey
	chargesByKey     map[string]*Charge // by the key of the stored charge
}

// teamLedger is the ledger of one team.
type teamLedger struct {
	unavailableTasks int
	buckets          []usageBucket // oldest first
}

// usageBucket is the usage of one part of the window.
type usageBucket struct {
	start time.Time // of that part
	usage Usage
}

// bucketsPerWindow is the number of buckets into which the window is divided. A bucket leaves the
// window as a whole, so usage counts for at least the window and for up to one bucket longer.
const bucketsPerWindow = 20

// NewLedger returns an empty ledger that counts usage within a sliding window of the given length.
func NewLedger(window time.Duration) *Ledger {
	return &Ledger{
		window: window, teams: map[string]*teamLedger{}, unavailableByJob: map[string]map[int32]bool{}, teamByJob: map[string]string{},
		chargedAttempts: map[uint64]bool{}, chargesByKey: map[string]*Charge{},
	}
}

// ensureTeam returns the ledger of a team and creates it if necessary.
func (l *Ledger) ensureTeam(name string) *teamLedger {
	t := l.teams[name]
	if t == nil {
		t = &teamLedger{}
		l.teams[name] = t
	}
	return t
}

// addUsage adds usage of a team at the given time. Usage that is older than the latest bucket is
// added to the latest bucket as well, so it counts for too long rather than too briefly.
func (l *Ledger) addUsage(team string, at time.Time, usage Usage) {
	t := l.ensureTeam(team)
	if n := len(t.buckets); n == 0 || at.Sub(t.buckets[n-1].start) >= l.window/bucketsPerWindow {
		t.buckets = append(t.buckets, usageBucket{start: at})
	}
	last := &t.buckets[len(t.buckets)-1]
	last.usage.Evictions += usage.Evictions
	last.usage.LostS += usage.LostS
}

// Usage returns a team's usage within the window before now. It may include usage that is up to one
// bucket older than the window.
func (l *Ledger) Usage(team string, now time.Time) Usage {
	t := l.ensureTeam(team)
	for len(t.buckets) > 0 && now.Sub(t.buckets[0].start) >= l.window+l.window/bucketsPerWindow {
		t.buckets = t.buckets[1:]
	}
	var sum Usage
	for _, b := range t.buckets {
		sum.Evictions += b.usage.Evictions
		sum.LostS += b.usage.LostS
	}
	return sum
}

// UnavailableTasks returns the number of a team's unavailable tasks.
func (l *Ledger) UnavailableTasks(team string) int { return l.ensureTeam(team).unavailableTasks }

// RecordInterruption records that a running task was interrupted by something other than a drain. A
// task that is unavailable already doesn't run, so it is not counted again.
func (l *Ledger) RecordInterruption(team, job string, index int32, at time.Time, lostS float64) {
	if l.unavailableByJob[job][index] {
		return
	}
	l.addUsage(team, at, Usage{Evictions: 1, LostS: lostS})
	l.addUnavailable(team, job, index)
}

// RecordUnavailable counts a task as unavailable without adding usage. It is for a task whose stop
// has been charged, and for one that may not have run.
func (l *Ledger) RecordUnavailable(team, job string, index int32) { l.addUnavailable(team, job, index) }

// addUnavailable counts a task as unavailable, at most once.
func (l *Ledger) addUnavailable(team, job string, index int32) {
	tasks := l.unavailableByJob[job]
	if tasks == nil {
		tasks = map[int32]bool{}
		l.unavailableByJob[job], l.teamByJob[job] = tasks, team
	}
	if !tasks[index] {
		tasks[index] = true
		l.ensureTeam(team).unavailableTasks++
	}
}

// RecordAvailable records that a task runs again or is done, so it no longer counts as unavailable.
func (l *Ledger) RecordAvailable(job string, index int32) {
	if !l.unavailableByJob[job][index] {
		return
	}
	delete(l.unavailableByJob[job], index)
	l.ensureTeam(l.teamByJob[job]).unavailableTasks--
	if len(l.unavailableByJob[job]) == 0 {
		delete(l.unavailableByJob, job)
		delete(l.teamByJob, job)
	}
}

// RecordJobEnd records that a job has ended, so its tasks no longer count as unavailable.
func (l *Ledger) RecordJobEnd(job string) {
	if n := len(l.unavailableByJob[job]); n > 0 {
		l.ensureTeam(l.teamByJob[job]).unavailableTasks -= n
	}
	delete(l.unavailableByJob, job)
	delete(l.teamByJob, job)
}

// RecordCharge adds the usage of a charge and counts its tasks as unavailable unless they have ended.
// key is the key of the stored charge, at is when the charge was made. teamOf returns the team of an
// attempt's task, or false if the task has ended.
func (l *Ledger) RecordCharge(key string, c *Charge, at time.Time, teamOf func(Attempt) (team string, ok bool)) {
	l.chargesByKey[key] = c
	for team, usage := range c.Teams {
		l.addUsage(team, at, usage)
	}
	for _, a := range c.Attempts {
		l.chargedAttempts[a.Number] = true
		if team, ok := teamOf(a); ok {
			l.addUnavailable(team, a.Job, a.Index)
		}
	}
}

// IsCharged reports whether the stop of an attempt has been charged.
func (l *Ledger) IsCharged(number uint64) bool { return l.chargedAttempts[number] }

// RemoveOldCharges removes the charges that are no longer needed and returns their keys, so that the
// caller can delete the stored ones. A charge is needed until its usage has left the window and none of its
// tasks is unavailable. now is the wall-clock time.
func (l *Ledger) RemoveOldCharges(now time.Time) []string {
	var keys []string
	for key, c := range l.chargesByKey {
		if now.Sub(time.UnixMilli(c.AtMS)) < l.window+l.window/bucketsPerWindow || l.hasUnavailable(c) {
			continue
		}
		for _, a := range c.Attempts {
			delete(l.chargedAttempts, a.Number)
		}
		delete(l.chargesByKey, key)
		keys = append(keys, key)
	}
	return keys
}

// hasUnavailable reports whether any task of a charge is unavailable.
func (l *Ledger) hasUnavailable(c *Charge) bool {
	for _, a := range c.Attempts {
		if l.unavailableByJob[a.Job][a.Index] {
			return true
		}
	}
	return false
}
