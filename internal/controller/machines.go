package controller

import (
	"bytes"
	"encoding/json"
	"math"
	"slices"
	"sort"
	"time"

	"switchshore.example/switchshore/internal/provision"
	"switchshore.example/switchshore/internal/sched"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

type machine struct {
	id, typ, zone, addr string
	spot                bool
	total               sched.Resources
	rentedAt            time.Time
	up                  bool // has reported to some term
	confirmed           bool // has reported knowing this term: its list is complete
	releasing           bool
	draining            bool
	faulty              bool // several jobs failed there in a row

	session, seq uint64
	checkin      uint64 // the newest of the session that the worker sent by itself
	// lostSession is the last session known to be over; what is still heard
	// of it is old.
	lostSession uint64
	heardAt     time.Time // newest report taken in
	answeredAt  time.Time // newest report answered 200
	noticeEnds  time.Time // zero: no notice
	fullUntil   time.Time
	// Until reservedUntil, room is kept from work below reservedLevel.
	reservedUntil time.Time
	reservedLevel int

	attempts []*attempt // in the order in which they came to be known
	exited   []exit
	images   map[string]time.Time
	avoid    map[string]bool
	failing  map[string]bool
	free     sched.Resources
	idleFrom time.Time
	recorded bool      // named by a start record that was loaded
	missing  int       // lists in a row without the machine
	listedAt time.Time // first seen in the cloud's list in this term
	failed   bool
	// keep names exited attempts whose start may still come late: forgetting
	// them would let it run.
	keep map[exitKey]bool
	// calling: a direct call is under way. callAfter pauses them after one
	// that got no answer.
	calling   bool
	callAfter time.Time
	// onTimeFrom is since when reports have come without a gap, sessionFrom
	// since when in the present session. unheeded counts the answers with
	// starts in a row that had no effect, since unheededAt; deafAt is when the
	// machine is known not to get our answers, zero while it does.
	onTimeFrom  time.Time
	sessionFrom time.Time
	unheeded    int
	unheededAt  time.Time
	deafAt      time.Time
	// strangers counts the reports older than the newest since that came,
	// strangeFrom is when the first of them came.
	strangers   int
	strangeFrom time.Time
	firstHeard  time.Time // in this term
	// replaced: a new worker has taken the place of the one known, and counts
	// sessions anew. Only the release proves what it may hold gone.
	replaced bool
	// fenceBy is when the machine has to be released, as a start of an ended
	// job may still come late; zero for never.
	fenceBy time.Time
	// view is what the placement rule sees of the machine; stale, it is made
	// anew.
	view  *sched.Machine
	stale bool
	// queued: the machine is in the list of those to be called directly.
	queued bool
}

type exitKey struct {
	task    string
	attempt uint64
}

// exit is an exited attempt in a machine's list.
type exit struct {
	exitKey
	forget bool // nobody needs the worker's memory of it any more
}

type attemptState int

const (
	// maybe: a predecessor recorded that the task may have been started here.
	maybe attemptState = iota
	// recording: the record is on its way to the state service.
	recording
	// ordered: the start goes out in every answer until a report shows it.
	ordered
	fetching
	running
	saving
)

type attempt struct {
	machine *machine
	job     *job
	index   int32
	log     *startLog // the record that names it
	round   uint64    // the last task list that showed it

	number   uint64
	state    attemptState
	aged     bool // placed since its job had waited long
	stop     bool // to be stopped
	grace    float64
	stopSent bool
	// sentSeq is the report in whose answer the start went out last, 0 if none.
	sentSeq uint64
	// direct: the start went out by /commands and no answer has come. It may
	// then run at any later time within the session, so the attempt counts as
	// there, is ordered again in answers to reports, and is never forgotten.
	direct    bool
	orderedAt time.Time
	runningAt time.Time
	saved     bool // it saved its progress when it was stopped
}

// wanted reports whether the attempt is still to run.
func (a *attempt) wanted() bool { return !a.stop && a.job.wants(int(a.index)) }

func (a *attempt) name() string { return wire.TaskName(a.job.ID, int(a.index)) }

func (a *attempt) startCommand() wire.Command {
	return wire.Command{Op: wire.OpStart, Task: a.name(), Attempt: a.number}
}

func (a *attempt) stopCommand() wire.Command {
	grace := a.grace
	return wire.Command{Op: wire.OpStop, Task: a.name(), Attempt: a.number, GraceS: &grace}
}

type rental struct {
	offer provision.Offer
	count int
	at    time.Time
}

func (c *Controller) addMachine(now time.Time, id, typ, zone, addr string, spot bool) *machine {
	m := &machine{
		id: id, typ: typ, zone: zone, addr: addr, spot: spot,
		rentedAt: now, idleFrom: now, stale: true,
		images:  map[string]time.Time{},
		avoid:   map[string]bool{},
		failing: map[string]bool{},
		keep:    map[exitKey]bool{},
	}
	c.machines[id] = m
	i := sort.Search(len(c.order), func(i int) bool { return c.order[i].id >= id })
	c.order = slices.Insert(c.order, i, m)
	c.size(m)
	return m
}

// removeMachine forgets a machine that is gone with all on it.
func (c *Controller) removeMachine(m *machine) {
	delete(c.machines, m.id)
	if i := slices.Index(c.order, m); i >= 0 {
		c.order = slices.Delete(c.order, i, i+1)
	}
}

// size fills in the amounts of the machine's type once it is known.
func (c *Controller) size(m *machine) {
	if t, ok := c.types[m.typ]; ok && m.total == (sched.Resources{}) {
		m.total = resources(t)
		m.free = m.free.Add(m.total, 1)
	}
	m.stale = true
}

// SetTypes takes in the cloud's catalogue.
func (c *Controller) SetTypes(types []wire.MachineType) {
	if len(types) == 0 {
		return
	}
	if value, err := json.Marshal(types); err == nil && len(value) <= c.valueLimit() && !bytes.Equal(value, c.catalogue) {
		c.catalogue = value
		c.bulk.put(keyTypes, value, nil)
	}
	c.offers = types
	for _, t := range types {
		c.types[t.Name] = t
	}
	for _, m := range c.order {
		c.size(m)
	}
	c.changed = true
}

// find returns the attempt of a task on the machine, or nil.
func (m *machine) find(j *job, index int32) *attempt {
	for _, a := range m.attempts {
		if a.index == index && a.job == j {
			return a
		}
	}
	return nil
}

// hold counts a task that may be on a machine.
func (c *Controller) hold(m *machine, j *job, index int32, a *attempt) {
	a.machine, a.job, a.index = m, j, index
	m.attempts = append(m.attempts, a)
	m.stale = true
	m.free = m.free.Add(j.need, -1)
	if t := c.teams[j.Team]; t != nil {
		t.used = t.used.Add(j.need, 1)
	}
	j.inZone[m.zone]++
	if j.holders[index]++; j.holders[index] == 1 {
		j.held++
	}
}

// drop counts a task that certainly is no longer on its machine.
func (c *Controller) drop(now time.Time, a *attempt) {
	m, j := a.machine, a.job
	i := slices.Index(m.attempts, a)
	if i < 0 {
		return
	}
	j.keep(now, a)
	m.attempts = slices.Delete(m.attempts, i, i+1)
	m.stale = true
	m.free = m.free.Add(j.need, 1)
	if t := c.teams[j.Team]; t != nil {
		t.used = t.used.Add(j.need, -1)
	}
	if j.inZone[m.zone]--; j.inZone[m.zone] == 0 {
		delete(j.inZone, m.zone)
	}
	if a.state == running || a.state == saving {
		j.running--
	}
	if len(m.attempts) == 0 {
		m.idleFrom = now
	}
	c.unlog(a)
	c.unhold(j, a.index)
}

// keep notes the progress that an attempt that is gone has saved: by itself at
// every interval, and when it was stopped with time to save.
func (j *job) keep(now time.Time, a *attempt) {
	if a.runningAt.IsZero() || j.CheckpointS <= 0 || j.done.Has(int(a.index)) {
		return
	}
	ran := now.Sub(a.runningAt).Seconds()
	if !a.saved {
		ran = math.Floor(ran/j.CheckpointS) * j.CheckpointS
	}
	if ran > 0 {
		if j.progress == nil {
			j.progress = map[int32]float64{}
		}
		j.progress[a.index] += ran
	}
}

// dropAll drops every task of a machine whose session is over.
func (c *Controller) dropAll(now time.Time, m *machine) {
	for len(m.attempts) > 0 {
		c.drop(now, m.attempts[len(m.attempts)-1])
	}
	m.exited = nil
}

func (c *Controller) sortedJobs() []*job {
	js := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		js = append(js, j)
	}
	sortByID(js)
	return js
}

