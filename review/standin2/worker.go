package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// States and exit reasons of a task.
const (
	fetching = "fetching"
	running  = "running"
	saving   = "saving"
	exited   = "exited"

	wakeDone  = "done"
	wakeError = "error"
)

// order is a command to a worker.
type order struct {
	Call   string   `json:"call"`
	Oar    string   `json:"oar"`
	Launch uint64   `json:"launch"`
	SlackS *float64 `json:"slackS"`
}

// taskRun is an attempt of a task on a worker.
type taskRun struct {
	Oar     string `json:"oar"`
	Launch  uint64 `json:"launch"`
	Bearing string `json:"bearing"`
	Wake    string `json:"wake,omitempty"`
	Kept    bool   `json:"kept,omitempty"`

	job      *job
	index    int
	changeAt time.Time // when the state changes by itself
}

// isOn reports whether the task is on its machine in the sense of the rules.
func (t *taskRun) isOn() bool { return t.Bearing == running || t.Bearing == saving }

// report is a worker's report.
type report struct {
	Deck      string    `json:"deck"`
	Endpoint  string    `json:"endpoint"`
	Build     string    `json:"build"`
	Berth     string    `json:"berth"`
	Driftwood bool      `json:"driftwood"`
	Watch     uint64    `json:"watch"`
	Knot      uint64    `json:"knot"`
	Helm      uint64    `json:"helm"`
	RecallS   *float64  `json:"recallS"`
	Oars      []taskRun `json:"oars"`
}

// worker is a stand-in of a worker.
type worker struct {
	w         *world
	deck      string
	berth     string
	driftwood bool
	endpoint  string
	listener  net.Listener
	server    *http.Server
	client    *http.Client

	mu       sync.Mutex
	ended    bool
	watch    uint64
	knot     uint64
	helm     uint64
	renewed  time.Time // when the last answered report was sent, or the session began
	tasks    []*taskRun
	results  map[string]bool // tasks that completed here
	images   map[string]bool
	node     int // the controller to which it reports
	changed  bool
	lastSent time.Time
	nextAt   time.Time
	helmAt   time.Time // when a higher token last counted as a change
	off      bool      // the machine is restarting
	lives    int       // how many times the machine has restarted
	starts   [][]byte  // the direct commands with starts that were executed, as received
}

// newWorker returns a worker that has an address and does not run yet.
func newWorker(w *world, deck, berth string, driftwood bool) *worker {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	k := &worker{
		w: w, deck: deck, berth: berth, driftwood: driftwood, endpoint: ln.Addr().String(), listener: ln,
		watch: 1, results: map[string]bool{}, images: map[string]bool{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
	return k
}

// start starts the worker.
func (k *worker) start() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.renewed = time.Now()
	k.nextAt = time.Now()
	k.node = k.w.firstNode(k.deck)
	mux := http.NewServeMux()
	mux.HandleFunc("/commands", k.handleCommands)
	mux.HandleFunc("/show", func(rw http.ResponseWriter, _ *http.Request) {
		k.mu.Lock()
		defer k.mu.Unlock()
		reply(rw, http.StatusOK, k.nextReport())
	})
	k.server = &http.Server{Handler: mux}
	k.w.rec.printf("%s: up in %s at %s", k.deck, k.berth, k.endpoint)
	go func() { _ = k.server.Serve(k.listener) }() // returns when the worker ends
	go k.tickLoop()
	go k.reportLoop()
}

// end ends the worker and all its tasks.
func (k *worker) end(reason string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		return
	}
	k.ended = true
	for _, t := range k.tasks {
		if t.isOn() {
			k.w.taskEnded(k, t, reason)
		}
	}
	k.tasks = nil
	_ = k.listener.Close()
	if k.server != nil {
		go func() { _ = k.server.Close() }()
	}
	k.w.rec.printf("%s: %s", k.deck, reason)
}

// restart restarts the machine: all tasks end, and a new worker begins that knows nothing of the earlier
// one. Images that were fetched are still there.
func (k *worker) restart(down time.Duration) {
	k.mu.Lock()
	k.off = true
	for _, t := range k.tasks {
		if t.isOn() {
			k.w.taskEnded(k, t, "machine restarts")
		}
	}
	k.w.rec.printf("%s: restarts", k.deck)
	k.tasks, k.results = nil, map[string]bool{}
	k.watch, k.knot, k.helm, k.helmAt = 1, 0, 0, time.Time{}
	k.lives++
	k.client.CloseIdleConnections()
	k.mu.Unlock()
	time.Sleep(down)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.off = false
	k.renewed, k.nextAt = time.Now(), time.Now()
	k.w.rec.printf("%s: a new worker is up", k.deck)
}

// lastStart returns the last direct command with a start that the worker has executed, as received.
func (k *worker) lastStart() []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.starts) == 0 {
		return nil
	}
	return k.starts[len(k.starts)-1]
}

