package drain

import "time"

// Budget limits the disruption of a team's work by drains.
type Budget struct {
	// MaxUnavailable is the maximum number of the team's tasks that were interrupted and don't run
	// again yet. With 0, drains evict none of the team's tasks but wait until they end.
	MaxUnavailable int `json:"maxUnavailable" xml:"maxUnavailable" validate:"min=0,max=1000000"`
	// Evictions is the maximum number of interruptions within a window.
	Evictions int `json:"evictions" xml:"evictions" validate:"min=0,max=1000000"`
	// LostS is the maximum run time, in seconds, that interruptions may lose within a window.
	LostS float64 `json:"lostS" xml:"lostSeconds" validate:"min=0,max=100000000"`
}

// Validate checks that the fields are within their bounds. Its error is a FieldError.
func (b *Budget) Validate() error {
	if err := validate.Struct(b); err != nil {
		return fieldError(err)
	}
	return nil
}

// Budgets holds the budgets of all teams.
type Budgets struct {
	Window  time.Duration     // over which interruptions and lost run time are counted
	Default Budget            // of teams that are not in Teams
	Teams   map[string]Budget // by team name
}

// For returns the budget of a team.
func (b *Budgets) For(team string) Budget {
	if own, ok := b.Teams[team]; ok {
		return own
	}
	return b.Default
}
