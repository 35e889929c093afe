package loadtest

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/drain"
)

// Disruption is what happened to a team's running tasks on machines of a zone.
type Disruption struct {
	Team string
	// Stopped were stopped by command, Saved are those of them that saved their progress, Lost ended
	// with their machines.
	Stopped, Saved, Lost int
	LostTime             time.Duration
	// MostUnavailable is the largest number of stopped tasks that did not run again yet,
	// MostEvictions and MostLost are the largest sums within a window.
	MostUnavailable, MostEvictions int
	MostLost                       time.Duration
}

// disruption is a Disruption that is being summed up.
type disruption struct {
	Disruption
	unavailable map[string]bool // stopped tasks
	recent      []TaskEvent     // stops within the window
}

// Disruptions sums up, by team, what a history of tasks shows of a zone.
func Disruptions(history []TaskEvent, zone string, window time.Duration) []Disruption {
	teams := map[string]*disruption{}
	for _, e := range history {
		d := teams[e.Team]
		if d == nil {
			d = &disruption{Disruption: Disruption{Team: e.Team}, unavailable: map[string]bool{}}
			teams[e.Team] = d
		}
		switch {
		case e.Event == TaskStarted || e.Event == TaskCompleted:
			delete(d.unavailable, e.Task)
		case e.Zone == zone:
			d.add(e, window)
		}
	}
	var sorted []Disruption
	for _, team := range slices.Sorted(maps.Keys(teams)) {
		sorted = append(sorted, teams[team].Disruption)
	}
	return sorted
}

// add counts a task that was stopped or lost.
func (d *disruption) add(e TaskEvent, window time.Duration) {
	d.LostTime += lostTime(e)
	if e.Event == TaskLost {
		d.Lost++
		return
	}
	d.Stopped++
	if e.Event == TaskSaved {
		d.Saved++
	}
	d.unavailable[e.Task] = true
	d.recent = append(d.recent, e)
	for time.Duration(e.AtMS-d.recent[0].AtMS)*time.Millisecond >= window {
		d.recent = d.recent[1:]
	}
	d.MostUnavailable = max(d.MostUnavailable, len(d.unavailable))
	d.MostEvictions = max(d.MostEvictions, len(d.recent))
	d.MostLost = max(d.MostLost, lostTime(d.recent...))
}

// lostTime is the run time that some events lost.
func lostTime(events ...TaskEvent) time.Duration {
	sum := time.Duration(0)
	for _, e := range events {
		sum += time.Duration(e.LostMS) * time.Millisecond
	}
	return sum
}

// CheckBudgets returns the teams whose disruptions exceed their budgets.
func CheckBudgets(disruptions []Disruption, budgets *drain.Budgets) []string {
	var problems []string
	for _, d := range disruptions {
		b := budgets.For(d.Team)
		if d.MostUnavailable > b.MaxUnavailable || d.MostEvictions > b.Evictions || d.MostLost.Seconds() > b.LostS {
			problems = append(problems, fmt.Sprintf("%s: %d unavailable of %d, %d evictions of %d, %v lost of %gs", d.Team,
				d.MostUnavailable, b.MaxUnavailable, d.MostEvictions, b.Evictions, d.MostLost, b.LostS))
		}
	}
	return problems
}
