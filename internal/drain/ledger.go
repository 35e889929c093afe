package drain

import "time"

// Ledger counts the disruption of each team's work: by drains, as charged, and by failures
// and preemptions that no drain has caused.
type Ledger struct {
	window time.Duration
	teams  map[string]*teamLedger
	// unavailable are the tasks that were interrupted, or are charged, and don't run again yet.
	unavailable map[string]map[int32]bool
	teamByJob   map[string]string // of each job in out
	charged     map[uint64]bool   // attempts of charges that are kept
	charges     map[string]*Charge
}

// teamLedger is one team's part.
type teamLedger struct {
	unavailable int
	buckets     []usageBucket // oldest first
}

// usageBucket is what was used in a part of the window.
type usageBucket struct {
	start time.Time
	usage Usage
}

// bucketsPerWindow is the number of parts of the window. Usage counts for up to one part
// longer than the window.
const bucketsPerWindow = 20

// NewLedger returns an empty ledger.
func NewLedger(window time.Duration) *Ledger {
	return &Ledger{
		window: window, teams: map[string]*teamLedger{}, unavailable: map[string]map[int32]bool{}, teamByJob: map[string]string{},
		charged: map[uint64]bool{}, charges: map[string]*Charge{},
	}
}

// team returns the ledger of a team.
func (l *Ledger) team(name string) *teamLedger {
	t := l.teams[name]
	if t == nil {
		t = &teamLedger{}
		l.teams[name] = t
	}
	return t
}

// addUsage adds what a team has lost at a time.
func (l *Ledger) addUsage(team string, at time.Time, usage Usage) {
	t := l.team(team)
	if n := len(t.buckets); n == 0 || at.Sub(t.buckets[n-1].start) >= l.window/bucketsPerWindow {
		t.buckets = append(t.buckets, usageBucket{start: at})
	}
	last := &t.buckets[len(t.buckets)-1]
	last.usage.Evictions += usage.Evictions
	last.usage.LostS += usage.LostS
}

// Used returns what a team has lost within the window before now, or a little longer.
func (l *Ledger) Used(team string, now time.Time) Usage {
	t := l.team(team)
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

// Unavailable returns the number of a team's tasks that were interrupted, or are about to be,
// and don't run again yet.
func (l *Ledger) Unavailable(team string) int { return l.team(team).unavailable }

// RecordInterruption counts a running task that no drain has stopped.
func (l *Ledger) RecordInterruption(team, job string, index int32, at time.Time, lostS float64) {
	if l.unavailable[job][index] {
		return
	}
	l.addUsage(team, at, Usage{Evictions: 1, LostS: lostS})
	l.addUnavailable(team, job, index)
}

// RecordUnavailable counts a task as unavailable that may have run on a machine where it isn't now.
func (l *Ledger) RecordUnavailable(team, job string, index int32) { l.addUnavailable(team, job, index) }

// addUnavailable counts a task as unavailable, once.
func (l *Ledger) addUnavailable(team, job string, index int32) {
	tasks := l.unavailable[job]
	if tasks == nil {
		tasks = map[int32]bool{}
		l.unavailable[job], l.teamByJob[job] = tasks, team
	}
	if !tasks[index] {
		tasks[index] = true
		l.team(team).unavailable++
	}
}

// RecordAvailable counts a task as running again, or done.
func (l *Ledger) RecordAvailable(job string, index int32) {
	if !l.unavailable[job][index] {
		return
	}
	delete(l.unavailable[job], index)
	l.team(l.teamByJob[job]).unavailable--
	if len(l.unavailable[job]) == 0 {
		delete(l.unavailable, job)
		delete(l.teamByJob, job)
	}
}

// RecordJobEnd counts no task of a job as unavailable any longer.
func (l *Ledger) RecordJobEnd(job string) {
	if n := len(l.unavailable[job]); n > 0 {
		l.team(l.teamByJob[job]).unavailable -= n
	}
	delete(l.unavailable, job)
	delete(l.teamByJob, job)
}

// RecordCharge counts a charge, stored under a key, as of a time. active returns the team of a
// task of it unless the task has ended.
func (l *Ledger) RecordCharge(key string, c *Charge, at time.Time, active func(Attempt) (team string, ok bool)) {
	l.charges[key] = c
	for team, usage := range c.Teams {
		l.addUsage(team, at, usage)
	}
	for _, a := range c.Attempts {
		l.charged[a.Number] = true
		if team, ok := active(a); ok {
			l.addUnavailable(team, a.Job, a.Index)
		}
	}
}

// IsCharged reports whether stopping an attempt has been charged.
func (l *Ledger) IsCharged(number uint64) bool { return l.charged[number] }

// Expire removes the charges that don't count any longer at the given time of day, and returns
// their keys: the window is over, and none of their tasks is unavailable.
func (l *Ledger) Expire(now time.Time) []string {
	var keys []string
	for key, c := range l.charges {
		if now.Sub(time.UnixMilli(c.AtMS)) < l.window+l.window/bucketsPerWindow || l.hasUnavailable(c) {
			continue
		}
		for _, a := range c.Attempts {
			delete(l.charged, a.Number)
		}
		delete(l.charges, key)
		keys = append(keys, key)
	}
	return keys
}

// hasUnavailable reports whether a task of the charge is unavailable.
func (l *Ledger) hasUnavailable(c *Charge) bool {
	for _, a := range c.Attempts {
		if l.unavailable[a.Job][a.Index] {
			return true
		}
	}
	return false
}