func sortByID(js []*job) {
	sort.Slice(js, func(i, k int) bool { return js[i].ID < js[k].ID })
}

// Receipt is what becomes of a report.
type Receipt int

// Receipts.
const (
	// Taken: it gets the answer, which renews the worker's lease.
	Taken Receipt = iota
	// Stale: it is older than what is known. An answer would renew the lease
	// of a worker whose tasks are presumed to have ended, or of a new one that
	// has taken the place of the one known: it gets none.
	Stale
	// Superseded: the worker has seen a later term.
	Superseded
)

// Report takes in a worker's report and answers it. With authority false
// (the state service is out of reach) nothing is started.
func (c *Controller) Report(now time.Time, r *wire.Report, authority bool) (wire.ReportAnswer, Receipt) {
	answer := wire.ReportAnswer{Token: c.term, Commands: []wire.Command{}}
	if r.Token > c.term {
		return answer, Superseded
	}
	if c.released[r.Machine] {
		return answer, Stale
	}
	m := c.machines[r.Machine]
	if m == nil {
		m = c.addMachine(now, r.Machine, r.Type, r.Zone, r.Addr, r.Spot)
	}
	if m.overtaken(r) {
		// It is on its way still, and its worker waits for an answer.
		m.checkin = r.Seq
		m.heardAt, m.answeredAt = now, now
		answer.Commands = c.stopsOf(r)
		return answer, Taken
	}
	if m.old(r) {
		// It proves nothing, renews nothing and gets no commands.
		if m.strangers++; m.strangers == 1 {
			m.strangeFrom = now
		}
		return answer, Stale
	}
	c.hearing(now, m, r)
	c.newer(m, r)
	if c.lateStart(now, m) {
		return answer, Stale
	}
	m.checkin = r.Seq
	m.heardAt, m.answeredAt = now, now
	m.addr = r.Addr
	if !m.up {
		m.up = true
		c.changed = true
	}
	if m.noticeEnds.IsZero() && r.NoticeS != nil {
		m.noticeEnds = now.Add(seconds(*r.NoticeS))
		c.log.Debug().Str("machine", m.id).Float64("notice", *r.NoticeS).Msg("spot notice")
	}
	if r.Token < c.term {
		// The worker may still take orders of an earlier term: only a report
		// sent after it has seen this term shows all that it holds.
		answer.Commands = c.stopsOf(r)
		return answer, Taken
	}
	c.take(now, m, r, true)
	c.notice(now, m)
	answer.Commands = c.commands(m, r, authority)
	return answer, Taken
}

