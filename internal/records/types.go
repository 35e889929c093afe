package records

import (
	"encoding/json"

	"switchshore.example/switchshore/wire"
)

// EncodeMachineTypes returns the stored form of the cloud's machine types.
func EncodeMachineTypes(types []wire.MachineType) json.RawMessage { return encode(types) }

// DecodeMachineTypes decodes the stored form of the cloud's machine types.
func DecodeMachineTypes(value json.RawMessage) ([]wire.MachineType, error) {
	var types []wire.MachineType
	err := json.Unmarshal(value, &types)
	return types, err
}
