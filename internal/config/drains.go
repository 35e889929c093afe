package config

import (
	"encoding/xml"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/internal/tuning"
)

// drainsElement is the element that turns drains on, as written.
type drainsElement struct {
	Window  string          `xml:"windowSeconds,attr"`
	Attrs   []xml.Attr      `xml:",any,attr"`
	Budgets []budgetElement `xml:"budget"`
	Other   []struct {
		XMLName xml.Name
	} `xml:",any"`
}

// budgetElement is the budget of a team or, without one, the default, as written.
type budgetElement struct {
	Team           string     `xml:"team,attr"`
	MaxUnavailable string     `xml:"maxUnavailable,attr"`
	Evictions      string     `xml:"evictions,attr"`
	LostSeconds    string     `xml:"lostSeconds,attr"`
	Attrs          []xml.Attr `xml:",any,attr"`
}

// parse checks the element against the deployment's teams; nil is off.
func (e *drainsElement) parse(p *Params) (*drain.Budgets, error) {
	if e == nil {
		return nil, nil
	}
	switch {
	case len(e.Other) > 0:
		return nil, &FieldError{Field: "drains/" + e.Other[0].XMLName.Local, Reason: reasonUnknownElement}
	case len(e.Attrs) > 0:
		return nil, &FieldError{Field: "drains/" + e.Attrs[0].Name.Local, Reason: reasonUnknownAttribute}
	}
	window, err := e.window()
	if err != nil {
		return nil, err
	}
	b := &drain.Budgets{Window: window, Teams: map[string]drain.Budget{}}
	if b.Default, err = e.defaultBudget(); err != nil {
		return nil, err
	}
	for _, element := range e.Budgets {
		if err := element.addTo(b, p); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// window parses the window of the budgets.
func (e *drainsElement) window() (time.Duration, error) {
	const field = "drains/windowSeconds"
	amount, err := parseAmount(field, e.Window)
	if err != nil {
		return 0, err
	}
	window := tuning.DrainWindow
	if e.Window != "" {
		window = seconds.Duration(amount)
	}
	if window < tuning.DrainWindowMin || window > tuning.DrainWindowMax {
		reason := fmt.Sprintf("must be %g to %g", tuning.DrainWindowMin.Seconds(), tuning.DrainWindowMax.Seconds())
		return 0, &FieldError{Field: field, Reason: reason}
	}
	return window, nil
}

// defaultBudget parses the budget of the teams without one of their own; the last one counts.
func (e *drainsElement) defaultBudget() (drain.Budget, error) {
	builtIn := drain.Budget{
		MaxUnavailable: tuning.DrainMaxUnavailable, Evictions: tuning.DrainMaxEvictions, LostS: tuning.DrainMaxLostTime.Seconds(),
	}
	budget := builtIn
	for _, element := range e.Budgets {
		if element.Team != "" {
			continue
		}
		var err error
		if budget, err = element.parse("drains/budget", builtIn); err != nil {
			return drain.Budget{}, err
		}
	}
	return budget, nil
}

// addTo adds a team's own budget.
func (e *budgetElement) addTo(b *drain.Budgets, p *Params) error {
	if e.Team == "" {
		return nil
	}
	field := fmt.Sprintf("drains/budget[%s]", e.Team)
	if !slices.Contains(p.teamNames(), e.Team) {
		return &FieldError{Field: field + "/team", Reason: reasonNotInSettings}
	}
	if _, twice := b.Teams[e.Team]; twice {
		return &FieldError{Field: field, Reason: reasonTwice}
	}
	own, err := e.parse(field, b.Default)
	b.Teams[e.Team] = own
	return err
}

// parse parses a budget; what is left out is as in the default.
func (e *budgetElement) parse(field string, budget drain.Budget) (drain.Budget, error) {
	if len(e.Attrs) > 0 {
		return budget, &FieldError{Field: field + "/" + e.Attrs[0].Name.Local, Reason: reasonUnknownAttribute}
	}
	if err := parseCount(field+"/maxUnavailable", e.MaxUnavailable, &budget.MaxUnavailable); err != nil {
		return budget, err
	}
	if err := parseCount(field+"/evictions", e.Evictions, &budget.Evictions); err != nil {
		return budget, err
	}
	if e.LostSeconds != "" {
		value, err := strconv.ParseFloat(strings.TrimSpace(e.LostSeconds), 64)
		if err != nil || math.IsNaN(value) {
			return budget, &FieldError{Field: field + "/lostSeconds", Reason: reasonNotNumber}
		}
		budget.LostS = value
	}
	return budget, withinField(field, budget.Validate())
}

// parseCount parses a whole number into target, unless the text is empty.
func parseCount(field, text string, target *int) error {
	if text == "" {
		return nil
	}
	value, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil {
		return &FieldError{Field: field, Reason: reasonNotWhole}
	}
	*target = value
	return nil
}

// withinField puts the path of the element before the field of a FieldError.
func withinField(path string, err error) error {
	var invalid *FieldError
	if errors.As(err, &invalid) {
		return &FieldError{Field: path + "/" + invalid.Field, Reason: invalid.Reason}
	}
	return err
}
