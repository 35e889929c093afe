package config

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"strconv"
	"strings"

	"switchshore.example/switchshore/internal/drain"
)

// Operator is the operators' own settings. The zero value of a field means
// the default.
type Operator struct {
	// MaxMachines caps the machines rented at once, 0 for no cap.
	MaxMachines int
	// ScaleInIdleS overrides how long an idle machine is kept, in seconds.
	ScaleInIdleS float64
	// StartWithinS overrides the planning horizon, in seconds.
	StartWithinS float64
	// Admission turns fair admission under overload on; nil is off.
	Admission *Admission
	// Drains turns drains of machines on, with the budgets of the teams; nil is off.
	Drains *drain.Budgets
}

// operatorFile is the file as it is written; a field left out is empty.
type operatorFile struct {
	XMLName      xml.Name `xml:"switchshore"`
	MaxMachines  string   `xml:"machines>max"`
	ScaleInIdleS string   `xml:"machines>keepIdleSeconds"`
	StartWithinS string   `xml:"machines>planHorizonSeconds"`

	Admission *admissionElement `xml:"admission"`
	Drains    *drainsElement    `xml:"drains"`
}

// LoadOperator reads the operators' file for a deployment; an empty path gives the defaults.
func LoadOperator(path string, p *Params) (*Operator, error) {
	if path == "" {
		return &Operator{}, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator settings: %w", err)
	}
	o, err := ParseOperator(data, p)
	if err != nil {
		return nil, fmt.Errorf("operator settings %s: %w", path, err)
	}
	return o, nil
}

// ParseOperator decodes and checks the operators' file for a deployment.
func ParseOperator(data []byte, p *Params) (*Operator, error) {
	file, err := decodeOperator(data)
	if err != nil {
		return nil, err
	}
	o := &Operator{}
	most, err := amount("machines/max", file.MaxMachines)
	if err != nil {
		return nil, err
	}
	if most != math.Trunc(most) || most > math.MaxInt32 {
		return nil, &FieldError{Field: "machines/max", Reason: "must be a whole number"}
	}
	o.MaxMachines = int(most)
	if o.ScaleInIdleS, err = amount("machines/keepIdleSeconds", file.ScaleInIdleS); err != nil {
		return nil, err
	}
	if o.StartWithinS, err = amount("machines/planHorizonSeconds", file.StartWithinS); err != nil {
		return nil, err
	}
	if o.Admission, err = file.Admission.parse(p); err != nil {
		return nil, err
	}
	if o.Drains, err = file.Drains.parse(p); err != nil {
		return nil, err
	}
	return o, nil
}

// decodeOperator reads the one element that the file consists of.
func decodeOperator(data []byte) (*operatorFile, error) {
	var file operatorFile
	decoder := xml.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&file); err != nil {
		if errors.Is(err, io.EOF) {
			err = errors.New("no switchshore element")
		}
		return nil, err
	}
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return &file, nil
		}
		if err != nil {
			return nil, err
		}
		if text, blank := token.(xml.CharData); !blank || len(bytes.TrimSpace(text)) > 0 {
			if _, comment := token.(xml.Comment); !comment {
				return nil, errors.New("more than the switchshore element")
			}
		}
	}
}

// amount reads a number that is not negative, 0 if there is none.
func amount(field, text string) (float64, error) {
	text = strings.TrimSpace(text)
	if text == "" {
		return 0, nil
	}
	value, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil || math.IsNaN(value) || math.IsInf(value, 0):
		return 0, &FieldError{Field: field, Reason: "not a number"}
	case value < 0:
		return 0, &FieldError{Field: field, Reason: "must not be negative"}
	}
	return value, nil
}
