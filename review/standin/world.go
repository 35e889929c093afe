package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// nodeCount is the number of controllers, as in the brief.
const nodeCount = 3

// job is a submission, and how long its tasks really run.
type job struct {
	Ref      string   `json:"ref"`
	Muster   string   `json:"muster"`
	Crew     string   `json:"crew"`
	Rig      string   `json:"rig"`
	Rank     string   `json:"rank"`
	Oars     int      `json:"oars"`
	Cores    float64  `json:"cores"`
	Cards    float64  `json:"cards"`
	MemoryGB float64  `json:"memoryGb"`
	Image    string   `json:"hull"`
	ImageGB  float64  `json:"imageGb"`
	Builds   []string `json:"builds"`
	Berth    *string  `json:"berth"`
	Together bool     `json:"together"`
	Apart    bool     `json:"apart"`
	Spot     bool     `json:"driftwood"`
	ReckonS  float64  `json:"reckonS"`
	LoglineS float64  `json:"loglineS"`
	StowS    float64  `json:"stowS"`
	TideS    *float64 `json:"tideS"`
	Awaits   []string `json:"awaits,omitempty"`

	RunS float64 `json:"-"`
}

// controller is a controller's process.
type controller struct {
	command *exec.Cmd
	ended   chan struct{}
}

// world is a small deployment: controllers as processes, and stand-ins around them.
type world struct {
	rec         *recorder
	dir         string
	root        string // of the repository
	zones       []string
	reportS     float64
	leaseS      float64
	cancelS     float64
	listLagS    float64
	clientAddrs []string
	peerAddrs   []string
	state       *stateService
	cloud       *cloud
	client      *http.Client
	stop        chan struct{}

	mu          sync.Mutex
	controllers []*controller
	leader      int // the controller that became the leader last, -1 if none
	jobs        map[string]*job
	done        map[string]bool            // tasks that have completed
	onMachine   map[string]map[string]bool // machines that have each task
	broken      []string                   // broken rules
}

// newWorld writes the settings and starts the stand-ins.
func newWorld(rec *recorder, root, dir string, machines, capacity int) (*world, error) {
	w := &world{
		rec: rec, dir: dir, root: root, zones: []string{"mezourlo", "neapoli", "giannouli"},
		reportS: 3, leaseS: 17, cancelS: 47, listLagS: 5,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}, stop: make(chan struct{}),
		controllers: make([]*controller, nodeCount), leader: -1,
		jobs: map[string]*job{}, done: map[string]bool{}, onMachine: map[string]map[string]bool{},
	}
	w.state = newStateService(rec)
	w.cloud = newCloud(w, capacity, 2)
	addrs, err := freeAddresses(2 * nodeCount)
	if err != nil {
		return nil, err
	}
	w.clientAddrs, w.peerAddrs = addrs[:nodeCount], addrs[nodeCount:]
	stateAddr, err := listen(w.state)
	if err != nil {
		return nil, err
	}
	cloudAddr, err := listen(w.cloud)
	if err != nil {
		return nil, err
	}
	go w.state.run(w.stop)
	for node := range nodeCount {
		text := w.settings(node, stateAddr, cloudAddr)
		if err := os.WriteFile(w.settingsPath(node), []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	w.cloud.addRunning(machines, false)
	return w, nil
}

func (w *world) lease() time.Duration { return time.Duration(w.leaseS * float64(time.Second)) }

func (w *world) settingsPath(node int) string {
	return filepath.Join(w.dir, fmt.Sprintf("deckhand-%d.toml", node))
}

// settings returns a controller's settings file: those of the deploy page.
func (w *world) settings(node int, stateAddr, cloudAddr string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "label = \"deckhand-%d\"\ndomain = %q\nclient_listen = %q\npeer_bind = %q\n", node, w.zones[node], w.clientAddrs[node], w.peerAddrs[node])
	for peer := range nodeCount {
		if peer != node {
			fmt.Fprintf(&b, "[[peers]]\nlabel = \"deckhand-%d\"\ndomain = %q\naddr = %q\n", peer, w.zones[peer], w.peerAddrs[peer])
		}
	}
	fmt.Fprintf(&b, "[services]\ncloud = %q\nstate = %q\n", cloudAddr, stateAddr)
	fmt.Fprintf(&b, "[facts]\ninitial_size = 3\nzones = [\"giannouli\", \"mezourlo\", \"neapoli\"]\nclock_error_ms = 250.0\n")
	for _, t := range []struct {
		name      string
		cpus, max float64
	}{{"syntaxi", 96, 160}, {"logariasmoi", 160, 352}, {"michanikoi", 96, 240}} {
		fmt.Fprintf(&b, "[[facts.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", t.name, t.cpus, t.max)
	}
	fmt.Fprintf(&b, "[[facts.objectives]]\nkind = \"finished\"\nclass = \"bill-inserts\"\nwithin_s = 250.0\nshare = 0.92\n")
	fmt.Fprintf(&b, "[facts.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 30.0\ngang_peer_s = 8.0\ncancel_s = %.1f\n", w.reportS, w.leaseS, w.cancelS)
	fmt.Fprintf(&b, "[facts.state]\nrps = 200.0\nwrite_rps = 80.0\nvalue_kb = 16.0\ntxn_ops = 48\n")
	fmt.Fprintf(&b, "[facts.cloud]\nrps = 8.0\nlist_lag_s = %.1f\n", w.listLagS)
	fmt.Fprintf(&b, "[facts.resources]\ncore_share = 0.096\nmemory_mb = 179.0\nfd_limit = 1800\n")
	return b.String()
}

// errNoRun means that the deploy file has no run line.
var errNoRun = errors.New("deploy/service.toml has no run line")

