package simulation

import (
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"time"

	"switchshore.example/switchshore/wire"
)

// Task is a task on a worker.
type Task struct {
	Name    string
	Attempt uint64
	State   string
	Why     string
	Saved   bool
	At      time.Time // when the present state ends
	Began   time.Time // when it began to run
}

// On reports whether the task is on its machine in the sense of the rules.
func (t *Task) On() bool { return t.State == wire.TaskRunning || t.State == wire.TaskSaving }

// Worker is one machine with its worker.
type Worker struct {
	ID      string
	Offer   wire.ListedMachine
	Type    wire.MachineType
	Jobs    func(id string) *wire.Job // what users uploaded
	RunTime func(*wire.Job) time.Duration
	// Progress, if set, tells the run time that a task has saved, on whatever machine; without it
	// a task that is started again runs for its whole time.
	Progress func(task string) time.Duration
	Faulty   bool
	// FailsJob, if set, tells jobs that fail on every machine.
	FailsJob func(id string) bool
	// Stopped, if set, is told of a running task that is about to be stopped.
	Stopped func(t *Task, saves bool)
	Lease   time.Duration

	Session  uint64
	Seq      uint64
	Token    uint64
	LeaseEnd time.Time
	Notice   *float64
	Tasks    map[string]*Task
	Results  map[string]bool // completed tasks whose result is kept
	Cache    map[string]bool
	Changed  bool
}

// NewWorker returns a worker that has just come up.
func NewWorker(now time.Time, row wire.ListedMachine, t wire.MachineType, lease time.Duration) *Worker {
	return &Worker{
		ID: row.Name, Offer: row, Type: t, Lease: lease, Session: 1, LeaseEnd: now.Add(lease),
		Tasks: map[string]*Task{}, Results: map[string]bool{}, Cache: map[string]bool{},
	}
}

// key keeps several attempts of one task apart: exited ones stay listed.
func key(name string, attempt uint64) string {
	return name + "#" + strconv.FormatUint(attempt, 10)
}

func (w *Worker) sorted() []*Task {
	var ts []*Task
	for _, t := range w.Tasks {
		ts = append(ts, t)
	}
	sort.Slice(ts, func(i, j int) bool {
		if ts[i].Name != ts[j].Name {
			return ts[i].Name < ts[j].Name
		}
		return ts[i].Attempt < ts[j].Attempt
	})
	return ts
}

// Advance lets time pass: fetches, runs and saves end, the lease may run out.
func (w *Worker) Advance(now time.Time) {
	if now.After(w.LeaseEnd) {
		w.Session++
		w.Tasks = map[string]*Task{}
		w.LeaseEnd = now.Add(w.Lease)
		w.Changed = true
	}
	for _, t := range w.sorted() {
		if t.State == wire.TaskExited || now.Before(t.At) {
			continue
		}
		job := w.jobOf(t.Name)
		w.Changed = true
		switch t.State {
		case wire.TaskFetching:
			w.Cache[job.Image] = true
			switch {
			case w.Results[t.Name]:
				t.State, t.Why = wire.TaskExited, wire.ExitDone
			case w.Faulty, w.FailsJob != nil && w.FailsJob(job.ID):
				t.State, t.Why = wire.TaskExited, wire.ExitError
			default:
				t.State, t.At, t.Began = wire.TaskRunning, now.Add(w.timeLeft(t.Name, job)), now
			}
		case wire.TaskRunning:
			t.State, t.Why = wire.TaskExited, wire.ExitDone
			w.Results[t.Name] = true
		case wire.TaskSaving:
			t.State, t.Why, t.Saved = wire.TaskExited, wire.ExitStopped, true
		}
	}
}

// timeLeft is for how long a task that begins now runs.
func (w *Worker) timeLeft(task string, job *wire.Job) time.Duration {
	left := w.RunTime(job)
	if w.Progress != nil {
		left -= w.Progress(task)
	}
	return max(0, left)
}

func (w *Worker) jobOf(task string) *wire.Job {
	id, _, _ := wire.SplitTask(task)
	return w.Jobs(id)
}

// Report is the worker's next heartbeat.
func (w *Worker) Report() *wire.Heartbeat {
	w.Seq++
	r := &wire.Heartbeat{
		Machine: w.ID, Addr: w.Offer.Addr, Type: w.Offer.Type, Zone: w.Offer.Zone, Spot: w.Offer.Spot,
		AgentEpoch: w.Session, Sequence: w.Seq, FencingToken: w.Token, ReclaimNoticeS: w.Notice, Tasks: []wire.TaskStatus{},
	}
	for _, t := range w.sorted() {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: t.Name, Attempt: t.Attempt, State: t.State, ExitReason: t.Why, CheckpointSaved: t.Saved})
	}
	return r
}

// Answer takes in the answer to a report of the given session sent at sent.
func (w *Worker) Answer(now, sent time.Time, session uint64, a wire.HeartbeatResponse) {
	if session != w.Session || a.FencingToken < w.Token {
		return
	}
	if a.FencingToken > w.Token {
		w.Token = a.FencingToken
		w.Changed = true
	}
	if end := sent.Add(w.Lease); end.After(w.LeaseEnd) {
		w.LeaseEnd = end
	}
	w.Execute(now, a.Commands)
}

// Commands takes in a direct request: executed if token and session match.
func (w *Worker) Commands(now time.Time, r wire.CommandRequest) {
	if r.FencingToken < w.Token || r.AgentEpoch != w.Session {
		return
	}
	if r.FencingToken > w.Token {
		w.Token = r.FencingToken
	}
	w.Execute(now, r.Commands)
}

