package loadtest

import (
	"maps"
	"math"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/wire"
)

// ClassSummary summarizes the jobs of a team's class.
type ClassSummary struct {
	Team, Class                    string
	Submitted, Accepted, Abandoned int // jobs
	SubmitRequests                 int // including retries
	// AcceptP50 and AcceptP95 are quantiles of the time from a job's first submit request to its
	// acceptance.
	AcceptP50, AcceptP95 time.Duration
	// Done is the number of jobs that users know to be done, and DoneP50 the median time from a job's
	// first submit request to the response that says so.
	Done    int
	DoneP50 time.Duration
}

// summaryBuilder computes a ClassSummary from exchanges.
type summaryBuilder struct {
	ClassSummary
	acceptTimes, doneTimes []time.Duration
}

// SummarizeByClass summarizes a history by team and class.
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

// add counts an exchange. sinceFirst is the time from the job's first submit request to the response;
// accepted holds the jobs already counted as accepted.
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
		// Counted once for each job, because the user stops polling after this response.
		s.doneTimes = append(s.doneTimes, sinceFirst)
	}
}

// build computes the quantiles and returns the summary.
func (s *summaryBuilder) build() ClassSummary {
	s.AcceptP50, s.AcceptP95 = quantile(s.acceptTimes, 0.5), quantile(s.acceptTimes, 0.95)
	s.Done, s.DoneP50 = len(s.doneTimes), quantile(s.doneTimes, 0.5)
	return s.ClassSummary
}

// quantile returns the smallest of the values that at least the given share of them does not exceed,
// or 0 if there are none.
func quantile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(math.Ceil(share*float64(len(sorted))))-1]
}

// JainIndex returns Jain's fairness index over the teams. A team's value is the number of its accepted
// jobs, divided by the number it would have if max-min fairness divided all accepted jobs among the
// teams. 1 is the fairest.
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
	for i, fairShare := range admission.MaxMinFairShares(total, demands) {
		if fairShare > 0 {
			x := accepted[teams[i]] / fairShare
			sum += x
			squares += x * x
		}
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(teams)) * squares)
}