// runCommand returns the program and its arguments from the deploy file.
func (w *world) runCommand() ([]string, error) {
	data, err := os.ReadFile(filepath.Join(w.root, "deploy", "service.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(text, `"`)), nil
		}
	}
	return nil, errNoRun
}

// start starts a controller.
func (w *world) start(node int) error {
	args, err := w.runCommand()
	if err != nil {
		return err
	}
	args = append(args, w.settingsPath(node))
	command := exec.Command(filepath.Join(w.root, args[0]), args[1:]...)
	command.Dir = w.root
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := command.StderrPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	c := &controller{command: command, ended: make(chan struct{})}
	w.mu.Lock()
	w.controllers[node] = c
	w.mu.Unlock()
	w.rec.log("platform", "starts", "deckhand", node, "process", command.Process.Pid)
	go func() {
		lines := bufio.NewScanner(log)
		for lines.Scan() {
			w.readLog(node, lines.Text())
		}
		err := command.Wait()
		w.rec.log("platform", "ended", "deckhand", node, err)
		close(c.ended)
	}()
	return nil
}

// readLog records a line of a controller's log.
func (w *world) readLog(node int, line string) {
	w.rec.log(fmt.Sprint("deckhand-", node), "log", line)
	if strings.Contains(line, `"leadership acquired"`) {
		w.mu.Lock()
		w.leader = node
		w.mu.Unlock()
	}
}

// startAll starts all controllers and waits until one leads and all are healthy.
func (w *world) startAll() error {
	for node := range nodeCount {
		if err := w.start(node); err != nil {
			return err
		}
	}
	return w.until(15*time.Second, "controllers healthy", func() bool {
		for _, addr := range w.clientAddrs {
			if status, _ := call(w.client, time.Second, http.MethodGet, "http://"+addr+"/up", nil); status != http.StatusOK {
				return false
			}
		}
		return w.currentLeader() >= 0
	})
}

// currentLeader returns the controller that became the leader last.
func (w *world) currentLeader() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leader
}

// kill kills a controller without a signal that it could handle.
func (w *world) kill(node int) {
	w.mu.Lock()
	c := w.controllers[node]
	w.mu.Unlock()
	if c == nil {
		return
	}
	w.rec.log("platform", "kills", "deckhand", node)
	_ = c.command.Process.Kill() // it has ended already if this fails
	<-c.ended
}

// end ends all controllers.
func (w *world) end() {
	close(w.stop)
	for node := range nodeCount {
		w.kill(node)
	}
}

// errTimeout means that a condition did not come true in time.
var errTimeout = errors.New("not in time")

// until waits until a condition holds.
func (w *world) until(limit time.Duration, what string, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			w.rec.log("test", "reached", what)
			return nil
		}
	}
	w.rec.log("test", "missed", what)
	return fmt.Errorf("%s: %w", what, errTimeout)
}

// answer is a controller's answer to a user.
type answer struct {
	Status  int
	Bearing string `json:"bearing"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// user sends a user's request to a controller and records the answer.
func (w *world) user(node int, method, path string, body any) answer {
	status, data := call(w.client, 5*time.Second, method, "http://"+w.clientAddrs[node]+path, body)
	a := answer{}
	_ = json.Unmarshal(data, &a) // the body of an error has no bearing
	a.Status = status
	w.rec.log("user", method, "deckhand", node, path, "->", status, strings.TrimSpace(string(data)))
	return a
}

// submit submits a job, and repeats it as the page says. It reports whether the job was accepted.
func (w *world) submit(j *job) error {
	w.mu.Lock()
	w.jobs[j.Ref] = j
	w.mu.Unlock()
	node := 0
	return w.until(60*time.Second, "accepted "+j.Ref, func() bool {
		a := w.user(node, http.MethodPost, "/api/jobs", j)
		node = (node + 1) % nodeCount
		if a.Status == http.StatusOK || a.Status == http.StatusCreated {
			return true
		}
		time.Sleep(time.Second)
		return false
	})
}

// query asks about a job.
func (w *world) query(node int, ref string) answer {
	return w.user(node, http.MethodGet, "/api/jobs/"+ref, nil)
}

// jobOf returns the job of a task, as users uploaded it, or nil.
func (w *world) jobOf(task string) *job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[taskJob(task)]
}

// finish records that a task has completed, finished reports whether it has.
func (w *world) finish(task string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done[task] = true
}

func (w *world) finished(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done[task]
}

// observe records that a task has started on a machine or has left it, and checks the rule ran_twice.
func (w *world) observe(machine, task string, launch uint64, starts bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !starts {
		delete(w.onMachine[task], machine)
		return
	}
	if w.onMachine[task] == nil {
		w.onMachine[task] = map[string]bool{}
	}
	for other := range w.onMachine[task] {
		if other != machine {
			w.breaks("ran_twice", task, "starts on", machine, "as", launch, "while it is on", other)
		}
	}
	w.onMachine[task][machine] = true
}

// breaks records a broken rule. The caller holds mu.
func (w *world) breaks(rule string, details ...any) {
	line := rule + ": " + strings.TrimSpace(fmt.Sprintln(details...))
	w.broken = append(w.broken, line)
	w.rec.log("rules", "broken", line)
}

// brokenRules returns how often a rule was broken.
func (w *world) brokenRules(rule string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, line := range w.broken {
		if strings.HasPrefix(line, rule+":") {
			n++
		}
	}
	return n
}

// tasksOn returns the machines that have a task.
func (w *world) tasksOn(task string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var machines []string
	for m := range w.onMachine[task] {
		machines = append(machines, m)
	}
	return machines
}
