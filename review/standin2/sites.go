package main

import "time"

// newsroom returns the settings of the first deployment (deyal-press-cluster), as the pages give them.
// Machines boot one after the other, within a few seconds.
func newsroom() params {
	return params{
		zones: []string{"mezourlo", "neapoli", "giannouli"},
		teams: `[[facts.teams]]
name = "syntaxi"
cpus = 96.0
cpus_max = 160.0
gpus = 0.0
gpus_max = 0.0
[[facts.teams]]
name = "logariasmoi"
cpus = 160.0
cpus_max = 352.0
gpus = 0.0
gpus_max = 0.0
[[facts.teams]]
name = "michanikoi"
cpus = 96.0
cpus_max = 240.0
gpus = 0.0
gpus_max = 0.0
[[facts.objectives]]
kind = "deadline"
class = "page-renders"
share = 0.92
times = 1.0
[[facts.objectives]]
kind = "deadline"
class = "breaking-edition"
share = 0.975
times = 1.0
[[facts.objectives]]
kind = "finished"
class = "bill-inserts"
within_s = 250.0
share = 0.92
[[facts.objectives]]
kind = "guarantee"
within_s = 5.0
share = 0.88
`,
		limits: map[string]float64{"syntaxi": 160, "logariasmoi": 352, "michanikoi": 240},
		report: 3 * time.Second, lease: 17 * time.Second, cancel: 47 * time.Second,
		state:    stateLimits{rps: 200, writeRPS: 80, valueKB: 16, txnOps: 48},
		cloudRPS: 8, listLag: 5 * time.Second,
		coreShare: 0.096, memoryMB: 179, fdLimit: 1800,
		machine: machineType{
			Label: "typos-16", Cores: 16, MemoryGB: 128, LocalGB: 60, PullGBPerS: 0.6,
			Price: 1.19, MarketPrice: 0.44, ReadyS: 40, Berths: []string{"giannouli", "mezourlo", "neapoli"},
		},
		capacity: map[string]int{
			"mezourlo/false": 6, "mezourlo/true": 4, "neapoli/false": 6, "neapoli/true": 4, "giannouli/false": 5, "giannouli/true": 3,
		},
		// "At times machines are up within a second or two."
		bootTime: func(number int) time.Duration {
			return time.Second + time.Duration(number)*300*time.Millisecond
		},
	}
}

// newJob returns a job whose tasks run as long as their owner estimates.
func newJob(ref, class, team, rank string, oars int, cores, reckonS float64) *job {
	return &job{
		Ref: ref, Muster: class, Crew: team, Rig: "batch", Rank: rank, Oars: oars, Cores: cores, MemoryGB: cores * 4,
		Hull: "img-01", ImageGB: 0.01, Driftwood: true, ReckonS: reckonS,
		runTime: func(int) time.Duration { return time.Duration(reckonS * float64(time.Second)) },
	}
}

// newsroomFleet returns the settings of the first deployment as it has grown (deyal-press-cluster-fleet).
func newsroomFleet() params {
	p := newsroom()
	p.zones = []string{"mezourlo", "neapoli", "giannouli", "mezourlo", "neapoli"}
	p.teams = `[[facts.teams]]
name = "syntaxi"
cpus = 5000.0
cpus_max = 12000.0
gpus = 0.0
gpus_max = 0.0
[[facts.teams]]
name = "logariasmoi"
cpus = 7000.0
cpus_max = 30000.0
gpus = 0.0
gpus_max = 0.0
[[facts.teams]]
name = "michanikoi"
cpus = 5000.0
cpus_max = 18000.0
gpus = 0.0
gpus_max = 0.0
`
	p.limits = map[string]float64{"syntaxi": 12000, "logariasmoi": 30000, "michanikoi": 18000}
	p.report, p.lease, p.cancel = 5*time.Second, 26500*time.Millisecond, 56500*time.Millisecond
	p.state = stateLimits{rps: 350, writeRPS: 150, valueKB: 16, txnOps: 48}
	p.cloudRPS = 12
	p.coreShare, p.memoryMB, p.fdLimit = 0.168, 322, 3132
	return p
}
