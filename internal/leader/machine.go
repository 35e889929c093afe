package leader

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/wire"
)

func (l *Leader) addMachine(now time.Time, id, typ, zone, addr string, spot bool) *machines.Machine {
	m := machines.New(now, id, typ, zone, addr, spot)
	l.machines.Add(m)
	l.drainer.ApplyCordon(m)
	l.setCapacity(m)
	return m
}

// setCapacity fills in the amounts of the machine's type once it is known.
func (l *Leader) setCapacity(m *machines.Machine) {
	if l.catalogue.Has(m.Type) {
		m.SetTotal(machines.Resources(l.catalogue.Type(m.Type)))
	}
	m.SnapshotOutdated = true
}

// SetMachineTypes takes in the cloud's catalogue.
func (l *Leader) SetMachineTypes(types []wire.MachineType) {
	if len(types) == 0 {
		return
	}
	if value := records.EncodeMachineTypes(types); len(value) <= l.valueLimit() && l.catalogue.SetStored(value) {
		l.writes.Background.Put(records.MachineTypesKey, value, nil)
	}
	l.catalogue.Set(types)
	for _, m := range l.machines.All() {
		l.setCapacity(m)
	}
	l.changed = true
}

// allocate counts a task that may be on a machine.
func (l *Leader) allocate(a *machines.Attempt) {
	m, j := a.Machine, a.Job
	m.Attempts = append(m.Attempts, a)
	m.SnapshotOutdated = true
	m.Free = m.Free.Add(j.Request(), -1)
	if t := l.teams[j.Team]; t != nil {
		t.used = t.used.Add(j.Request(), 1)
	}
	j.Allocate(a.Index, m.Zone)
}

// release counts a task that certainly is no longer on its machine.
func (l *Leader) release(now time.Time, a *machines.Attempt) {
	m, j := a.Machine, a.Job
	i := slices.Index(m.Attempts, a)
	if i < 0 {
		return
	}
	a.SaveProgress(now)
	l.drainer.CountInterruption(now, a)
	m.Attempts = slices.Delete(m.Attempts, i, i+1)
	m.SnapshotOutdated = true
	m.Free = m.Free.Add(j.Request(), 1)
	if t := l.teams[j.Team]; t != nil {
		t.used = t.used.Add(j.Request(), -1)
	}
	if a.State().HasImage() {
		j.RemoveRunning()
	}
	if len(m.Attempts) == 0 {
		m.IdleSince = now
	}
	l.starts.Remove(a)
	if last := j.Release(a.Index, m.Zone); last {
		l.changed = true
		l.removeIfFinished(j)
	}
}

// releaseAll drops every task of a machine whose session is over.
func (l *Leader) releaseAll(now time.Time, m *machines.Machine) {
	for len(m.Attempts) > 0 {
		l.release(now, m.Attempts[len(m.Attempts)-1])
	}
	m.ClearExited()
}

// acceptsWork reports whether a machine takes new tasks.
func (l *Leader) acceptsWork(now time.Time, m *machines.Machine) bool {
	return m.AcceptsWork(now, &l.timing)
}
