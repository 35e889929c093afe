package main

import (
	"archive/tar"
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/klauspost/compress/zstd"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/wire"
)

// TestOptionsOutOfBounds: options outside their limits are rejected before any file is written.
func TestOptionsOutOfBounds(t *testing.T) {
	for _, args := range []string{
		"overload --seconds 59", "overload --seconds 1201", "overload --rate 0", "overload --rate 101",
		"overload --machines 4001", "overload --machines=-1",
		"drain --seconds 119", "drain --seconds 601", "drain --rate 0", "drain --rate 2.1", "drain --lost=-1",
	} {
		dir := filepath.Join(t.TempDir(), "out")
		var c commands
		parser, err := kong.New(&c)
		if err != nil {
			t.Fatal(err)
		}
		command, err := parser.Parse(append(strings.Fields(args), "--out", dir))
		if err != nil {
			t.Fatalf("%s: %v", args, err)
		}
		command.BindTo(context.Background(), (*context.Context)(nil))
		if err := command.Run(); err == nil || !strings.Contains(err.Error(), "must be") {
			t.Errorf("%s: %v", args, err)
		}
		if _, err := os.Stat(dir); err == nil {
			t.Errorf("%s: the output directory was created", args)
		}
	}
}

// TestOperatorFilesAreValid: the service accepts the operator settings of all runs.
func TestOperatorFilesAreValid(t *testing.T) {
	params := &config.Params{Teams: []config.Team{{Name: "blue"}}}
	drains := (&drainCommand{Lost: 100}).operatorFile()
	for _, file := range []string{admissionOn.operator, admissionOff.operator, drains} {
		if _, err := config.ParseOperatorSettings([]byte(file), params); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}

// TestActualRunTime: one job in four runs four times as long as estimated.
func TestActualRunTime(t *testing.T) {
	for id, want := range map[string]time.Duration{
		"job-000004": 5 * time.Second, "job-000005": 10 * time.Second, "job-000007": 40 * time.Second,
	} {
		if got := actualRunTime(&wire.Job{ID: id, EstimateS: 10}); got != want {
			t.Errorf("%s: %v, want %v", id, got, want)
		}
	}
}

// TestArchive: an archived file can be read back with its name and content.
func TestArchive(t *testing.T) {
	dir, path := t.TempDir(), filepath.Join(t.TempDir(), "run.tar.zst")
	if err := os.WriteFile(filepath.Join(dir, "node-0.log"), []byte("started\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := archive(dir, path); err != nil {
		t.Fatal(err)
	}
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	stream, err := zstd.NewReader(file)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	files := tar.NewReader(stream)
	header, err := files.Next()
	if err != nil || header.Name != "node-0.log" {
		t.Fatalf("%+v, %v", header, err)
	}
	if text, err := io.ReadAll(files); err != nil || string(text) != "started\n" {
		t.Errorf("%q, %v", text, err)
	}
}
