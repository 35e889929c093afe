package placement_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
)

// newMachine returns an empty machine of zone a.
func newMachine(id string, cpus float64) *placement.Machine {
	r := placement.Resources{CPUs: cpus, MemoryGB: 100}
	return &placement.Machine{ID: id, Type: "t", Zone: "a", Capacity: r, Free: r, FetchGBPerS: 1, Images: map[string]float64{}}
}

// newJob returns a job of team blue whose tasks take a CPU and 10 s.
func newJob(id string, rank, tasks int) *placement.PendingJob {
	return &placement.PendingJob{
		Job: id, Team: "blue", PriorityRank: rank, ReadyTasks: tasks, TotalTasks: tasks, Spot: true,
		Request: placement.Resources{CPUs: 1, MemoryGB: 1}, EstimateS: 10, Image: "img", ImageGB: 5,
	}
}

// unlimited returns team blue with a limit that is never reached.
func unlimited() map[string]*placement.Team {
	return map[string]*placement.Team{"blue": {Limit: placement.Resources{CPUs: 1e9, GPUs: 1e9, MemoryGB: 1e9}}}
}

// TestQueuesOnMachineWithImage is the paper's example: a task waits for a busy
// machine with its image if that takes less time than a fetch.
func TestQueuesOnMachineWithImage(t *testing.T) {
	for _, c := range []struct {
		remaining float64
		want      string
	}{{2, "[]"}, {8, "[{j idle}]"}} {
		busy, idle := newMachine("busy", 1), newMachine("idle", 1)
		busy.Free = placement.Resources{MemoryGB: 99}
		busy.Images["img"] = 0
		busy.PlacedTasks = []placement.PlacedTask{{Request: placement.Resources{CPUs: 1, MemoryGB: 1}, EndS: 100 + c.remaining}}
		got, _ := placement.Run(100, []*placement.PendingJob{newJob("j", 0, 1)}, []*placement.Machine{busy, idle}, unlimited(), 10)
		if fmt.Sprint(got) != c.want {
			t.Errorf("%v s remaining: started %v, want %v", c.remaining, got, c.want)
		}
	}
}

func TestPriorityAndLimits(t *testing.T) {
	teams := unlimited()
	teams["red"] = &placement.Team{Limit: placement.Resources{CPUs: 1, MemoryGB: 100}}
	high := newJob("high", 0, 3)
	high.Team = "red"
	got, _ := placement.Run(0, []*placement.PendingJob{newJob("low", 2, 9), high}, []*placement.Machine{newMachine("m", 4)}, teams, 10)
	if fmt.Sprint(got) != "[{high m} {low m} {low m} {low m}]" {
		t.Fatal(got)
	}
}

// TestBacklogOfAgedJobs: many aged jobs that fit nowhere must not use up the scores
// of a pass, so that jobs that fit into the free resources still start.
func TestBacklogOfAgedJobs(t *testing.T) {
	var machines []*placement.Machine
	for i := range 2000 {
		m := newMachine(fmt.Sprintf("m%04d", i), 8)
		m.Free = placement.Resources{}
		m.PlacedTasks = []placement.PlacedTask{{Request: placement.Resources{CPUs: 8, MemoryGB: 100}, EndS: float64(i)}}
		machines = append(machines, m)
	}
	free := newMachine("free", 8)
	free.Free.CPUs = 2
	machines = append(machines, free)
	for _, tasks := range []int{1, 40} {
		ready := []*placement.PendingJob{newJob("small", 0, 9)}
		for i := range 200 {
			j := newJob(fmt.Sprintf("big%03d", i), 2, tasks)
			j.Request.CPUs, j.AgedS = 8, 100+float64(i)
			ready = append(ready, j)
		}
		free.Free.CPUs, free.PlacedTasks = 2, nil
		got, stats := placement.Run(0, ready, machines, unlimited(), 200)
		if fmt.Sprint(got) != "[{small free} {small free}]" {
			t.Errorf("aged jobs of %d tasks: started %v", tasks, got)
		}
		if stats.ScoredPairs > tuning.PlacementMaxScoredPairs {
			t.Errorf("aged jobs of %d tasks: %d pairs scored", tasks, stats.ScoredPairs)
		}
	}
}

