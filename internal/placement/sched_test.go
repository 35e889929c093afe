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

func vm(id string, cpus float64) *placement.Machine {
	r := placement.Resources{CPUs: cpus, MemoryGB: 100}
	return &placement.Machine{ID: id, Type: "t", Zone: "a", Capacity: r, Free: r, FetchGBPerS: 1, Images: map[string]float64{}}
}

func job(id string, level, tasks int) *placement.PendingJob {
	return &placement.PendingJob{
		Job: id, Team: "blue", PriorityRank: level, ReadyTasks: tasks, TotalTasks: tasks, Spot: true,
		Request: placement.Resources{CPUs: 1, MemoryGB: 1}, EstimateS: 10, Image: "img", ImageGB: 5,
	}
}

func unlimited() map[string]*placement.Team {
	return map[string]*placement.Team{"blue": {Limit: placement.Resources{CPUs: 1e9, GPUs: 1e9, MemoryGB: 1e9}}}
}

// TestQueuesBehindCache is the paper's example: with the image cached on a
// busy machine that frees soon, the task waits there rather than fetch.
func TestQueuesBehindCache(t *testing.T) {
	for _, c := range []struct {
		remaining float64
		want      string
	}{{2, "[]"}, {8, "[{j idle}]"}} {
		busy, idle := vm("busy", 1), vm("idle", 1)
		busy.Free = placement.Resources{MemoryGB: 99}
		busy.Images["img"] = 0
		busy.PlacedTasks = []placement.PlacedTask{{Request: placement.Resources{CPUs: 1, MemoryGB: 1}, EndS: 100 + c.remaining}}
		got, _ := placement.Run(100, []*placement.PendingJob{job("j", 0, 1)}, []*placement.Machine{busy, idle}, unlimited(), 10)
		if fmt.Sprint(got) != c.want {
			t.Errorf("remaining %v: %v, want %v", c.remaining, got, c.want)
		}
	}
}

func TestPriorityAndLimits(t *testing.T) {
	teams := unlimited()
	teams["red"] = &placement.Team{Limit: placement.Resources{CPUs: 1, MemoryGB: 100}}
	high := job("high", 0, 3)
	high.Team = "red"
	got, _ := placement.Run(0, []*placement.PendingJob{job("low", 2, 9), high}, []*placement.Machine{vm("m", 4)}, teams, 10)
	if fmt.Sprint(got) != "[{high m} {low m} {low m} {low m}]" {
		t.Fatal(got)
	}
}

// TestBacklogOfAgedJobs: many jobs that have waited long and find no room cost
// little, and the room there is goes to the work that fits into it.
func TestBacklogOfAgedJobs(t *testing.T) {
	var machines []*placement.Machine
	for i := range 2000 {
		m := vm(fmt.Sprintf("m%04d", i), 8)
		m.Free = placement.Resources{}
		m.PlacedTasks = []placement.PlacedTask{{Request: placement.Resources{CPUs: 8, MemoryGB: 100}, EndS: float64(i)}}
		machines = append(machines, m)
	}
	free := vm("free", 8)
	free.Free.CPUs = 2
	machines = append(machines, free)
	for _, tasks := range []int{1, 40} {
		ready := []*placement.PendingJob{job("small", 0, 9)}
		for i := range 200 {
			r := job(fmt.Sprintf("big%03d", i), 2, tasks)
			r.Request.CPUs, r.AgedS = 8, 100+float64(i)
			ready = append(ready, r)
		}
		free.Free.CPUs, free.PlacedTasks = 2, nil
		got, work := placement.Run(0, ready, machines, unlimited(), 200)
		if fmt.Sprint(got) != "[{small free} {small free}]" {
			t.Errorf("aged jobs of %d tasks: started %v", tasks, got)
		}
		if work.ScoredPairs > tuning.PassMaxScoredPairs {
			t.Errorf("aged jobs of %d tasks: %d pairs looked at", tasks, work.ScoredPairs)
		}
	}
}

// TestLongLineIsPlacedInParts: more jobs of one line than a pass can score still
// get their places, some in each pass.
func TestLongLineIsPlacedInParts(t *testing.T) {
	var machines []*placement.Machine
	for i := range 2000 {
		machines = append(machines, vm(fmt.Sprintf("m%04d", i), 1))
	}
	var ready []*placement.PendingJob
	for i := range 100 {
		ready = append(ready, job(fmt.Sprintf("j%03d", i), 0, 5))
	}
	got, work := placement.Run(0, ready, machines, unlimited(), 200)
	if len(got) == 0 || !work.Truncated || work.ScoredPairs > 2*tuning.PassMaxScoredPairs {
		t.Errorf("%d starts, %+v", len(got), work)
	}
}

