package loadtest

import (
	"strings"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/drain"
)

// event returns an event of a task of team blue in zone a, with the given loss of run time.
func event(at time.Duration, task, kind string, lost time.Duration) TaskEvent {
	return TaskEvent{AtMS: at.Milliseconds(), Zone: "a", Task: task, Team: "blue", Event: kind, LostMS: lost.Milliseconds()}
}

// TestDisruptionsAndBudgets: a stopped task counts as unavailable until it restarts, and its eviction
// within the window. Tasks lost with their machines and tasks in other zones count as no eviction.
func TestDisruptionsAndBudgets(t *testing.T) {
	const second = time.Second
	other := event(3*second, "job-1/9", TaskStopped, second)
	other.Zone = "b"
	history := []TaskEvent{
		event(0, "job-1/0", TaskStarted, 0), event(1*second, "job-1/0", TaskStopped, 10*second), event(2*second, "job-1/1", TaskSaved, 0),
		other, event(4*second, "job-1/0", TaskStarted, 0), event(5*second, "job-1/2", TaskLost, 30*second),
		event(40*second, "job-1/3", TaskStopped, 5*second), event(70*second, "job-1/4", TaskStopped, 7*second),
	}
	found := DisruptionsByTeam(history, "a", time.Minute)
	want := Disruption{
		Team: "blue", Stopped: 4, Saved: 1, Lost: 1, LostTime: 52 * second, MaxUnavailable: 3, MaxEvictions: 3, MaxLostTime: 15 * second,
	}
	if len(found) != 1 || found[0] != want {
		t.Fatalf("%+v", found)
	}
	sufficient := drain.Budget{MaxUnavailable: 3, Evictions: 3, LostS: 15}
	if p := CheckBudgets(found, &drain.Budgets{Default: sufficient}); len(p) > 0 {
		t.Error(p)
	}
	for _, b := range []drain.Budget{{MaxUnavailable: 2, Evictions: 3, LostS: 15}, {MaxUnavailable: 3, Evictions: 2, LostS: 15}, {MaxUnavailable: 3, Evictions: 3, LostS: 14}} {
		if p := CheckBudgets(found, &drain.Budgets{Default: b}); len(p) != 1 || !strings.HasPrefix(p[0], "blue") {
			t.Errorf("%+v: %v", b, p)
		}
	}
}
