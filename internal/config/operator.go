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

// OperatorSettings has the operators' settings. A zero field has its default, or turns
// the feature off.
type OperatorSettings struct {
	// MaxMachines bounds the number of provisioned machines; 0 is no bound.
	MaxMachines int
	// ScaleInIdleS is how long an idle machine is kept, in seconds.
	ScaleInIdleS float64
	// StartWithinS is the time within which waiting tasks should start, in seconds.
	StartWithinS float64
	// Admission turns on admission control under overload.
	Admission *Admission
	// Drains turns on drains of machines, and has the teams' disruption budgets.
	Drains *drain.Budgets
}

// operatorFile is the operators' file with unparsed values; omitted fields are empty.
type operatorFile struct {
	XMLName      xml.Name `xml:"switchshore"`
	MaxMachines  string   `xml:"machines>max"`
	ScaleInIdleS string   `xml:"machines>keepIdleSeconds"`
	StartWithinS string   `xml:"machines>planHorizonSeconds"`

	Admission *admissionElement `xml:"admission"`
	Drains    *drainsElement    `xml:"drains"`
}

// LoadOperatorSettings reads and checks the operators' file for a deployment. It returns
// the defaults if path is empty.
func LoadOperatorSettings(path string, p *Params) (*OperatorSettings, error) {
	if path == "" {
		return &OperatorSettings{}, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator settings: %w", err)
	}
	o, err := ParseOperatorSettings(data, p)
	if err != nil {
		return nil, fmt.Errorf("operator settings %s: %w", path, err)
	}
	return o, nil
}

// ParseOperatorSettings decodes and checks the operators' file for a deployment. The error
// is a FieldError, ErrNoRootElement, ErrExtraContent, or an error of the XML decoder.
func ParseOperatorSettings(data []byte, p *Params) (*OperatorSettings, error) {
	file, err := decodeOperator(data)
	if err != nil {
		return nil, err
	}
	o := &OperatorSettings{}
	maxMachines, err := parseAmount("machines/max", file.MaxMachines)
	if err != nil {
		return nil, err
	}
	if maxMachines != math.Trunc(maxMachines) || maxMachines > math.MaxInt32 {
		return nil, &FieldError{Field: "machines/max", Reason: reasonNotWhole}
	}
	o.MaxMachines = int(maxMachines)
	if o.ScaleInIdleS, err = parseAmount("machines/keepIdleSeconds", file.ScaleInIdleS); err != nil {
		return nil, err
	}
	if o.StartWithinS, err = parseAmount("machines/planHorizonSeconds", file.StartWithinS); err != nil {
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

// Errors for the structure of an operators' file.
var (
	ErrNoRootElement = errors.New("no switchshore element")
	ErrExtraContent  = errors.New("more than the switchshore element")
)

// decodeOperator decodes the root element and checks that nothing follows it.
func decodeOperator(data []byte) (*operatorFile, error) {
	var file operatorFile
	decoder := xml.NewDecoder(bytes.NewReader(data))
	err := decoder.Decode(&file)
	if errors.Is(err, io.EOF) {
		return nil, ErrNoRootElement
	}
	if err != nil {
		return nil, err
	}
	if err := checkNoExtraContent(decoder); err != nil {
		return nil, err
	}
	return &file, nil
}

// checkNoExtraContent checks that only comments and white space follow.
func checkNoExtraContent(decoder *xml.Decoder) error {
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch t := token.(type) {
		case xml.Comment:
		case xml.CharData:
			if len(bytes.TrimSpace(t)) > 0 {
				return ErrExtraContent
			}
		default:
			return ErrExtraContent
		}
	}
}

// parseAmount parses a number that is not negative; an empty text is 0.
func parseAmount(field, text string) (float64, error) {
	text = strings.TrimSpace(text)
	if text == "" {
		return 0, nil
	}
	value, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil || math.IsNaN(value) || math.IsInf(value, 0):
		return 0, &FieldError{Field: field, Reason: reasonNotNumber}
	case value < 0:
		return 0, &FieldError{Field: field, Reason: reasonNegative}
	}
	return value, nil
}
