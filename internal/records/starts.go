package records

import (
	"encoding/json"

	"switchshore.example/switchshore/internal/intervals"
)

// Starts is the stored form of a start record, which names the tasks that may have been sent to each
// machine. It is written before the starts are sent, so that a successor knows which machine may
// have which task, and deleted when all of its attempts have ended. One record covers the starts of
// a scheduling pass, so that they need one change however many machines they go to.
//
// If several records name a task, only the one with the last key counts: a task is started again
// only after it is proved to be on no other machine.
type Starts struct {
	Machines []MachineStarts `json:"machines"`
}

// MachineStarts is the part of a start record for one machine.
type MachineStarts struct {
	ID   string `json:"id"`
	Type string `json:"type"`
	Zone string `json:"zone"`
	Spot bool   `json:"spot,omitempty"`
	// Tasks maps job IDs to task indexes in the format of package intervals.
	Tasks map[string]string `json:"tasks"`
}

// Encode returns the stored form of the record.
func (s *Starts) Encode() json.RawMessage { return encode(s) }

// DecodeStarts decodes a start record.
func DecodeStarts(value json.RawMessage) (*Starts, error) {
	starts := &Starts{}
	if err := json.Unmarshal(value, starts); err != nil {
		return nil, err
	}
	return starts, nil
}

// DecodeMachineStarts decodes a record of kind KindMachineStarts, which earlier versions write for
// each machine. id is the machine's ID.
func DecodeMachineStarts(id string, value json.RawMessage) (*Starts, error) {
	var machine MachineStarts
	if err := json.Unmarshal(value, &machine); err != nil {
		return nil, err
	}
	machine.ID = id
	return &Starts{Machines: []MachineStarts{machine}}, nil
}

// SetTasks sets the tasks of a job. Their indexes must be in ascending order.
func (m *MachineStarts) SetTasks(jobID string, sorted []int) {
	if m.Tasks == nil {
		m.Tasks = map[string]string{}
	}
	m.Tasks[jobID] = intervals.FormatList(sorted)
}

// Upper bounds, in bytes, for the parts of an encoded start record, not counting IDs and names of
// types and zones.
const (
	startsOverheadBytes  = 32
	machineOverheadBytes = 72
	jobOverheadBytes     = 8
	taskIndexBytes       = 8
)

// StartsSize is an upper bound for the encoded size of a start record to which attempts are added.
type StartsSize struct {
	bytes    int
	machines map[string]map[string]bool // sets of job IDs by machine ID
}

// NewStartsSize returns the size of an empty record.
func NewStartsSize() StartsSize {
	return StartsSize{bytes: startsOverheadBytes, machines: map[string]map[string]bool{}}
}

// Bytes returns the upper bound in bytes.
func (s *StartsSize) Bytes() int { return s.bytes }

// BytesWith returns the upper bound in bytes after one more attempt of a job on a machine.
func (s *StartsSize) BytesWith(machine MachineStarts, jobID string) int {
	bound := s.bytes + taskIndexBytes
	jobs := s.machines[machine.ID]
	if jobs == nil {
		bound += len(machine.ID) + len(machine.Type) + len(machine.Zone) + machineOverheadBytes
	}
	if !jobs[jobID] {
		bound += len(jobID) + jobOverheadBytes
	}
	return bound
}

// Add counts one more attempt of a job on a machine.
func (s *StartsSize) Add(machine MachineStarts, jobID string) {
	s.bytes = s.BytesWith(machine, jobID)
	if s.machines[machine.ID] == nil {
		s.machines[machine.ID] = map[string]bool{}
	}
	s.machines[machine.ID][jobID] = true
}