// Execute runs commands in order.
func (w *Worker) Execute(now time.Time, commands []wire.Command) {
	for _, c := range commands {
		k := key(c.Task, c.Attempt)
		t := w.Tasks[k]
		switch c.Op {
		case wire.OpStart:
			if t == nil {
				w.Tasks[k] = w.start(now, c)
				w.Changed = true
			}
		case wire.OpStop:
			if t == nil || t.State == wire.TaskExited {
				continue
			}
			w.Changed = true
			job := w.jobOf(c.Task)
			grace := 0.0
			if c.GracePeriodS != nil {
				grace = *c.GracePeriodS
			}
			saves := job.CheckpointIntervalS > 0 && grace >= job.CheckpointSaveS
			if w.Stopped != nil && t.State == wire.TaskRunning {
				w.Stopped(t, saves)
			}
			if t.State == wire.TaskRunning && saves {
				t.State, t.At = wire.TaskSaving, now.Add(time.Duration(job.CheckpointSaveS*float64(time.Second)))
			} else if t.State != wire.TaskSaving || grace == 0 {
				t.State, t.Why = wire.TaskExited, wire.ExitStopped
			}
		case wire.OpForget:
			if t != nil && t.State == wire.TaskExited {
				delete(w.Tasks, k)
				w.Changed = true
			}
		}
	}
}

func (w *Worker) start(now time.Time, c wire.Command) *Task {
	t := &Task{Name: c.Task, Attempt: c.Attempt, State: wire.TaskExited}
	job := w.jobOf(c.Task)
	if job == nil {
		t.Why = wire.ExitUnknown
		return t
	}
	cpus, memory := job.CPUs, job.MemoryGB
	for _, o := range w.Tasks {
		if o.State == wire.TaskExited {
			continue
		}
		if o.Name == c.Task {
			t.Why = wire.ExitTaskBusy
			return t
		}
		other := w.jobOf(o.Name)
		cpus += other.CPUs
		memory += other.MemoryGB
	}
	if cpus > w.Type.CPUs+1e-6 || memory > w.Type.MemoryGB+1e-6 {
		t.Why = wire.ExitNoCapacity
		return t
	}
	t.State, t.At = wire.TaskFetching, now
	if !w.Cache[job.Image] {
		t.At = now.Add(time.Duration(job.ImageGB / w.Type.FetchGBPerS * float64(time.Second)))
	}
	return t
}

// Cloud is the cloud.
type Cloud struct {
	Type     wire.MachineType
	Capacity int // machines an offer can hold at once
	Down     bool
	// TroubledUntil: of the machines rented before then half come up several times
	// as late, and a quarter never do.
	TroubledUntil time.Time
	// FastUntil: machines rented before then are up within two seconds.
	FastUntil time.Time

	rows    map[string]*cloudRow
	answers map[string][]string
	next    int
}

type cloudRow struct {
	wire.ListedMachine
	born time.Time
	up   time.Time
}

// NewCloud returns a cloud with one machine type.
func NewCloud(t wire.MachineType, capacity int) *Cloud {
	return &Cloud{Type: t, Capacity: capacity, rows: map[string]*cloudRow{}, answers: map[string][]string{}}
}

// Rent carries a rental out; nil means no capacity.
func (c *Cloud) Rent(now time.Time, rng *rand.Rand, r wire.ProvisionRequest) []string {
	if names, ok := c.answers[r.RequestID]; ok {
		return names
	}
	used := 0
	for _, row := range c.rows {
		if row.Zone == r.Zone && row.Spot == r.Spot {
			used++
		}
	}
	n := min(r.Count, c.Capacity-used)
	if n <= 0 || c.Down {
		return nil
	}
	var names []string
	for range n {
		id := "i-" + pad(c.next)
		c.next++
		boot := time.Duration(c.Type.BootTimeS * (0.6 + 0.9*rng.Float64()) * float64(time.Second))
		if rng.IntN(20) == 0 {
			boot = 1000 * time.Hour
		}
		if now.Before(c.TroubledUntil) {
			switch rng.IntN(4) {
			case 0:
				boot = 1000 * time.Hour
			case 1, 2:
				boot *= 3
			}
		}
		if now.Before(c.FastUntil) {
			boot = time.Duration(200+rng.IntN(1800)) * time.Millisecond
		}
		c.rows[id] = &cloudRow{wire.ListedMachine{
			Name: id, Addr: id, Type: r.Type, Zone: r.Zone, Spot: r.Spot, State: wire.MachineBooting,
		}, now, now.Add(boot)}
		names = append(names, id)
	}
	c.answers[r.RequestID] = names
	return names
}

func pad(n int) string {
	s := []byte("000000")
	for i := len(s) - 1; n > 0; i-- {
		s[i] = byte('0' + n%10)
		n /= 10
	}
	return string(s)
}

// Names lists the machines in order.
func (c *Cloud) Names() []string {
	var names []string
	for id := range c.rows {
		names = append(names, id)
	}
	slices.Sort(names)
	return names
}

// List is the machine list as it stood some time ago.
func (c *Cloud) List(now time.Time, lag time.Duration) []wire.ListedMachine {
	var out []wire.ListedMachine
	for _, id := range c.Names() {
		row := c.rows[id]
		if age := now.Add(-lag).Sub(row.born); age >= 0 {
			r := row.ListedMachine
			r.AgeS = age.Seconds()
			out = append(out, r)
		}
	}
	return out
}
