package drain

import (
	"encoding/json"
	"fmt"
	"time"
)

// Attempt is the attempt of a task that is evicted; attempt numbers are never reused.
type Attempt struct {
	Job    string `json:"job"`
	Index  int32  `json:"index"`
	Number uint64 `json:"attempt"`
}

// Usage is the part of a budget that is used.
type Usage struct {
	Evictions int     `json:"evictions"`
	LostS     float64 `json:"lostS"`
}

// Charge is the stored form of evictions decided together. It is durable before the first of
// the stops is sent, so that the next leader knows what is used of the budgets, and which
// stops have been charged already.
type Charge struct {
	Drain    string           `json:"drain"`
	AtMS     int64            `json:"at"` // milliseconds of the time of day
	Teams    map[string]Usage `json:"teams"`
	Attempts []Attempt        `json:"attempts"`
}

// attemptBytes is the largest size of an attempt in a charge without the job's ID,
// teamBytes that of a team's usage without its name, chargeBytes that of the rest.
const (
	attemptBytes = 64
	teamBytes    = 64
	chargeBytes  = 160
)

// NewCharge returns an empty charge of a drain.
func NewCharge(name string, now time.Time) *Charge {
	return &Charge{Drain: name, AtMS: now.UnixMilli(), Teams: map[string]Usage{}}
}

// Add adds an eviction unless the stored form would be larger than limit bytes, and reports
// whether it did.
func (c *Charge) Add(e Candidate, limit int) bool {
	attempts := (len(c.Attempts) + 1) * (attemptBytes + len(e.Attempt.Job))
	teams := (len(c.Teams) + 1) * (teamBytes + len(e.Team))
	if chargeBytes+attempts+teams > limit {
		return false
	}
	usage := c.Teams[e.Team]
	usage.Evictions++
	usage.LostS += e.LossS
	c.Teams[e.Team] = usage
	c.Attempts = append(c.Attempts, e.Attempt)
	return true
}

// Encode returns the stored form.
func (c *Charge) Encode() json.RawMessage {
	value, _ := json.Marshal(c) // its numbers are finite, as budgets bound them
	return value
}

// DecodeCharge reads the stored form. The error is ErrUnreadable.
func DecodeCharge(value []byte) (*Charge, error) {
	c := &Charge{}
	if err := json.Unmarshal(value, c); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	for team, usage := range c.Teams {
		if usage.Evictions < 0 || usage.LostS < 0 {
			return nil, fmt.Errorf("%w: %s has used less than nothing", ErrUnreadable, team)
		}
	}
	return c, nil
}