// stopsOf are the stops of all listed tasks that nobody wants any more. Every
// answer renews the lease, so every answer carries them: leaders that ended
// one after the other, each having heard a worker once in its term, would
// otherwise keep a cancelled task alive for longer than a cancellation may take.
func (c *Controller) stopsOf(r *wire.Report) []wire.Command {
	stops := []wire.Command{}
	zero := 0.0
	for i := range r.Tasks {
		t := &r.Tasks[i]
		id, index, ok := wire.SplitTask(t.Task)
		if j := c.jobs[id]; t.State != wire.TaskExited && (!ok || j == nil || !j.wants(index)) && len(stops) < tuning.AnswerCommands {
			stops = append(stops, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: &zero})
		}
	}
	return stops
}

// lateStart reports whether a start of a job that ended a while ago may still come
// late to the machine's present session: no answer may keep that up.
func (c *Controller) lateStart(now time.Time, m *machine) bool {
	bound := lateStartBound(c.params.Workers)
	return slices.ContainsFunc(m.attempts, func(a *attempt) bool {
		return a.state == ordered && a.direct && a.job.state != jobActive && now.Sub(a.job.endedAt) > bound
	})
}

// hearing judges whether our answers reach a machine whose reports reach us.
// Its lease runs out if they don't: a new session right after reports without
// a gap shows it. Such a machine would take starts for ever that it never gets.
// A session that lasts longer than the lease shows that answers arrive again.
func (c *Controller) hearing(now time.Time, m *machine, r *wire.Report) {
	m.strangers = 0
	if m.firstHeard.IsZero() {
		m.firstHeard = now
	}
	if c.silent(now, m) {
		// The time before the gap says nothing: a cut may have held reports
		// back and delivered them late.
		m.onTimeFrom = now
	}
	if r.Session != m.session {
		if m.session != 0 && m.confirmed && now.Sub(m.onTimeFrom) >= seconds(c.params.Workers.LeaseS) && m.deafAt.IsZero() {
			m.deafAt = now
			c.log.Info().Str("machine", m.id).Msg("reports arrive, answers don't get there")
		}
		m.sessionFrom = now
	}
	if now.Sub(m.sessionFrom) > c.leaseTime() {
		m.deafAt = time.Time{}
		if now.Sub(m.unheededAt) > c.leaseTime() {
			m.unheeded = 0
		}
	}
}

