package config

import (
	"encoding/xml"
	"fmt"
	"slices"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/tuning"
)

// Admission has the operators' settings for the shares of teams under overload.
type Admission struct {
	Teams []AdmissionShare
}

// AdmissionShare is the weight and floor of a team, or of a class within a team; zero
// is the default.
type AdmissionShare struct {
	Name    string
	Weight  float64
	Floor   float64
	Classes []AdmissionShare
}

// admissionElement is the XML element of the admission settings.
type admissionElement struct {
	Teams []shareElement `xml:"team"`
	Other []struct {
		XMLName xml.Name
	} `xml:",any"`
}

// shareElement is the XML element of a team or a class.
type shareElement struct {
	Name    string         `xml:"name,attr"`
	Weight  string         `xml:"weight,attr"`
	Floor   string         `xml:"floor,attr"`
	Classes []shareElement `xml:"class"`
	Other   []struct {
		XMLName xml.Name
	} `xml:",any"`
}

// maxWeight bounds weights: larger ones are probably typing errors.
const maxWeight = 1000

// parse parses the element and checks it against the deployment's teams and classes.
// Without an element, it returns nil: admission control is off.
func (e *admissionElement) parse(p *Params) (*Admission, error) {
	if e == nil {
		return nil, nil
	}
	if len(e.Other) > 0 {
		return nil, &FieldError{Field: "admission/" + e.Other[0].XMLName.Local, Reason: reasonUnknownElement}
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
				return nil, &FieldError{Field: field + "/class", Reason: reasonUnknownElement}
			}
		}
	}
	return &Admission{Teams: shares}, nil
}

// parseShares parses the shares of teams or classes. Each must have one of the known names,
// no name may occur twice, and the sum of the floors is at most maxFloors.
func parseShares(field string, elements []shareElement, known []string, maxFloors float64) ([]AdmissionShare, error) {
	var shares []AdmissionShare
	seen := map[string]bool{}
	floors := 0.0
	for _, e := range elements {
		path := fmt.Sprintf("%s[%s]", field, e.Name)
		switch {
		case len(e.Other) > 0:
			return nil, &FieldError{Field: path + "/" + e.Other[0].XMLName.Local, Reason: reasonUnknownElement}
		case !slices.Contains(known, e.Name):
			return nil, &FieldError{Field: path + "/name", Reason: reasonNotInSettings}
		case seen[e.Name]:
			return nil, &FieldError{Field: path, Reason: reasonDuplicate}
		}
		seen[e.Name] = true
		share, err := e.parseShare(path)
		if err != nil {
			return nil, err
		}
		if floors += share.Floor; floors > maxFloors {
			return nil, &FieldError{Field: path + "/floor", Reason: fmt.Sprintf("floors must not sum up to more than %g", maxFloors)}
		}
		shares = append(shares, share)
	}
	return shares, nil
}

// parseShare parses the weight and the floor of one team or class.
func (e *shareElement) parseShare(field string) (AdmissionShare, error) {
	weight, err := parseAmount(field+"/weight", e.Weight)
	if err != nil {
		return AdmissionShare{}, err
	}
	if e.Weight != "" && weight == 0 || weight > maxWeight {
		return AdmissionShare{}, &FieldError{Field: field + "/weight", Reason: fmt.Sprintf("must be above 0 and at most %d", maxWeight)}
	}
	floor, err := parseAmount(field+"/floor", e.Floor)
	if err != nil {
		return AdmissionShare{}, err
	}
	return AdmissionShare{Name: e.Name, Weight: weight, Floor: floor}, nil
}

func (p *Params) teamNames() []string {
	names := make([]string, len(p.Teams))
	for i, t := range p.Teams {
		names[i] = t.Name
	}
	return names
}

// Classes returns the names of the classes that have objectives, without duplicates.
func (p *Params) Classes() []string {
	var names []string
	for _, o := range p.Objectives {
		if o.Class != "" && !slices.Contains(names, o.Class) {
			names = append(names, o.Class)
		}
	}
	return names
}

// AdmissionSettings returns the settings of admission control, or nil if it is off.
func (o *OperatorSettings) AdmissionSettings(p *Params) *admission.Settings {
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
