package config

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Load reads and checks the platform's settings file at path.
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

// Parse decodes and checks the platform's settings. It ignores unknown fields. The
// error is a FieldError, wrapped in a PositionError if decoding fails.
func Parse(data []byte) (*Config, error) {
	c := &Config{}
	if err := toml.Unmarshal(data, c); err != nil {
		return nil, withPosition(err)
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	c.Params.KVStore = c.Params.KVStore.Tightest()
	return c, nil
}

// PositionError is a FieldError with its position in the settings file.
type PositionError struct {
	Line, Column int
	Err          *FieldError
}

func (e *PositionError) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Err.Error())
}

// Unwrap returns the FieldError.
func (e *PositionError) Unwrap() error { return e.Err }

// messageNames replaces the names of Go types and fields in the decoder's messages by
// their names in earlier versions, so that the messages to operators stay the same. A
// renamed type or field needs an entry here (TestDecoderMessagesKeepNames).
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

// withPosition converts an error of the TOML decoder into a PositionError.
func withPosition(err error) error {
	var decodeErr *toml.DecodeError
	if !errors.As(err, &decodeErr) {
		return err
	}
	line, column := decodeErr.Position()
	return &PositionError{
		Line: line, Column: column,
		Err: &FieldError{Field: strings.Join(decodeErr.Key(), "."), Reason: messageNames.Replace(decodeErr.Error())},
	}
}