// old reports whether a report is of a session known to be over, or not newer
// than the newest one taken in.
func (m *machine) old(r *wire.Report) bool {
	return r.Session <= m.lostSession || r.Session < m.session || r.Session == m.session && r.Seq <= m.seq
}

// overtaken reports whether a report is older than the newest message only
// because the answer to a direct call came before it, by a shorter way. Refused,
// its worker would leave its node for nothing.
func (m *machine) overtaken(r *wire.Report) bool {
	return r.Session > m.lostSession && r.Session == m.session && r.Seq > m.checkin && r.Seq <= m.seq
}

// newer notes the order of a report; a new session ends all that is late.
func (c *Controller) newer(m *machine, r *wire.Report) {
	if r.Session > m.session {
		clear(m.keep)
		m.checkin = 0
		if !m.draining {
			m.fenceBy = time.Time{}
		}
		for _, a := range m.attempts {
			a.direct = false
		}
	}
	m.session, m.seq = r.Session, r.Seq
}

// deaf reports whether what the machine is told seems not to get there.
func (m *machine) deaf() bool { return !m.deafAt.IsZero() || m.unheeded >= tuning.UnheededAnswers }

// take compares the machine's complete list with what is known. Only a report
// that the worker sent by itself (checkin) proves that the starts in earlier
// answers did not run: an answer to a direct call may overtake them.
func (c *Controller) take(now time.Time, m *machine, r *wire.Report, checkin bool) {
	c.round++
	m.exited = m.exited[:0]
	for i := range r.Tasks {
		t := &r.Tasks[i]
		id, index, ok := wire.SplitTask(t.Task)
		j := c.jobs[id]
		ek := exitKey{t.Task, t.Attempt}
		if !ok || j == nil || index >= j.Tasks {
			// Of a job that ended, or unknown: what is not over is stopped (stopsOf).
			if t.State == wire.TaskExited {
				m.exited = append(m.exited, exit{ek, !m.keep[ek]})
			}
			continue
		}
		a := m.find(j, int32(index))
		if t.State == wire.TaskExited {
			if a != nil && (a.number == t.Attempt || a.state == maybe) {
				a.round = c.round
				if a.state == ordered {
					m.unheeded = 0
				}
				if a.direct {
					m.keep[ek] = true
				}
				c.exit(now, a, t)
			} else if t.Why == wire.WhyDone {
				c.taskDone(now, j, int32(index))
			}
			m.exited = append(m.exited, exit{ek, (t.Why != wire.WhyDone || j.isDurable(int32(index))) && !m.keep[ek]})
			continue
		}
		if a == nil {
			a = &attempt{orderedAt: now}
			c.hold(m, j, int32(index), a)
			// No record names it any more, or none ever did: a successor has to
			// know of it all the same.
			c.logStart(a)
			if j.state == jobActive {
				j.unready(int32(index))
			}
		}
		a.round = c.round
		// Another attempt of a task that is to run here makes the worker refuse
		// the newer one, so it is the listed one that counts.
		a.number = t.Attempt
		if !j.wants(index) {
			a.stop, a.grace = true, 0
		}
		was := a.state
		if was == ordered {
			m.unheeded = 0 // it was told
		}
		switch t.State {
		case wire.TaskRunning:
			a.state = running
		case wire.TaskSaving:
			a.state = saving
		default:
			a.state = fetching
		}
		if a.state != was {
			m.stale = true
		}
		if (a.state == running || a.state == saving) && was != running && was != saving {
			j.running++
			a.runningAt = now
			m.images[j.Image] = now
			c.changed = true
		}
	}
	if checkin && slices.ContainsFunc(m.attempts, func(a *attempt) bool {
		return a.round != c.round && a.state == ordered && a.sentSeq != 0
	}) {
		// Starts in an earlier answer had no effect.
		m.unheeded++
		m.unheededAt = now
	}
	for i := len(m.attempts) - 1; i >= 0; i-- {
		a := m.attempts[i]
		if a.round == c.round {
			continue
		}
		switch a.state {
		case recording:
		case ordered:
			if a.direct {
				if !a.wanted() && m.fenceBy.IsZero() {
					m.draining = true
					from := a.job.endedAt
					if from.IsZero() {
						from = now // only the task is done
					}
					m.fenceBy = from.Add(lateStartBound(c.params.Workers))
				}
				continue
			}
			if !checkin && a.sentSeq != 0 {
				continue
			}
			// Not there: the start did not run and, carried only by an
			// answer now given up, never will.
			a.sentSeq = 0
			if !a.wanted() || !c.open(now, m) {
				c.drop(now, a)
			}
		default:
			c.drop(now, a)
		}
	}
	if !m.confirmed {
		m.confirmed = true
		m.idleFrom = now
		c.changed = true
		c.log.Debug().Str("machine", m.id).Int("tasks", len(r.Tasks)).Msg("machine confirmed")
	}
}

