package machines

import (
	"switchshore.example/switchshore/internal/records"
)

// NewStartsRecord returns the machine's part of a start record, without starts.
func (m *Machine) NewStartsRecord() records.MachineStarts {
	return records.MachineStarts{ID: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot}
}
