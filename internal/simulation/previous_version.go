package simulation

import (
	"encoding/json"
	"regexp"
	"slices"
	"strings"

	"switchshore.example/switchshore/wire"
)

// This file describes how the last version without dependent jobs reads and writes stored records.
// It is frozen. The version's other rules are the same as the present ones, so a simulated node
// runs it by applying these filters to the records that its leader reads and writes.

// previousVersionJob is a job in the form in which the previous version stores it.
type previousVersionJob struct {
	ID          string   `json:"ref"`
	Class       string   `json:"muster"`
	Team        string   `json:"crew"`
	Kind        string   `json:"rig"`
	Priority    string   `json:"rank"`
	Tasks       int      `json:"oars"`
	CPUs        float64  `json:"cores"`
	GPUs        float64  `json:"cards"`
	MemoryGB    float64  `json:"memoryGb"`
	Image       string   `json:"hull"`
	ImageGB     float64  `json:"imageGb"`
	Types       []string `json:"builds"`
	Zone        string   `json:"berth,omitempty"`
	OneZone     bool     `json:"together"`
	Spread      bool     `json:"apart"`
	Spot        bool     `json:"driftwood"`
	EstimateS   float64  `json:"reckonS"`
	CheckpointS float64  `json:"loglineS"`
	SaveS       float64  `json:"stowS"`
	DeadlineS   *float64 `json:"tideS,omitempty"`
}

var (
	previousVersionPrefixes = []string{"c/types", "j/", "d/", "f/", "m/", "s/"}
	laterPrefixes           = []string{"n/", "e/", "b/"}
	previousVersionDoneKey  = regexp.MustCompile(`^d/[^/]+/[0-9]+$`)
)

// PreviousVersionReads returns a record as the previous version reads it, and false if that version
// ignores the record.
func PreviousVersionReads(item wire.KeyValue) (wire.KeyValue, bool) {
	known := func(prefix string) bool { return strings.HasPrefix(item.Key, prefix) }
	if !slices.ContainsFunc(previousVersionPrefixes, known) {
		return item, false
	}
	if strings.HasPrefix(item.Key, "j/") {
		var rec struct {
			Job previousVersionJob `json:"job"`
			At  int64              `json:"at"`
		}
		if json.Unmarshal(item.Value, &rec) == nil {
			item.Value, _ = json.Marshal(rec)
		}
	}
	return item, true
}

// PreviousVersionWrites returns those of a leader's changes that the previous version writes: it
// does not change keys that it does not know.
func PreviousVersionWrites(writes []wire.Mutation) []wire.Mutation {
	return slices.DeleteFunc(slices.Clone(writes), func(change wire.Mutation) bool {
		return previousVersionSkips(change.Key())
	})
}

// previousVersionSkips reports whether the previous version never writes a key.
func previousVersionSkips(key string) bool {
	if slices.ContainsFunc(laterPrefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) }) {
		return true
	}
	return strings.HasPrefix(key, "d/") && !previousVersionDoneKey.MatchString(key)
}

// PreviousVersionRefuses reports whether a call between nodes, as JSON, is incomplete for the
// previous version, which then responds with 503 at once.
func PreviousVersionRefuses(call []byte) bool {
	var c struct {
		Op     string           `json:"op"`
		Spec   *json.RawMessage `json:"spec"`
		Report *json.RawMessage `json:"report"`
	}
	if json.Unmarshal(call, &c) != nil {
		return true
	}
	return c.Op == "submit" && c.Spec == nil || c.Op == "report" && c.Report == nil
}
