package simulation

import (
	"math"

	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/wire"
)

// CheckTransaction checks the changes of a transaction that the key-value store has executed: a record of
// completed tasks never loses a task.
func (c *InvariantChecker) CheckTransaction(txn wire.Txn) error {
	for _, change := range txn.Then {
		if kind, _, known := records.ParseKey(change.Key()); !known || kind != records.KindCompletions {
			continue
		}
		if change.Delete != "" {
			delete(c.storedCompletions, change.Delete)
			continue
		}
		completed := map[int]bool{}
		if err := records.DecodeCompletions(change.Value, math.MaxInt32, func(i int) { completed[i] = true }); err != nil {
			return err
		}
		for i := range c.storedCompletions[change.Put] {
			if !completed[i] {
				return violated(StoredCompletionsKept, "%s changes to %s and loses task %d", change.Put, change.Value, i)
			}
		}
		c.storedCompletions[change.Put] = completed
	}
	return nil
}
