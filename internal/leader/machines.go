package leader

import (
	"time"

	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/wire"
)

// addMachine adds a machine that is not known.
func (l *Leader) addMachine(now time.Time, id, typ, zone, addr string, spot bool) *machines.Machine {
	m := machines.New(now, id, typ, zone, addr, spot)
	l.machines.Add(m)
	l.drainer.ApplyCordon(m)
	l.setCapacity(m)
	return m
}

// machinesKnown reports whether the machine types are known and a machine list has been applied.
func (l *Leader) machinesKnown() bool { return l.CatalogueKnown() && l.lists.applied > 0 }

// setCapacity sets the machine's capacity once its type is known.
func (l *Leader) setCapacity(m *machines.Machine) {
	if l.catalogue.HasType(m.Type) {
		m.SetCapacity(placement.MachineCapacity(l.catalogue.Type(m.Type)))
	}
	m.MarkSnapshotOutdated()
}

// SetMachineTypes applies the cloud's catalogue.
func (l *Leader) SetMachineTypes(types []wire.MachineType) {
	if len(types) == 0 {
		return
	}
	if value := records.EncodeMachineTypes(types); len(value) <= l.valueLimit() && l.catalogue.SetStored(value) {
		l.writes.Background.Put(records.MachineTypesKey, value, nil)
	}
	l.catalogue.Update(types)
	for _, m := range l.machines.All() {
		l.setCapacity(m)
	}
	l.changed = true
}

// release counts an attempt no more whose task certainly is no longer on its machine.
func (l *Leader) release(now time.Time, a *machines.Attempt) {
	if !a.IsAllocated() {
		return
	}
	a.RecordProgress(now)
	l.drainer.RecordInterruption(now, a)
	last := l.ledger.Release(now, a)
	l.starts.Remove(a)
	if last {
		l.changed = true
		l.removeIfFinished(a.Job)
	}
}

// releaseAll releases all attempts on a machine that no longer exists.
func (l *Leader) releaseAll(now time.Time, m *machines.Machine) {
	for len(m.Attempts()) > 0 {
		l.release(now, m.Attempts()[len(m.Attempts())-1])
	}
	m.ClearExited()
}

// acceptsWork reports whether a machine takes new tasks.
func (l *Leader) acceptsWork(now time.Time, m *machines.Machine) bool {
	return m.IsSchedulable(now, &l.timing)
}
