package leader

import (
	"bytes"
	"slices"
	"sort"
	"time"

	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/wire"
)

// machine is a rented machine with all that may be on it.
type machine struct {
	id, machineType, zone, addr string
	spot                        bool
	total                       placement.Resources
	lifecycle
	cordonSet
	agentState
	responseDelivery
	directState
	capacity

	attempts    []*attempt // in the order in which they came to be known
	exited      []exit
	images      map[string]time.Time
	avoidedJobs map[string]bool
	failedJobs  map[string]bool
	// unforgettable names exited attempts whose start may still come late: forgetting
	// them would let it run.
	unforgettable map[exitKey]bool
}

// lifecycle is how far a machine has come between its rental and its release.
type lifecycle struct {
	provisionedAt time.Time
	joined        bool // has reported to some term
	reconciled    bool // has reported knowing this term: its list is complete
	releasing     bool
	failed        bool
	fromRecord    bool      // named by a start record that was loaded
	missedLists   int       // lists in a row without the machine
	listedAt      time.Time // first seen in the cloud's list in this term
	idleSince     time.Time
	// releaseBy is when the machine has to be released, as a start of an ended
	// job may still come late; zero for never.
	releaseBy time.Time
}

// agentState is what is known of the worker's session and of its reports.
type agentState struct {
	epoch, sequence uint64
	lastPeriodic    uint64 // the newest of the session that the worker sent by itself
	// expiredEpoch is the last session known to be over; what is still heard
	// of it is old.
	expiredEpoch     uint64
	heartbeatAt      time.Time // newest report taken in
	leaseRenewedAt   time.Time // newest report answered 200
	firstHeartbeatAt time.Time // in this term
	reclaimAt        time.Time // zero: no notice
	// staleHeartbeats counts the reports older than the newest since that came,
	// staleSince is when the first of them came.
	staleHeartbeats int
	staleSince      time.Time
}

// responseDelivery is what shows whether our answers get to a machine that is heard.
type responseDelivery struct {
	// steadySince is since when reports have come without a gap, sessionFrom
	// since when in the present session.
	steadySince time.Time
	epochSince  time.Time
	// ignoredResponses counts the answers with starts in a row that had no effect, the last
	// at ignoredAt; answersLostAt is when the machine is known not to get our
	// answers, zero while it does.
	ignoredResponses   int
	ignoredAt          time.Time
	responsesLostSince time.Time
}

// directState is that of direct calls to the machine.
type directState struct {
	// calling: a direct call is under way. callAfter pauses them after one
	// that got no answer.
	calling   bool
	callAfter time.Time
	// callQueued: the machine is in the list of those to be called directly.
	callQueued bool
}

// capacity is what is free on a machine, and for whom.
type capacity struct {
	free      placement.Resources
	fullUntil time.Time
	// Until reservedUntil, room is kept from work below reservedLevel.
	reservedUntil time.Time
	reservedRank  int
	// snapshot is what the placement rule sees of the machine; outdated, it is made
	// anew.
	snapshot         *placement.Machine
	snapshotOutdated bool
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
	// statePossiblyStarted: a predecessor recorded that the task may have been started here.
	statePossiblyStarted attemptState = iota
	// stateRecordPending: the record is on its way to the state service.
	stateRecordPending
	// stateStartSent: the start goes out in every answer until a report shows it.
	stateStartSent
	stateFetching
	stateRunning
	stateSaving
)

// hasImage reports whether a task in this state counts as on its machine.
func (s attemptState) hasImage() bool { return s == stateRunning || s == stateSaving }

type attempt struct {
	machine    *machine
	job        *job
	index      int32
	record     *pendingStarts // the record that names it
	listNumber uint64         // the last task list that showed it

	number        uint64
	state         attemptState
	afterLongWait bool // placed since its job had waited long
	stopping      bool // to be stopped
	gracePeriodS  float64
	stopSent      bool
	// sentSequence is the report in whose answer the start went out last, 0 if none.
	sentSequence uint64
	// sentDirectly: the start went out by /commands and no answer has come. It may
	// then run at any later time within the session, so the attempt counts as
	// there, is ordered again in answers to reports, and is never forgotten.
	sentDirectly    bool
	orderedAt       time.Time
	runningAt       time.Time
	checkpointSaved bool // it saved its progress when it was stopped
	failed          bool // it ended by an error of its own
	// evicting: a drain is about to stop it, once the charge for that is durable.
	evicting bool
}

// wanted reports whether the attempt is still to run.
func (a *attempt) wanted() bool { return !a.stopping && a.job.needsTask(int(a.index)) }

