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

// commonOptions are the options that all subcommands share.
type commonOptions struct {
	Seed uint64 `help:"Seed of the load." default:"1"`
	Out  string `help:"Folder for binary, settings, logs, histories and the report." default:"target/loadtest"`
}

// Times of the checks and of a run.
const (
	progressWindow = 30 * time.Second
	warmUp         = 30 * time.Second
	// pollSlack is the additional time of a run in which users can learn that their jobs have ended.
	pollSlack = 30 * time.Second
)

// historyFileName is the file of a run's exchanges, taskEventsFileName that of its tasks.
const (
	historyFileName    = "history.parquet"
	taskEventsFileName = "tasks.parquet"
)

// clusterRun describes a run of a cluster under load.
type clusterRun struct {
	name     string // also the name of its directory
	operator string // content of the operator settings
	cluster  loadtest.ClusterOptions
	load     loadtest.LoadOptions
	// concurrent, if set, runs concurrently with the load.
	concurrent func(context.Context, *loadtest.Cluster) error
}

// runResult holds the recorded data of a run.
type runResult struct {
	exchanges []loadtest.Exchange
	tasks     []loadtest.TaskEvent
	usage     []loadtest.ResourceUsage
}

// build builds the controllers' binary and returns its path.
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

// dir returns the directory of a run's files.
func (o *commonOptions) dir(name string) string { return filepath.Join(o.Out, name) }

// historyFile returns the path of a run's exchanges.
func (o *commonOptions) historyFile(name string) string {
	return filepath.Join(o.dir(name), historyFileName)
}

// prepare creates an empty directory for a run and writes the operator settings there. It returns their
// path.
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

// run runs a cluster under load and saves the history of the exchanges.
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

// measure runs the load and r.concurrent, which is cancelled if the load fails.
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

// writeReport writes the results to an HTML page with the given name in the output directory.
func (o *commonOptions) writeReport(name string, results []*loadtest.Result) error {
	file, err := os.Create(filepath.Join(o.Out, name))
	if err != nil {
		return err
	}
	return errors.Join(loadtest.WriteReport(file, results), file.Close())
}

// maxPrintedProblems is the number of problems that are printed. The report lists all.
const maxPrintedProblems = 10

func printProblems(problems []string) {
	for _, problem := range problems[:min(len(problems), maxPrintedProblems)] {
		fmt.Println("  problem:", problem)
	}
}
