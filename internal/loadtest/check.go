package loadtest

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/wire"
)

// Plan is what a history is checked against: the load lasts from Begin to End, and every
// class with offers is to make progress in each Window in between.
type Plan struct {
	Begin, End, Window time.Duration
	// Objectives are what is promised for accepted jobs.
	Objectives []Objective
}

// Check returns what is wrong with a history: a job without exactly one final answer, one
// that is forgotten or goes back, an accepted one that is not done in the end, a class that
// makes no progress, or of which fewer jobs are done in time than promised.
func Check(history []Answer, plan Plan) []string {
	problems := checkJobs(history)
	problems = append(problems, checkProgress(history, plan)...)
	for _, o := range plan.Objectives {
		problems = append(problems, checkObjective(history, o)...)
	}
	return problems
}

// checkObjective finds a class of which too few of the accepted jobs were done in time, counted
// from the acceptance: before it no controller knows the job.
func checkObjective(history []Answer, o Objective) []string {
	acceptedAt := map[string]time.Duration{}
	over := map[string]bool{}
	inTime := 0
	for i := range history {
		a := &history[i]
		known, accepted := acceptedAt[a.Job]
		switch {
		case a.Class != o.Class:
		case a.accepted() && !accepted:
			acceptedAt[a.Job] = a.at()
		case accepted && a.State == wire.JobDone && !over[a.Job]:
			over[a.Job] = true
			if a.at()-known <= o.Within {
				inTime++
			}
		}
	}
	if float64(inTime) >= o.Share*float64(len(acceptedAt)) {
		return nil
	}
	return []string{fmt.Sprintf("%s: %d of %d accepted jobs done within %v, promised is %g of them", o.Class, inTime, len(acceptedAt), o.Within, o.Share)}
}

// jobHistory is what a job's user has been told so far.
type jobHistory struct {
	accepted, gaveUp bool
	state            string
}

func checkJobs(history []Answer) []string {
	var problems []string
	jobs := map[string]*jobHistory{}
	for i := range history {
		a := &history[i]
		j := jobs[a.Job]
		if j == nil {
			j = &jobHistory{}
			jobs[a.Job] = j
		}
		if problem := j.take(a); problem != "" {
			problems = append(problems, fmt.Sprintf("%s at %v: %s", a.Job, a.at(), problem))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		switch j := jobs[id]; {
		case !j.accepted && !j.gaveUp:
			problems = append(problems, id+": no final answer")
		case j.accepted && !wire.IsTerminal(j.state):
			problems = append(problems, id+": accepted, and not over in the end")
		}
	}
	return problems
}

// take adds an answer and says what is wrong with it, or "".
func (j *jobHistory) take(a *Answer) string {
	switch {
	case a.Op == OpGiveUp:
		if j.accepted {
			return "given up after it was accepted"
		}
		j.gaveUp = true
	case j.accepted && slices.Contains([]int32{http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity}, a.Status):
		return fmt.Sprintf("accepted, and then answered %d", a.Status)
	case a.Status/100 != 2:
		return ""
	case a.Op == OpQuery && !j.accepted && !j.gaveUp:
		return "known before it was accepted"
	case wire.IsTerminal(j.state) && a.State != j.state:
		return fmt.Sprintf("called %s, and then %s", j.state, a.State)
	default:
		j.accepted = true
		j.state = a.State
	}
	return ""
}

func checkProgress(history []Answer, plan Plan) []string {
	windows := int((plan.End - plan.Begin) / plan.Window)
	asked, accepted := map[string][]int{}, map[string][]int{}
	for i := range history {
		a := &history[i]
		window := int((a.at() - plan.Begin) / plan.Window)
		if a.Op != OpSubmit || a.at() < plan.Begin || window >= windows {
			continue
		}
		if asked[a.key()] == nil {
			asked[a.key()], accepted[a.key()] = make([]int, windows), make([]int, windows)
		}
		asked[a.key()][window]++
		if a.accepted() {
			accepted[a.key()][window]++
		}
	}
	var problems []string
	for _, key := range slices.Sorted(maps.Keys(asked)) {
		for i, n := range asked[key] {
			if n > 0 && accepted[key][i] == 0 {
				problems = append(problems, fmt.Sprintf("%s: none of %d tries accepted from %v", key, n, plan.Begin+time.Duration(i)*plan.Window))
			}
		}
	}
	return problems
}

// Row sums up what became of a team's class.
type Row struct {
	Team, Class              string
	Asked, Accepted, GivenUp int
	Tries                    int
	// P50 and P95 are times from the first try to the acceptance, of those accepted.
	P50, P95 time.Duration
	// Done are those heard to be done, DoneP50 the time from the first try to that.
	Done    int
	DoneP50 time.Duration
}

// Summarise sums a history up by team and class.
func Summarise(history []Answer) []Row {
	rows := map[string]*Row{}
	waits := map[string][]time.Duration{}
	first := map[string]time.Duration{}
	done := map[string][]time.Duration{}
	accepted := map[string]bool{}
	for i := range history {
		a := &history[i]
		r := rows[a.key()]
		if r == nil {
			r = &Row{Team: a.Team, Class: a.Class}
			rows[a.key()] = r
		}
		if _, seen := first[a.Job]; !seen {
			first[a.Job] = time.Duration(a.SentMS) * time.Millisecond
			r.Asked++
		}
		switch {
		case a.Op == OpGiveUp:
			r.GivenUp++
		case a.Op == OpSubmit:
			r.Tries++
			if a.accepted() && !accepted[a.Job] {
				accepted[a.Job] = true
				r.Accepted++
				waits[a.key()] = append(waits[a.key()], a.at()-first[a.Job])
			}
		case a.State == wire.JobDone:
			// Users ask no more once they have heard it.
			done[a.key()] = append(done[a.key()], a.at()-first[a.Job])
		}
	}
	var sorted []Row
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		r := rows[key]
		r.P50, r.P95 = quantile(waits[key], 0.5), quantile(waits[key], 0.95)
		r.Done, r.DoneP50 = len(done[key]), quantile(done[key], 0.5)
		sorted = append(sorted, *r)
	}
	return sorted
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.SortedFunc(slices.Values(values), cmp.Compare[time.Duration])
	return sorted[int(math.Ceil(q*float64(len(sorted))))-1]
}

// Jain is Jain's fairness index over the teams: of what each got, related to what it would
// get if all that was accepted were shared by max-min fairness. 1 is the fairest.
func Jain(rows []Row) float64 {
	asked, accepted := map[string]float64{}, map[string]float64{}
	total := 0.0
	for _, r := range rows {
		asked[r.Team] += float64(r.Asked)
		accepted[r.Team] += float64(r.Accepted)
		total += float64(r.Accepted)
	}
	teams := slices.Sorted(maps.Keys(asked))
	demands := make([]float64, len(teams))
	for i, t := range teams {
		demands[i] = asked[t]
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
