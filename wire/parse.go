package wire

import (
	"encoding/json"

	fastjson "github.com/goccy/go-json"
)

// jobFields has the fields of Job as pointers, to distinguish a missing field
// from a zero value. Don't rename it: encoding/json includes its name in the
// error for a value of the wrong type, which users see.
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

// ParseJob decodes and validates a submission. Its error is a MalformedError or a
// FieldError; the user gets status 400 for both.
func ParseJob(body []byte) (*Job, error) {
	var fields *jobFields
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, &MalformedError{Cause: err}
	}
	if fields == nil {
		return nil, &MalformedError{Cause: errNotObject}
	}
	var r fieldReader
	job := fields.toJob(&r)
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

// toJob validates each field on its own, in the order below, and returns the job.
func (f *jobFields) toJob(r *fieldReader) *Job {
	return &Job{
		ID:                  r.requiredString("ref", f.ID),
		Class:               r.requiredString("muster", f.Class),
		Team:                r.requiredString("crew", f.Team),
		Kind:                r.requiredString("rig", f.Kind),
		Priority:            r.requiredString("rank", f.Priority),
		CPUs:                r.positiveNumber("cores", f.CPUs),
		GPUs:                r.nonNegativeNumber("cards", f.GPUs),
		MemoryGB:            r.nonNegativeNumber("memoryGb", f.MemoryGB),
		Image:               r.requiredString("hull", f.Image),
		ImageGB:             r.nonNegativeNumber("imageGb", f.ImageGB),
		OneZone:             r.requiredBool("together", f.OneZone),
		SpreadZones:         r.requiredBool("apart", f.SpreadZones),
		Spot:                r.requiredBool("driftwood", f.Spot),
		EstimateS:           r.nonNegativeNumber("reckonS", f.EstimateS),
		CheckpointIntervalS: r.nonNegativeNumber("loglineS", f.CheckpointIntervalS),
		CheckpointSaveS:     r.nonNegativeNumber("stowS", f.CheckpointSaveS),
		Tasks:               r.taskCount("oars", f.Tasks),
		MachineTypes:        r.optionalList("builds", f.MachineTypes),
		Zone:                r.optionalString("berth", f.Zone),
		DeadlineS:           r.optionalNonNegativeNumber("tideS", f.DeadlineS),
		DependsOn:           r.distinctStrings("awaits", f.DependsOn),
	}
}

// ParseHeartbeat decodes and validates a worker's heartbeat. Its error is a
// MalformedError or a FieldError; the worker gets status 400 for both.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	if !json.Valid(body) {
		return nil, &MalformedError{Cause: errNotJSON}
	}
	var h Heartbeat
	// This decoder is faster than encoding/json, which matters at several
	// hundred heartbeats per second. It is less strict, so json.Valid has
	// checked the body first.
	if err := fastjson.Unmarshal(body, &h); err != nil {
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
