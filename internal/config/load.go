package config

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Load reads and checks the settings file at path.
func Load(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return c, nil
}

// Parse decodes and checks settings; unknown fields are ignored. The error is a
// FieldError, within a PositionError if the field can't be decoded.
func Parse(data []byte) (*Config, error) {
	c := &Config{}
	if err := toml.Unmarshal(data, c); err != nil {
		return nil, positionOf(err)
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	c.Params.KVStore = c.Params.KVStore.Tightest()
	return c, nil
}

// PositionError is an error at a position of the settings file.
type PositionError struct {
	Line, Column int
	Err          *FieldError
}

func (e *PositionError) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Err.Error())
}

// Unwrap returns the field and the reason.
func (e *PositionError) Unwrap() error { return e.Err }

// messageNames replaces names of this package in the decoder's messages, which
// quote the Go type and field. Operators get the messages of the versions in
// which the types had these names; a renamed type or field needs an entry here
// (TestMessagesNameTheField).
var messageNames = strings.NewReplacer(
	"config.UpcomingKVStoreLimits", "config.StateNext",
	"config.KVStoreLimits.Upcoming", "config.State.Next",
	"config.KVStoreLimits", "config.State",
	"config.CloudLimits", "config.Cloud",
	"config.ProcessLimits", "config.Limits",
	"config.Params.KVStore", "config.Params.State",
	"config.Params.ClockErrorMS", "config.Params.ClockOffMS",
	"config.Services.KVStore", "config.Services.State",
	"config.Workers.HeartbeatIntervalS", "config.Workers.ReportS",
	"config.Workers.CancelDeadlineS", "config.Workers.CancelS",
)

// positionOf turns an error of the decoder into a PositionError.
func positionOf(err error) error {
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		return err
	}
	line, column := decode.Position()
	return &PositionError{
		Line: line, Column: column,
		Err: &FieldError{Field: strings.Join(decode.Key(), "."), Reason: messageNames.Replace(decode.Error())},
	}
}
