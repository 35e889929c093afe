// Command standin runs one case of the review: it starts the controllers as processes with the
// commands of the deploy file, and plays the state service, the cloud, the workers and the users,
// as the protocol page describes them.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case
// could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRunTime bounds a case.
const maxRunTime = 115 * time.Second

// test is one run of a case.
type test struct {
	*world
	trouble bool
}

// cases are the cases by name, with the rule that each checks.
var cases = map[string]struct {
	rule     string
	machines int // that are up at the start
	capacity int // of the cloud
	run      func(*test) error
}{
	"late-copy": {"ran_twice", 2, 2, lateCopy},
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE REPOSITORY FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// run runs a case and writes record.txt into the folder.
func run(name, root, folder string) int {
	c, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitFailed
	}
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "switchshore-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer os.RemoveAll(dir)
	w, err := newWorld(rec, root, dir, c.machines, c.capacity)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.end()
	t := &test{world: w, trouble: os.Getenv("TROUBLE") != "0"}
	result := make(chan error, 1)
	go func() { result <- c.run(t) }()
	select {
	case err = <-result:
	case <-time.After(maxRunTime):
		err = errTimeout
	}
	return t.verdict(c.rule, err)
}

// verdict prints and records the result of a case.
func (t *test) verdict(rule string, err error) int {
	n := t.brokenRules(rule)
	code, text := exitHeld, rule+" held"
	switch {
	case n > 0:
		code, text = exitBroken, fmt.Sprintf("%s broken %d times", rule, n)
	case err != nil:
		code, text = exitFailed, "the case could not run: "+err.Error()
	}
	t.rec.log("test", "result", text)
	fmt.Println(text)
	return code
}