// exit handles the end of an attempt by its reason.
func (c *Controller) exit(now time.Time, a *attempt, t *wire.TaskReport) {
	m, j := a.machine, a.job
	a.saved = t.Saved
	switch t.Why {
	case wire.WhyDone:
		if a.state == running && !a.runningAt.IsZero() {
			c.observe(j, now.Sub(a.runningAt).Seconds()+j.progress[a.index])
		}
		j.failures = 0
		c.vindicate(j, m)
		m.images[j.Image] = now
		c.taskDone(now, j, a.index)
	case wire.WhyError:
		c.log.Debug().Str("machine", m.id).Str("task", t.Task).Msg("task failed")
		c.failed(now, j)
		c.blame(j, m)
	case wire.WhyNoRoom, wire.WhyBusy:
		m.fullUntil = now.Add(tuning.FullPause)
	case wire.WhyUnknown:
		c.backOff(j, now.Add(tuning.UnknownPause))
	}
	c.drop(now, a)
}

// Whose fault a failure is shows only by where else the job fails or ends. A job that
// has failed on several machines, and ended on none, is taken for one submitted with a
// mistake: no machine gets a bad name by it. Once a task of it ends somewhere, the
// machines where it failed are to blame. One on which several jobs failed in a row is
// faulty.

// blame notes that a task of the job has failed on the machine.
func (c *Controller) blame(j *job, m *machine) {
	if j.failedOn == nil {
		j.failedOn = map[string]bool{}
	}
	j.failedOn[m.id] = true
	m.avoid[j.ID] = true
	if !j.mistaken() {
		m.fails(c, j)
		return
	}
	for id := range j.failedOn {
		if o := c.machines[id]; o != nil {
			delete(o.failing, j.ID)
			o.faulty = len(o.failing) >= tuning.FaultyJobs
		}
	}
}

// vindicate notes that a task of the job has ended on the machine.
func (c *Controller) vindicate(j *job, m *machine) {
	if !m.faulty {
		clear(m.failing)
	}
	for id := range j.failedOn {
		if o := c.machines[id]; o != nil && o != m {
			o.fails(c, j)
		}
	}
	clear(j.failedOn)
}

func (m *machine) fails(c *Controller, j *job) {
	m.failing[j.ID] = true
	if len(m.failing) >= tuning.FaultyJobs && !m.faulty {
		c.log.Info().Str("machine", m.id).Msg("faulty machine, draining")
		m.faulty = true
	}
}

// mistaken reports whether the job seems to fail everywhere.
func (j *job) mistaken() bool { return len(j.failedOn) >= tuning.MistakenOn && j.done.Len() == 0 }

// observe learns how run times compare with estimates, per class.
func (c *Controller) observe(j *job, ran float64) {
	x := ran / max(j.EstimateS, tuning.MinimumEstimate)
	old, ok := c.ratio[j.Class]
	if !ok {
		old = 1
	}
	c.ratio[j.Class] = old + (x-old)*tuning.EstimateWeight
}

