package machines

import (
	"switchshore.example/switchshore/internal/records"
)

// NewStartsRecord returns an empty start record of the machine.
func (m *Machine) NewStartsRecord() records.MachineStarts {
	return records.MachineStarts{ID: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot}
}
