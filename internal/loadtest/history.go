package loadtest

import (
	"fmt"
	"slices"
	"time"

	"github.com/parquet-go/parquet-go"
)

// Operations of a history.
const (
	OpSubmit = "submit"
	OpQuery  = "query"
	// OpGiveUp stands for the end of a user's retries: no request belongs to it.
	OpGiveUp = "give up"
)

// Exchange is one request of a user and its response: a row of the history.
type Exchange struct {
	// SentMS is the time since the start, TookMS the time until the response, in milliseconds.
	SentMS int64  `parquet:"sent_ms"`
	TookMS int64  `parquet:"took_ms"`
	Op     string `parquet:"op,dict"`
	Job    string `parquet:"job"`
	Team   string `parquet:"team,dict"`
	Class  string `parquet:"class,dict"`
	Node   int32  `parquet:"node"`
	// Status is the HTTP status, 0 if there was no response.
	Status     int32  `parquet:"status"`
	RetryAfter int32  `parquet:"retry_after_s"`
	State      string `parquet:"state,dict"`
}

// accepted reports whether the response says that the job is accepted.
func (e *Exchange) accepted() bool { return e.Op == OpSubmit && isSuccess(int(e.Status)) }

// teamClass is the team and class that the exchange counts under.
func (e *Exchange) teamClass() string { return e.Team + "/" + e.Class }

// receivedAt is when the response came, since the start.
func (e *Exchange) receivedAt() time.Duration {
	return time.Duration(e.SentMS+e.TookMS) * time.Millisecond
}

// SaveHistory writes a history, of exchanges or of tasks, as a columnar file.
func SaveHistory[Row any](path string, history []Row) error {
	return parquet.WriteFile(path, history, parquet.Compression(&parquet.Zstd))
}

// LoadHistory reads a history of exchanges, in the order of the responses.
func LoadHistory(path string) ([]Exchange, error) {
	history, err := parquet.ReadFile[Exchange](path)
	if err != nil {
		return nil, fmt.Errorf("history %s: %w", path, err)
	}
	slices.SortStableFunc(history, func(a, b Exchange) int { return int(a.receivedAt() - b.receivedAt()) })
	return history, nil
}
