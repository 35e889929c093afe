package loadtest

import (
	"maps"
	"math"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/wire"
)

// ClassSummary sums up what became of a team's class.
type ClassSummary struct {
	Team, Class                    string
	Submitted, Accepted, Abandoned int // jobs
	SubmitRequests                 int
	// AcceptP50 and AcceptP95 are times from the first try to the acceptance, of accepted jobs.
	AcceptP50, AcceptP95 time.Duration
	// Done are the jobs reported done, DoneP50 the time from the first try to that.
	Done    int
	DoneP50 time.Duration
}

// summaryBuilder is a ClassSummary that is being made.
type summaryBuilder struct {
	ClassSummary
	acceptTimes, doneTimes []time.Duration
}

// SummarizeByClass sums a history up, by team and class.
func SummarizeByClass(history []Exchange) []ClassSummary {
	classes := map[string]*summaryBuilder{}
	firstSent := map[string]time.Duration{}
	accepted := map[string]bool{}
	for i := range history {
		e := &history[i]
		s := classes[e.teamClass()]
		if s == nil {
			s = &summaryBuilder{ClassSummary: ClassSummary{Team: e.Team, Class: e.Class}}
			classes[e.teamClass()] = s
		}
		if _, known := firstSent[e.Job]; !known {
			firstSent[e.Job] = time.Duration(e.SentMS) * time.Millisecond
			s.Submitted++
		}
		s.add(e, e.receivedAt()-firstSent[e.Job], accepted)
	}
	var summaries []ClassSummary
	for _, class := range slices.Sorted(maps.Keys(classes)) {
		summaries = append(summaries, classes[class].build())
	}
	return summaries
}

// add counts an exchange that ended a time after the job's first try; accepted are the jobs that
// were counted as accepted.
func (s *summaryBuilder) add(e *Exchange, sinceFirst time.Duration, accepted map[string]bool) {
	switch {
	case e.Op == OpGiveUp:
		s.Abandoned++
	case e.Op == OpSubmit:
		s.SubmitRequests++
		if e.accepted() && !accepted[e.Job] {
			accepted[e.Job] = true
			s.Accepted++
			s.acceptTimes = append(s.acceptTimes, sinceFirst)
		}
	case e.State == wire.JobDone:
		// Users poll no more once they know it.
		s.doneTimes = append(s.doneTimes, sinceFirst)
	}
}

// build computes the quantiles.
func (s *summaryBuilder) build() ClassSummary {
	s.AcceptP50, s.AcceptP95 = quantile(s.acceptTimes, 0.5), quantile(s.acceptTimes, 0.95)
	s.Done, s.DoneP50 = len(s.doneTimes), quantile(s.doneTimes, 0.5)
	return s.ClassSummary
}

// quantile is the smallest value that a share of the values does not exceed, 0 if there are none.
func quantile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(math.Ceil(share*float64(len(sorted))))-1]
}

// JainIndex is JainIndex's fairness index over the teams: of the accepted jobs of each, relative to those that
// it would have if all accepted jobs were shared by max-min fairness. 1 is the fairest.
func JainIndex(summaries []ClassSummary) float64 {
	submitted, accepted := map[string]float64{}, map[string]float64{}
	total := 0.0
	for _, s := range summaries {
		submitted[s.Team] += float64(s.Submitted)
		accepted[s.Team] += float64(s.Accepted)
		total += float64(s.Accepted)
	}
	teams := slices.Sorted(maps.Keys(submitted))
	demands := make([]float64, len(teams))
	for i, team := range teams {
		demands[i] = submitted[team]
	}
	sum, squares := 0.0, 0.0
	for i, fair := range admission.MaxMin(total, demands) {
		if fair > 0 {
			x := accepted[teams[i]] / fair
			sum += x
			squares += x * x
		}
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(teams)) * squares)
}
