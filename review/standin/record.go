package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: one line for each event, with the seconds since the start.
type recorder struct {
	mu      sync.Mutex
	started time.Time
	file    *os.File
	out     *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{started: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// log writes a line: who, what and details.
func (r *recorder) log(who, what string, details ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %-10s %-10s %s", time.Since(r.started).Seconds(), who, what, fmt.Sprintln(details...))
	_ = r.out.Flush() // record.txt is only for readers
}

// close closes the file.
func (r *recorder) close() { _ = r.file.Close() }
