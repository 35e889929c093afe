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
	"switchshore.example/switchshore/internal/tuning"
)

// drainsElement is the element that turns drains on, as it is written.
type drainsElement struct {
	Window  string          `xml:"windowSeconds,attr"`
	Attrs   []xml.Attr      `xml:",any,attr"`
	Budgets []budgetElement `xml:"budget"`
	Other   []struct {
		XMLName xml.Name
	} `xml:",any"`
}

// budgetElement is the budget of a team, or of all that have none of their own.
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
		return nil, &FieldError{Field: "drains/" + e.Other[0].XMLName.Local, Reason: "unknown element"}
	case len(e.Attrs) > 0:
		return nil, &FieldError{Field: "drains/" + e.Attrs[0].Name.Local, Reason: "unknown attribute"}
	}
	b := &drain.Budgets{Window: tuning.DrainWindow, Teams: map[string]drain.Budget{}, Default: drain.Budget{
		MaxUnavailable: tuning.DrainMaxUnavailable, Evictions: tuning.DrainMaxEvictions, LostS: tuning.DrainMaxLostTime.Seconds(),
	}}
	window, err := amount("drains/windowSeconds", e.Window)
	if err != nil {
		return nil, err
	}
	if e.Window != "" {
		b.Window = time.Duration(window * float64(time.Second))
	}
	if b.Window < tuning.DrainWindowMin || b.Window > tuning.DrainWindowMax {
		return nil, &FieldError{Field: "drains/windowSeconds", Reason: fmt.Sprintf("must be %g to %g", tuning.DrainWindowMin.Seconds(), tuning.DrainWindowMax.Seconds())}
	}
	general := b.Default
	for _, element := range e.Budgets {
		if element.Team == "" {
			if general, err = element.parse("drains/budget", b.Default); err != nil {
				return nil, err
			}
		}
	}
	b.Default = general
	for _, element := range e.Budgets {
		if err := element.addTo(b, p); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// addTo adds a team's own budget.
func (e *budgetElement) addTo(b *drain.Budgets, p *Params) error {
	if e.Team == "" {
		return nil
	}
	field := fmt.Sprintf("drains/budget[%s]", e.Team)
	if !slices.Contains(p.teamNames(), e.Team) {
		return &FieldError{Field: field + "/team", Reason: "not in the platform's settings"}
	}
	if _, twice := b.Teams[e.Team]; twice {
		return &FieldError{Field: field, Reason: "given twice"}
	}
	own, err := e.parse(field, b.Default)
	b.Teams[e.Team] = own
	return err
}

// parse reads a budget; what it leaves out is as in another one.
func (e *budgetElement) parse(field string, budget drain.Budget) (drain.Budget, error) {
	if len(e.Attrs) > 0 {
		return budget, &FieldError{Field: field + "/" + e.Attrs[0].Name.Local, Reason: "unknown attribute"}
	}
	for _, number := range []struct {
		name, text string
		to         *int
	}{{"maxUnavailable", e.MaxUnavailable, &budget.MaxUnavailable}, {"evictions", e.Evictions, &budget.Evictions}} {
		if number.text == "" {
			continue
		}
		value, err := strconv.Atoi(strings.TrimSpace(number.text))
		if err != nil {
			return budget, &FieldError{Field: field + "/" + number.name, Reason: "must be a whole number"}
		}
		*number.to = value
	}
	if e.LostSeconds != "" {
		value, err := strconv.ParseFloat(strings.TrimSpace(e.LostSeconds), 64)
		if err != nil || math.IsNaN(value) {
			return budget, &FieldError{Field: field + "/lostSeconds", Reason: "not a number"}
		}
		budget.LostS = value
	}
	if err := budget.Validate(); err != nil {
		var bad *FieldError
		if errors.As(err, &bad) {
			return budget, &FieldError{Field: field + "/" + bad.Field, Reason: bad.Reason}
		}
		return budget, err
	}
	return budget, nil
}
