package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// params are the settings of the deployment that the stand-ins and the controllers share.
type params struct {
	zones         []string // of the controllers, one each
	teams         string   // the teams in the settings
	limits        map[string]float64
	report, lease time.Duration
	cancel        time.Duration
	state         stateLimits
	cloudRPS      float64
	listLag       time.Duration
	coreShare     float64
	memoryMB      float64
	fdLimit       int
	machine       machineType
	capacity      map[string]int
	bootTime      func(number int) time.Duration
}

// job is a job that a user submits.
type job struct {
	Ref       string   `json:"ref"`
	Muster    string   `json:"muster"`
	Crew      string   `json:"crew"`
	Rig       string   `json:"rig"`
	Rank      string   `json:"rank"`
	Oars      int      `json:"oars"`
	Cores     float64  `json:"cores"`
	Cards     float64  `json:"cards"`
	MemoryGB  float64  `json:"memoryGb"`
	Hull      string   `json:"hull"`
	ImageGB   float64  `json:"imageGb"`
	Builds    []string `json:"builds"`
	Berth     *string  `json:"berth"`
	Together  bool     `json:"together"`
	Apart     bool     `json:"apart"`
	Driftwood bool     `json:"driftwood"`
	ReckonS   float64  `json:"reckonS"`
	LoglineS  float64  `json:"loglineS"`
	StowS     float64  `json:"stowS"`
	TideS     *float64 `json:"tideS"`

	// runTime is how long a task runs. fails, if set, reports whether a task that ends on a machine fails.
	runTime func(index int) time.Duration
	fails   func(deck string, index int) bool
}

// controller is a process of the service.
type controller struct {
	label, settings string
	client, peer    string
	process         *exec.Cmd
	done            chan struct{}
}

// world is a deployment with its stand-ins.
type world struct {
	rec         *recorder
	dir         string
	params      params
	store       *store
	cloud       *cloud
	services    string // address of the state service and the cloud
	controllers []*controller

	mu      sync.Mutex
	jobs    map[string]*job
	leader  int // the controller that said last that it leads, or -1
	on      map[string]*onMachine
	used    map[string]float64 // cores in use, by team
	broken  []string
	workers map[string]*worker
	// reportAt, if set, returns when a machine should send its next periodic report, or the zero time.
	reportAt func(deck string, now time.Time) time.Time
	// onStart, if set, is called when a task begins on a machine.
	onStart func(deck string, t *taskRun)
	// onCommand, if set, is called with each task whose start a worker is told for the first time.
	onCommand func(deck, oar string)
}

// onMachine says which machine has a task.
type onMachine struct {
	deck   string
	launch uint64
	job    *job
}

// program and operator are as in deploy/service.toml.
const (
	program  = "target/switchshore"
	operator = "deploy/operator.xml"
)

func newWorld(record, dir string, p params) (*world, error) {
	rec, err := newRecorder(record)
	if err != nil {
		return nil, err
	}
	w := &world{
		rec: rec, dir: dir, params: p, store: newStore(p.state), jobs: map[string]*job{}, leader: -1,
		on: map[string]*onMachine{}, used: map[string]float64{}, workers: map[string]*worker{},
	}
	w.cloud = &cloud{
		offered: p.machine, lag: p.listLag, calls: newBucket(2 * p.cloudRPS), capacity: p.capacity, bootTime: p.bootTime,
		rec: rec, answers: map[string][]string{},
	}
	w.cloud.calls.rate = p.cloudRPS
	w.cloud.boot = func(name, berth string, driftwood bool) *worker {
		k := newWorker(w, name, berth, driftwood)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.workers[name] = k
		return k
	}
	go w.store.expireLoop()
	if err := w.serve(); err != nil {
		return nil, err
	}
	return w, w.writeSettings()
}

// serve serves the state service and the cloud.
func (w *world) serve() error {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.services = ln.Addr().String()
	handler := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/rentals") || r.URL.Path == "/machine_types" {
			w.cloud.ServeHTTP(rw, r)
			return
		}
		w.store.ServeHTTP(rw, r)
	})
	go func() { _ = http.Serve(ln, handler) }() // ends with the process
	return nil
}