// TestLargeGroupIsPlacedOverSeveralPasses: a group with more jobs than a pass can
// score must not prevent all starts; each pass starts some of its tasks.
func TestLargeGroupIsPlacedOverSeveralPasses(t *testing.T) {
	var machines []*placement.Machine
	for i := range 2000 {
		machines = append(machines, newMachine(fmt.Sprintf("m%04d", i), 1))
	}
	var ready []*placement.PendingJob
	for i := range 100 {
		ready = append(ready, newJob(fmt.Sprintf("j%03d", i), 0, 5))
	}
	got, stats := placement.Run(0, ready, machines, unlimited(), 200)
	if len(got) == 0 || !stats.Truncated || stats.ScoredPairs > 2*tuning.PlacementMaxScoredPairs {
		t.Errorf("%d starts, stats %+v", len(got), stats)
	}
}

// randomMachines returns machines with running tasks, some of which have exceeded their estimates.
func randomMachines(rng *rand.Rand) []*placement.Machine {
	var machines []*placement.Machine
	for i := range 1 + rng.IntN(6) {
		m := newMachine(fmt.Sprint("m", i), float64(1+rng.IntN(16)))
		m.Zone = string(rune('a' + rng.IntN(3)))
		m.Spot = rng.IntN(2) == 0
		for range rng.IntN(3) {
			request := placement.Resources{CPUs: float64(1 + rng.IntN(3)), MemoryGB: 1}
			if m.Free.Fits(request) {
				m.Free = m.Free.Add(request, -1)
				m.PlacedTasks = append(m.PlacedTasks, placement.PlacedTask{Request: request, EndS: float64(rng.IntN(3))})
				slices.SortFunc(m.PlacedTasks, func(a, b placement.PlacedTask) int { return cmp.Compare(a.EndS, b.EndS) })
			}
		}
		machines = append(machines, m)
	}
	return machines
}

// randomJobs returns jobs of team blue with random constraints.
func randomJobs(rng *rand.Rand) []*placement.PendingJob {
	var jobs []*placement.PendingJob
	for i := range 1 + rng.IntN(8) {
		j := newJob(fmt.Sprint("j", i), rng.IntN(4), 1+rng.IntN(9))
		j.Request.CPUs = float64(1 + rng.IntN(4))
		j.Image = fmt.Sprint("img", rng.IntN(3))
		j.Spot = rng.IntN(3) > 0
		j.OneZone = rng.IntN(3) == 0
		j.SpreadZones = !j.OneZone && rng.IntN(3) == 0
		jobs = append(jobs, j)
	}
	return jobs
}

// startChecker applies the starts of a pass one by one to the state before the pass,
// and checks each.
type startChecker struct {
	jobs     map[string]*placement.PendingJob
	machines map[string]*placement.Machine
	free     map[string]placement.Resources // by machine
	zones    map[string]map[string]int      // tasks by job and zone
	usedCPUs float64
}

func newStartChecker(jobs []*placement.PendingJob, machines []*placement.Machine) *startChecker {
	c := &startChecker{
		jobs: map[string]*placement.PendingJob{}, machines: map[string]*placement.Machine{},
		free: map[string]placement.Resources{}, zones: map[string]map[string]int{},
	}
	for _, j := range jobs {
		c.jobs[j.Job] = j
	}
	for _, m := range machines {
		c.machines[m.ID], c.free[m.ID] = m, m.Free
	}
	return c
}

// add applies a start. It returns the constraint that the start violates, or an empty string.
func (c *startChecker) add(s placement.Assignment) string {
	j, m := c.jobs[s.Job], c.machines[s.Machine]
	if !c.free[m.ID].Fits(j.Request) {
		return "exceeds the free resources"
	}
	c.free[m.ID] = c.free[m.ID].Add(j.Request, -1)
	c.usedCPUs += j.Request.CPUs
	if c.zones[j.Job] == nil {
		c.zones[j.Job] = map[string]int{}
	}
	zones := c.zones[j.Job]
	zones[m.Zone]++
	for zone, tasks := range zones {
		if j.OneZone && len(zones) > 1 || j.SpreadZones && tasks > (j.TotalTasks+1)/2 {
			return fmt.Sprintf("zone constraint violated in zone %s: tasks by zone %v", zone, zones)
		}
	}
	if m.Spot && !j.Spot {
		return "spot machine not allowed"
	}
	return ""
}

