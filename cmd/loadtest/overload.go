package main

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/loadtest"
)

// overloadCommand measures admission control. Two clusters of three controllers each, one with
// admission control enabled and one with it disabled, get the same load of several times their
// capacity.
type overloadCommand struct {
	commonOptions
	Seconds  int     `help:"How long the load lasts, at most 1200." default:"600"`
	Rate     float64 `help:"New jobs a second, at most 100; one team submits as many again." default:"50"`
	Machines int     `help:"Measure a fleet of that many machines with work for all of them, instead of an overload; at most 4000." default:"0"`
	Report   bool    `help:"Only check the histories that are there and write the report."`
}

// Limits of the options. They exist because a run shares its host with other processes.
const (
	minSeconds  = 60
	maxSeconds  = 1200
	maxRate     = 100
	maxMachines = 4000
)

// Size of the fleet measurement.
const (
	fleetTasksPerJob = 1000
	fleetTaskRunTime = 60 * time.Second
	// cpusPerMachine is the number of CPUs of the cluster's machine type. fleetLoadFactor is the submitted
	// work divided by the fleet's capacity.
	cpusPerMachine  = 8
	fleetLoadFactor = 3
)

// variant is one of the two runs that are compared.
type variant struct{ name, operator string }

var (
	admissionOn  = variant{"on", `<switchshore><admission/></switchshore>`}
	admissionOff = variant{"off", "<switchshore/>"}
)

// Run measures both variants and writes the report, or measures a fleet if Machines is set.
func (o *overloadCommand) Run(ctx context.Context) error {
	if err := o.validate(); err != nil {
		return err
	}
	if o.Machines > 0 {
		return o.measureFleet(ctx)
	}
	if !o.Report {
		if err := o.measure(ctx); err != nil {
			return err
		}
	}
	return o.report()
}

// validate returns an error if an option is outside its limits.
func (o *overloadCommand) validate() error {
	if o.Seconds < minSeconds || o.Seconds > maxSeconds || o.Rate <= 0 || o.Rate > maxRate {
		return fmt.Errorf("--seconds must be %d to %d, --rate above 0 and at most %d", minSeconds, maxSeconds, maxRate)
	}
	if o.Machines < 0 || o.Machines > maxMachines {
		return fmt.Errorf("--machines must be at most %d", maxMachines)
	}
	return nil
}

// duration returns how long jobs are submitted.
func (o *overloadCommand) duration() time.Duration { return time.Duration(o.Seconds) * time.Second }

// measure runs both variants concurrently.
func (o *overloadCommand) measure(ctx context.Context) error {
	binary, err := o.build(ctx)
	if err != nil {
		return err
	}
	load := loadtest.LoadOptions{
		Duration: o.duration(), JobsPerSecond: o.Rate, Seed: o.Seed, TasksPerJob: 2, TaskRunTime: 4 * time.Second,
		Flood: true, KillLeaderAt: []time.Duration{o.duration() / 2},
	}
	cluster := loadtest.ClusterOptions{Machines: 20, WriteRPS: 40, HeartbeatInterval: time.Second, Zones: []string{"a"}}
	var group errgroup.Group
	for _, v := range []variant{admissionOn, admissionOff} {
		group.Go(func() error { return o.runVariant(ctx, binary, v, cluster, load) })
	}
	return group.Wait()
}

// measureFleet keeps a fleet of o.Machines machines busy and prints the resource usage of the
// controllers.
func (o *overloadCommand) measureFleet(ctx context.Context) error {
	binary, err := o.build(ctx)
	if err != nil {
		return err
	}
	capacityPerSecond := float64(o.Machines*cpusPerMachine) / fleetTaskRunTime.Seconds() / fleetTasksPerJob // jobs a second
	load := loadtest.LoadOptions{
		Duration: o.duration(), JobsPerSecond: capacityPerSecond * fleetLoadFactor, Seed: o.Seed,
		TasksPerJob: fleetTasksPerJob, TaskRunTime: fleetTaskRunTime,
		KillLeaderAt: []time.Duration{o.duration() / 2},
	}
	cluster := loadtest.ClusterOptions{
		Machines: o.Machines, WriteRPS: 180, HeartbeatInterval: 3 * time.Second, Zones: []string{"a"},
	}
	return o.runVariant(ctx, binary, admissionOn, cluster, load)
}

// runVariant runs one variant. It prints the number of open files shortly before the load ends, and the
// resource usage of the controllers at the end.
func (o *overloadCommand) runVariant(ctx context.Context, binary string, v variant, cluster loadtest.ClusterOptions, load loadtest.LoadOptions) error {
	result, err := o.run(ctx, binary, clusterRun{
		name: v.name, operator: v.operator, cluster: cluster, load: load,
		concurrent: func(ctx context.Context, c *loadtest.Cluster) error {
			if ctxtime.Sleep(ctx, load.Duration-time.Second) == nil {
				fmt.Println(v.name, "sockets:", c.OpenFiles())
			}
			return nil
		},
	})
	if err != nil {
		return err
	}
	for _, u := range result.usage {
		fmt.Printf("%s node %d: %v of processor time, %d MiB at most\n", v.name, u.Node, u.CPU.Round(time.Second), u.MaxMemoryMiB)
	}
	return nil
}

// report checks the histories and writes the report. It returns an error if the run with admission
// control has problems.
func (o *overloadCommand) report() error {
	on, err := o.checkVariant(admissionOn)
	if err != nil {
		return err
	}
	off, err := o.checkVariant(admissionOff)
	if err != nil {
		return err
	}
	if err := o.writeReport("report.html", []*loadtest.Result{on, off}); err != nil {
		return err
	}
	if count := len(on.Problems); count > 0 {
		return fmt.Errorf("%d problems with admission control on", count)
	}
	return nil
}

// checkVariant checks a variant's saved history and prints the result.
func (o *overloadCommand) checkVariant(v variant) (*loadtest.Result, error) {
	history, err := loadtest.LoadHistory(o.historyFile(v.name))
	if err != nil {
		return nil, err
	}
	options := loadtest.CheckOptions{Begin: warmUp, End: o.duration(), Window: progressWindow, Objectives: loadtest.Objectives}
	result, err := loadtest.NewResult("admission "+v.name, history, options)
	if err != nil {
		return nil, err
	}
	fmt.Printf("%s: %d answers, Jain %.3f, %d problems\n", result.Name, len(history), result.JainIndex, len(result.Problems))
	for _, c := range result.Classes {
		fmt.Printf("  %-7s %-8s asked %6d accepted %6d given up %6d tries %7d p50 %v p95 %v, done %d p50 %v\n",
			c.Team, c.Class, c.Submitted, c.Accepted, c.Abandoned, c.SubmitRequests, c.AcceptP50, c.AcceptP95, c.Done, c.DoneP50)
	}
	printProblems(result.Problems)
	return result, nil
}
