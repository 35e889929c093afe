package controller

import (
	"bytes"
	"encoding/json"
	"slices"
	"sort"
	"time"

	"switchshore.example/switchshore/internal/sched"
	"switchshore.example/switchshore/wire"
)

// machine is a rented machine with all that may be on it.
type machine struct {
	id, machineType, zone, addr string
	spot                        bool
	total                       sched.Resources
	lifecycle
	cordons
	sessionState
	answerDelivery
	directState
	room

	attempts   []*attempt // in the order in which they came to be known
	exited     []exit
	images     map[string]time.Time
	avoid      map[string]bool
	failedJobs map[string]bool
	// unforgettable names exited attempts whose start may still come late: forgetting
	// them would let it run.
	unforgettable map[exitKey]bool
}

// lifecycle is how far a machine has come between its rental and its release.
type lifecycle struct {
	rentedAt  time.Time
	up        bool // has reported to some term
	confirmed bool // has reported knowing this term: its list is complete
	releasing bool
	failed    bool
	recorded  bool      // named by a start record that was loaded
	missing   int       // lists in a row without the machine
	listedAt  time.Time // first seen in the cloud's list in this term
	idleFrom  time.Time
	// fenceBy is when the machine has to be released, as a start of an ended
	// job may still come late; zero for never.
	fenceBy time.Time
}

// sessionState is what is known of the worker's session and of its reports.
type sessionState struct {
	session, sequence uint64
	lastReport        uint64 // the newest of the session that the worker sent by itself
	// lostSession is the last session known to be over; what is still heard
	// of it is old.
	lostSession uint64
	heardAt     time.Time // newest report taken in
	answeredAt  time.Time // newest report answered 200
	firstHeard  time.Time // in this term
	noticeEnds  time.Time // zero: no notice
	// staleReports counts the reports older than the newest since that came,
	// staleSince is when the first of them came.
	staleReports int
	staleSince   time.Time
}

// answerDelivery is what shows whether our answers get to a machine that is heard.
type answerDelivery struct {
	// onTimeFrom is since when reports have come without a gap, sessionFrom
	// since when in the present session.
	onTimeFrom  time.Time
	sessionFrom time.Time
	// ignoredAnswers counts the answers with starts in a row that had no effect, the last
	// at ignoredAt; answersLostAt is when the machine is known not to get our
	// answers, zero while it does.
	ignoredAnswers int
	ignoredAt      time.Time
	answersLostAt  time.Time
}

// directState is that of direct calls to the machine.
type directState struct {
	// calling: a direct call is under way. callAfter pauses them after one
	// that got no answer.
	calling   bool
	callAfter time.Time
	// queued: the machine is in the list of those to be called directly.
	queued bool
}

// room is what is free on a machine, and for whom.
type room struct {
	free      sched.Resources
	fullUntil time.Time
	// Until reservedUntil, room is kept from work below reservedLevel.
	reservedUntil time.Time
	reservedLevel int
	// snapshot is what the placement rule sees of the machine; outdated, it is made
	// anew.
	snapshot     *sched.Machine
	viewOutdated bool
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
	// possiblyStarted: a predecessor recorded that the task may have been started here.
	possiblyStarted attemptState = iota
	// recordPending: the record is on its way to the state service.
	recordPending
	// startSent: the start goes out in every answer until a report shows it.
	startSent
	fetching
	running
	saving
)

// hasImage reports whether a task in this state counts as on its machine.
func (s attemptState) hasImage() bool { return s == running || s == saving }

type attempt struct {
	machine    *machine
	job        *job
	index      int32
	record     *pendingRecord // the record that names it
	listNumber uint64         // the last task list that showed it

	number        uint64
	state         attemptState
	afterLongWait bool // placed since its job had waited long
	stop          bool // to be stopped
	grace         float64
	stopSent      bool
	// sentSeq is the report in whose answer the start went out last, 0 if none.
	sentSeq uint64
	// direct: the start went out by /commands and no answer has come. It may
	// then run at any later time within the session, so the attempt counts as
	// there, is ordered again in answers to reports, and is never forgotten.
	direct    bool
	orderedAt time.Time
	runningAt time.Time
	saved     bool // it saved its progress when it was stopped
	failed    bool // it ended by an error of its own
	// evicting: a drain is about to stop it, once the charge for that is durable.
	evicting bool
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

func (c *Controller) addMachine(now time.Time, id, typ, zone, addr string, spot bool) *machine {
	m := &machine{
		id: id, machineType: typ, zone: zone, addr: addr, spot: spot,
		lifecycle: lifecycle{rentedAt: now, idleFrom: now}, room: room{viewOutdated: true},
		images:        map[string]time.Time{},
		avoid:         map[string]bool{},
		failedJobs:    map[string]bool{},
		unforgettable: map[exitKey]bool{},
	}
	c.machines[id] = m
	c.applyDrainCordon(m)
	i := sort.Search(len(c.machinesByName), func(i int) bool { return c.machinesByName[i].id >= id })
	c.machinesByName = slices.Insert(c.machinesByName, i, m)
	c.setCapacity(m)
	return m
}

// removeMachine forgets a machine that is gone with all on it.
func (c *Controller) removeMachine(m *machine) {
	delete(c.machines, m.id)
	if i := slices.Index(c.machinesByName, m); i >= 0 {
		c.machinesByName = slices.Delete(c.machinesByName, i, i+1)
	}
}

// setCapacity fills in the amounts of the machine's type once it is known.
func (c *Controller) setCapacity(m *machine) {
	if t, ok := c.types[m.machineType]; ok && m.total == (sched.Resources{}) {
		m.total = resources(t)
		m.free = m.free.Add(m.total, 1)
	}
	m.viewOutdated = true
}

// SetTypes takes in the cloud's catalogue.
func (c *Controller) SetTypes(types []wire.MachineType) {
	if len(types) == 0 {
		return
	}
	if value, err := json.Marshal(types); err == nil && len(value) <= c.valueLimit() && !bytes.Equal(value, c.catalogue) {
		c.catalogue = value
		c.backgroundWrites.put(keyTypes, value, nil)
	}
	c.offers = types
	for _, t := range types {
		c.types[t.Name] = t
	}
	for _, m := range c.machinesByName {
		c.setCapacity(m)
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
	m.viewOutdated = true
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
	j.recordProgress(now, a)
	c.countInterruption(now, a)
	m.attempts = slices.Delete(m.attempts, i, i+1)
	m.viewOutdated = true
	m.free = m.free.Add(j.need, 1)
	if t := c.teams[j.Team]; t != nil {
		t.used = t.used.Add(j.need, -1)
	}
	if j.inZone[m.zone]--; j.inZone[m.zone] == 0 {
		delete(j.inZone, m.zone)
	}
	if a.state.hasImage() {
		j.running--
	}
	if len(m.attempts) == 0 {
		m.idleFrom = now
	}
	c.unrecord(a)
	c.releaseTask(j, a.index)
}

// dropAll drops every task of a machine whose session is over.
func (c *Controller) dropAll(now time.Time, m *machine) {
	for len(m.attempts) > 0 {
		c.drop(now, m.attempts[len(m.attempts)-1])
	}
	m.exited = nil
}

// acceptsWork reports whether a machine takes new tasks.
func (c *Controller) acceptsWork(now time.Time, m *machine) bool {
	return m.up && m.confirmed && !m.releasing && !m.cordoned() &&
		m.total.CPUs > 0 && !now.Before(m.fullUntil) && !c.isSilent(now, m)
}
