package main

import (
	"context"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/loadtest"
	"switchshore.example/switchshore/wire"
)

// drainCommand measures a drain under load.
type drainCommand struct {
	common
	Seconds int     `help:"How long the load lasts, 120 to 600." default:"180"`
	Rate    float64 `help:"New jobs of four tasks a second, at most 2." default:"1"`
	Lost    float64 `help:"Run time that each team may lose in a minute, in seconds." default:"100"`
}

const (
	drainedZone = "a"
	// drainAt is when the zone is drained, or taken away; the leader is killed twice after it.
	drainAt     = 60 * time.Second
	firstKill   = 75 * time.Second
	secondKill  = 115 * time.Second
	drainWindow = 60 * time.Second
	// savedEvery is the interval of the checkpoints of nightly jobs.
	savedEvery = 5 * time.Second
	taskTime   = 25 * time.Second
)

// budget is that of each team.
func (o *drainCommand) budget() drain.Budget {
	return drain.Budget{MaxUnavailable: 8, Evictions: 30, LostS: o.Lost}
}

const withDrains = `<switchshore><admission/><drains windowSeconds="%g"><budget maxUnavailable="%d" evictions="%d" lostSeconds="%g"/></drains></switchshore>`

// drainResult is one of the two runs.
type drainResult struct {
	name     string
	times    *loadtest.DrainTimes // nil where the zone was taken away
	released int
	tasks    []loadtest.TaskEvent
	answers  []loadtest.Answer
}

// Run plays both variants side by side and writes what came of them.
func (o *drainCommand) Run(ctx context.Context) error {
	if o.Seconds < 120 || o.Seconds > 600 || o.Rate <= 0 || o.Rate > 2 || o.Lost < 0 {
		return fmt.Errorf("--seconds must be 120 to 600, --rate above 0 and at most 2, --lost not below 0")
	}
	binary, err := o.build(ctx)
	if err != nil {
		return err
	}
	results := []*drainResult{{name: "drained"}, {name: "at-once"}}
	var group errgroup.Group
	for _, r := range results {
		group.Go(func() error { return o.play(ctx, binary, r) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return o.report(results)
}

// runTime is that of a job's tasks: one job in four runs for far longer than estimated.
func runTime(j *wire.Job) time.Duration {
	number, _ := strconv.Atoi(j.ID[len("job-"):])
	factor := []float64{0.5, 1, 1, 4}[number%4]
	return time.Duration(j.EstimateS * factor * float64(time.Second))
}

func (o *drainCommand) play(ctx context.Context, binary string, r *drainResult) error {
	b := o.budget()
	folder, operator, err := o.prepare(r.name, fmt.Sprintf(withDrains, drainWindow.Seconds(), b.MaxUnavailable, b.Evictions, b.LostS))
	if err != nil {
		return err
	}
	load := loadtest.Options{
		Duration: time.Duration(o.Seconds) * time.Second, Rate: o.Rate, Seed: o.Seed, Tasks: 4, TaskTime: taskTime,
		CheckpointEvery: savedEvery, OnePriority: true, KillLeader: []time.Duration{firstKill, secondKill},
	}
	size := loadtest.Size{Machines: 12, WriteRPS: 100, ReportEvery: time.Second, Zones: []string{drainedZone, "b"}, RunTime: runTime}
	ctx, cancel := context.WithTimeout(ctx, load.Duration+loadtest.LongestObjective()+pollSlack)
	defer cancel()
	cluster, err := loadtest.StartCluster(ctx, binary, operator, folder, size)
	if err != nil {
		return err
	}
	var group errgroup.Group
	group.Go(func() error { return r.empty(ctx, cluster) })
	r.answers, err = loadtest.Run(ctx, cluster, load)
	if drainErr := group.Wait(); err == nil {
		err = drainErr
	}
	r.tasks = cluster.TaskHistory()
	cancel()
	cluster.Wait()
	if err != nil {
		return fmt.Errorf("%s: %w", r.name, err)
	}
	if err := loadtest.Save(filepath.Join(folder, "tasks.parquet"), r.tasks); err != nil {
		return err
	}
	if err := loadtest.Save(filepath.Join(folder, "history.parquet"), r.answers); err != nil {
		return err
	}
	return archive(folder, folder+".tar.zst")
}

// empty drains the zone, or takes it away at once, when it is time.
func (r *drainResult) empty(ctx context.Context, cluster *loadtest.Cluster) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(drainAt):
	}
	if r.name != "drained" {
		r.released = cluster.ReleaseZone(drainedZone)
		return nil
	}
	var err error
	r.times, err = cluster.Drain(ctx, &drain.Spec{Name: "measured", Selector: drain.Selector{Zone: drainedZone}, BatchSize: 2, Replace: true})
	return err
}

// report prints and draws both runs; a budget that is exceeded is an error.
func (o *drainCommand) report(results []*drainResult) error {
	budgets := &drain.Budgets{Window: drainWindow, Default: o.budget()}
	plan := loadtest.Plan{Begin: warmUp, End: time.Duration(o.Seconds) * time.Second, Window: window}
	var drawn []*loadtest.Result
	var exceeded []string
	for _, r := range results {
		result, err := loadtest.NewResult("zone "+r.name, r.answers, plan)
		if err != nil {
			return err
		}
		result.Disruptions = loadtest.Disruptions(r.tasks, drainedZone, drainWindow)
		drawn = append(drawn, result)
		if r.times != nil {
			exceeded = loadtest.CheckBudgets(result.Disruptions, budgets)
			result.Problems = append(result.Problems, exceeded...)
		}
		r.print(result)
	}
	if err := o.writeReport("drain.html", drawn); err != nil {
		return err
	}
	if len(exceeded) > 0 {
		return fmt.Errorf("budgets exceeded: %v", exceeded)
	}
	return nil
}

func (r *drainResult) print(result *loadtest.Result) {
	fmt.Printf("%s: %d answers, %d problems\n", result.Name, len(r.answers), len(result.Problems))
	for _, d := range result.Disruptions {
		fmt.Printf("  %-7s stopped %3d (saved %3d), lost with machines %3d, run time lost %v; most unavailable %d, in a window %d evictions, %v lost\n",
			d.Team, d.Stopped, d.Saved, d.Lost, d.LostTime.Round(time.Second), d.MostUnavailable, d.MostEvictions, d.MostLost.Round(time.Second))
	}
	for _, row := range result.Rows {
		fmt.Printf("  %-7s %-8s accepted %4d of %4d, done %4d, p50 %v\n", row.Team, row.Class, row.Accepted, row.Asked, row.Done, row.DoneP50)
	}
	if r.times == nil {
		fmt.Printf("  %d machines taken away at once\n", r.released)
	} else {
		fmt.Printf("  drained in %v: %+v\n", r.times.Total.Round(time.Second), r.times.Status.Counts)
		for _, reason := range slices.Sorted(maps.Keys(r.times.Waits)) {
			fmt.Printf("    %6v %s\n", r.times.Waits[reason].Round(time.Second), reason)
		}
	}
	for _, p := range result.Problems[:min(len(result.Problems), 10)] {
		fmt.Println("  problem:", p)
	}
}
