package loadtest

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"switchshore.example/switchshore/wire"
)

// CheckOptions are the period and the objectives that a history is checked against.
type CheckOptions struct {
	// Begin and End bound the checked period. In each Window of it in which a class submits jobs, at
	// least one of its submissions must be accepted.
	Begin, End, Window time.Duration
	// Objectives are the deadlines that a share of the accepted jobs of a class must meet.
	Objectives []Objective
}

// Check returns the problems of a history: jobs whose responses contradict each other, jobs that were
// neither accepted nor given up, accepted jobs that don't end, classes without progress, and classes
// that miss their objective.
func Check(history []Exchange, options CheckOptions) []string {
	problems := checkJobs(history)
	problems = append(problems, checkProgress(history, options)...)
	for _, o := range options.Objectives {
		problems = append(problems, checkObjective(history, o)...)
	}
	return problems
}

// checkObjective returns a problem if too few accepted jobs of a class were done in time. The time
// runs from the acceptance because no controller knows the job before.
func checkObjective(history []Exchange, o Objective) []string {
	acceptedAt := map[string]time.Duration{}
	done := map[string]bool{}
	inTime := 0
	for i := range history {
		e := &history[i]
		if e.Class != o.Class {
			continue
		}
		start, accepted := acceptedAt[e.Job]
		switch {
		case e.accepted() && !accepted:
			acceptedAt[e.Job] = e.receivedAt()
		case accepted && e.State == wire.JobDone && !done[e.Job]:
			done[e.Job] = true
			if e.receivedAt()-start <= o.Within {
				inTime++
			}
		}
	}
	if float64(inTime) >= o.Share*float64(len(acceptedAt)) {
		return nil
	}
	return []string{fmt.Sprintf("%s: %d of %d accepted jobs done within %v, promised is %g of them",
		o.Class, inTime, len(acceptedAt), o.Within, o.Share)}
}

// observedJob is a job's state according to the responses to its user.
type observedJob struct {
	accepted, abandoned bool
	state               string
}

// checkJobs returns the jobs whose responses contradict each other and those that don't end.
func checkJobs(history []Exchange) []string {
	var problems []string
	jobs := map[string]*observedJob{}
	for i := range history {
		e := &history[i]
		j := jobs[e.Job]
		if j == nil {
			j = &observedJob{}
			jobs[e.Job] = j
		}
		if problem := j.apply(e); problem != "" {
			problems = append(problems, fmt.Sprintf("%s at %v: %s", e.Job, e.receivedAt(), problem))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		switch j := jobs[id]; {
		case !j.accepted && !j.abandoned:
			problems = append(problems, id+": no final answer")
		case j.accepted && !wire.IsTerminal(j.state):
			problems = append(problems, id+": accepted, and not over in the end")
		}
	}
	return problems
}

// apply updates the job with an exchange. It returns the contradiction to earlier exchanges, or "".
func (j *observedJob) apply(e *Exchange) string {
	switch {
	case e.Op == OpGiveUp:
		if j.accepted {
			return "given up after it was accepted"
		}
		j.abandoned = true
	case j.accepted && contradictsAcceptance(e.Status):
		return fmt.Sprintf("accepted, and then answered %d", e.Status)
	case !isSuccess(int(e.Status)):
		return ""
	case e.Op == OpQuery && !j.accepted && !j.abandoned:
		return "known before it was accepted"
	case wire.IsTerminal(j.state) && e.State != j.state:
		return fmt.Sprintf("called %s, and then %s", j.state, e.State)
	default:
		j.accepted = true
		j.state = e.State
	}
	return ""
}

// contradictsAcceptance reports whether a status means that a job is unknown or invalid, which must
// not happen after it was accepted.
func contradictsAcceptance(status int32) bool {
	return slices.Contains([]int32{http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity}, status)
}

// windowCounts are the numbers of submit requests of a team's class and of accepted ones, by window.
type windowCounts struct{ submitted, accepted []int }

// checkProgress returns the windows in which a team's class submitted jobs and none was accepted.
func checkProgress(history []Exchange, options CheckOptions) []string {
	var problems []string
	counts := countByWindow(history, options)
	for _, class := range slices.Sorted(maps.Keys(counts)) {
		for i, submitted := range counts[class].submitted {
			if submitted > 0 && counts[class].accepted[i] == 0 {
				begin := options.Begin + time.Duration(i)*options.Window
				problems = append(problems, fmt.Sprintf("%s: none of %d tries accepted from %v", class, submitted, begin))
			}
		}
	}
	return problems
}

// countByWindow counts the submit requests of each team's class by window.
func countByWindow(history []Exchange, options CheckOptions) map[string]windowCounts {
	windows := int((options.End - options.Begin) / options.Window)
	counts := map[string]windowCounts{}
	for i := range history {
		e := &history[i]
		window := int((e.receivedAt() - options.Begin) / options.Window)
		if e.Op != OpSubmit || e.receivedAt() < options.Begin || window >= windows {
			continue
		}
		class, found := counts[e.teamClass()]
		if !found {
			class = windowCounts{make([]int, windows), make([]int, windows)}
			counts[e.teamClass()] = class
		}
		class.submitted[window]++
		if e.accepted() {
			class.accepted[window]++
		}
	}
	return counts
}
