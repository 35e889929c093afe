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

// ParseJob decodes and checks a submission; any error means 400.
func ParseJob(body []byte) (*Job, error) {
	var f *jobFields
	if err := json.Unmarshal(body, &f); err != nil {
		return nil, fmt.Errorf("malformed: %w", err)
	}
	if f == nil {
		return nil, errors.New("malformed: not an object")
	}
	var bad error
	fail := func(name, what string) {
		if bad == nil {
			bad = fmt.Errorf("field %s: %s", name, what)
		}
	}
	text := func(name string, p *string) string {
		if p == nil || *p == "" {
			fail(name, "missing")
			return ""
		}
		return *p
	}
	flag := func(name string, p *bool) bool {
		if p == nil {
			fail(name, "missing")
			return false
		}
		return *p
	}
	number := func(name string, p *float64, positive bool) float64 {
		switch {
		case p == nil:
			fail(name, "missing")
			return 0
		case *p < 0 || math.IsInf(*p, 0) || math.IsNaN(*p):
			fail(name, "must not be negative")
		case positive && *p == 0:
			fail(name, "must be above zero")
		}
		return *p
	}
	j := &Job{
		ID:          text("ref", f.ID),
		Class:       text("muster", f.Class),
		Team:        text("crew", f.Team),
		Kind:        text("rig", f.Kind),
		Priority:    text("rank", f.Priority),
		CPUs:        number("cores", f.CPUs, true),
		GPUs:        number("cards", f.GPUs, false),
		MemoryGB:    number("memoryGb", f.MemoryGB, false),
		Image:       text("hull", f.Image),
		ImageGB:     number("imageGb", f.ImageGB, false),
		OneZone:     flag("together", f.OneZone),
		Spread:      flag("apart", f.Spread),
		Spot:        flag("driftwood", f.Spot),
		EstimateS:   number("reckonS", f.EstimateS, false),
		CheckpointS: number("loglineS", f.CheckpointS, false),
		SaveS:       number("stowS", f.SaveS, false),
	}
	if bad == nil && !ValidID(j.ID) {
		fail("ref", "not a job id")
	}
	if f.Tasks == nil {
		fail("oars", "missing")
	} else if j.Tasks = *f.Tasks; j.Tasks < 1 || j.Tasks > MaxTasks {
		fail("oars", "out of range")
	}
	if j.Kind != KindArray {
		fail("rig", "unknown")
	}
	if Level(j.Priority) < 0 {
		fail("rank", "unknown")
	}
	if f.Types != nil {
		j.Types = *f.Types
		if len(j.Types) == 0 {
			fail("builds", "empty")
		}
	}
	if f.Zone != nil {
		if j.Zone = *f.Zone; j.Zone == "" {
			fail("berth", "empty")
		}
	}
	if f.DeadlineS != nil {
		d := number("tideS", f.DeadlineS, false)
		j.DeadlineS = &d
	}
	named := map[string]bool{}
	for _, need := range f.Needs {
		switch {
		case need == nil:
			fail("awaits", "not a list of strings")
		case !named[*need]:
			named[*need] = true
			j.Needs = append(j.Needs, *need)
		}
	}
	if bad != nil {
		return nil, bad
	}
	return j, nil
}

// ParseReport decodes and checks a worker's report; any error means 400.
func ParseReport(body []byte) (*Report, error) {
	if !json.Valid(body) {
		return nil, errors.New("malformed: not JSON")
	}
	var r Report
	// Some hundred reports a second arrive: the faster decoder, behind the
	// strict check.
	if err := fast.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("malformed: %w", err)
	}
	switch {
	case r.Machine == "":
		return nil, errors.New("field deck: missing")
	case r.Session == 0:
		return nil, errors.New("field watch: missing")
	}
	return &r, nil
}
