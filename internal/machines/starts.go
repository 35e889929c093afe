package machines

import (
	"switchshore.example/switchshore/internal/records"
)

// RecordIdentity names the machine in a start record.
func (m *Machine) RecordIdentity() records.MachineStarts {
	return records.MachineStarts{ID: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot}
}
