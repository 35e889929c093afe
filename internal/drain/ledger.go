package drain

import (
	"time"
)

// Ledger counts the disruption of each team's work: by drains, as charged, and by troubles
// that no drain has caused.
type Ledger struct {
	window time.Duration
	teams  map[string]*teamLedger
	// out are the tasks that were interrupted, or are charged, and don't run again yet.
	out     map[string]map[int32]bool
	teamOf  map[string]string // of each job in out
	charged map[uint64]bool   // attempts of charges that are kept
	charges map[string]*Charge
}

// teamLedger is one team's part.
type teamLedger struct {
	unavailable int
	buckets     []bucket // oldest first
}

// bucket is what was used in a part of the window.
type bucket struct {
	begun time.Time
	use   Use
}

// bucketsPerWindow divides the window: what is used counts for up to one part longer.
const bucketsPerWindow = 20

// NewLedger returns an empty ledger.
func NewLedger(window time.Duration) *Ledger {
	return &Ledger{
		window: window, teams: map[string]*teamLedger{}, out: map[string]map[int32]bool{}, teamOf: map[string]string{},
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

// add counts what a team has lost at a time.
func (l *Ledger) add(team string, at time.Time, use Use) {
	t := l.team(team)
	if n := len(t.buckets); n == 0 || at.Sub(t.buckets[n-1].begun) >= l.window/bucketsPerWindow {
		t.buckets = append(t.buckets, bucket{begun: at})
	}
	last := &t.buckets[len(t.buckets)-1]
	last.use.Evictions += use.Evictions
	last.use.LostS += use.LostS
}

// Used is what a team has lost within the window before now, or a little longer.
func (l *Ledger) Used(team string, now time.Time) Use {
	t := l.team(team)
	for len(t.buckets) > 0 && now.Sub(t.buckets[0].begun) >= l.window+l.window/bucketsPerWindow {
		t.buckets = t.buckets[1:]
	}
	var sum Use
	for _, b := range t.buckets {
		sum.Evictions += b.use.Evictions
		sum.LostS += b.use.LostS
	}
	return sum
}

// Unavailable is the number of a team's tasks that were interrupted, or are about to be, and
// don't run again yet.
func (l *Ledger) Unavailable(team string) int { return l.team(team).unavailable }

// Interrupted counts a running task that no drain has stopped.
func (l *Ledger) Interrupted(team, job string, index int32, at time.Time, lostS float64) {
	if l.out[job][index] {
		return
	}
	l.add(team, at, Use{Evictions: 1, LostS: lostS})
	l.takeOut(team, job, index)
}

// Unknown counts a task that may have run where it is no more as unavailable.
func (l *Ledger) Unknown(team, job string, index int32) { l.takeOut(team, job, index) }

func (l *Ledger) takeOut(team, job string, index int32) {
	tasks := l.out[job]
	if tasks == nil {
		tasks = map[int32]bool{}
		l.out[job], l.teamOf[job] = tasks, team
	}
	if !tasks[index] {
		tasks[index] = true
		l.team(team).unavailable++
	}
}

// Available counts a task as running again, or done.
func (l *Ledger) Available(job string, index int32) {
	if !l.out[job][index] {
		return
	}
	delete(l.out[job], index)
	l.team(l.teamOf[job]).unavailable--
	if len(l.out[job]) == 0 {
		delete(l.out, job)
		delete(l.teamOf, job)
	}
}

// JobEnded counts no task of a job any more.
func (l *Ledger) JobEnded(job string) {
	if n := len(l.out[job]); n > 0 {
		l.team(l.teamOf[job]).unavailable -= n
	}
	delete(l.out, job)
	delete(l.teamOf, job)
}

// Charge counts a charge, stored under a key, as made at a time. active reports whether a
// task of it is still to run.
func (l *Ledger) Charge(key string, c *Charge, at time.Time, active func(Attempt) (team string, ok bool)) {
	l.charges[key] = c
	for team, use := range c.Teams {
		l.add(team, at, use)
	}
	for _, a := range c.Attempts {
		l.charged[a.Number] = true
		if team, ok := active(a); ok {
			l.takeOut(team, a.Job, a.Index)
		}
	}
}

// Charged reports whether stopping an attempt has been charged.
func (l *Ledger) Charged(number uint64) bool { return l.charged[number] }

// Expire drops the charges that count no more at the given time of day, and returns their keys:
// the window is over, and none of their tasks is unavailable.
func (l *Ledger) Expire(now time.Time) []string {
	var keys []string
	for key, c := range l.charges {
		if now.Sub(time.UnixMilli(c.At)) < l.window+l.window/bucketsPerWindow || l.anyOut(c) {
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

func (l *Ledger) anyOut(c *Charge) bool {
	for _, a := range c.Attempts {
		if l.out[a.Job][a.Index] {
			return true
		}
	}
	return false
}
