package loadtest

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/election"
)

// restartDelay is the time between the kill and the restart of a controller.
const restartDelay = 3 * time.Second

// ErrNoLeader is returned if no controller has become the leader yet.
var ErrNoLeader = errors.New("no controller leads")

// ResourceUsage is the processor time and memory that a controller's process used until it ended.
type ResourceUsage struct {
	Node         int
	CPU          time.Duration
	MaxMemoryMiB int64 // MiB
}

// startNode starts a controller. Its log is appended to a file and read to learn when the controller
// becomes the leader.
func (c *Cluster) startNode(node int) error {
	args := []string{"--config", c.path(node, "toml")}
	if c.operator != "" {
		args = append([]string{"--operator", c.operator}, args...)
	}
	process := exec.CommandContext(c.ctx, c.binary, args...)
	log, err := process.StderrPipe()
	if err != nil {
		return err
	}
	file, err := os.OpenFile(c.path(node, "log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if err := process.Start(); err != nil {
		return errors.Join(err, file.Close())
	}
	c.mu.Lock()
	c.processes[node] = process
	c.mu.Unlock()
	c.background.Go(func() {
		defer file.Close()
		c.readLog(node, io.TeeReader(log, file))
		_ = process.Wait() // usually an error, because the process was killed
		c.recordUsage(node, process.ProcessState)
	})
	return nil
}

// readLog reads a controller's log until the process ends and records when it becomes the leader.
func (c *Cluster) readLog(node int, log io.Reader) {
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		var entry struct {
			Message string `json:"message"`
		}
		if json.Unmarshal(lines.Bytes(), &entry) == nil && entry.Message == election.LeadershipAcquired {
			c.mu.Lock()
			c.leader = node
			c.mu.Unlock()
		}
	}
}

// KillLeader kills the leader's process and restarts it after restartDelay.
func (c *Cluster) KillLeader() error {
	node, process, err := c.leaderProcess()
	if err != nil {
		return err
	}
	if err := process.Process.Kill(); err != nil {
		return fmt.Errorf("node %d: %w", node, err)
	}
	if err := ctxtime.Sleep(c.ctx, restartDelay); err != nil {
		return err
	}
	return c.startNode(node)
}

// leaderProcess returns the controller that became the leader last, and its process.
func (c *Cluster) leaderProcess() (node int, process *exec.Cmd, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader < 0 {
		return 0, nil, ErrNoLeader
	}
	return c.leader, c.processes[c.leader], nil
}

// recordUsage records the resource usage of a process that has ended.
func (c *Cluster) recordUsage(node int, state *os.ProcessState) {
	usage := ResourceUsage{Node: node, CPU: state.UserTime() + state.SystemTime()}
	if r, ok := state.SysUsage().(*syscall.Rusage); ok {
		usage.MaxMemoryMiB = r.Maxrss / 1024
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usage = append(c.usage, usage)
}

// ResourceUsage returns the resource usage of the processes that have ended.
func (c *Cluster) ResourceUsage() []ResourceUsage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usage
}

// OpenFiles returns the number of open file descriptors, sockets included, of each controller. It is 0
// for a controller that is down.
func (c *Cluster) OpenFiles() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := make([]int, nodeCount)
	for node, process := range c.processes {
		files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.Process.Pid))
		if err != nil {
			continue // the process is down
		}
		open[node] = len(files)
	}
	return open
}
