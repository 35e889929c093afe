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
	// MaxUnavailable is the largest number of stopped tasks that did not run again yet,
	// MaxEvictions and MostLost are the largest sums within a window.
	MaxUnavailable, MaxEvictions int
	MaxLostTime                  time.Duration
}

// disruptionCounter is a Disruption that is being summed up.
type disruptionCounter struct {
	Disruption
	unavailable map[string]bool // stopped tasks
	recent      []TaskEvent     // stops within the window
}

// DisruptionsByTeam sums up, by team, what a history of tasks shows of a zone.
func DisruptionsByTeam(history []TaskEvent, zone string, window time.Duration) []Disruption {
	teams := map[string]*disruptionCounter{}
	for _, e := range history {
		d := teams[e.Team]
		if d == nil {
			d = &disruptionCounter{Disruption: Disruption{Team: e.Team}, unavailable: map[string]bool{}}
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
func (d *disruptionCounter) add(e TaskEvent, window time.Duration) {
	d.LostTime += sumLostTime(e)
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
	d.MaxUnavailable = max(d.MaxUnavailable, len(d.unavailable))
	d.MaxEvictions = max(d.MaxEvictions, len(d.recent))
	d.MaxLostTime = max(d.MaxLostTime, sumLostTime(d.recent...))
}

// sumLostTime is the run time that some events lost.
func sumLostTime(events ...TaskEvent) time.Duration {
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
		if d.MaxUnavailable > b.MaxUnavailable || d.MaxEvictions > b.Evictions || d.MaxLostTime.Seconds() > b.LostS {
			problems = append(problems, fmt.Sprintf("%s: %d unavailable of %d, %d evictions of %d, %v lost of %gs", d.Team,
				d.MaxUnavailable, b.MaxUnavailable, d.MaxEvictions, b.Evictions, d.MaxLostTime, b.LostS))
		}
	}
	return problems
}
