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

// newMachine returns a machine in zone a without tasks and images, with 100 GB of memory. It fetches
// 1 GB per second.
func newMachine(id string, cpus float64) *placement.Machine {
	r := placement.Resources{CPUs: cpus, MemoryGB: 100}
	return &placement.Machine{Host: placement.Host{Type: "t", Zone: "a", Capacity: r}, ID: id, Free: r, FetchGBPerS: 1, Images: map[string]float64{}}
}

// newJob returns a job of team blue. Each task needs one CPU, runs for 10 s and uses an image that
// takes 5 s to fetch.
func newJob(id string, rank, tasks int) *placement.PendingJob {
	return &placement.PendingJob{
		JobID: id, Team: "blue", PriorityRank: rank, ReadyTasks: tasks, TotalTasks: tasks, AllowsSpot: true,
		Request: placement.Resources{CPUs: 1, MemoryGB: 1}, EstimatedRunTimeS: 10, Image: "img", ImageGB: 5,
	}
}

// unlimitedTeams returns the teams of a pass: only team blue, with a limit that is never reached.
func unlimitedTeams() map[string]*placement.Team {
	return map[string]*placement.Team{"blue": {Limit: placement.Resources{CPUs: 1e9, GPUs: 1e9, MemoryGB: 1e9}}}
}

// TestTaskWaitsForMachineWithImage: a task waits for a busy machine with its image if
// the wait is shorter than a fetch on an idle machine.
func TestTaskWaitsForMachineWithImage(t *testing.T) {
	for _, c := range []struct {
		remainingS float64
		want       string
	}{{2, "[]"}, {8, "[{j idle}]"}} { // a fetch takes 5 s
		busy, idle := newMachine("busy", 1), newMachine("idle", 1)
		busy.Free = placement.Resources{MemoryGB: 99}
		busy.Images["img"] = 0
		busy.PlacedTasks = []placement.PlacedTask{{Request: placement.Resources{CPUs: 1, MemoryGB: 1}, EndS: 100 + c.remainingS}}
		got, _ := placement.Run(100, []*placement.PendingJob{newJob("j", 0, 1)}, []*placement.Machine{busy, idle}, unlimitedTeams(), 10)
		if fmt.Sprint(got) != c.want {
			t.Errorf("%v s remaining: started %v, want %v", c.remainingS, got, c.want)
		}
	}
}

// TestPriorityAndLimits: tasks of a higher priority start first, but only as many as their team's
// limit allows. Tasks of a lower priority use the rest of the machine.
func TestPriorityAndLimits(t *testing.T) {
	teams := unlimitedTeams()
	teams["red"] = &placement.Team{Limit: placement.Resources{CPUs: 1, MemoryGB: 100}}
	high := newJob("high", 0, 3)
	high.Team = "red"
	got, _ := placement.Run(0, []*placement.PendingJob{newJob("low", 2, 9), high}, []*placement.Machine{newMachine("m", 4)}, teams, 10)
	if fmt.Sprint(got) != "[{high m} {low m} {low m} {low m}]" {
		t.Fatal(got)
	}
}

// TestAgedBacklogLeavesScoresForOtherJobs: many aged jobs that fit on no machine must not use
// up the scores of a pass. Jobs that fit into the free resources must still start.
func TestAgedBacklogLeavesScoresForOtherJobs(t *testing.T) {
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
		got, stats := placement.Run(0, ready, machines, unlimitedTeams(), 200)
		if fmt.Sprint(got) != "[{small free} {small free}]" {
			t.Errorf("aged jobs of %d tasks: started %v, want two tasks of job small", tasks, got)
		}
		if stats.ScoredPairs > tuning.PlacementMaxScoredPairs {
			t.Errorf("aged jobs of %d tasks: %d pairs scored, want at most tuning.PlacementMaxScoredPairs", tasks, stats.ScoredPairs)
		}
	}
}

// TestLargeGroupIsPlacedOverSeveralPasses: if a group has more jobs than a pass can
// score, the pass must still start some of their tasks.
func TestLargeGroupIsPlacedOverSeveralPasses(t *testing.T) {
	var machines []*placement.Machine
	for i := range 2000 {
		machines = append(machines, newMachine(fmt.Sprintf("m%04d", i), 1))
	}
	var ready []*placement.PendingJob
	for i := range 100 {
		ready = append(ready, newJob(fmt.Sprintf("j%03d", i), 0, 5))
	}
	got, stats := placement.Run(0, ready, machines, unlimitedTeams(), 200)
	if len(got) == 0 || !stats.Truncated || stats.ScoredPairs > 2*tuning.PlacementMaxScoredPairs {
		t.Errorf("%d starts, stats %+v, want some starts in a truncated pass that keeps the limit of scores", len(got), stats)
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
		j.AllowsSpot = rng.IntN(3) > 0
		j.OneZone = rng.IntN(3) == 0
		j.SpreadZones = !j.OneZone && rng.IntN(3) == 0
		jobs = append(jobs, j)
	}
	return jobs
}

// startChecker applies the starts of a pass one by one to the state before the pass,
// and checks each against the constraints.
type startChecker struct {
	jobs        map[string]*placement.PendingJob
	machines    map[string]*placement.Machine
	free        map[string]placement.Resources // by machine
	tasksByZone map[string]map[string]int      // tasks by job and zone
	usedCPUs    float64
}