// TestRandomPasses: on random snapshots, no start exceeds the free resources or the
// team's limit, or violates the constraints on zones and spot machines.
func TestRandomPasses(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 4))
		machines := randomMachines(rng)
		jobs := randomJobs(rng)
		limit := float64(1 + rng.IntN(30))
		teams := map[string]*placement.Team{"blue": {Limit: placement.Resources{CPUs: limit, GPUs: 1, MemoryGB: 1e9}}}
		checker := newStartChecker(jobs, machines)
		starts, _ := placement.Run(0, jobs, machines, teams, 100)
		for _, s := range starts {
			if violation := checker.add(s); violation != "" {
				t.Fatalf("seed %d: %v: %s", seed, s, violation)
			}
		}
		if checker.usedCPUs > limit {
			t.Fatalf("seed %d: %v CPUs used, limit %v", seed, checker.usedCPUs, limit)
		}
	}
}

// TestAgedJobReservesTeamLimit: if a task of an aged job doesn't fit into its team's
// limit, smaller tasks of the team must not start, or they would delay it further.
// Tasks of other teams may start.
func TestAgedJobReservesTeamLimit(t *testing.T) {
	teams := unlimited()
	teams["red"] = &placement.Team{Used: placement.Resources{CPUs: 6}, Limit: placement.Resources{CPUs: 8, MemoryGB: 1000}}
	aged, small := newJob("aged", 3, 1), newJob("small", 0, 2)
	aged.Team, small.Team = "red", "red"
	aged.Request.CPUs, aged.AgedS = 4, 100
	got, _ := placement.Run(0, []*placement.PendingJob{small, newJob("other", 2, 1), aged}, []*placement.Machine{newMachine("m", 16)}, teams, 10)
	if fmt.Sprint(got) != "[{other m}]" {
		t.Fatal(got)
	}
}

// TestPassIsBounded: a pass over many machines and jobs stops at its limit of scores,
// returns the starts decided so far and reports that it was truncated.
func TestPassIsBounded(t *testing.T) {
	const machines = 500
	var vms []*placement.Machine
	for i := range machines {
		vms = append(vms, newMachine(fmt.Sprintf("m%03d", i), 1))
	}
	var ready []*placement.PendingJob
	for i := range 200 {
		j := newJob(fmt.Sprintf("j%03d", i), 1, 1)
		j.Urgency = float64(i) * 100
		ready = append(ready, j)
	}
	starts, stats := placement.Run(0, ready, vms, unlimited(), 1000)
	if !stats.Truncated || stats.ScoredPairs > tuning.PlacementMaxScoredPairs+2*machines {
		t.Errorf("stats %+v", stats)
	}
	if len(starts) == 0 || starts[0].Job != "j000" {
		t.Errorf("started %v", starts)
	}
}

// TestAgedJobsStartWhereTheyFit: a reservation for an aged job, of its team's limit
// or of a machine, must not block other aged jobs that fit, but must block jobs that
// have not aged.
func TestAgedJobsStartWhereTheyFit(t *testing.T) {
	for name, max := range map[string]float64{"the team limit": 12, "the machine": 100} {
		m := newMachine("m", 12)
		m.Free = placement.Resources{CPUs: 2, MemoryGB: 50}
		m.PlacedTasks = []placement.PlacedTask{{Request: placement.Resources{CPUs: 10, MemoryGB: 50}, EndS: 500}}
		big, small, fresh := newJob("big", 1, 2), newJob("small", 3, 1), newJob("fresh", 0, 5)
		big.Request.CPUs, big.AgedS, small.AgedS = 3, 200, 100
		teams := map[string]*placement.Team{"blue": {Used: placement.Resources{CPUs: 10}, Limit: placement.Resources{CPUs: max, MemoryGB: 1e9}}}
		got, _ := placement.Run(100, []*placement.PendingJob{fresh, big, small}, []*placement.Machine{m}, teams, 10)
		if fmt.Sprint(got) != "[{small m}]" {
			t.Errorf("reservation of %s: started %v", name, got)
		}
	}
}
