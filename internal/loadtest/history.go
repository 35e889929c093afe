package loadtest

import (
	"fmt"
	"slices"
	"time"

	"github.com/parquet-go/parquet-go"
)

// Operations of exchanges. The values are stored in histories.
const (
	OpSubmit = "submit"
	OpQuery  = "query"
	// OpGiveUp records that a user stopped retrying a submission. No request was sent.
	OpGiveUp = "give up"
)

// Exchange is a request of a user with its response, and a row of the history.
type Exchange struct {
	// SentMS is when the request was sent, since the start of the load. TookMS is the time until the
	// response.
	SentMS int64  `parquet:"sent_ms"`
	TookMS int64  `parquet:"took_ms"`
	Op     string `parquet:"op,dict"`
	Job    string `parquet:"job"`
	Team   string `parquet:"team,dict"`
	Class  string `parquet:"class,dict"`
	Node   int32  `parquet:"node"`
	// Status is the HTTP status, or 0 without a response.
	Status     int32  `parquet:"status"`
	RetryAfter int32  `parquet:"retry_after_s"`
	State      string `parquet:"state,dict"`
}

// accepted reports whether the exchange is a submission that was accepted.
func (e *Exchange) accepted() bool { return e.Op == OpSubmit && isSuccess(int(e.Status)) }

// teamClass returns the key by which exchanges are grouped: team and class.
func (e *Exchange) teamClass() string { return e.Team + "/" + e.Class }

// receivedAt returns when the response was received, since the start of the load.
func (e *Exchange) receivedAt() time.Duration {
	return time.Duration(e.SentMS+e.TookMS) * time.Millisecond
}

// SaveHistory writes a history of exchanges or task events to a Parquet file.
func SaveHistory[Row any](path string, history []Row) error {
	return parquet.WriteFile(path, history, parquet.Compression(&parquet.Zstd))
}

// LoadHistory reads a history of exchanges and sorts it by the time of the response.
func LoadHistory(path string) ([]Exchange, error) {
	history, err := parquet.ReadFile[Exchange](path)
	if err != nil {
		return nil, fmt.Errorf("history %s: %w", path, err)
	}
	slices.SortStableFunc(history, func(a, b Exchange) int { return int(a.receivedAt() - b.receivedAt()) })
	return history, nil
}
