package drain

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// file is a drain as an operator writes it; a field left out is empty.
type file struct {
	XMLName   xml.Name `xml:"drain"`
	Name      string   `xml:"name,attr"`
	Zone      string   `xml:"selector>zone"`
	Type      string   `xml:"selector>type"`
	Machines  []string `xml:"selector>machine"`
	Before    string   `xml:"selector>rentedBefore"`
	Replace   string   `xml:"replace"`
	BatchSize string   `xml:"batchSize"`
	Deadline  string   `xml:"deadline"`
	Force     string   `xml:"force"`
}

// elements are those that a file may hold, by the element around them.
var elements = map[string][]string{
	"":               {"drain"},
	"drain":          {"selector", "replace", "batchSize", "deadline", "force"},
	"drain/selector": {"zone", "type", "machine", "rentedBefore"},
}

// Parse reads a drain from an operator's file; now is the time of day.
func Parse(data []byte, now time.Time) (*Spec, error) {
	if err := checkElements(data); err != nil {
		return nil, err
	}
	var f file
	if err := xml.Unmarshal(data, &f); err != nil {
		return nil, err
	}
	s := &Spec{Name: f.Name, Selector: Selector{Zone: strings.TrimSpace(f.Zone), Type: strings.TrimSpace(f.Type)}}
	for _, name := range f.Machines {
		s.Selector.Machines = append(s.Selector.Machines, strings.TrimSpace(name))
	}
	var err error
	if s.Selector.RentedBefore, err = parseTime("selector/rentedBefore", f.Before); err != nil {
		return nil, err
	}
	if s.Deadline, err = parseTime("deadline", f.Deadline); err != nil {
		return nil, err
	}
	if s.Replace, err = parseBool("replace", f.Replace); err != nil {
		return nil, err
	}
	if s.Force, err = parseBool("force", f.Force); err != nil {
		return nil, err
	}
	if s.BatchSize, err = strconv.Atoi(strings.TrimSpace(f.BatchSize)); err != nil {
		return nil, &FieldError{Field: "batchSize", Reason: "must be a whole number"}
	}
	if err := s.Validate(now); err != nil {
		return nil, err
	}
	return s, nil
}

// checkElements refuses elements and attributes that a drain can't have: a mistyped one would
// otherwise select more than was meant.
func checkElements(data []byte) error {
	decoder := xml.NewDecoder(bytes.NewReader(data))
	var path []string
	roots := 0
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		switch t := token.(type) {
		case xml.StartElement:
			parent := strings.Join(path, "/")
			path = append(path, t.Name.Local)
			if !slices.Contains(elements[parent], t.Name.Local) {
				return &FieldError{Field: strings.Join(path, "/"), Reason: "unknown element"}
			}
			if parent == "" {
				roots++
			}
			for _, a := range t.Attr {
				if parent != "" || a.Name.Local != "name" {
					return &FieldError{Field: strings.Join(path, "/") + "/" + a.Name.Local, Reason: "unknown attribute"}
				}
			}
		case xml.EndElement:
			path = path[:len(path)-1]
		}
	}
	if roots != 1 {
		return fmt.Errorf("must hold one drain element, holds %d", roots)
	}
	return nil
}

// parseTime reads a time of day, nil if there is none.
func parseTime(field, text string) (*time.Time, error) {
	text = strings.TrimSpace(text)
	if text == "" {
		return nil, nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return nil, &FieldError{Field: field, Reason: "must be a time like 2026-12-02T22:00:00Z"}
	}
	t = t.UTC()
	return &t, nil
}

// parseBool reads a choice, no if there is none.
func parseBool(field, text string) (bool, error) {
	switch strings.TrimSpace(text) {
	case "", "no":
		return false, nil
	case "yes":
		return true, nil
	}
	return false, &FieldError{Field: field, Reason: "must be yes or no"}
}
