package records

import (
	"encoding/json"
	"fmt"
	"strconv"
)

// Outcome is how a job has ended.
type Outcome byte

// Outcomes of jobs. Their values are stored.
const (
	OutcomeDone      Outcome = 'd'
	OutcomeCancelled Outcome = 'c'
)

// FinalState is how a job ended and how many of its tasks were done. It is stored as a string,
// for example "d14" for a done job with 14 tasks or "c3" for a cancelled job with 3 done tasks.
type FinalState struct {
	Outcome   Outcome
	TasksDone int32
}

// Encode returns the stored form of the final state.
func (f FinalState) Encode() json.RawMessage {
	return json.RawMessage(`"` + string(rune(f.Outcome)) + strconv.Itoa(int(f.TasksDone)) + `"`)
}

// DecodeFinalState decodes a final state. Its errors are those of package json, those of
// strconv.ParseInt and ErrUnknownFinalState.
func DecodeFinalState(value json.RawMessage) (FinalState, error) {
	var text string
	if err := json.Unmarshal(value, &text); err != nil {
		return FinalState{}, err
	}
	if text == "" {
		return FinalState{}, fmt.Errorf("%w: %q", ErrUnknownFinalState, text)
	}
	outcome := Outcome(text[0])
	if outcome != OutcomeDone && outcome != OutcomeCancelled {
		return FinalState{}, fmt.Errorf("%w: %q", ErrUnknownFinalState, text)
	}
	n, err := strconv.ParseInt(text[1:], 10, 32)
	return FinalState{outcome, int32(n)}, err
}