// nextReport returns the next report. The caller holds mu.
func (k *worker) nextReport() report {
	k.knot++
	r := report{
		Deck: k.deck, Endpoint: k.endpoint, Build: k.w.cloud.offered.Label, Berth: k.berth, Driftwood: k.driftwood,
		Watch: k.watch, Knot: k.knot, Helm: k.helm, Oars: []taskRun{},
	}
	for _, t := range k.tasks {
		r.Oars = append(r.Oars, *t)
	}
	return r
}

// tickLoop ends fetches, runs, saves and leases.
func (k *worker) tickLoop() {
	for {
		time.Sleep(10 * time.Millisecond)
		k.mu.Lock()
		if k.ended {
			k.mu.Unlock()
			return
		}
		if !k.off {
			k.advance(time.Now())
		}
		k.mu.Unlock()
	}
}

// advance applies what is due. The caller holds mu.
func (k *worker) advance(now time.Time) {
	if now.Sub(k.renewed) > k.w.params.lease {
		if len(k.tasks) > 0 {
			k.w.rec.printf("%s: lease over, %d tasks end", k.deck, len(k.tasks))
		}
		for _, t := range k.tasks {
			if t.isOn() {
				k.w.taskEnded(k, t, "lease over")
			}
		}
		k.tasks = nil
		k.watch++
		k.renewed = now
		k.changed = true
	}
	for _, t := range k.tasks {
		if t.Bearing == exited || now.Before(t.changeAt) {
			continue
		}
		k.changed = true
		switch t.Bearing {
		case fetching:
			k.images[t.job.Hull] = true
			if k.results[t.Oar] {
				t.Bearing, t.Wake = exited, wakeDone
				continue
			}
			t.Bearing, t.changeAt = running, now.Add(t.job.runTime(t.index))
			k.w.taskBegan(k, t)
		case running:
			t.Bearing, t.Wake = exited, wakeDone
			if t.job.fails != nil && t.job.fails(k.deck, t.index) {
				t.Wake = wakeError
			} else {
				k.results[t.Oar] = true
			}
			k.w.taskEnded(k, t, t.Wake)
		case saving:
			t.Bearing, t.Wake, t.Kept = exited, "halted", true
			k.w.taskEnded(k, t, "halted, progress kept")
		}
	}
}

// execute executes commands in order. The caller holds mu.
func (k *worker) execute(orders []order, way string) {
	now := time.Now()
	for _, o := range orders {
		i := slices.IndexFunc(k.tasks, func(t *taskRun) bool { return t.Oar == o.Oar && t.Launch == o.Launch })
		k.w.rec.printf("%s: %s %s launch %d by %s, token %d", k.deck, o.Call, o.Oar, o.Launch, way, k.helm)
		switch {
		case o.Call == "run" && i < 0:
			k.w.startCommanded(k, o.Oar)
			k.tasks = append(k.tasks, k.startTask(now, o))
			k.changed = true
			k.advance(now)
		case o.Call == "kill" && i >= 0 && k.tasks[i].Bearing != exited:
			k.kill(now, k.tasks[i], o.SlackS)
			k.changed = true
		case o.Call == "reap" && i >= 0 && k.tasks[i].Bearing == exited:
			k.tasks = slices.Delete(k.tasks, i, i+1)
			k.changed = true
		}
	}
}

// startTask returns a new attempt, which has exited if it can't start. The caller holds mu.
func (k *worker) startTask(now time.Time, o order) *taskRun {
	id, number, _ := strings.Cut(o.Oar, "/")
	index, err := strconv.Atoi(number)
	t := &taskRun{Oar: o.Oar, Launch: o.Launch, Bearing: fetching, job: k.w.job(id), index: index}
	if err != nil || t.job == nil || index >= t.job.Oars {
		t.Bearing, t.Wake = exited, "unknown"
		return t
	}
	cores, memory := t.job.Cores, t.job.MemoryGB
	for _, other := range k.tasks {
		if other.Bearing == exited {
			continue
		}
		if other.Oar == o.Oar {
			t.Bearing, t.Wake = exited, "in_use"
			return t
		}
		cores += other.job.Cores
		memory += other.job.MemoryGB
	}
	if cores > k.w.cloud.offered.Cores+1e-6 || memory > k.w.cloud.offered.MemoryGB+1e-6 {
		t.Bearing, t.Wake = exited, "full"
		return t
	}
	t.changeAt = now
	if !k.images[t.job.Hull] {
		t.changeAt = now.Add(time.Duration(t.job.ImageGB / k.w.cloud.offered.PullGBPerS * float64(time.Second)))
	}
	return t
}

