package drain

import "time"

// Budget limits the disruption of a team's work by drains.
type Budget struct {
	// MaxUnavailable is the maximum number of interrupted tasks that don't run again yet. With 0,
	// drains evict none of the team's tasks and wait for them to end.
	MaxUnavailable int `json:"maxUnavailable" xml:"maxUnavailable" validate:"min=0,max=1000000"`
	// Evictions is the maximum number of interruptions in a window, LostS the maximum run time in
	// seconds lost to them.
	Evictions int     `json:"evictions" xml:"evictions" validate:"min=0,max=1000000"`
	LostS     float64 `json:"lostS" xml:"lostSeconds" validate:"min=0,max=100000000"`
}

// Validate checks that the fields are within their bounds. It returns a FieldError.
func (b *Budget) Validate() error {
	if err := validate.Struct(b); err != nil {
		return fieldError(err)
	}
	return nil
}

// Budgets has the budgets of all teams. Default applies to teams without a budget of their own.
type Budgets struct {
	Window  time.Duration
	Default Budget
	Teams   map[string]Budget
}

// For returns the budget of a team.
func (b *Budgets) For(team string) Budget {
	if own, ok := b.Teams[team]; ok {
		return own
	}
	return b.Default
}
