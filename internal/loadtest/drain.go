package loadtest

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/peer"
)

// DrainTimes is how long a drain took, and for what it waited.
type DrainTimes struct {
	Total time.Duration
	// Waits are the times by what the drain waited for, as its status said.
	Waits  map[string]time.Duration
	Status drain.Status
}

// ErrNotDrained is a drain that did not end in time.
var ErrNotDrained = errors.New("the drain has not ended")

const (
	// statusEvery is how often a drain's status is asked for.
	statusEvery = 250 * time.Millisecond
	// longestDrain bounds a measurement.
	longestDrain = 10 * time.Minute
)

// ask sends an operator's request to the controllers, one after the other, until one has
// carried it out.
func (c *Cluster) ask(ctx context.Context, q *drain.Request) (drain.Status, error) {
	for i := 0; ; i++ {
		attempt, cancel := context.WithTimeout(ctx, 2*time.Second)
		answer, err := peer.Request(attempt, c.peers[i%nodes], peer.Call{Op: peer.OpDrain, Drain: q})
		cancel()
		if err == nil && answer.Status/100 == 2 && len(answer.Drains) == 1 {
			return answer.Drains[0], nil
		}
		if err == nil && answer.Status/100 == 4 {
			return drain.Status{}, fmt.Errorf("refused: %s", answer.Reason)
		}
		if err := ctxtime.Sleep(ctx, statusEvery); err != nil {
			return drain.Status{}, err
		}
	}
}

// Drain applies a drain and follows it to its end.
func (c *Cluster) Drain(ctx context.Context, s *drain.Spec) (*DrainTimes, error) {
	ctx, cancel := context.WithTimeout(ctx, longestDrain)
	defer cancel()
	if _, err := c.ask(ctx, &drain.Request{Action: drain.Apply, Name: s.Name, Spec: s}); err != nil {
		return nil, err
	}
	begun := time.Now()
	times := &DrainTimes{Waits: map[string]time.Duration{}}
	for last := begun; ; {
		status, err := c.ask(ctx, &drain.Request{Action: drain.Show, Name: s.Name})
		if err != nil {
			return times, fmt.Errorf("%w: %w", ErrNotDrained, err)
		}
		now := time.Now()
		if status.Reason != "" {
			times.Waits[status.Reason] += now.Sub(last)
		}
		last = now
		times.Total, times.Status = now.Sub(begun), status
		if status.State == drain.Done {
			return times, nil
		}
		if err := ctxtime.Sleep(ctx, statusEvery); err != nil {
			return times, ErrNotDrained
		}
	}
}

// ReleaseZone takes all machines of a zone away at once.
func (c *Cluster) ReleaseZone(zone string) int { return c.services.ReleaseZone(zone) }

// Disruption is what a team's work has gone through.
type Disruption struct {
	Team string
	// Stopped were stopped by command, Saved those of them that saved their progress; Lost went
	// with their machines.
	Stopped, Saved, Lost int
	LostTime             time.Duration
	// MostUnavailable is the largest number of tasks stopped that did not run again yet, MostEvictions
	// and MostLost are the largest sums within a window.
	MostUnavailable, MostEvictions int
	MostLost                       time.Duration
}

// Disruptions sums up, by team, what a workers' history shows of tasks on machines of a zone.
func Disruptions(history []TaskEvent, zone string, window time.Duration) []Disruption {
	teams := map[string]*Disruption{}
	out := map[string]map[string]bool{}
	recent := map[string][]TaskEvent{}
	for _, e := range history {
		d := teams[e.Team]
		if d == nil {
			d = &Disruption{Team: e.Team}
			teams[e.Team], out[e.Team] = d, map[string]bool{}
		}
		if e.Event == TaskRuns || e.Event == TaskDone {
			delete(out[e.Team], e.Task)
			continue
		}
		if e.Zone != zone {
			continue
		}
		d.count(e)
		if e.Event == TaskLost {
			continue
		}
		out[e.Team][e.Task] = true
		d.MostUnavailable = max(d.MostUnavailable, len(out[e.Team]))
		recent[e.Team] = append(recent[e.Team], e)
		for time.Duration(e.AtMS-recent[e.Team][0].AtMS)*time.Millisecond >= window {
			recent[e.Team] = recent[e.Team][1:]
		}
		d.MostEvictions = max(d.MostEvictions, len(recent[e.Team]))
		d.MostLost = max(d.MostLost, lostTime(recent[e.Team]))
	}
	var sorted []Disruption
	for _, team := range slices.Sorted(maps.Keys(teams)) {
		sorted = append(sorted, *teams[team])
	}
	return sorted
}

func (d *Disruption) count(e TaskEvent) {
	switch e.Event {
	case TaskSaved:
		d.Saved++
		d.Stopped++
	case TaskStopped:
		d.Stopped++
	case TaskLost:
		d.Lost++
	}
	d.LostTime += lostTime([]TaskEvent{e})
}

// lostTime is the run time thrown away by some events.
func lostTime(events []TaskEvent) time.Duration {
	sum := time.Duration(0)
	for _, e := range events {
		sum += time.Duration(e.LostMS) * time.Millisecond
	}
	return sum
}

// CheckBudgets returns where disruptions exceed the budgets.
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
