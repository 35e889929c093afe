package config

import (
	"encoding/xml"
	"fmt"
	"slices"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/tuning"
)

// Admission has the operators' settings for the division of new jobs among teams under
// overload. Teams that it doesn't list have the defaults.
type Admission struct {
	Teams []AdmissionShare
}

// AdmissionShare has the weight and floor of a team, or of a class within a team, as in
// admission.Team. Zero is the default.
type AdmissionShare struct {
	Name    string
	Weight  float64
	Floor   float64
	Classes []AdmissionShare
}

// admissionElement is the XML element of the admission settings. Other has the elements
// that are unknown and therefore rejected.
type admissionElement struct {
	Teams []shareElement `xml:"team"`
	Other []struct {
		XMLName xml.Name
	} `xml:",any"`
}

// shareElement is the XML element of a team, or of a class within a team element. A class
// element must have no Classes.
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

// parse parses the element, and checks that the deployment has the teams and classes. If e is
// nil, because the file has no such element, it returns nil: admission control is off.
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
		if shares[i].Classes, err = parseShares(field, team.Classes, p.ClassNames(), 1); err != nil {
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

// parseShares parses the elements of teams or classes, whose path in the file is field. Each
// element must have one of the known names, no name may occur twice, and the sum of the floors
// must be at most maxFloorSum.
func parseShares(field string, elements []shareElement, knownNames []string, maxFloorSum float64) ([]AdmissionShare, error) {
	var shares []AdmissionShare
	seen := map[string]bool{}
	floorSum := 0.0
	for _, e := range elements {
		path := fmt.Sprintf("%s[%s]", field, e.Name)
		switch {
		case len(e.Other) > 0:
			return nil, &FieldError{Field: path + "/" + e.Other[0].XMLName.Local, Reason: reasonUnknownElement}
		case !slices.Contains(knownNames, e.Name):
			return nil, &FieldError{Field: path + "/name", Reason: reasonNotInSettings}
		case seen[e.Name]:
			return nil, &FieldError{Field: path, Reason: reasonDuplicate}
		}
		seen[e.Name] = true
		share, err := e.parseShare(path)
		if err != nil {
			return nil, err
		}
		if floorSum += share.Floor; floorSum > maxFloorSum {
			return nil, &FieldError{Field: path + "/floor", Reason: fmt.Sprintf("floors must not sum up to more than %g", maxFloorSum)}
		}
		shares = append(shares, share)
	}
	return shares, nil
}

// parseShare parses the weight and the floor of one team or class, whose path in the file is
// field.
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

// ClassNames returns the names of the job classes that have objectives, without duplicates.
func (p *Params) ClassNames() []string {
	var names []string
	for _, o := range p.Objectives {
		if o.Class != "" && !slices.Contains(names, o.Class) {
			names = append(names, o.Class)
		}
	}
	return names
}

// AdmissionSettings returns the settings for package admission, or nil if admission control
// is off.
func (o *OperatorSettings) AdmissionSettings(p *Params) *admission.Settings {
	if o.Admission == nil {
		return nil
	}
	s := &admission.Settings{Classes: p.ClassNames(), WritesPerSecond: p.KVStore.WriteRPS * tuning.StoreLeaderWriteShare}
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
