package machines

import (
	"switchshore.example/switchshore/internal/records"
)

// NewStartsRecord names the machine in a start record.
func (m *Machine) NewStartsRecord() records.MachineStarts {
	return records.MachineStarts{ID: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot}
}
