package drain

import "time"

// Budget bounds what drains may do to a team's work.
type Budget struct {
	// MaxUnavailable bounds the tasks that were interrupted and don't run again yet. With 0, drains
	// only wait for the team's tasks to end.
	MaxUnavailable int `json:"maxUnavailable" xml:"maxUnavailable" validate:"min=0,max=1000000"`
	// Evictions and LostS bound interrupted tasks and lost run time in each window.
	Evictions int     `json:"evictions" xml:"evictions" validate:"min=0,max=1000000"`
	LostS     float64 `json:"lostS" xml:"lostSeconds" validate:"min=0,max=100000000"`
}

// Validate checks the bounds of a budget. The error is a FieldError.
func (b *Budget) Validate() error {
	if err := validate.Struct(b); err != nil {
		return fieldError(err)
	}
	return nil
}

// Budgets are the budgets of all teams; Default is that of teams without one of their own.
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
