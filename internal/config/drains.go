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

// drainsElement is the XML element that turns drains on.
type drainsElement struct {
	Window  string          `xml:"windowSeconds,attr"`
	Attrs   []xml.Attr      `xml:",any,attr"`
	Budgets []budgetElement `xml:"budget"`
	Other   []struct {
		XMLName xml.Name
	} `xml:",any"`
}

// budgetElement is the XML element of a team's budget, or of the default budget if it
// names no team.
type budgetElement struct {
	Team           string     `xml:"team,attr"`
	MaxUnavailable string     `xml:"maxUnavailable,attr"`
	Evictions      string     `xml:"evictions,attr"`
	LostSeconds    string     `xml:"lostSeconds,attr"`
	Attrs          []xml.Attr `xml:",any,attr"`
}

// parse parses the element and checks it against the deployment's teams. Without an
// element, it returns nil: drains are off.
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
	window, err := e.parseWindow()
	if err != nil {
		return nil, err
	}
	b := &drain.Budgets{Window: window, Teams: map[string]drain.Budget{}}
	if b.Default, err = e.parseDefaultBudget(); err != nil {
		return nil, err
	}
	for _, element := range e.Budgets {
		if err := element.addTo(b, p); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// parseWindow parses the window of the budgets and checks its bounds.
func (e *drainsElement) parseWindow() (time.Duration, error) {
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

// parseDefaultBudget returns the budget of teams without a budget of their own. If several
// elements name no team, the last one applies.
func (e *drainsElement) parseDefaultBudget() (drain.Budget, error) {
	defaults := drain.Budget{
		MaxUnavailable: tuning.DrainMaxUnavailable, Evictions: tuning.DrainMaxEvictions, LostS: tuning.DrainMaxLostTime.Seconds(),
	}
	budget := defaults
	for _, element := range e.Budgets {
		if element.Team != "" {
			continue
		}
		var err error
		if budget, err = element.parse("drains/budget", defaults); err != nil {
			return drain.Budget{}, err
		}
	}
	return budget, nil
}

// addTo adds a team's budget to b. It ignores an element that names no team.
func (e *budgetElement) addTo(b *drain.Budgets, p *Params) error {
	if e.Team == "" {
		return nil
	}
	field := fmt.Sprintf("drains/budget[%s]", e.Team)
	if !slices.Contains(p.teamNames(), e.Team) {
		return &FieldError{Field: field + "/team", Reason: reasonNotInSettings}
	}
	if _, duplicate := b.Teams[e.Team]; duplicate {
		return &FieldError{Field: field, Reason: reasonDuplicate}
	}
	budget, err := e.parse(field, b.Default)
	b.Teams[e.Team] = budget
	return err
}

// parse parses the element into budget, which has the values for omitted attributes.
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
	return budget, prefixField(field, budget.Validate())
}

// parseCount parses a whole number into target. An empty text leaves target unchanged.
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

// prefixField prepends the path of the element to the field of a FieldError. Other
// errors are returned unchanged.
func prefixField(path string, err error) error {
	var fieldErr *FieldError
	if errors.As(err, &fieldErr) {
		return &FieldError{Field: path + "/" + fieldErr.Field, Reason: fieldErr.Reason}
	}
	return err
}
