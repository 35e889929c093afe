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

// CompletionChunkSize returns the number of tasks whose completions share a record: the largest
// power of two, up to a bound, for which the record fits into valueLimit bytes however
// fragmented it is.
func CompletionChunkSize(valueLimit int) int {
	maxTasks := max(1, (valueLimit-len(`""`))/tuning.CompletionBytesPerTask)
	return min(tuning.CompletionChunkTasks, 1<<(bits.Len(uint(maxTasks))-1))
}

// Completions is the record of the completed tasks in one chunk of a job.
type Completions struct {
	Key string
	// Tasks are the indexes of the tasks as ranges, see package intervals.
	Tasks string
}

// NewCompletions returns the record of the completed tasks in the given chunk of a job. Chunks
// of the full size have the keys used by versions that had no smaller chunks. Those versions
// read chunks of any bounds, but write their own with all completions in them that they know.
// As each key stands for the same bounds in every version, no version removes a completion from
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

// CompletionsJobID returns the ID of the job to which the completions with the given record id
// belong.
func CompletionsJobID(id string) string {
	jobID, _, _ := strings.Cut(id, "/")
	return jobID
}

// DecodeCompletions calls add for every completed task in a record of a job with the given
// number of tasks. It may have called add before it fails.
func DecodeCompletions(value json.RawMessage, tasks int, add func(index int)) error {
	var completed string
	if err := json.Unmarshal(value, &completed); err != nil {
		return err
	}
	return intervals.ParseEach(completed, tasks, add)
}
