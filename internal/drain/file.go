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
	XMLName           xml.Name `xml:"drain"`
	Name              string   `xml:"name,attr"`
	Zone              string   `xml:"selector>zone"`
	Type              string   `xml:"selector>type"`
	Machines          []string `xml:"selector>machine"`
	ProvisionedBefore string   `xml:"selector>rentedBefore"`
	Replace           string   `xml:"replace"`
	BatchSize         string   `xml:"batchSize"`
	Deadline          string   `xml:"deadline"`
	Force             string   `xml:"force"`
}

// elements are those that a file may hold, by the path of their parent.
var elements = map[string][]string{
	"":               {"drain"},
	"drain":          {"selector", "replace", "batchSize", "deadline", "force"},
	"drain/selector": {"zone", "type", "machine", "rentedBefore"},
}

// Parse reads a drain from an operator's file; now is the time of day. The error is a
// FieldError, an ElementCountError, or that of the XML decoder.
func Parse(data []byte, now time.Time) (*Spec, error) {
	if err := checkElements(data); err != nil {
		return nil, err
	}
	var f file
	if err := xml.Unmarshal(data, &f); err != nil {
		return nil, err
	}
	s, err := f.spec()
	if err != nil {
		return nil, err
	}
	if err := s.Validate(now); err != nil {
		return nil, err
	}
	return s, nil
}

// spec parses each field by itself.
func (f *file) spec() (*Spec, error) {
	s := &Spec{Name: f.Name, Selector: Selector{Zone: strings.TrimSpace(f.Zone), Type: strings.TrimSpace(f.Type)}}
	for _, name := range f.Machines {
		s.Selector.Machines = append(s.Selector.Machines, strings.TrimSpace(name))
	}
	var err error
	if s.Selector.ProvisionedBefore, err = parseTime("selector/rentedBefore", f.ProvisionedBefore); err != nil {
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
	return s, nil
}

// ElementCountError is a file that doesn't hold exactly one drain.
type ElementCountError struct {
	Count int
}

func (e *ElementCountError) Error() string {
	return fmt.Sprintf("must hold one drain element, holds %d", e.Count)
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
			if len(path) == 0 {
				roots++
			}
			if err := checkElement(strings.Join(path, "/"), t); err != nil {
				return err
			}
			path = append(path, t.Name.Local)
		case xml.EndElement:
			path = path[:len(path)-1]
		}
	}
	if roots != 1 {
		return &ElementCountError{Count: roots}
	}
	return nil
}

// checkElement checks an element within its parent, which is empty for the root. Only the root
// has an attribute.
func checkElement(parent string, element xml.StartElement) error {
	name := element.Name.Local
	path := name
	if parent != "" {
		path = parent + "/" + name
	}
	if !slices.Contains(elements[parent], name) {
		return &FieldError{Field: path, Reason: "unknown element"}
	}
	for _, attribute := range element.Attr {
		if parent != "" || attribute.Name.Local != "name" {
			return &FieldError{Field: path + "/" + attribute.Name.Local, Reason: "unknown attribute"}
		}
	}
	return nil
}

// parseTime reads a time of day, nil if the text is empty.
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

// parseBool reads yes or no, no if the text is empty.
func parseBool(field, text string) (bool, error) {
	switch strings.TrimSpace(text) {
	case "", "no":
		return false, nil
	case "yes":
		return true, nil
	}
	return false, &FieldError{Field: field, Reason: "must be yes or no"}
}