func (c *Controller) estimate(j *job) float64 {
	e := max(j.EstimateS, tuning.MinimumEstimate)
	if r, ok := c.ratio[j.Class]; ok {
		e *= r
	}
	return e
}

func (j *job) unready(index int32) {
	if i := slices.Index(j.ready, index); i >= 0 {
		j.ready = slices.Delete(j.ready, i, i+1)
	}
}

// notice stops tasks that can save when the machine is about to be taken.
func (c *Controller) notice(now time.Time, m *machine) {
	if m.noticeEnds.IsZero() {
		return
	}
	left := m.noticeEnds.Sub(now).Seconds()
	margin := tuning.NoticeSlack.Seconds()
	for _, a := range m.attempts {
		if a.stop || a.job.CheckpointS <= 0 || a.state != running {
			continue
		}
		if left <= a.job.SaveS+margin {
			a.stop, a.grace = true, a.job.SaveS
		}
	}
}

// commands are those of the answer to a report: stops first, as the answer renews the
// lease whether all fit or not, then forgets, then starts.
func (c *Controller) commands(m *machine, r *wire.Report, authority bool) []wire.Command {
	out := c.stopsOf(r)
	for _, a := range m.attempts {
		if !a.stop || !a.job.wants(int(a.index)) || a.state < fetching || a.state == saving && a.grace > 0 || len(out) >= tuning.AnswerCommands {
			continue // the stops of what nobody wants are there already
		}
		out = append(out, a.stopCommand())
	}
	for _, e := range m.exited {
		if e.forget && len(out) < tuning.AnswerCommands {
			out = append(out, wire.Command{Op: wire.OpForget, Task: e.task, Attempt: e.attempt})
		}
	}
	if authority && !m.releasing {
		for _, a := range m.attempts {
			if a.state != ordered || !a.wanted() || a.direct && m.calling || len(out) >= tuning.AnswerCommands {
				continue
			}
			a.sentSeq = r.Seq
			out = append(out, a.startCommand())
		}
	}
	return out
}

// retiring reports whether a machine takes no more work because it is to go: it is
// drained, faulty, or about to be taken by the cloud.
func (m *machine) retiring() bool { return m.draining || m.faulty || !m.noticeEnds.IsZero() }

// open reports whether a machine takes new tasks.
func (c *Controller) open(now time.Time, m *machine) bool {
	return m.up && m.confirmed && !m.replaced && !m.releasing && !m.retiring() &&
		m.total.CPUs > 0 && !now.Before(m.fullUntil) && !m.deaf() && !c.silent(now, m)
}

func (c *Controller) silent(now time.Time, m *machine) bool {
	return now.Sub(m.heardAt) > c.silence()
}

// silence is the time without a report that makes a machine silent.
func (c *Controller) silence() time.Duration {
	return seconds(c.params.Workers.ReportS * tuning.SilentReports)
}

// leaseOver reports whether all that the machine may have held is gone.
func (c *Controller) leaseOver(now time.Time, m *machine) bool {
	if m.replaced || !m.confirmed && now.Before(c.inheritedUntil) {
		return false
	}
	return m.answeredAt.IsZero() || now.Sub(m.answeredAt) > c.leaseTime()
}

// expire drops what was on machines whose lease has run out.
func (c *Controller) expire(now time.Time) {
	for _, m := range c.order {
		if (len(m.attempts) > 0 || !m.confirmed) && c.leaseOver(now, m) && (m.up || m.recorded) {
			if len(m.attempts) > 0 && m.fenceBy.IsZero() {
				c.log.Info().Str("machine", m.id).Int("tasks", len(m.attempts)).Msg("lease over")
			}
			m.lostSession = m.session
			c.dropLost(now, m)
		}
	}
}

// dropLost drops what was on a machine whose lease has run out, but for starts
// sent directly without an answer: should the worker have been replaced by a
// new one, which counts its sessions anew, they could still run there. Unless
// it is heard of in a new session soon, the machine is released.
func (c *Controller) dropLost(now time.Time, m *machine) {
	for i := len(m.attempts) - 1; i >= 0; i-- {
		if a := m.attempts[i]; a.state != ordered || !a.direct {
			c.drop(now, a)
		}
	}
	m.exited = nil
	if len(m.attempts) > 0 && m.fenceBy.IsZero() {
		m.fenceBy = now.Add(tuning.FencePause)
	}
}