func (a *attempt) name() string { return wire.TaskName(a.job.ID, int(a.index)) }

func (a *attempt) startCommand() wire.Command {
	return wire.Command{Op: wire.OpStart, Task: a.name(), Attempt: a.number}
}

func (a *attempt) stopCommand() wire.Command {
	grace := a.gracePeriodS
	return wire.Command{Op: wire.OpStop, Task: a.name(), Attempt: a.number, GracePeriodS: &grace}
}

func (l *Leader) addMachine(now time.Time, id, typ, zone, addr string, spot bool) *machine {
	m := &machine{
		id: id, machineType: typ, zone: zone, addr: addr, spot: spot,
		lifecycle: lifecycle{provisionedAt: now, idleSince: now}, capacity: capacity{snapshotOutdated: true},
		images:        map[string]time.Time{},
		avoidedJobs:   map[string]bool{},
		failedJobs:    map[string]bool{},
		unforgettable: map[exitKey]bool{},
	}
	l.machines[id] = m
	l.applyDrainCordon(m)
	i := sort.Search(len(l.machinesByName), func(i int) bool { return l.machinesByName[i].id >= id })
	l.machinesByName = slices.Insert(l.machinesByName, i, m)
	l.setCapacity(m)
	return m
}

// removeMachine forgets a machine that is gone with all on it.
func (l *Leader) removeMachine(m *machine) {
	delete(l.machines, m.id)
	if i := slices.Index(l.machinesByName, m); i >= 0 {
		l.machinesByName = slices.Delete(l.machinesByName, i, i+1)
	}
}

// setCapacity fills in the amounts of the machine's type once it is known.
func (l *Leader) setCapacity(m *machine) {
	if t, ok := l.types[m.machineType]; ok && m.total == (placement.Resources{}) {
		m.total = resources(t)
		m.free = m.free.Add(m.total, 1)
	}
	m.snapshotOutdated = true
}

// SetMachineTypes takes in the cloud's catalogue.
func (l *Leader) SetMachineTypes(types []wire.MachineType) {
	if len(types) == 0 {
		return
	}
	if value := records.EncodeMachineTypes(types); len(value) <= l.valueLimit() && !bytes.Equal(value, l.catalogue) {
		l.catalogue = value
		l.writes.Background.Put(records.MachineTypesKey, value, nil)
	}
	l.offers = types
	for _, t := range types {
		l.types[t.Name] = t
	}
	for _, m := range l.machinesByName {
		l.setCapacity(m)
	}
	l.changed = true
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

// allocate counts a task that may be on a machine.
func (l *Leader) allocate(m *machine, j *job, index int32, a *attempt) {
	a.machine, a.job, a.index = m, j, index
	m.attempts = append(m.attempts, a)
	m.snapshotOutdated = true
	m.free = m.free.Add(j.request, -1)
	if t := l.teams[j.Team]; t != nil {
		t.used = t.used.Add(j.request, 1)
	}
	j.inZone[m.zone]++
	if j.allocations[index]++; j.allocations[index] == 1 {
		j.allocatedTasks++
	}
}

// release counts a task that certainly is no longer on its machine.
func (l *Leader) release(now time.Time, a *attempt) {
	m, j := a.machine, a.job
	i := slices.Index(m.attempts, a)
	if i < 0 {
		return
	}
	j.recordProgress(now, a)
	l.countInterruption(now, a)
	m.attempts = slices.Delete(m.attempts, i, i+1)
	m.snapshotOutdated = true
	m.free = m.free.Add(j.request, 1)
	if t := l.teams[j.Team]; t != nil {
		t.used = t.used.Add(j.request, -1)
	}
	if j.inZone[m.zone]--; j.inZone[m.zone] == 0 {
		delete(j.inZone, m.zone)
	}
	if a.state.hasImage() {
		j.running--
	}
	if len(m.attempts) == 0 {
		m.idleSince = now
	}
	l.unrecord(a)
	l.releaseTask(j, a.index)
}

// releaseAll drops every task of a machine whose session is over.
func (l *Leader) releaseAll(now time.Time, m *machine) {
	for len(m.attempts) > 0 {
		l.release(now, m.attempts[len(m.attempts)-1])
	}
	m.exited = nil
}

// acceptsWork reports whether a machine takes new tasks.
func (l *Leader) acceptsWork(now time.Time, m *machine) bool {
	return m.joined && m.reconciled && !m.releasing && !m.cordoned() &&
		m.total.CPUs > 0 && !now.Before(m.fullUntil) && !l.heartbeatOverdue(now, m)
}