func newStartChecker(jobs []*placement.PendingJob, machines []*placement.Machine) *startChecker {
	c := &startChecker{
		jobs: map[string]*placement.PendingJob{}, machines: map[string]*placement.Machine{},
		free: map[string]placement.Resources{}, tasksByZone: map[string]map[string]int{},
	}
	for _, j := range jobs {
		c.jobs[j.JobID] = j
	}
	for _, m := range machines {
		c.machines[m.ID], c.free[m.ID] = m, m.Free
	}
	return c
}

// applyStart applies a start. It returns the constraint that the start violates, or an empty string.
func (c *startChecker) applyStart(s placement.Assignment) string {
	j, m := c.jobs[s.JobID], c.machines[s.MachineID]
	if !c.free[m.ID].Fits(j.Request) {
		return "exceeds the free resources"
	}
	c.free[m.ID] = c.free[m.ID].Add(j.Request, -1)
	c.usedCPUs += j.Request.CPUs
	if c.tasksByZone[j.JobID] == nil {
		c.tasksByZone[j.JobID] = map[string]int{}
	}
	zones := c.tasksByZone[j.JobID]
	zones[m.Zone]++
	for zone, tasks := range zones {
		if j.OneZone && len(zones) > 1 || j.SpreadZones && tasks > (j.TotalTasks+1)/2 {
			return fmt.Sprintf("zone constraint violated in zone %s: tasks by zone %v", zone, zones)
		}
	}
	if m.Spot && !j.AllowsSpot {
		return "spot machine not allowed"
	}
	return ""
}

// TestRandomPassesKeepConstraints: on random snapshots, no start exceeds the free
// resources or the team's limit, or violates a constraint on zones or spot machines.
func TestRandomPassesKeepConstraints(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 4))
		machines := randomMachines(rng)
		jobs := randomJobs(rng)
		limit := float64(1 + rng.IntN(30))
		teams := map[string]*placement.Team{"blue": {Limit: placement.Resources{CPUs: limit, GPUs: 1, MemoryGB: 1e9}}}
		checker := newStartChecker(jobs, machines)
		starts, _ := placement.Run(0, jobs, machines, teams, 100)
		for _, s := range starts {
			if violation := checker.applyStart(s); violation != "" {
				t.Fatalf("seed %d: %v: %s", seed, s, violation)
			}
		}
		if checker.usedCPUs > limit {
			t.Fatalf("seed %d: %v CPUs used, limit %v", seed, checker.usedCPUs, limit)
		}
	}
}

// TestAgedJobReservesTeamLimit: if a task of an aged job doesn't fit into its team's
// limit, smaller tasks of the team must not start, as they would delay the aged job
// further. Tasks of other teams may start.
func TestAgedJobReservesTeamLimit(t *testing.T) {
	teams := unlimitedTeams()
	teams["red"] = &placement.Team{Used: placement.Resources{CPUs: 6}, Limit: placement.Resources{CPUs: 8, MemoryGB: 1000}}
	aged, small := newJob("aged", 3, 1), newJob("small", 0, 2)
	aged.Team, small.Team = "red", "red"
	aged.Request.CPUs, aged.AgedS = 4, 100
	got, _ := placement.Run(0, []*placement.PendingJob{small, newJob("other", 2, 1), aged}, []*placement.Machine{newMachine("m", 16)}, teams, 10)
	if fmt.Sprint(got) != "[{other m}]" {
		t.Fatal(got)
	}
}

// TestPassStopsAtScoreLimit: a pass over many machines and jobs stops at its limit of scores,
// returns the starts decided so far and reports that it was truncated.
func TestPassStopsAtScoreLimit(t *testing.T) {
	const machineCount = 500
	var machines []*placement.Machine
	for i := range machineCount {
		machines = append(machines, newMachine(fmt.Sprintf("m%03d", i), 1))
	}
	var ready []*placement.PendingJob
	for i := range 200 {
		j := newJob(fmt.Sprintf("j%03d", i), 1, 1)
		j.Urgency = float64(i) * 100
		ready = append(ready, j)
	}
	starts, stats := placement.Run(0, ready, machines, unlimitedTeams(), 1000)
	if !stats.Truncated || stats.ScoredPairs > tuning.PlacementMaxScoredPairs+2*machineCount {
		t.Errorf("stats %+v, want a truncated pass that keeps the limit of scores", stats)
	}
	if len(starts) == 0 || starts[0].JobID != "j000" {
		t.Errorf("started %v, want the most urgent job, j000, first", starts)
	}
}

// TestAgedJobsStartWhereTheyFit: an aged job that doesn't fit reserves its team's limit
// or a machine. The reservation must not block other aged jobs that fit, but must block
// jobs that have not aged.
func TestAgedJobsStartWhereTheyFit(t *testing.T) {
	for name, limitCPUs := range map[string]float64{"the team limit": 12, "the machine": 100} {
		m := newMachine("m", 12)
		m.Free = placement.Resources{CPUs: 2, MemoryGB: 50}
		m.PlacedTasks = []placement.PlacedTask{{Request: placement.Resources{CPUs: 10, MemoryGB: 50}, EndS: 500}}
		big, small, fresh := newJob("big", 1, 2), newJob("small", 3, 1), newJob("fresh", 0, 5)
		big.Request.CPUs, big.AgedS, small.AgedS = 3, 200, 100
		teams := map[string]*placement.Team{"blue": {Used: placement.Resources{CPUs: 10}, Limit: placement.Resources{CPUs: limitCPUs, MemoryGB: 1e9}}}
		got, _ := placement.Run(100, []*placement.PendingJob{fresh, big, small}, []*placement.Machine{m}, teams, 10)
		if fmt.Sprint(got) != "[{small m}]" {
			t.Errorf("reservation of %s: started %v, want only job small", name, got)
		}
	}
}
