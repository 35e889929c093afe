package main

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"switchshore.example/switchshore/internal/loadtest"
)

// overloadCommand measures admission control: two clusters of three controllers each, one with
// admission control on and one with it off, get the same load, several times what they can take.
type overloadCommand struct {
	common
	Seconds  int     `help:"How long the load lasts, at most 1200." default:"600"`
	Rate     float64 `help:"New jobs a second, at most 100; one team submits as many again." default:"50"`
	Machines int     `help:"Measure a fleet of that many machines with work for all of them, instead of an overload; at most 4000." default:"0"`
	Report   bool    `help:"Only check the histories that are there and write the report."`
}

// Bounds of a run: it shares the machine with whatever else runs there.
const (
	maxSeconds  = 1200
	maxRate     = 100
	maxMachines = 4000
	window      = 30 * time.Second
	warmUp      = 30 * time.Second
	// cpus are those of a stand-in machine; surplus is the work offered to a fleet,
	// related to what it can do.
	cpus    = 8
	surplus = 3
	// pollSlack is how long after its end a user may hear of it.
	pollSlack = 30 * time.Second
)

const withAdmission = `<switchshore><admission/></switchshore>`

// variant is one of the two runs.
type variant struct {
	name     string
	operator string
}

var variants = []variant{{"on", withAdmission}, {"off", "<switchshore/>"}}

// Run measures, and writes the report.
func (o *overloadCommand) Run(ctx context.Context) error {
	if o.Seconds < 60 || o.Seconds > maxSeconds || o.Rate <= 0 || o.Rate > maxRate {
		return fmt.Errorf("--seconds must be 60 to %d, --rate above 0 and at most %d", maxSeconds, maxRate)
	}
	if o.Machines < 0 || o.Machines > maxMachines {
		return fmt.Errorf("--machines must be at most %d", maxMachines)
	}
	if o.Machines > 0 {
		return measureFleet(ctx, o)
	}
	if !o.Report {
		if err := play(ctx, o); err != nil {
			return err
		}
	}
	return report(o)
}

// play runs both variants side by side.
func play(ctx context.Context, o *overloadCommand) error {
	binary, err := o.build(ctx)
	if err != nil {
		return err
	}
	load := loadtest.Options{
		Duration: time.Duration(o.Seconds) * time.Second, Rate: o.Rate, Seed: o.Seed, Tasks: 2, TaskTime: 4 * time.Second, Flood: true,
		KillLeader: []time.Duration{time.Duration(o.Seconds) * time.Second / 2},
	}
	size := loadtest.Size{Machines: 20, WriteRPS: 40, ReportEvery: time.Second, Zones: []string{"a"}}
	var group errgroup.Group
	for _, v := range variants {
		group.Go(func() error { return playVariant(ctx, o, v, binary, load, size) })
	}
	return group.Wait()
}

// measureFleet keeps a fleet of the given size busy and tells what that costs the controllers.
func measureFleet(ctx context.Context, o *overloadCommand) error {
	binary, err := o.build(ctx)
	if err != nil {
		return err
	}
	const taskTime, tasks = 60 * time.Second, 1000
	perSecond := float64(o.Machines*cpus) / taskTime.Seconds() / tasks
	load := loadtest.Options{
		Duration: time.Duration(o.Seconds) * time.Second, Rate: perSecond * surplus, Seed: o.Seed, Tasks: tasks, TaskTime: taskTime,
		KillLeader: []time.Duration{time.Duration(o.Seconds) * time.Second / 2},
	}
	size := loadtest.Size{Machines: o.Machines, WriteRPS: 180, ReportEvery: 3 * time.Second, Zones: []string{"a"}}
	return playVariant(ctx, o, variants[0], binary, load, size)
}

func playVariant(ctx context.Context, o *overloadCommand, v variant, binary string, load loadtest.Options, size loadtest.Size) error {
	folder, operator, err := o.prepare(v.name, v.operator)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, load.Duration+loadtest.LongestObjective()+pollSlack)
	defer cancel()
	cluster, err := loadtest.StartCluster(ctx, binary, operator, folder, size)
	if err != nil {
		return err
	}
	time.AfterFunc(load.Duration-time.Second, func() { fmt.Println(v.name, "sockets:", cluster.Sockets()) })
	history, err := loadtest.Run(ctx, cluster, load)
	cancel()
	cluster.Wait()
	if err != nil {
		return fmt.Errorf("%s: %w", v.name, err)
	}
	for _, u := range cluster.Usage() {
		fmt.Printf("%s node %d: %v of processor time, %d MiB at most\n", v.name, u.Node, u.CPU.Round(time.Second), u.MaxMemory)
	}
	return loadtest.Save(historyFile(o, v), history)
}

func historyFile(o *overloadCommand, v variant) string {
	return filepath.Join(o.Out, v.name, "history.parquet")
}

// report checks the histories and writes the page; a problem in the run with admission
// control on is an error.
func report(o *overloadCommand) error {
	plan := loadtest.Plan{Begin: warmUp, End: time.Duration(o.Seconds) * time.Second, Window: window, Objectives: loadtest.Objectives}
	var results []*loadtest.Result
	for _, v := range variants {
		history, err := loadtest.Load(historyFile(o, v))
		if err != nil {
			return err
		}
		result, err := loadtest.NewResult("admission "+v.name, history, plan)
		if err != nil {
			return err
		}
		results = append(results, result)
		fmt.Printf("%s: %d answers, Jain %.3f, %d problems\n", result.Name, len(history), result.Jain, len(result.Problems))
		for _, r := range result.Rows {
			fmt.Printf("  %-7s %-8s asked %6d accepted %6d given up %6d tries %7d p50 %v p95 %v, done %d p50 %v\n",
				r.Team, r.Class, r.Asked, r.Accepted, r.GivenUp, r.Tries, r.P50, r.P95, r.Done, r.DoneP50)
		}
		for _, p := range result.Problems[:min(len(result.Problems), 10)] {
			fmt.Println("  problem:", p)
		}
	}
	if err := o.writeReport("report.html", results); err != nil {
		return err
	}
	if n := len(results[0].Problems); n > 0 {
		return fmt.Errorf("%d problems with admission control on", n)
	}
	return nil
}
