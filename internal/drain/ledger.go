package drain

import (
	"time"
)

// Ledger counts the disruption of each team's work: by drains, as charged, and by troubles
// that no drain has caused.
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
	begun time.Time
	use   Usage
}

// bucketsPerWindow divides the window: what is used counts for up to one part longer.
const bucketsPerWindow = 20

// NewLedger returns an empty ledger.
func NewLedger(window time.Duration) *Ledger {
	return &Ledger{
		window: window, teams: map[string]*teamLedger{}, unavailable: map[string]map[int32]bool{}, teamByJob: map[string]string{},
		charged: map[uint64]bool{}, charges: map[string]*Charge{},
	}
}

func (l *Ledger) team(name string) *teamLedger {
	t := l.teams[name]
	if t == nil {
		t = &teamLedger{}
		l.teams[name] = t
	}
	return t
}

// addUsage counts what a team has lost at a time.
func (l *Ledger) addUsage(team string, at time.Time, use Usage) {
	t := l.team(team)
	if n := len(t.buckets); n == 0 || at.Sub(t.buckets[n-1].begun) >= l.window/bucketsPerWindow {
		t.buckets = append(t.buckets, usageBucket{begun: at})
	}
	last := &t.buckets[len(t.buckets)-1]
	last.use.Evictions += use.Evictions
	last.use.LostS += use.LostS
}

// Used is what a team has lost within the window before now, or a little longer.
func (l *Ledger) Used(team string, now time.Time) Usage {
	t := l.team(team)
	for len(t.buckets) > 0 && now.Sub(t.buckets[0].begun) >= l.window+l.window/bucketsPerWindow {
		t.buckets = t.buckets[1:]
	}
	var sum Usage
	for _, b := range t.buckets {
		sum.Evictions += b.use.Evictions
		sum.LostS += b.use.LostS
	}
	return sum
}

// Unavailable is the number of a team's tasks that were interrupted, or are about to be, and
// don't run again yet.
func (l *Ledger) Unavailable(team string) int { return l.team(team).unavailable }

// RecordInterruption counts a running task that no drain has stopped.
func (l *Ledger) RecordInterruption(team, job string, index int32, at time.Time, lostS float64) {
	if l.unavailable[job][index] {
		return
	}
	l.addUsage(team, at, Usage{Evictions: 1, LostS: lostS})
	l.addUnavailable(team, job, index)
}

// RecordUnknown counts a task that may have run where it is no more as unavailable.
func (l *Ledger) RecordUnknown(team, job string, index int32) { l.addUnavailable(team, job, index) }

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

// RecordJobEnd counts no task of a job any more.
func (l *Ledger) RecordJobEnd(job string) {
	if n := len(l.unavailable[job]); n > 0 {
		l.team(l.teamByJob[job]).unavailable -= n
	}
	delete(l.unavailable, job)
	delete(l.teamByJob, job)
}

// RecordCharge counts a charge, stored under a key, as made at a time. active reports whether a
// task of it is still to run.
func (l *Ledger) RecordCharge(key string, c *Charge, at time.Time, active func(Attempt) (team string, ok bool)) {
	l.charges[key] = c
	for team, use := range c.Teams {
		l.addUsage(team, at, use)
	}
	for _, a := range c.Attempts {
		l.charged[a.AttemptNumber] = true
		if team, ok := active(a); ok {
			l.addUnavailable(team, a.Job, a.Index)
		}
	}
}

// IsCharged reports whether stopping an attempt has been charged.
func (l *Ledger) IsCharged(number uint64) bool { return l.charged[number] }

// Expire drops the charges that count no more at the given time of day, and returns their keys:
// the window is over, and none of their tasks is unavailable.
func (l *Ledger) Expire(now time.Time) []string {
	var keys []string
	for key, c := range l.charges {
		if now.Sub(time.UnixMilli(c.At)) < l.window+l.window/bucketsPerWindow || l.hasUnavailable(c) {
			continue
		}
		for _, a := range c.Attempts {
			delete(l.charged, a.AttemptNumber)
		}
		delete(l.charges, key)
		keys = append(keys, key)
	}
	return keys
}

func (l *Ledger) hasUnavailable(c *Charge) bool {
	for _, a := range c.Attempts {
		if l.unavailable[a.Job][a.Index] {
			return true
		}
	}
	return false
}
