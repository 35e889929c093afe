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

// specXML is the drain element of an operator's file. Fields of omitted elements are empty.
type specXML struct {
	XMLName           xml.Name `xml:"drain"`
	Name              string   `xml:"name,attr"`
	Zone              string   `xml:"selector>zone"`
	Type              string   `xml:"selector>type"`
	Machines          []string `xml:"selector>machine"`
	ProvisionedBefore string   `xml:"selector>rentedBefore"` // operators say rented for provisioned
	Replace           string   `xml:"replace"`
	BatchSize         string   `xml:"batchSize"`
	Deadline          string   `xml:"deadline"`
	Force             string   `xml:"force"`
}

// allowedElements lists, by the path of a parent element, the names of its allowed child elements.
// The parent of the root element is "".
var allowedElements = map[string][]string{
	"":               {"drain"},
	"drain":          {"selector", "replace", "batchSize", "deadline", "force"},
	"drain/selector": {"zone", "type", "machine", "rentedBefore"},
}

// Parse parses and validates the drain in an operator's file; now is the wall-clock time. Its error
// is a FieldError, an ElementCountError or an error of the XML decoder.
func Parse(data []byte, now time.Time) (*Spec, error) {
	if err := checkElements(data); err != nil {
		return nil, err
	}
	var f specXML
	if err := xml.Unmarshal(data, &f); err != nil {
		return nil, err
	}
	s, err := f.toSpec()
	if err != nil {
		return nil, err
	}
	if err := s.Validate(now); err != nil {
		return nil, err
	}
	return s, nil
}

// toSpec converts the text of each field to the type of the field in Spec. It does not check the
// values; Spec.Validate does.
func (f *specXML) toSpec() (*Spec, error) {
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

// ElementCountError is the error of a file that doesn't hold exactly one drain element.
type ElementCountError struct {
	Count int // root elements in the file
}

func (e *ElementCountError) Error() string {
	return fmt.Sprintf("must hold one drain element, holds %d", e.Count)
}

// checkElements returns an error if the file has unknown elements or attributes, or not exactly one
// root element. The XML decoder ignores unknown ones. If it ignored a mistyped element of the
// selector, the drain would select more machines than intended.
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

// checkElement checks the name and the attributes of an element. parent is the path of its parent
// element, empty for the root element. Only the root may have an attribute: name, the drain's name.
func checkElement(parent string, element xml.StartElement) error {
	name := element.Name.Local
	path := name
	if parent != "" {
		path = parent + "/" + name
	}
	if !slices.Contains(allowedElements[parent], name) {
		return &FieldError{Field: path, Reason: "unknown element"}
	}
	for _, attribute := range element.Attr {
		if parent != "" || attribute.Name.Local != "name" {
			return &FieldError{Field: path + "/" + attribute.Name.Local, Reason: "unknown attribute"}
		}
	}
	return nil
}

// parseTime parses an RFC 3339 time. It returns nil if the text is empty.
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

// parseBool parses yes or no. It returns false if the text is empty.
func parseBool(field, text string) (bool, error) {
	switch strings.TrimSpace(text) {
	case "", "no":
		return false, nil
	case "yes":
		return true, nil
	}
	return false, &FieldError{Field: field, Reason: "must be yes or no"}
}