// kill stops a task. The caller holds mu.
func (k *worker) kill(now time.Time, t *taskRun, slackS *float64) {
	slack := 0.0
	if slackS != nil {
		slack = *slackS
	}
	switch {
	case t.Bearing == running && t.job.LoglineS > 0 && slack >= t.job.StowS:
		t.Bearing, t.changeAt = saving, now.Add(time.Duration(t.job.StowS*float64(time.Second)))
	case t.Bearing == saving && slack > 0:
	default:
		if t.isOn() {
			k.w.taskEnded(k, t, "halted")
		}
		t.Bearing, t.Wake = exited, "halted"
	}
}

// handleCommands handles direct commands.
func (k *worker) handleCommands(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Helm   *uint64 `json:"helm"`
		Watch  *uint64 `json:"watch"`
		Orders []order `json:"orders"`
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &request) != nil || request.Helm == nil || request.Watch == nil {
		reply(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended || k.off {
		panic(http.ErrAbortHandler) // the connection ends without a response
	}
	status := http.StatusConflict
	k.advance(time.Now())
	if *request.Helm >= k.helm && *request.Watch == k.watch {
		status = http.StatusOK
		k.raiseHelm(*request.Helm)
		if slices.ContainsFunc(request.Orders, func(o order) bool { return o.Call == "run" }) {
			k.starts = append(k.starts, body)
		}
		k.execute(request.Orders, "direct command")
	} else {
		k.w.rec.printf("%s: refuses a direct command with token %d and session %d", k.deck, *request.Helm, *request.Watch)
	}
	reply(w, status, k.nextReport())
}

// raiseHelm stores a higher token. It counts as a change no more than once per half of the lease. The
// caller holds mu.
func (k *worker) raiseHelm(helm uint64) {
	if helm <= k.helm {
		return
	}
	k.helm = helm
	if now := time.Now(); now.Sub(k.helmAt) >= k.w.params.lease/2 {
		k.helmAt, k.changed = now, true
	}
}

// reportLoop sends the reports, one at a time.
func (k *worker) reportLoop() {
	for {
		time.Sleep(5 * time.Millisecond)
		k.mu.Lock()
		now := time.Now()
		if k.ended {
			k.mu.Unlock()
			return
		}
		if k.off || now.Before(k.nextAt) && !(k.changed && now.Sub(k.lastSent) >= 500*time.Millisecond) {
			k.mu.Unlock()
			continue
		}
		r := k.nextReport()
		k.changed = false
		k.lastSent = now
		k.nextAt = k.w.nextReportAt(k.deck, now)
		addr, life := k.w.controllers[k.node].client, k.lives
		k.mu.Unlock()
		k.send(r, now, addr, life)
	}
}

// send sends a report and applies the response.
func (k *worker) send(r report, sent time.Time, addr string, life int) {
	body, _ := json.Marshal(r) // can't fail
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	status, data := post(ctx, k.client, "http://"+addr+"/checkin", body)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended || life != k.lives {
		return
	}
	var response struct {
		Helm         *uint64 `json:"helm"`
		Orders       []order `json:"orders"`
		Harbormaster string  `json:"harbormaster"`
	}
	k.w.rec.printf("%s: report watch %d knot %d helm %d tasks %s to %s: %d", k.deck, r.Watch, r.Knot, r.Helm, summary(r.Oars), addr, status)
	if status == http.StatusMisdirectedRequest && json.Unmarshal(data, &response) == nil {
		if node := k.w.nodeNamed(response.Harbormaster); node >= 0 && node != k.node {
			k.client.CloseIdleConnections()
			k.node, k.nextAt = node, time.Now()
			return
		}
	}
	if status != http.StatusOK || json.Unmarshal(data, &response) != nil {
		k.client.CloseIdleConnections()
		k.node = (k.node + 1) % len(k.w.controllers)
		k.nextAt = time.Now().Add(time.Second)
		k.changed = false // the next report is sent 1 s later
		return
	}
	k.advance(time.Now())
	if r.Watch != k.watch || response.Helm == nil || *response.Helm < k.helm {
		return
	}
	k.renewed = sent
	k.raiseHelm(*response.Helm)
	k.execute(response.Orders, "response")
}

// summary returns the tasks of a report in short form.
func summary(tasks []taskRun) string {
	var parts []string
	for _, t := range tasks {
		parts = append(parts, t.Oar+"#"+strconv.FormatUint(t.Launch, 10)+":"+t.Bearing+t.Wake)
	}
	return "[" + strings.Join(parts, " ") + "]"
}

// post sends a request with a JSON body and returns the status, 0 without a response, and the body.
func post(ctx context.Context, client *http.Client, url string, body []byte) (int, []byte) {
	return send(ctx, client, http.MethodPost, url, body)
}

func send(ctx context.Context, client *http.Client, method, url string, body []byte) (int, []byte) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}
