package drain

import "time"

// Ledger counts the disruption of each team's work: by drains, as charged, and by failures and
// preemptions.
type Ledger struct {
	window time.Duration
	teams  map[string]*teamLedger
	// unavailableByJob has, by job, the tasks that were interrupted or charged and don't run again yet.
	unavailableByJob map[string]map[int32]bool
	teamByJob        map[string]string  // team of each job in unavailable
	chargedAttempts  map[uint64]bool    // numbers of the attempts in charges
	chargesByKey     map[string]*Charge // by the key of the stored charge
}

// teamLedger is the ledger of one team.
type teamLedger struct {
	unavailableTasks int
	buckets          []usageBucket // oldest first
}

// usageBucket is the usage of one part of the window.
type usageBucket struct {
	start time.Time
	usage Usage
}

// bucketsPerWindow is the number of parts into which the window is divided. Usage counts for at
// least the window, and for up to one part longer.
const bucketsPerWindow = 20

// NewLedger returns an empty ledger that counts usage within a sliding window.
func NewLedger(window time.Duration) *Ledger {
	return &Ledger{
		window: window, teams: map[string]*teamLedger{}, unavailableByJob: map[string]map[int32]bool{}, teamByJob: map[string]string{},
		chargedAttempts: map[uint64]bool{}, chargesByKey: map[string]*Charge{},
	}
}

// ensureTeam returns the ledger of a ensureTeam, which it creates if there is none.
func (l *Ledger) ensureTeam(name string) *teamLedger {
	t := l.teams[name]
	if t == nil {
		t = &teamLedger{}
		l.teams[name] = t
	}
	return t
}

// addUsage adds usage of a team at a time. Usage from before the latest bucket is added to that
// bucket, and so counts longer.
func (l *Ledger) addUsage(team string, at time.Time, usage Usage) {
	t := l.ensureTeam(team)
	if n := len(t.buckets); n == 0 || at.Sub(t.buckets[n-1].start) >= l.window/bucketsPerWindow {
		t.buckets = append(t.buckets, usageBucket{start: at})
	}
	last := &t.buckets[len(t.buckets)-1]
	last.usage.Evictions += usage.Evictions
	last.usage.LostS += usage.LostS
}

// Used returns a team's usage within the window before now, or up to one bucket longer.
func (l *Ledger) Used(team string, now time.Time) Usage {
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

// Unavailable returns the number of a team's tasks that were interrupted or charged and don't run
// again yet.
func (l *Ledger) Unavailable(team string) int { return l.ensureTeam(team).unavailableTasks }

// RecordInterruption counts the interruption of a running task by something other than a drain,
// unless the task is unavailable already.
func (l *Ledger) RecordInterruption(team, job string, index int32, at time.Time, lostS float64) {
	if l.unavailableByJob[job][index] {
		return
	}
	l.addUsage(team, at, Usage{Evictions: 1, LostS: lostS})
	l.addUnavailable(team, job, index)
}

// RecordUnavailable counts a task as unavailable without adding usage: its stop has been charged,
// or it is unknown whether it ran.
func (l *Ledger) RecordUnavailable(team, job string, index int32) { l.addUnavailable(team, job, index) }

// addUnavailable counts a task as unavailable unless it is counted already.
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

// RecordAvailable removes a task that runs again or is done from the unavailable ones.
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

// RecordJobEnd removes all tasks of an ended job from the unavailable ones.
func (l *Ledger) RecordJobEnd(job string) {
	if n := len(l.unavailableByJob[job]); n > 0 {
		l.ensureTeam(l.teamByJob[job]).unavailableTasks -= n
	}
	delete(l.unavailableByJob, job)
	delete(l.teamByJob, job)
}

// RecordCharge counts a charge that is stored under a key and was made at the given time. teamOf
// returns the team of an attempt's task, and false if the task has ended.
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

// Expire removes the charges that no longer count, and returns their keys. A charge counts until
// its window has passed and none of its tasks is unavailable; now is the wall-clock time.
func (l *Ledger) Expire(now time.Time) []string {
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
