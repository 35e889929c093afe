package main

import (
	"context"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/loadtest"
	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/wire"
)

// drainCommand measures the drain of a zone under load and compares it with the release of all machines
// of the zone at once.
type drainCommand struct {
	commonOptions
	Seconds int     `help:"How long the load lasts, 120 to 600." default:"180"`
	Rate    float64 `help:"New jobs of four tasks a second, at most 2." default:"1"`
	Lost    float64 `help:"Run time that each team may lose in a minute, in seconds." default:"100"`
}

// Limits of the options.
const (
	minDrainSeconds = 120
	maxDrainSeconds = 600
	maxDrainRate    = 2
)

const (
	drainedZone = "a"
	// drainAt is when the drain starts or the zone is released. The leader is killed twice after it.
	drainAt      = 60 * time.Second
	firstKillAt  = 75 * time.Second
	secondKillAt = 115 * time.Second
	drainWindow  = 60 * time.Second
	// drainCheckpointInterval is the checkpoint interval of the nightly jobs.
	drainCheckpointInterval = 5 * time.Second
	drainTaskRunTime        = 25 * time.Second
)

// drainOperatorFormat is the format of the operator settings.
const drainOperatorFormat = `<switchshore><admission/><drains windowSeconds="%g"><budget maxUnavailable="%d" evictions="%d" lostSeconds="%g"/></drains></switchshore>`

// drainVariant is one of the two runs that are compared.
type drainVariant struct {
	name             string
	releaseAtOnce    bool // release the zone instead of draining it
	timing           *loadtest.DrainTiming
	releasedMachines int // number of machines released at once
	result           *runResult
}

