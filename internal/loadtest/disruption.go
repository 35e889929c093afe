package loadtest

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/drain"
)

// Disruption counts a team's tasks that were stopped or lost on machines of a zone.
type Disruption struct {
	Team string
	// Stopped is the number of tasks stopped by command, Saved the number of those that saved their
	// progress, and Lost the number of tasks that ended because their machine was released or its lease
	// expired.
	Stopped, Saved, Lost int
	LostTime             time.Duration
	// MaxUnavailable is the largest number of stopped tasks that had not restarted, at any time.
	// MaxEvictions is the largest number of stops, and MaxLostTime the largest run time lost by stops,
	// within a window.
	MaxUnavailable, MaxEvictions int
	MaxLostTime                  time.Duration
}

// disruptionCounter computes a Disruption from task events.
type disruptionCounter struct {
	Disruption
	unavailable map[string]bool // stopped tasks that have not restarted
	recent      []TaskEvent     // stops within the window
}

// DisruptionsByTeam returns the disruptions in a zone by team, sorted by name.
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

// add counts a task that was stopped or lost. Only stops count against the budgets.
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

// sumLostTime returns the run time lost by the given events.
func sumLostTime(events ...TaskEvent) time.Duration {
	sum := time.Duration(0)
	for _, e := range events {
		sum += time.Duration(e.LostMS) * time.Millisecond
	}
	return sum
}

// CheckBudgets returns a message for each team whose disruptions exceed its budget.
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