// TestRandomPasses: whatever the snapshot, no start breaks room, limits or
// places, and no higher priority is passed over where it would fit.
func TestRandomPasses(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 4))
		var machines []*placement.Machine
		free := map[string]placement.Resources{}
		zone := map[string]string{}
		for i := range 1 + rng.IntN(6) {
			m := vm(fmt.Sprint("m", i), float64(1+rng.IntN(16)))
			m.Zone = string(rune('a' + rng.IntN(3)))
			m.Spot = rng.IntN(2) == 0
			for range rng.IntN(3) {
				// Running tasks, some of them over their estimate.
				need := placement.Resources{CPUs: float64(1 + rng.IntN(3)), MemoryGB: 1}
				if m.Free.Fits(need) {
					m.Free = m.Free.Add(need, -1)
					m.PlacedTasks = append(m.PlacedTasks, placement.PlacedTask{Request: need, EndS: float64(rng.IntN(3))})
					slices.SortFunc(m.PlacedTasks, func(a, b placement.PlacedTask) int { return cmp.Compare(a.EndS, b.EndS) })
				}
			}
			free[m.ID], zone[m.ID] = m.Free, m.Zone
			machines = append(machines, m)
		}
		jobs := map[string]*placement.PendingJob{}
		var ready []*placement.PendingJob
		for i := range 1 + rng.IntN(8) {
			j := job(fmt.Sprint("j", i), rng.IntN(4), 1+rng.IntN(9))
			j.Request.CPUs = float64(1 + rng.IntN(4))
			j.Image = fmt.Sprint("img", rng.IntN(3))
			j.Spot = rng.IntN(3) > 0
			j.OneZone = rng.IntN(3) == 0
			j.SpreadZones = !j.OneZone && rng.IntN(3) == 0
			jobs[j.Job] = j
			ready = append(ready, j)
		}
		limit := float64(1 + rng.IntN(30))
		teams := map[string]*placement.Team{"blue": {Limit: placement.Resources{CPUs: limit, GPUs: 1, MemoryGB: 1e9}}}
		used := 0.0
		zones := map[string]map[string]int{}
		starts, _ := placement.Run(0, ready, machines, teams, 100)
		for _, s := range starts {
			j := jobs[s.Job]
			if !free[s.Machine].Fits(j.Request) {
				t.Fatalf("seed %d: no room for %v", seed, s)
			}
			free[s.Machine] = free[s.Machine].Add(j.Request, -1)
			used += j.Request.CPUs
			if zones[s.Job] == nil {
				zones[s.Job] = map[string]int{}
			}
			zones[s.Job][zone[s.Machine]]++
			for z, n := range zones[s.Job] {
				if j.OneZone && len(zones[s.Job]) > 1 || j.SpreadZones && n > (j.TotalTasks+1)/2 {
					t.Fatalf("seed %d: %v in zone %s: %v", seed, s, z, zones[s.Job])
				}
			}
			for _, m := range machines {
				if m.ID == s.Machine && m.Spot && !j.Spot {
					t.Fatalf("seed %d: %v on a spot machine", seed, s)
				}
			}
		}
		if used > limit {
			t.Fatalf("seed %d: %v CPUs of %v", seed, used, limit)
		}
	}
}

// TestAgedJobKeepsItsRoom: while a team's limit has no room for a task of an
// aged job, its smaller tasks don't take what is left; other teams' do.
func TestAgedJobKeepsItsRoom(t *testing.T) {
	teams := unlimited()
	teams["red"] = &placement.Team{Used: placement.Resources{CPUs: 6}, Limit: placement.Resources{CPUs: 8, MemoryGB: 1000}}
	aged, small := job("aged", 3, 1), job("small", 0, 2)
	aged.Team, small.Team = "red", "red"
	aged.Request.CPUs, aged.AgedS = 4, 100
	got, _ := placement.Run(0, []*placement.PendingJob{small, job("other", 2, 1), aged}, []*placement.Machine{vm("m", 16)}, teams, 10)
	if fmt.Sprint(got) != "[{other m}]" {
		t.Fatal(got)
	}
}

// TestPassIsBounded: a pass over many machines and jobs ends in time for other
// work and says that there is more to do; what it has decided stands.
func TestPassIsBounded(t *testing.T) {
	const machines = 500
	var vms []*placement.Machine
	for i := range machines {
		vms = append(vms, vm(fmt.Sprintf("m%03d", i), 1))
	}
	var ready []*placement.PendingJob
	for i := range 200 {
		j := job(fmt.Sprintf("j%03d", i), 1, 1)
		j.Urgency = float64(i) * 100
		ready = append(ready, j)
	}
	starts, work := placement.Run(0, ready, vms, unlimited(), 1000)
	if !work.Truncated || work.ScoredPairs > tuning.PassMaxScoredPairs+2*machines {
		t.Errorf("%+v", work)
	}
	if len(starts) == 0 || starts[0].Job != "j000" {
		t.Errorf("started %v", starts)
	}
}

// TestAgedJobsStartWhereTheyFit: room that is kept for a job that has waited long,
// within its team's limit or on a machine, keeps no other such job waiting that fits
// into it; what has not waited long gets none of it.
func TestAgedJobsStartWhereTheyFit(t *testing.T) {
	for name, max := range map[string]float64{"the limit": 12, "the machine": 100} {
		m := vm("m", 12)
		m.Free = placement.Resources{CPUs: 2, MemoryGB: 50}
		m.PlacedTasks = []placement.PlacedTask{{Request: placement.Resources{CPUs: 10, MemoryGB: 50}, EndS: 500}}
		big, small, fresh := job("big", 1, 2), job("small", 3, 1), job("fresh", 0, 5)
		big.Request.CPUs, big.AgedS, small.AgedS = 3, 200, 100
		teams := map[string]*placement.Team{"blue": {Used: placement.Resources{CPUs: 10}, Limit: placement.Resources{CPUs: max, MemoryGB: 1e9}}}
		got, _ := placement.Run(100, []*placement.PendingJob{fresh, big, small}, []*placement.Machine{m}, teams, 10)
		if fmt.Sprint(got) != "[{small m}]" {
			t.Errorf("kept by %s: %v", name, got)
		}
	}
}
