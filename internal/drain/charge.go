package drain

import (
	"encoding/json"
	"fmt"
	"time"
)

// Attempt identifies an evicted attempt of a task. Attempt numbers are never reused.
type Attempt struct {
	Job    string `json:"job"`
	Index  int32  `json:"index"`
	Number uint64 `json:"attempt"`
}

// Usage is the used part of a budget within a window.
type Usage struct {
	Evictions int     `json:"evictions"`
	LostS     float64 `json:"lostS"`
}

// Charge is the stored form of evictions chosen in one step. It is durable before the first of
// their stops is sent, so that the next leader knows the usage of the budgets and doesn't charge
// these stops again.
type Charge struct {
	Drain    string           `json:"drain"`
	AtMS     int64            `json:"at"` // Unix time in milliseconds
	Teams    map[string]Usage `json:"teams"`
	Attempts []Attempt        `json:"attempts"`
}

// Upper bounds of the encoded sizes of an attempt without its job's ID, of a team's usage without
// the team's name, and of the rest of a charge.
const (
	attemptBytes = 64
	teamBytes    = 64
	chargeBytes  = 160
)

// NewCharge returns an empty charge of a drain.
func NewCharge(drainName string, now time.Time) *Charge {
	return &Charge{Drain: drainName, AtMS: now.UnixMilli(), Teams: map[string]Usage{}}
}

// Add adds an eviction unless the stored form could then be larger than limit bytes, and reports
// whether it did.
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

// Encode returns the stored form.
func (c *Charge) Encode() json.RawMessage {
	value, _ := json.Marshal(c) // can't fail: the budgets keep all numbers finite
	return value
}

// DecodeCharge decodes the stored form. It returns errors that match ErrUnreadable.
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
