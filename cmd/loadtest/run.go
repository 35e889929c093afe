package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"switchshore.example/switchshore/internal/loadtest"
)

// commonOptions are the options of all measurements.
type commonOptions struct {
	Seed uint64 `help:"Seed of the load." default:"1"`
	Out  string `help:"Folder for binary, settings, logs, histories and the report." default:"target/loadtest"`
}

// Bounds of the progress check, and of a run.
const (
	progressWindow = 30 * time.Second
	warmUp         = 30 * time.Second
	// pollSlack is how long after a job's end its user may learn of it.
	pollSlack = 30 * time.Second
)

// historyFileName is the file of a run's exchanges, taskEventsFileName that of its tasks.
const (
	historyFileName    = "history.parquet"
	taskEventsFileName = "tasks.parquet"
)

// clusterRun is one run of a cluster under load.
type clusterRun struct {
	name     string // also of its folder
	operator string // the operators' file
	cluster  loadtest.ClusterOptions
	load     loadtest.LoadOptions
	// concurrent, if set, runs beside the load.
	concurrent func(context.Context, *loadtest.Cluster) error
}

// runResult is what a run has recorded.
type runResult struct {
	exchanges []loadtest.Exchange
	tasks     []loadtest.TaskEvent
	usage     []loadtest.ResourceUsage
}

// build builds the controllers' binary.
func (o *commonOptions) build(ctx context.Context) (string, error) {
	binary, err := filepath.Abs(filepath.Join(o.Out, "switchshore"))
	if err != nil {
		return "", err
	}
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return "", err
	}
	command := exec.CommandContext(ctx, "go", "build", "-o", binary, "./cmd/switchshore")
	command.Stderr = os.Stderr
	return binary, command.Run()
}

// dir is where a run writes its files.
func (o *commonOptions) dir(name string) string { return filepath.Join(o.Out, name) }

// historyFile is the file of a run's exchanges.
func (o *commonOptions) historyFile(name string) string {
	return filepath.Join(o.dir(name), historyFileName)
}

// prepare makes an empty folder for a run, writes the operators' file there and returns its path.
func (o *commonOptions) prepare(r clusterRun) (operatorPath string, err error) {
	dir := o.dir(r.name)
	if err := os.RemoveAll(dir); err != nil {
		return "", err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	operatorPath = filepath.Join(dir, "operator.xml")
	return operatorPath, os.WriteFile(operatorPath, []byte(r.operator), 0o600)
}

// run runs a cluster under load, and saves the history of the exchanges.
func (o *commonOptions) run(ctx context.Context, binary string, r clusterRun) (*runResult, error) {
	operatorPath, err := o.prepare(r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.load.Duration+loadtest.LongestObjective()+pollSlack)
	defer cancel()
	cluster, err := loadtest.StartCluster(ctx, binary, operatorPath, o.dir(r.name), r.cluster)
	if err != nil {
		return nil, err
	}
	result := &runResult{}
	err = result.measure(ctx, cluster, r)
	result.tasks = cluster.TaskHistory()
	cancel()
	cluster.Wait()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", r.name, err)
	}
	result.usage = cluster.ResourceUsage()
	return result, loadtest.SaveHistory(o.historyFile(r.name), result.exchanges)
}

// measure runs the load and what goes on beside it.
func (result *runResult) measure(ctx context.Context, cluster *loadtest.Cluster, r clusterRun) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	if r.concurrent != nil {
		group.Go(func() error { return r.concurrent(ctx, cluster) })
	}
	var err error
	if result.exchanges, err = loadtest.RunLoad(ctx, cluster, r.load); err != nil {
		cancel()
	}
	return errors.Join(err, group.Wait())
}

// writeReport writes the results as a page in the folder of the run.
func (o *commonOptions) writeReport(name string, results []*loadtest.Result) error {
	file, err := os.Create(filepath.Join(o.Out, name))
	if err != nil {
		return err
	}
	return errors.Join(loadtest.WriteReport(file, results), file.Close())
}

// maxPrintedProblems bounds the problems that are printed; the report has all.
const maxPrintedProblems = 10

func printProblems(problems []string) {
	for _, problem := range problems[:min(len(problems), maxPrintedProblems)] {
		fmt.Println("  problem:", problem)
	}
}
