package drain

import (
	"encoding/json"
	"fmt"
	"time"
)

// Attempt is a task's attempt that is evicted; numbers of attempts are never used again.
type Attempt struct {
	Job           string `json:"job"`
	Index         int32  `json:"index"`
	AttemptNumber uint64 `json:"attempt"`
}

// Usage is what of a budget is used.
type Usage struct {
	Evictions int     `json:"evictions"`
	LostS     float64 `json:"lostS"`
}

// Charge is the stored form of evictions decided together. It is durable before the first of
// the stops goes out, so that a successor knows what is used of the budgets, and which
// stops have been paid for already.
type Charge struct {
	Drain    string           `json:"drain"`
	At       int64            `json:"at"` // milliseconds of the time of day
	Teams    map[string]Usage `json:"teams"`
	Attempts []Attempt        `json:"attempts"`
}

// attemptBytes is the largest size of an attempt in a charge, the job's id aside;
// teamBytes that of a team's use, its name aside; chargeBytes that of the rest.
const (
	attemptBytes = 64
	teamBytes    = 64
	chargeBytes  = 160
)

// NewCharge is an empty charge of a drain.
func NewCharge(name string, now time.Time) *Charge {
	return &Charge{Drain: name, At: now.UnixMilli(), Teams: map[string]Usage{}}
}

// Add puts an eviction into the charge; false if the value would be larger than limit bytes.
func (c *Charge) Add(e Candidate, limit int) bool {
	size := chargeBytes + (len(c.Attempts)+1)*(attemptBytes+len(e.Attempt.Job)) + (len(c.Teams)+1)*(teamBytes+len(e.Team))
	if size > limit {
		return false
	}
	use := c.Teams[e.Team]
	use.Evictions++
	use.LostS += e.LossS
	c.Teams[e.Team] = use
	c.Attempts = append(c.Attempts, e.Attempt)
	return true
}

// Encode is the stored form.
func (c *Charge) Encode() json.RawMessage {
	value, _ := json.Marshal(c)
	return value
}

// DecodeCharge reads the stored form.
func DecodeCharge(value []byte) (*Charge, error) {
	c := &Charge{}
	if err := json.Unmarshal(value, c); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	for team, use := range c.Teams {
		if use.Evictions < 0 || use.LostS < 0 {
			return nil, fmt.Errorf("%w: %s has used less than nothing", ErrUnreadable, team)
		}
	}
	return c, nil
}
