package leader

import (
	"time"

	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/wire"
)

// addMachine adds a machine that has not been known before.
func (l *Leader) addMachine(now time.Time, id, machineType, zone, addr string, spot bool) *machines.Machine {
	m := machines.New(now, id, machineType, zone, addr, spot)
	l.machines.Add(m)
	l.drainer.ApplyCordon(m)
	l.setCapacity(m)
	return m
}

// machinesAndTypesKnown reports whether the machine types are known and a machine list has been
// applied.
func (l *Leader) machinesAndTypesKnown() bool {
	return l.MachineTypesKnown() && l.machineLists.appliedCount > 0
}

// setCapacity sets the machine's capacity if its type is known.
func (l *Leader) setCapacity(m *machines.Machine) {
	if l.catalogue.HasType(m.Type) {
		m.SetCapacity(placement.MachineCapacity(l.catalogue.Type(m.Type)))
	}
	m.MarkSnapshotOutdated()
}

// SetMachineTypes applies the machine types that the cloud offers, and queues the write of their
// record if they have changed and the record fits into one value. It ignores an empty list.
func (l *Leader) SetMachineTypes(types []wire.MachineType) {
	if len(types) == 0 {
		return
	}
	if value := records.EncodeMachineTypes(types); len(value) <= l.maxValueBytes() && l.catalogue.SetStoredTypes(value) {
		l.writes.Background.Put(records.MachineTypesKey, value, nil)
	}
	l.catalogue.SetOfferedTypes(types)
	for _, m := range l.machines.All() {
		l.setCapacity(m)
	}
	l.schedulingPassRequested = true
}

// releaseAttempt releases the allocation of an attempt. It may be called only when the task is
// certainly not on the machine, because the released task can start elsewhere.
func (l *Leader) releaseAttempt(now time.Time, a *machines.Attempt) {
	if !a.IsAllocated() {
		return
	}
	a.RecordProgress(now)
	l.drainer.RecordInterruption(now, a)
	lastOfTask := l.ledger.Release(now, a)
	l.completedStarts.remove(a)
	if lastOfTask {
		l.schedulingPassRequested = true
		l.removeIfUnreferenced(a.Job)
	}
}

// releaseAllAttempts releases all attempts on a machine that no longer exists.
func (l *Leader) releaseAllAttempts(now time.Time, m *machines.Machine) {
	for len(m.Attempts()) > 0 {
		l.releaseAttempt(now, m.Attempts()[len(m.Attempts())-1])
	}
	m.ClearExited()
}

// isSchedulable reports whether new tasks may be assigned to a machine.
func (l *Leader) isSchedulable(now time.Time, m *machines.Machine) bool {
	return m.IsSchedulable(now, &l.timing)
}
