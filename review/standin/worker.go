package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// order is a command to a worker.
type order struct {
	Call   string   `json:"call"`
	Task   string   `json:"oar"`
	Launch uint64   `json:"launch"`
	Slack  *float64 `json:"slackS,omitempty"`
}

// orders is the answer to a report, or the body of a direct command.
type orders struct {
	Helm   *uint64 `json:"helm"`
	Watch  *uint64 `json:"watch,omitempty"`
	Orders []order `json:"orders"`
}

// taskReport is one task in a report.
type taskReport struct {
	Task   string `json:"oar"`
	Launch uint64 `json:"launch"`
	State  string `json:"bearing"`
	Wake   string `json:"wake,omitempty"`
	Kept   bool   `json:"kept,omitempty"`
}

// report is a worker's report.
type report struct {
	Deck     string       `json:"deck"`
	Endpoint string       `json:"endpoint"`
	Build    string       `json:"build"`
	Berth    string       `json:"berth"`
	Spot     bool         `json:"driftwood"`
	Watch    uint64       `json:"watch"`
	Knot     uint64       `json:"knot"`
	Helm     uint64       `json:"helm"`
	Recall   *float64     `json:"recallS"`
	Tasks    []taskReport `json:"oars"`
}

// attempt is an attempt of a task on a worker.
type attempt struct {
	taskReport
	until time.Time // end of the state fetching, running or saving
}

// worker is a machine with its worker, as the protocol page describes it.
type worker struct {
	world    *world
	name     string
	endpoint string
	zone     string
	spot     bool

	mu       sync.Mutex
	watch    uint64
	knot     uint64
	helm     uint64
	leaseEnd time.Time
	attempts []*attempt
	images   map[string]bool
	changed  bool
	gone     bool
	// onCommands, if set, sees every direct command that was carried out.
	onCommands func(body orders)
}

// startWorker starts the worker of a machine.
func startWorker(w *world, name, zone string, spot bool) (*worker, error) {
	k := &worker{world: w, name: name, zone: zone, spot: spot, watch: 1, leaseEnd: time.Now().Add(w.lease()), images: map[string]bool{}}
	endpoint, err := listen(k)
	if err != nil {
		return nil, err
	}
	k.endpoint = endpoint
	go k.reportLoop()
	go k.workLoop()
	return k, nil
}

// end ends the machine and everything on it.
func (k *worker) end() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gone = true
	for _, a := range k.attempts {
		if a.State != "exited" {
			k.world.rec.log(k.name, "machine gone", a.Task, a.Launch)
		}
	}
	k.attempts = nil
}

// workLoop advances the worker's tasks and ends sessions.
func (k *worker) workLoop() {
	for {
		time.Sleep(20 * time.Millisecond)
		k.mu.Lock()
		if k.gone {
			k.mu.Unlock()
			return
		}
		k.advance(time.Now())
		k.mu.Unlock()
	}
}

// advance moves tasks to their next states, and ends the session if the lease is over. The caller
// holds mu.
func (k *worker) advance(now time.Time) {
	if now.After(k.leaseEnd) {
		k.world.rec.log(k.name, "session over", "watch", k.watch, "tasks", len(k.attempts))
		k.watch++
		k.attempts = nil
		k.leaseEnd = now.Add(k.world.lease())
		k.changed = true
	}
	for _, a := range k.attempts {
		if a.State == "exited" || now.Before(a.until) {
			continue
		}
		k.changed = true
		job := k.world.jobOf(a.Task)
		switch a.State {
		case "fetching":
			k.images[job.Image] = true
			k.begin(now, a, job)
		case "running":
			k.world.finish(a.Task)
			k.exit(a, "done")
		case "saving":
			a.Kept = true
			k.exit(a, "halted")
		}
	}
}

// begin lets a task run that has its image.
func (k *worker) begin(now time.Time, a *attempt, job *job) {
	switch {
	case k.world.finished(a.Task):
		k.exit(a, "done")
	default:
		a.State, a.until = "running", now.Add(time.Duration(job.RunS*float64(time.Second)))
		k.world.rec.log(k.name, "starts", a.Task, a.Launch)
		k.world.observe(k.name, a.Task, a.Launch, true)
	}
}

// exit ends an attempt.
func (k *worker) exit(a *attempt, wake string) {
	if a.State == "running" || a.State == "saving" {
		k.world.observe(k.name, a.Task, a.Launch, false)
	}
	a.State, a.Wake = "exited", wake
	k.changed = true
	k.world.rec.log(k.name, "exits", a.Task, a.Launch, wake)
}

// execute executes commands in their order. The caller holds mu.
func (k *worker) execute(now time.Time, list []order) {
	for _, o := range list {
		a := k.find(o.Task, o.Launch)
		switch {
		case o.Call == "run" && a == nil:
			k.run(now, o)
		case o.Call == "kill" && a != nil && a.State != "exited":
			k.kill(now, a, o)
		case o.Call == "reap" && a != nil && a.State == "exited":
			k.reap(a)
		}
	}
}

// run starts an attempt, or refuses it.
func (k *worker) run(now time.Time, o order) {
	a := &attempt{taskReport: taskReport{Task: o.Task, Launch: o.Launch, State: "fetching"}, until: now}
	k.changed = true
	job := k.world.jobOf(o.Task)
	refusal := k.refusal(o.Task, job)
	k.attempts = append(k.attempts, a)
	if refusal != "" {
		a.State, a.Wake = "exited", refusal
		k.world.rec.log(k.name, "refuses", o.Task, o.Launch, refusal)
		return
	}
	if !k.images[job.Image] {
		a.until = now.Add(time.Duration(job.ImageGB / pullGBPerS * float64(time.Second)))
	}
}

