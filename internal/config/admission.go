package config

import (
	"encoding/xml"
	"fmt"
	"slices"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/tuning"
)

// Admission is how the operators want submissions to be shared out under overload.
type Admission struct {
	Teams []AdmissionShare
}

// AdmissionShare is the weight and floor of a team, or of a class within one. Zero means
// the default.
type AdmissionShare struct {
	Name    string
	Weight  float64
	Floor   float64
	Classes []AdmissionShare
}

// admissionElement is the element as it is written.
type admissionElement struct {
	Teams []shareElement `xml:"team"`
	Other []struct {
		XMLName xml.Name
	} `xml:",any"`
}

type shareElement struct {
	Name    string         `xml:"name,attr"`
	Weight  string         `xml:"weight,attr"`
	Floor   string         `xml:"floor,attr"`
	Classes []shareElement `xml:"class"`
	Other   []struct {
		XMLName xml.Name
	} `xml:",any"`
}

// maxWeight bounds weights: more than that is a slip.
const maxWeight = 1000

// parse checks the element against the deployment's teams and classes.
func (e *admissionElement) parse(p *Params) (*Admission, error) {
	if e == nil {
		return nil, nil
	}
	if len(e.Other) > 0 {
		return nil, &FieldError{Field: "admission/" + e.Other[0].XMLName.Local, Reason: "unknown element"}
	}
	shares, err := parseShares("admission/team", e.Teams, p.teamNames(), tuning.AdmissionReservedShare)
	if err != nil {
		return nil, err
	}
	for i, team := range e.Teams {
		field := fmt.Sprintf("admission/team[%s]/class", team.Name)
		if shares[i].Classes, err = parseShares(field, team.Classes, p.Classes(), 1); err != nil {
			return nil, err
		}
		for _, class := range team.Classes {
			if len(class.Classes) > 0 {
				return nil, &FieldError{Field: field + "/class", Reason: "unknown element"}
			}
		}
	}
	return &Admission{Teams: shares}, nil
}

// parseShares reads teams or classes, each of the known ones at most once; their floors
// sum up to at most most.
func parseShares(field string, elements []shareElement, known []string, most float64) ([]AdmissionShare, error) {
	var shares []AdmissionShare
	seen := map[string]bool{}
	floors := 0.0
	for _, e := range elements {
		at := fmt.Sprintf("%s[%s]", field, e.Name)
		switch {
		case len(e.Other) > 0:
			return nil, &FieldError{Field: at + "/" + e.Other[0].XMLName.Local, Reason: "unknown element"}
		case !slices.Contains(known, e.Name):
			return nil, &FieldError{Field: at + "/name", Reason: "not in the platform's settings"}
		case seen[e.Name]:
			return nil, &FieldError{Field: at, Reason: "given twice"}
		}
		seen[e.Name] = true
		weight, err := amount(at+"/weight", e.Weight)
		if err != nil {
			return nil, err
		}
		if e.Weight != "" && weight == 0 || weight > maxWeight {
			return nil, &FieldError{Field: at + "/weight", Reason: fmt.Sprintf("must be above 0 and at most %d", maxWeight)}
		}
		floor, err := amount(at+"/floor", e.Floor)
		if err != nil {
			return nil, err
		}
		if floors += floor; floors > most {
			return nil, &FieldError{Field: at + "/floor", Reason: fmt.Sprintf("floors must not sum up to more than %g", most)}
		}
		shares = append(shares, AdmissionShare{Name: e.Name, Weight: weight, Floor: floor})
	}
	return shares, nil
}

// teamNames are the names of the teams.
func (p *Params) teamNames() []string {
	names := make([]string, len(p.Teams))
	for i, t := range p.Teams {
		names[i] = t.Name
	}
	return names
}

// Classes are the names of the classes that the objectives name, each once.
func (p *Params) Classes() []string {
	var names []string
	for _, o := range p.Objectives {
		if o.Class != "" && !slices.Contains(names, o.Class) {
			names = append(names, o.Class)
		}
	}
	return names
}

// AdmissionSettings are the settings of admission control, nil if it is off.
func (o *Operator) AdmissionSettings(p *Params) *admission.Settings {
	if o.Admission == nil {
		return nil
	}
	s := &admission.Settings{Classes: p.Classes(), WritesPerSecond: p.KVStore.WriteRPS * tuning.StoreWriteShare}
	for _, t := range p.Teams {
		team := admission.Team{Name: t.Name, GuaranteedCPUs: t.CPUs}
		for _, share := range o.Admission.Teams {
			if share.Name != t.Name {
				continue
			}
			team.Weight, team.Floor = share.Weight, share.Floor
			for _, c := range share.Classes {
				team.Classes = append(team.Classes, admission.Class{Name: c.Name, Weight: c.Weight, Floor: c.Floor})
			}
		}
		s.Teams = append(s.Teams, team)
	}
	return s
}
