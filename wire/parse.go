package wire

import (
	"encoding/json"

	fast "github.com/goccy/go-json"
)

// jobFields mirrors Job with pointers, to distinguish a missing field from a zero
// value. Users see its name: encoding/json includes it in the error for a value
// of the wrong type.
type jobFields struct {
	ID                  *string   `json:"ref"`
	Class               *string   `json:"muster"`
	Team                *string   `json:"crew"`
	Kind                *string   `json:"rig"`
	Priority            *string   `json:"rank"`
	Tasks               *int      `json:"oars"`
	CPUs                *float64  `json:"cores"`
	GPUs                *float64  `json:"cards"`
	MemoryGB            *float64  `json:"memoryGb"`
	Image               *string   `json:"hull"`
	ImageGB             *float64  `json:"imageGb"`
	MachineTypes        *[]string `json:"builds"`
	Zone                *string   `json:"berth"`
	OneZone             *bool     `json:"together"`
	SpreadZones         *bool     `json:"apart"`
	Spot                *bool     `json:"driftwood"`
	EstimateS           *float64  `json:"reckonS"`
	CheckpointIntervalS *float64  `json:"loglineS"`
	CheckpointSaveS     *float64  `json:"stowS"`
	DeadlineS           *float64  `json:"tideS"`
	DependsOn           []*string `json:"awaits"`
}

// ParseJob decodes and validates a submission. The error is a MalformedError or a
// FieldError; either stands for status 400.
func ParseJob(body []byte) (*Job, error) {
	var fields *jobFields
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, &MalformedError{Cause: err}
	}
	if fields == nil {
		return nil, &MalformedError{Cause: errNotObject}
	}
	var r fieldReader
	job := fields.read(&r)
	if !ValidID(job.ID) {
		r.fail("ref", "not a job id")
	}
	if job.Kind != KindArray {
		r.fail("rig", reasonUnknown)
	}
	if PriorityRank(job.Priority) < 0 {
		r.fail("rank", reasonUnknown)
	}
	if r.err != nil {
		return nil, r.err
	}
	return job, nil
}

// read validates each field by itself, in the order below, and returns the job.
func (f *jobFields) read(r *fieldReader) *Job {
	return &Job{
		ID:                  r.text("ref", f.ID),
		Class:               r.text("muster", f.Class),
		Team:                r.text("crew", f.Team),
		Kind:                r.text("rig", f.Kind),
		Priority:            r.text("rank", f.Priority),
		CPUs:                r.positive("cores", f.CPUs),
		GPUs:                r.number("cards", f.GPUs),
		MemoryGB:            r.number("memoryGb", f.MemoryGB),
		Image:               r.text("hull", f.Image),
		ImageGB:             r.number("imageGb", f.ImageGB),
		OneZone:             r.flag("together", f.OneZone),
		SpreadZones:         r.flag("apart", f.SpreadZones),
		Spot:                r.flag("driftwood", f.Spot),
		EstimateS:           r.number("reckonS", f.EstimateS),
		CheckpointIntervalS: r.number("loglineS", f.CheckpointIntervalS),
		CheckpointSaveS:     r.number("stowS", f.CheckpointSaveS),
		Tasks:               r.tasks("oars", f.Tasks),
		MachineTypes:        r.types("builds", f.MachineTypes),
		Zone:                r.optional("berth", f.Zone),
		DeadlineS:           r.deadline("tideS", f.DeadlineS),
		DependsOn:           r.distinct("awaits", f.DependsOn),
	}
}

// ParseHeartbeat decodes and validates a worker's heartbeat. The error is a
// MalformedError or a FieldError; either stands for status 400.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	if !json.Valid(body) {
		return nil, &MalformedError{Cause: errNotJSON}
	}
	var h Heartbeat
	// The faster decoder serves the several hundred heartbeats per second. It
	// is less strict, hence the check above.
	if err := fast.Unmarshal(body, &h); err != nil {
		return nil, &MalformedError{Cause: err}
	}
	switch {
	case h.Machine == "":
		return nil, &FieldError{Field: "deck", Reason: reasonMissing}
	case h.AgentEpoch == 0:
		return nil, &FieldError{Field: "watch", Reason: reasonMissing}
	}
	return &h, nil
}
