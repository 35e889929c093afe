// Package loadtest measures outside CI: it runs controllers as processes on loopback against
// stand-ins and under load, keeps the history of every answer and of every task, checks it, and
// draws a report.
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
	// OpGiveUp is a user's end of tries, after his patience.
	OpGiveUp = "give up"
)

// Answer is one request of a user and what came back: a row of the history.
type Answer struct {
	// SentMS and TookMS are milliseconds, since the start and of the exchange.
	SentMS int64  `parquet:"sent_ms"`
	TookMS int64  `parquet:"took_ms"`
	Op     string `parquet:"op,dict"`
	Job    string `parquet:"job"`
	Team   string `parquet:"team,dict"`
	Class  string `parquet:"class,dict"`
	Node   int32  `parquet:"node"`
	// Status is that of HTTP, 0 if no answer came.
	Status     int32  `parquet:"status"`
	RetryAfter int32  `parquet:"retry_after_s"`
	State      string `parquet:"state,dict"`
}

// accepted reports whether the answer says that the job is accepted.
func (a *Answer) accepted() bool { return a.Op == OpSubmit && a.Status/100 == 2 }

// key is the team and class that the answer counts under.
func (a *Answer) key() string { return a.Team + "/" + a.Class }

// at is when the answer came.
func (a *Answer) at() time.Duration { return time.Duration(a.SentMS+a.TookMS) * time.Millisecond }

// Save writes a history, of answers or of tasks, as a columnar file.
func Save[Row any](path string, history []Row) error {
	return parquet.WriteFile(path, history, parquet.Compression(&parquet.Zstd))
}

// Load reads a history, in the order in which the answers came.
func Load(path string) ([]Answer, error) {
	history, err := parquet.ReadFile[Answer](path)
	if err != nil {
		return nil, fmt.Errorf("history %s: %w", path, err)
	}
	slices.SortStableFunc(history, func(a, b Answer) int { return int(a.at() - b.at()) })
	return history, nil
}