// writeSettings writes the settings files of the controllers.
func (w *world) writeSettings() error {
	for i := range w.params.zones {
		addrs, err := freeAddresses(2)
		if err != nil {
			return err
		}
		label := fmt.Sprintf("deckhand-%d", i)
		w.controllers = append(w.controllers, &controller{
			label: label, settings: filepath.Join(w.dir, label+".toml"), client: addrs[0], peer: addrs[1],
		})
	}
	for i, c := range w.controllers {
		if err := os.WriteFile(c.settings, []byte(w.settings(i)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// settings returns the settings of a controller.
func (w *world) settings(node int) string {
	p, c := w.params, w.controllers[node]
	var text strings.Builder
	fmt.Fprintf(&text, "label = %q\ndomain = %q\nclient_listen = %q\npeer_bind = %q\n", c.label, p.zones[node], c.client, c.peer)
	for i, other := range w.controllers {
		if i != node {
			fmt.Fprintf(&text, "[[peers]]\nlabel = %q\ndomain = %q\naddr = %q\n", other.label, p.zones[i], other.peer)
		}
	}
	fmt.Fprintf(&text, "[services]\ncloud = %q\nstate = %q\n", w.services, w.services)
	fmt.Fprintf(&text, "[facts]\ninitial_size = %d\nzones = [\"%s\"]\nclock_error_ms = 250.0\n", len(w.controllers), strings.Join(p.machine.Berths, `", "`))
	text.WriteString(p.teams)
	fmt.Fprintf(&text, "[facts.workers]\nreport_s = %g\nlease_s = %g\ngang_wait_s = 30.0\ngang_peer_s = 8.0\ncancel_s = %g\n",
		p.report.Seconds(), p.lease.Seconds(), p.cancel.Seconds())
	fmt.Fprintf(&text, "[facts.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", p.state.rps, p.state.writeRPS, p.state.valueKB, p.state.txnOps)
	fmt.Fprintf(&text, "[facts.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", p.cloudRPS, p.listLag.Seconds())
	fmt.Fprintf(&text, "[facts.resources]\ncore_share = %g\nmemory_mb = %.1f\nfd_limit = %d\n", p.coreShare, p.memoryMB, p.fdLimit)
	return text.String()
}

// freeAddresses returns distinct addresses on loopback at which nothing listens.
func freeAddresses(count int) ([]string, error) {
	var addrs []string
	for range count {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs, nil
}

// startController starts a controller with its settings.
func (w *world) startController(node int) error {
	c := w.controllers[node]
	c.process = exec.Command(program, "--operator", operator, "--config", c.settings)
	logs, err := c.process.StderrPipe()
	if err != nil {
		return err
	}
	file, err := os.OpenFile(filepath.Join(w.dir, c.label+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if err := c.process.Start(); err != nil {
		return errors.Join(err, file.Close())
	}
	w.rec.printf("platform: %s started", c.label)
	c.done = make(chan struct{})
	go func(process *exec.Cmd, done chan struct{}) {
		defer close(done)
		defer file.Close()
		w.readLog(node, io.TeeReader(logs, file))
		w.rec.printf("platform: %s ended: %v", c.label, process.Wait())
	}(c.process, c.done)
	return nil
}

// readLog reads the log of a controller until it ends.
func (w *world) readLog(node int, logs io.Reader) {
	lines := bufio.NewScanner(logs)
	for lines.Scan() {
		var entry struct{ Message string }
		if json.Unmarshal(lines.Bytes(), &entry) != nil {
			continue
		}
		if strings.HasPrefix(entry.Message, "leader") || strings.HasPrefix(entry.Message, "records loaded") {
			w.rec.printf("%s logs: %s", w.controllers[node].label, lines.Text())
		}
		if entry.Message == "leadership acquired" {
			w.mu.Lock()
			w.leader = node
			w.mu.Unlock()
		}
	}
}

// kill kills a controller and waits for its end.
func (w *world) kill(node int) {
	c := w.controllers[node]
	if c.process == nil {
		return
	}
	w.rec.printf("platform: %s killed", c.label)
	_ = c.process.Process.Kill() // fails if it has ended
	<-c.done
}

// killAll kills all controllers.
func (w *world) killAll() {
	for node := range w.controllers {
		w.kill(node)
	}
}

// leaderNode waits for a leader and returns it.
func (w *world) leaderNode(within time.Duration) (int, error) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		w.mu.Lock()
		node := w.leader
		w.mu.Unlock()
		if node >= 0 {
			return node, nil
		}
	}
	return 0, errors.New("no leader")
}

// firstNode returns the controller to which a new worker reports first.
func (w *world) firstNode(string) int { return rand.IntN(len(w.controllers)) }

// nodeNamed returns the controller with a label, or -1.
func (w *world) nodeNamed(label string) int {
	for i, c := range w.controllers {
		if c.label == label {
			return i
		}
	}
	return -1
}

// nextReportAt returns when a worker that reports now sends its next periodic report: report_s later,
// within a quarter either way.
func (w *world) nextReportAt(deck string, now time.Time) time.Time {
	w.mu.Lock()
	choose := w.reportAt
	w.mu.Unlock()
	interval := w.params.report.Seconds()
	after := interval * (0.75 + rand.Float64()/2)
	if choose != nil {
		if at := choose(deck, now); !at.IsZero() {
			after = min(max(at.Sub(now).Seconds(), 0.75*interval), 1.25*interval)
		}
	}
	return now.Add(time.Duration(after * float64(time.Second)))
}

// setReportAt sets reportAt.
func (w *world) setReportAt(choose func(deck string, now time.Time) time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reportAt = choose
}

// job returns an uploaded job, or nil.
func (w *world) job(id string) *job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[id]
}

// startCommanded is called when a worker is told to start an attempt that it does not know.
func (w *world) startCommanded(k *worker, oar string) {
	if w.onCommand != nil {
		w.onCommand(k.deck, oar)
	}
}

// taskBegan records that a task is on its machine, and checks ran_twice and quota.
func (w *world) taskBegan(k *worker, t *taskRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.printf("%s: %s launch %d is on the machine", k.deck, t.Oar, t.Launch)
	if other := w.on[t.Oar]; other != nil {
		w.breaks("ran_twice: %s starts on %s while it is on %s", t.Oar, k.deck, other.deck)
	}
	w.on[t.Oar] = &onMachine{deck: k.deck, launch: t.Launch, job: t.job}
	w.used[t.job.Crew] += t.job.Cores
	if limit, limited := w.params.limits[t.job.Crew]; limited && w.used[t.job.Crew] > limit+1e-6 {
		w.breaks("quota: %s uses %g of %g cores", t.job.Crew, w.used[t.job.Crew], limit)
	}
	if w.onStart != nil {
		w.onStart(k.deck, t)
	}
}

// taskEnded records that a task has left its machine.
func (w *world) taskEnded(k *worker, t *taskRun, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.printf("%s: %s launch %d has left the machine: %s", k.deck, t.Oar, t.Launch, reason)
	w.used[t.job.Crew] -= t.job.Cores
	if on := w.on[t.Oar]; on != nil && on.deck == k.deck && on.launch == t.Launch {
		delete(w.on, t.Oar)
	}
}

// breaks records a broken rule. The caller holds mu.
func (w *world) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.rec.printf("BROKEN %s", text)
}

// locate returns the machine that has a task, or "".
func (w *world) locate(oar string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if on := w.on[oar]; on != nil {
		return on.deck
	}
	return ""
}

// status is the answer to a user about a job.
type status struct {
	Ref     string `json:"ref"`
	Bearing string `json:"bearing"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// ask sends a user's request to a controller and returns the response.
func (w *world) ask(node int, method, path string, body any, within time.Duration) (int, status) {
	data := []byte(nil)
	if body != nil {
		data, _ = json.Marshal(body) // can't fail
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	code, response := send(ctx, client, method, "http://"+w.controllers[node].client+path, data)
	var s status
	_ = json.Unmarshal(response, &s) // responses without a job have no status
	w.rec.printf("user: %s %s at %s: %d %s", method, path, w.controllers[node].label, code, strings.TrimSpace(string(response)))
	return code, s
}

// submit uploads a job and submits it until it is accepted, for up to 60 s.
func (w *world) submit(j *job) error {
	w.mu.Lock()
	w.jobs[j.Ref] = j
	w.mu.Unlock()
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		code, _ := w.ask(rand.IntN(len(w.controllers)), http.MethodPost, "/api/jobs", j, 5*time.Second)
		if code == http.StatusOK || code == http.StatusCreated {
			return nil
		}
	}
	return fmt.Errorf("%s was not accepted", j.Ref)
}

// poll asks about a job once.
func (w *world) poll(id string) (int, status) {
	return w.ask(rand.IntN(len(w.controllers)), http.MethodGet, "/api/jobs/"+id, nil, 2*time.Second)
}

// waitFor waits until a condition holds.
func waitFor(within time.Duration, what string, condition func() bool) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return errors.New("not seen in time: " + what)
}
