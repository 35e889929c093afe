// Command standin2 plays the cases of the second review. It starts the controllers as the deploy file
// says, and plays the state service, the cloud, the workers, the users and the platform around them, as
// the protocol describes them. All traffic stays on loopback.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is a case. trouble is false if the case runs without its disruption.
type play struct {
	params func() params
	run    func(w *world, trouble bool) error
}

func main() {
	// The controllers get a signal when the thread that started them ends.
	runtime.LockOSThread()
	name := flag.String("case", "", "case to play")
	record := flag.String("record", "", "path of the record")
	flag.Parse()
	os.Exit(runCase(*name, *record, os.Getenv("TROUBLE") != "0"))
}

func runCase(name, record string, trouble bool) int {
	c, ok := plays[name]
	if !ok || record == "" {
		fmt.Fprintln(os.Stderr, "usage: standin2 -case NAME -record PATH")
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	w, err := newWorld(record, dir, c.params())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.killAll()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.killAll()
		os.Exit(exitNotRun)
	}()
	for node := range w.controllers {
		if err := w.startController(node); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
	}
	err = c.run(w, trouble)
	w.mu.Lock()
	broken := w.broken
	w.mu.Unlock()
	switch {
	case len(broken) > 0:
		w.rec.printf("verdict: broken: %v", broken)
		return exitBroken
	case err != nil:
		w.rec.printf("verdict: not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w.rec.printf("verdict: held")
	return exitHeld
}