// Run runs both variants concurrently and reports the results.
func (o *drainCommand) Run(ctx context.Context) error {
	if o.Seconds < minDrainSeconds || o.Seconds > maxDrainSeconds || o.Rate <= 0 || o.Rate > maxDrainRate || o.Lost < 0 {
		return fmt.Errorf("--seconds must be %d to %d, --rate above 0 and at most %d, --lost not below 0", minDrainSeconds, maxDrainSeconds, maxDrainRate)
	}
	binary, err := o.build(ctx)
	if err != nil {
		return err
	}
	variants := []*drainVariant{{name: "drained"}, {name: "at-once", releaseAtOnce: true}}
	var group errgroup.Group
	for _, v := range variants {
		group.Go(func() error { return o.runVariant(ctx, binary, v) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return o.report(variants)
}

// budget returns the disruption budget of each team.
func (o *drainCommand) budget() drain.Budget {
	return drain.Budget{MaxUnavailable: 8, Evictions: 30, LostS: o.Lost}
}

// operatorFile returns the operator settings with the budget.
func (o *drainCommand) operatorFile() string {
	b := o.budget()
	return fmt.Sprintf(drainOperatorFormat, drainWindow.Seconds(), b.MaxUnavailable, b.Evictions, b.LostS)
}

// runVariant runs a variant, saves its task history and packs its files.
func (o *drainCommand) runVariant(ctx context.Context, binary string, v *drainVariant) (err error) {
	v.result, err = o.run(ctx, binary, clusterRun{
		name: v.name, operator: o.operatorFile(), concurrent: v.disruptZone,
		cluster: loadtest.ClusterOptions{
			Machines: 12, WriteRPS: 100, HeartbeatInterval: time.Second,
			Zones: []string{drainedZone, "b"}, RunTime: actualRunTime,
		},
		load: loadtest.LoadOptions{
			Duration: time.Duration(o.Seconds) * time.Second, JobsPerSecond: o.Rate, Seed: o.Seed,
			TasksPerJob: 4, TaskRunTime: drainTaskRunTime, CheckpointInterval: drainCheckpointInterval,
			EqualPriority: true, KillLeaderAt: []time.Duration{firstKillAt, secondKillAt},
		},
	})
	if err != nil {
		return err
	}
	dir := o.dir(v.name)
	if err := loadtest.SaveHistory(filepath.Join(dir, taskEventsFileName), v.result.tasks); err != nil {
		return err
	}
	return archive(dir, dir+".tar.zst")
}

// actualRunTime returns how long a job's tasks run: for one job in four, four times as long as estimated.
func actualRunTime(job *wire.Job) time.Duration {
	number, err := strconv.Atoi(strings.TrimPrefix(job.ID, "job-"))
	if err != nil {
		number = 0 // not a job of the load generator
	}
	factor := []float64{0.5, 1, 1, 4}[number%4]
	return seconds.Duration(job.EstimateS * factor)
}

// disruptZone drains the zone, or releases its machines at once, after drainAt.
func (v *drainVariant) disruptZone(ctx context.Context, cluster *loadtest.Cluster) (err error) {
	if err := ctxtime.Sleep(ctx, drainAt); err != nil {
		return err
	}
	if v.releaseAtOnce {
		v.releasedMachines = cluster.ReleaseZone(drainedZone)
		return nil
	}
	v.timing, err = cluster.Drain(ctx, &drain.Spec{
		Name: "measured", Selector: drain.Selector{Zone: drainedZone}, BatchSize: 2, Replace: true,
	})
	return err
}

// report prints the results of both runs and writes the report. It returns an error if the drain
// exceeded a budget.
func (o *drainCommand) report(variants []*drainVariant) error {
	var results []*loadtest.Result
	var exceeded []string
	for _, v := range variants {
		result, err := o.check(v)
		if err != nil {
			return err
		}
		if !v.releaseAtOnce {
			exceeded = loadtest.CheckBudgets(result.Disruptions, &drain.Budgets{Window: drainWindow, Default: o.budget()})
			result.Problems = append(result.Problems, exceeded...)
		}
		v.print(result)
		results = append(results, result)
	}
	if err := o.writeReport("drain.html", results); err != nil {
		return err
	}
	if len(exceeded) > 0 {
		return fmt.Errorf("budgets exceeded: %v", exceeded)
	}
	return nil
}

// check checks a variant's exchanges and computes its disruptions.
func (o *drainCommand) check(v *drainVariant) (*loadtest.Result, error) {
	options := loadtest.CheckOptions{Begin: warmUp, End: time.Duration(o.Seconds) * time.Second, Window: progressWindow}
	result, err := loadtest.NewResult("zone "+v.name, v.result.exchanges, options)
	if err != nil {
		return nil, err
	}
	result.Disruptions = loadtest.DisruptionsByTeam(v.result.tasks, drainedZone, drainWindow)
	return result, nil
}

// print prints the result of a variant.
func (v *drainVariant) print(result *loadtest.Result) {
	fmt.Printf("%s: %d answers, %d problems\n", result.Name, len(v.result.exchanges), len(result.Problems))
	for _, d := range result.Disruptions {
		fmt.Printf("  %-7s stopped %3d (saved %3d), lost with machines %3d, run time lost %v; most unavailable %d, in a window %d evictions, %v lost\n",
			d.Team, d.Stopped, d.Saved, d.Lost, d.LostTime.Round(time.Second), d.MaxUnavailable, d.MaxEvictions, d.MaxLostTime.Round(time.Second))
	}
	for _, c := range result.Classes {
		fmt.Printf("  %-7s %-8s accepted %4d of %4d, done %4d, p50 %v\n", c.Team, c.Class, c.Accepted, c.Submitted, c.Done, c.DoneP50)
	}
	v.printTiming()
	printProblems(result.Problems)
}

// printTiming prints the duration and the waits of the drain, or the number of machines released.
func (v *drainVariant) printTiming() {
	if v.releaseAtOnce {
		fmt.Printf("  %d machines taken away at once\n", v.releasedMachines)
		return
	}
	fmt.Printf("  drained in %v: %+v\n", v.timing.Total.Round(time.Second), v.timing.Status.Counts)
	for _, reason := range slices.Sorted(maps.Keys(v.timing.Waits)) {
		fmt.Printf("    %6v %s\n", v.timing.Waits[reason].Round(time.Second), reason)
	}
}
