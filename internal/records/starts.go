package records

import (
	"encoding/json"

	"switchshore.example/switchshore/internal/intervals"
)

// Starts is the stored form of the starts of a scheduling pass: which tasks may have been sent
// to which machine. It is written before the first of them is sent, so that a successor knows
// which machine to ask about which task, and deleted when none of its attempts is left. One
// change thus covers all starts of the pass, however many machines they go to.
//
// Records are ordered by their keys. If several name a task, the last one counts: a task is
// started again only when it is proved to be on no other machine.
type Starts struct {
	Machines []MachineStarts `json:"machines"`
}

// MachineStarts are the tasks that may have been sent to one machine.
type MachineStarts struct {
	ID   string `json:"id"`
	Type string `json:"type"`
	Zone string `json:"zone"`
	Spot bool   `json:"spot,omitempty"`
	// Tasks are ranges of task indexes by job, see package intervals.
	Tasks map[string]string `json:"tasks"`
}

// Encode returns the stored form.
func (s *Starts) Encode() json.RawMessage { return encode(s) }

// DecodeStarts decodes a start record.
func DecodeStarts(value json.RawMessage) (*Starts, error) {
	starts := &Starts{}
	if err := json.Unmarshal(value, starts); err != nil {
		return nil, err
	}
	return starts, nil
}

// DecodeMachineStarts decodes the record of a single machine, as written by earlier versions.
func DecodeMachineStarts(id string, value json.RawMessage) (*Starts, error) {
	var machine MachineStarts
	if err := json.Unmarshal(value, &machine); err != nil {
		return nil, err
	}
	machine.ID = id
	return &Starts{Machines: []MachineStarts{machine}}, nil
}

// SetTasks sets the tasks of a job from their ascending indexes.
func (m *MachineStarts) SetTasks(jobID string, sorted []int) {
	if m.Tasks == nil {
		m.Tasks = map[string]string{}
	}
	m.Tasks[jobID] = intervals.FormatList(sorted)
}

// Upper bounds, in bytes, of the parts of an encoded start record without the names in them.
const (
	startsOverheadBytes  = 32
	machineOverheadBytes = 72
	jobOverheadBytes     = 8
	taskIndexBytes       = 8
)

// StartsSize bounds the encoded size of a start record while attempts are added to it.
type StartsSize struct {
	bytes    int
	machines map[string]map[string]bool // jobs by machine
}

// NewStartsSize returns the size of an empty record.
func NewStartsSize() StartsSize {
	return StartsSize{bytes: startsOverheadBytes, machines: map[string]map[string]bool{}}
}

// Bytes returns the upper bound of the record's size.
func (s *StartsSize) Bytes() int { return s.bytes }

// BytesWith returns the upper bound with one more attempt of a job on a machine.
func (s *StartsSize) BytesWith(machine MachineStarts, jobID string) int {
	sum := s.bytes + taskIndexBytes
	jobs := s.machines[machine.ID]
	if jobs == nil {
		sum += len(machine.ID) + len(machine.Type) + len(machine.Zone) + machineOverheadBytes
	}
	if !jobs[jobID] {
		sum += len(jobID) + jobOverheadBytes
	}
	return sum
}

// Add counts one more attempt of a job on a machine.
func (s *StartsSize) Add(machine MachineStarts, jobID string) {
	s.bytes = s.BytesWith(machine, jobID)
	if s.machines[machine.ID] == nil {
		s.machines[machine.ID] = map[string]bool{}
	}
	s.machines[machine.ID][jobID] = true
}
