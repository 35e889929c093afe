package drain

import (
	"encoding/json"
	"fmt"
	"time"
)

// Attempt identifies an evicted attempt of a task.
type Attempt struct {
	Job    string `json:"job"`     // ID of the job
	Index  int32  `json:"index"`   // of the task within its job
	Number uint64 `json:"attempt"` // of the attempt; never reused
}

// Usage is the used part of a budget within a window.
type Usage struct {
	Evictions int     `json:"evictions"`
	LostS     float64 `json:"lostS"`
}

// Charge is the stored record of the evictions that a drain chose in one step and that count against
// the teams' budgets. It is durable before the first stop is sent. Otherwise a successor would not
// know how much of the budgets is used, and would charge the same stops again.
type Charge struct {
	Drain    string           `json:"drain"`
	AtMS     int64            `json:"at"` // Unix time in milliseconds
	Teams    map[string]Usage `json:"teams"`
	Attempts []Attempt        `json:"attempts"`
}

// Upper bounds of the sizes, in bytes, of the parts of an encoded charge.
const (
	attemptBytes = 64  // an attempt without the ID of its job
	teamBytes    = 64  // the usage of a team without the team's name
	chargeBytes  = 160 // everything except the attempts and the teams
)

// NewCharge returns an empty charge of a drain; now is the wall-clock time.
func NewCharge(drainName string, now time.Time) *Charge {
	return &Charge{Drain: drainName, AtMS: now.UnixMilli(), Teams: map[string]Usage{}}
}

// Add adds the eviction of a candidate and returns true. If the encoded charge could then be larger
// than maxBytes, it adds nothing and returns false.
func (c *Charge) Add(candidate Candidate, maxBytes int) bool {
	attempts := (len(c.Attempts) + 1) * (attemptBytes + len(candidate.Attempt.Job))
	teams := (len(c.Teams) + 1) * (teamBytes + len(candidate.Team))
	if chargeBytes+attempts+teams > maxBytes {
		return false
	}
	usage := c.Teams[candidate.Team]
	usage.Evictions++
	usage.LostS += candidate.LostS
	c.Teams[candidate.Team] = usage
	c.Attempts = append(c.Attempts, candidate.Attempt)
	return true
}

// Encode returns the charge as stored JSON.
func (c *Charge) Encode() json.RawMessage {
	value, _ := json.Marshal(c) // can't fail: the budgets keep all numbers finite
	return value
}

// DecodeCharge decodes a stored charge. Its errors match ErrUnreadable.
func DecodeCharge(value []byte) (*Charge, error) {
	c := &Charge{}
	if err := json.Unmarshal(value, c); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	for team, usage := range c.Teams {
		if usage.Evictions < 0 || usage.LostS < 0 {
			return nil, fmt.Errorf("%w: negative usage of team %s", ErrUnreadable, team)
		}
	}
	return c, nil
}
