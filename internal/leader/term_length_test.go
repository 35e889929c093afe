package leader_test

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
)

// Size and length of the simulated term. Larger values are for measurements by hand.
var (
	termMachines = flag.Int("term-machines", 300, "number of machines of TestForgottenAttemptsDoNotAccumulate")
	termLength   = flag.Duration("term-length", 5*time.Minute, "simulated length of the term of TestForgottenAttemptsDoNotAccumulate")
)

// Load of the simulated term.
const (
	tasksPerTermJob     = 60
	machinesPerTermJob  = 300 // machines for which one job arrives each second
	termReportIntervals = 6   // the term is divided into this many intervals, for which figures are logged
)

// TestForgottenAttemptsDoNotAccumulate guards against a cost of the fences that grows with the length of a
// term: agents list no more exited attempts late in the term than early in it, no direct call is refused
// because of its token, and few tokens are used.
func TestForgottenAttemptsDoNotAccumulate(t *testing.T) {
	oldParams := testParams
	defer func() { testParams = oldParams }()
	machines := float64(*termMachines)
	testParams.Teams = []config.Team{{Name: "blue", CPUs: 8 * machines, CPUsMax: 8 * machines}}
	testParams.KVStore = config.KVStoreLimits{RPS: 400, WriteRPS: 180, ValueKB: 16, TxnOps: 48}
	f := newFleet(t, *termMachines)
	early := 0
	for interval := range termReportIntervals {
		f.maxExitedListed = 0
		f.runTermInterval(*termLength / termReportIntervals)
		if early == 0 {
			early = f.maxExitedListed
		}
		f.logTermFigures(interval)
	}
	if f.startedTasks < *termMachines || early == 0 {
		t.Fatalf("%d tasks started, at most %d exited ones listed early, want one for each machine and at least 1", f.startedTasks, early)
	}
	if f.maxExitedListed > 2*early {
		t.Errorf("an agent lists %d exited attempts late in the term, want at most twice the %d early in it", f.maxExitedListed, early)
	}
	if f.refusedCalls > 0 {
		t.Errorf("%d direct calls refused, want none", f.refusedCalls)
	}
	if used, starts := f.tokensUsed(), f.startedTasks/len(f.agents); used == 0 || used > 3*uint64(starts) {
		t.Errorf("%d fencing tokens used with about %d starts on a machine, want at least 1 and at most three for each start", used, starts)
	}
}

// runTermInterval simulates a part of the term, in which jobs arrive at a constant rate.
func (f *fleet) runTermInterval(length time.Duration) {
	const stepsPerSecond = 10
	for step := range int(length.Seconds() * stepsPerSecond) {
		if step%stepsPerSecond == 0 {
			for range max(1, len(f.agents)/machinesPerTermJob) {
				j := newJob(fmt.Sprintf("job-%06d", len(f.submittedAt)))
				j.Tasks, j.CPUs, j.EstimateS, j.Image, j.ImageGB = tasksPerTermJob, 2, 10, "img", 0.5
				f.submitJob(j)
			}
		}
		f.step()
	}
}

// logTermFigures logs the figures of the term after an interval.
func (f *fleet) logTermFigures(interval int) {
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	f.t.Logf("interval %d: %d starts, at most %d exited attempts in a heartbeat, %d tokens used, %d stored records, %d MB in use",
		interval, f.startedTasks, f.maxExitedListed, f.tokensUsed(), len(f.store), memory.HeapAlloc>>20)
}

// tokensUsed returns the highest number of fencing tokens that any machine has used beyond the first.
func (f *fleet) tokensUsed() uint64 {
	var most uint64
	for _, a := range f.agents {
		most = max(most, a.fencingToken-f.Term())
	}
	return most
}
