// Command loadtest measures controllers under load: clusters of three controllers each, as
// processes on loopback with stand-ins around them. It is bounded in rate and time, and writes
// histories and a report.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"

	"github.com/alecthomas/kong"

	"switchshore.example/switchshore/internal/loadtest"
)

type options struct {
	Overload overloadCommand `cmd:"" help:"Admission control under overload, on and off; or what a fleet of many machines costs."`
	Drain    drainCommand    `cmd:"" help:"A zone drained with replacement while the leader is killed twice, and the same zone taken away at once."`
}

// common are the options of all measurements.
type common struct {
	Seed uint64 `help:"Seed of the load." default:"1"`
	Out  string `help:"Folder for binary, settings, logs, histories and the report." default:"target/loadtest"`
}

func main() {
	var o options
	command := kong.Parse(&o, kong.Name("loadtest"), kong.Description("Measures controllers on loopback; bounded in rate and time."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	command.BindTo(ctx, (*context.Context)(nil))
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "loadtest:", err)
		os.Exit(1)
	}
}

// writeReport writes the results as a page in the folder of the run.
func (o *common) writeReport(name string, results []*loadtest.Result) error {
	file, err := os.Create(filepath.Join(o.Out, name))
	if err != nil {
		return err
	}
	defer file.Close()
	return loadtest.WriteReport(file, results)
}

// build makes the controllers' binary.
func (o *common) build(ctx context.Context) (string, error) {
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

// prepare makes an empty folder for a variant, with the operators' file in it.
func (o *common) prepare(name, operator string) (folder, operatorPath string, err error) {
	folder = filepath.Join(o.Out, name)
	if err := os.RemoveAll(folder); err != nil {
		return "", "", err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", "", err
	}
	operatorPath = filepath.Join(folder, "operator.xml")
	return folder, operatorPath, os.WriteFile(operatorPath, []byte(operator), 0o600)
}
