package records

import (
	"encoding/json"
	"fmt"
	"math/bits"
	"strconv"
	"strings"

	"switchshore.example/switchshore/internal/intervals"
	"switchshore.example/switchshore/internal/tuning"
)

// CompletionChunkSize is the number of tasks whose completion shares a record where values have
// at most valueLimit bytes: the largest power of two, up to a bound, with which the record
// fits into a value however fragmented it is.
func CompletionChunkSize(valueLimit int) int {
	maxTasks := max(1, (valueLimit-len(`""`))/tuning.CompletionBytesPerTask)
	return min(tuning.CompletionChunkTasks, 1<<(bits.Len(uint(maxTasks))-1))
}

// Completions are the completed tasks of one part of a job.
type Completions struct {
	Key string
	// Tasks are the indexes of the tasks as ranges, see package intervals.
	Tasks string
}

// NewCompletions returns the record of a part of a job's completed tasks, the number-th chunk
// of them. Parts of the full size have the keys that versions before the smaller ones used.
// Those read all parts, whatever their bounds, but write their own with all that they know of
// it; as each key stands for the same bounds to every version, none takes a completion out of
// a record that another one has written.
func NewCompletions(jobID string, completed *intervals.Set, number, valueLimit int) Completions {
	size := CompletionChunkSize(valueLimit)
	from, to := number*size, (number+1)*size
	key := KindCompletions.Prefix() + jobID + "/" + strconv.Itoa(number)
	if size < tuning.CompletionChunkTasks {
		key = fmt.Sprintf("%s%s/%d-%d", KindCompletions.Prefix(), jobID, from, to-1)
	}
	return Completions{Key: key, Tasks: completed.Format(from, to)}
}

// Encode returns the stored form.
func (c Completions) Encode() json.RawMessage { return encode(c.Tasks) }

// CompletionsJobID is the job that the completions stored under the given id belong to.
func CompletionsJobID(id string) string {
	jobID, _, _ := strings.Cut(id, "/")
	return jobID
}

// DecodeCompletions calls add for every completed task of a job with the given number of
// tasks. After an error some may have been added.
func DecodeCompletions(value json.RawMessage, tasks int, add func(index int)) error {
	var completed string
	if err := json.Unmarshal(value, &completed); err != nil {
		return err
	}
	return intervals.ParseEach(completed, tasks, add)
}
