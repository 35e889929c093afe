package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	fast "github.com/goccy/go-json"
)

// MaxTasks is the largest task count of a job.
const MaxTasks = 100_000

// MaxIDLength keeps job ids usable inside keys of the state service (200
// bytes at most) together with the prefixes and chunk numbers put around them.
const MaxIDLength = 160

// jobFields mirrors Job with pointers, to tell a missing field from a zero one.
type jobFields struct {
	ID          *string   `json:"ref"`
	Class       *string   `json:"muster"`
	Team        *string   `json:"crew"`
	Kind        *string   `json:"rig"`
	Priority    *string   `json:"rank"`
	Tasks       *int      `json:"oars"`
	CPUs        *float64  `json:"cores"`
	GPUs        *float64  `json:"cards"`
	MemoryGB    *float64  `json:"memoryGb"`
	Image       *string   `json:"hull"`
	ImageGB     *float64  `json:"imageGb"`
	Types       *[]string `json:"builds"`
	Zone        *string   `json:"berth"`
	OneZone     *bool     `json:"together"`
	Spread      *bool     `json:"apart"`
	Spot        *bool     `json:"driftwood"`
	EstimateS   *float64  `json:"reckonS"`
	CheckpointS *float64  `json:"loglineS"`
	SaveS       *float64  `json:"stowS"`
	DeadlineS   *float64  `json:"tideS"`
	Needs       []*string `json:"awaits"`
}

// ValidID reports whether a job id has the protocol's form.
func ValidID(id string) bool {
	const prefix = "job-"
	if len(id) <= len(prefix) || len(id) > MaxIDLength || id[:len(prefix)] != prefix {
		return false
	}
	for _, c := range id[len(prefix):] {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// FieldError is a field of a submission, or of settings, that is missing or invalid.
type FieldError struct {
	Field  string
	Reason string
}

func (e *FieldError) Error() string { return "field " + e.Field + ": " + e.Reason }

// fieldReader reads the fields of a submission and keeps the first error.
type fieldReader struct {
	err *FieldError
}

func (r *fieldReader) fail(field, reason string) {
	if r.err == nil {
		r.err = &FieldError{field, reason}
	}
}

func (r *fieldReader) text(field string, value *string) string {
	if value == nil || *value == "" {
		r.fail(field, "missing")
		return ""
	}
	return *value
}

func (r *fieldReader) flag(field string, value *bool) bool {
	if value == nil {
		r.fail(field, "missing")
		return false
	}
	return *value
}

// number reads an amount that is not negative.
func (r *fieldReader) number(field string, value *float64) float64 {
	if value == nil {
		r.fail(field, "missing")
		return 0
	}
	if *value < 0 || math.IsInf(*value, 0) || math.IsNaN(*value) {
		r.fail(field, "must not be negative")
	}
	return *value
}

// positive reads an amount above zero.
func (r *fieldReader) positive(field string, value *float64) float64 {
	n := r.number(field, value)
	if value != nil && n == 0 {
		r.fail(field, "must be above zero")
	}
	return n
}

func (r *fieldReader) tasks(field string, value *int) int {
	if value == nil {
		r.fail(field, "missing")
		return 0
	}
	if *value < 1 || *value > MaxTasks {
		r.fail(field, "out of range")
	}
	return *value
}

// optional reads a text that may be left out, but not empty.
func (r *fieldReader) optional(field string, value *string) string {
	if value == nil {
		return ""
	}
	if *value == "" {
		r.fail(field, "empty")
	}
	return *value
}

func (r *fieldReader) types(field string, value *[]string) []string {
	if value == nil {
		return nil
	}
	if len(*value) == 0 {
		r.fail(field, "empty")
	}
	return *value
}

func (r *fieldReader) deadline(field string, value *float64) *float64 {
	if value == nil {
		return nil
	}
	seconds := r.number(field, value)
	return &seconds
}

// distinct reads a list of texts, each of them once.
func (r *fieldReader) distinct(field string, values []*string) []string {
	var list []string
	seen := map[string]bool{}
	for _, value := range values {
		switch {
		case value == nil:
			r.fail(field, "not a list of strings")
		case !seen[*value]:
			seen[*value] = true
			list = append(list, *value)
		}
	}
	return list
}

// ParseJob decodes and checks a submission; any error means 400.
func ParseJob(body []byte) (*Job, error) {
	var f *jobFields
	if err := json.Unmarshal(body, &f); err != nil {
		return nil, fmt.Errorf("malformed: %w", err)
	}
	if f == nil {
		return nil, errors.New("malformed: not an object")
	}
	var r fieldReader
	j := &Job{
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
		Spread:              r.flag("apart", f.Spread),
		Spot:                r.flag("driftwood", f.Spot),
		EstimateS:           r.number("reckonS", f.EstimateS),
		CheckpointIntervalS: r.number("loglineS", f.CheckpointS),
		CheckpointSaveS:     r.number("stowS", f.SaveS),
		Tasks:               r.tasks("oars", f.Tasks),
		Types:               r.types("builds", f.Types),
		Zone:                r.optional("berth", f.Zone),
		DeadlineS:           r.deadline("tideS", f.DeadlineS),
		DependsOn:           r.distinct("awaits", f.Needs),
	}
	if !ValidID(j.ID) {
		r.fail("ref", "not a job id")
	}
	if j.Kind != KindArray {
		r.fail("rig", "unknown")
	}
	if PriorityRank(j.Priority) < 0 {
		r.fail("rank", "unknown")
	}
	if r.err != nil {
		return nil, r.err
	}
	return j, nil
}

// ParseReport decodes and checks a worker's report; any error means 400.
func ParseReport(body []byte) (*Heartbeat, error) {
	if !json.Valid(body) {
		return nil, errors.New("malformed: not JSON")
	}
	var r Heartbeat
	// Some hundred reports a second arrive: the faster decoder, behind the
	// strict check.
	if err := fast.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("malformed: %w", err)
	}
	switch {
	case r.Machine == "":
		return nil, errors.New("field deck: missing")
	case r.AgentEpoch == 0:
		return nil, errors.New("field watch: missing")
	}
	return &r, nil
}