// refusal returns why a start is refused, or "".
func (k *worker) refusal(task string, job *job) string {
	if job == nil {
		return "unknown"
	}
	cpus := job.Cores
	for _, other := range k.attempts {
		if other.State == "exited" {
			continue
		}
		if other.Task == task {
			return "in_use"
		}
		cpus += k.world.jobOf(other.Task).Cores
	}
	if cpus > machineCPUs {
		return "full"
	}
	return ""
}

// kill stops an attempt. A task with checkpoints saves if the time is enough.
func (k *worker) kill(now time.Time, a *attempt, o order) {
	job, slack := k.world.jobOf(a.Task), 0.0
	if o.Slack != nil {
		slack = *o.Slack
	}
	k.world.rec.log(k.name, "kill", a.Task, a.Launch, slack)
	switch {
	case a.State == "running" && job.LoglineS > 0 && slack >= job.StowS:
		a.State, a.until = "saving", now.Add(time.Duration(job.StowS*float64(time.Second)))
		k.changed = true
	case a.State != "saving" || slack == 0:
		k.exit(a, "halted")
	}
}

// reap removes an exited attempt.
func (k *worker) reap(a *attempt) {
	k.world.rec.log(k.name, "reap", a.Task, a.Launch)
	kept := k.attempts[:0]
	for _, other := range k.attempts {
		if other != a {
			kept = append(kept, other)
		}
	}
	k.attempts = kept
	k.changed = true
}

func (k *worker) find(task string, launch uint64) *attempt {
	for _, a := range k.attempts {
		if a.Task == task && a.Launch == launch {
			return a
		}
	}
	return nil
}

// next returns the worker's next report. The caller holds mu.
func (k *worker) next() report {
	k.knot++
	r := report{
		Deck: k.name, Endpoint: k.endpoint, Build: machineType, Berth: k.zone, Spot: k.spot,
		Watch: k.watch, Knot: k.knot, Helm: k.helm, Tasks: []taskReport{},
	}
	for _, a := range k.attempts {
		r.Tasks = append(r.Tasks, a.taskReport)
	}
	sort.Slice(r.Tasks, func(i, j int) bool { return r.Tasks[i].Launch < r.Tasks[j].Launch })
	return r
}

// ServeHTTP takes direct commands.
func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/show" {
		k.mu.Lock()
		defer k.mu.Unlock()
		respond(w, http.StatusOK, k.next())
		return
	}
	var body orders
	if !decode(w, r, &body) {
		return
	}
	status, answer := k.direct(body)
	respond(w, status, answer)
}

// direct carries out a direct command if its token and session match.
func (k *worker) direct(body orders) (int, any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if body.Helm == nil || body.Watch == nil {
		return http.StatusBadRequest, map[string]any{"error": "missing"}
	}
	now := time.Now()
	k.advance(now)
	k.world.rec.log(k.name, "commands", "helm", *body.Helm, "watch", *body.Watch, ordersText(body.Orders))
	if k.gone || *body.Helm < k.helm || *body.Watch != k.watch {
		k.world.rec.log(k.name, "refused", "own helm", k.helm, "own watch", k.watch)
		return http.StatusConflict, k.next()
	}
	if *body.Helm > k.helm {
		k.helm, k.changed = *body.Helm, true
	}
	k.execute(now, body.Orders)
	if k.onCommands != nil {
		k.onCommands(body)
	}
	return http.StatusOK, k.next()
}

func ordersText(list []order) string {
	data, err := json.Marshal(list)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// reportLoop reports to one controller at a time.
func (k *worker) reportLoop() {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	target := len(k.name) % len(k.world.clientAddrs)
	for i := 0; ; i++ {
		k.mu.Lock()
		if k.gone {
			k.mu.Unlock()
			return
		}
		k.advance(time.Now())
		sent, r := time.Now(), k.next()
		k.changed = false
		k.mu.Unlock()
		if !k.report(client, k.world.clientAddrs[target], sent, r) {
			target = (target + 1) % len(k.world.clientAddrs)
			time.Sleep(time.Second)
			continue
		}
		k.pause(sent, i)
	}
}

// pause waits until the next report is due: after the interval within a quarter either way, or when
// something has changed, but at least half a second after the last one.
func (k *worker) pause(sent time.Time, i int) {
	interval := time.Duration(k.world.reportS * (0.85 + 0.3*float64(i%7)/7) * float64(time.Second))
	for time.Since(sent) < interval {
		time.Sleep(25 * time.Millisecond)
		k.mu.Lock()
		due := k.changed && time.Since(sent) > 500*time.Millisecond
		k.mu.Unlock()
		if due {
			return
		}
	}
}

// report sends one report and carries out the answer. It reports whether the worker stays.
func (k *worker) report(client *http.Client, addr string, sent time.Time, r report) bool {
	status, answer := call(client, 4*time.Second, http.MethodPost, "http://"+addr+"/checkin", r)
	var body orders
	if status != http.StatusOK || json.Unmarshal(answer, &body) != nil {
		k.world.rec.log(k.name, "no answer", addr, "status", status)
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if body.Helm == nil || *body.Helm < k.helm || r.Watch != k.watch || k.gone {
		return true // dropped: the worker remains while its lease runs out
	}
	if *body.Helm > k.helm {
		k.helm, k.changed = *body.Helm, true
	}
	if end := sent.Add(k.world.lease()); end.After(k.leaseEnd) {
		k.leaseEnd = end
	}
	if len(body.Orders) > 0 {
		k.world.rec.log(k.name, "answer", "helm", *body.Helm, ordersText(body.Orders))
	}
	k.execute(time.Now(), body.Orders)
	return true
}

// taskJob returns the job of a task.
func taskJob(task string) string {
	id, _, _ := strings.Cut(task, "/")
	return id
}
