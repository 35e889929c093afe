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

// CompletionChunkSize returns the number of tasks whose completions share a record. It is the
// largest power of two, up to tuning.CompletionChunkTasks, for which a record with any subset of
// the tasks fits into valueLimit bytes.
func CompletionChunkSize(valueLimit int) int {
	maxTasks := max(1, (valueLimit-len(`""`))/tuning.CompletionBytesPerTask)
	return min(tuning.CompletionChunkTasks, 1<<(bits.Len(uint(maxTasks))-1))
}

// Completions is the record of the completed tasks in one chunk of a job. A chunk is a range of
// CompletionChunkSize consecutive task indexes.
type Completions struct {
	Key string
	// Tasks are the indexes of the completed tasks in the format of package intervals.
	Tasks string
}

// NewCompletions returns the record of the completed tasks in the chunk with the given number.
//
// Earlier versions of the program know only chunks of the full size, with keys of the form
// "d/JOB/NUMBER". They read records of any chunk size, but replace their own records by all
// completions in the chunk that they know. A smaller chunk therefore has a key that contains its
// first and last index: if one key stood for different chunks, one version could overwrite
// completions that another has written.
func NewCompletions(jobID string, completed *intervals.Set, number, valueLimit int) Completions {
	size := CompletionChunkSize(valueLimit)
	from, to := number*size, (number+1)*size
	key := KindCompletions.Prefix() + jobID + "/" + strconv.Itoa(number)
	if size < tuning.CompletionChunkTasks {
		key = fmt.Sprintf("%s%s/%d-%d", KindCompletions.Prefix(), jobID, from, to-1)
	}
	return Completions{Key: key, Tasks: completed.Format(from, to)}
}

// Encode returns the stored form of the record.
func (c Completions) Encode() json.RawMessage { return encode(c.Tasks) }

// CompletionsJobID returns the job ID in the id of a completions record, as returned by ParseKey.
func CompletionsJobID(id string) string {
	jobID, _, _ := strings.Cut(id, "/")
	return jobID
}

// DecodeCompletions calls add with the index of every completed task in a record. tasks is the
// number of tasks of the job. If the record is invalid, DecodeCompletions returns an error,
// possibly after calls of add.
func DecodeCompletions(value json.RawMessage, tasks int, add func(index int)) error {
	var completed string
	if err := json.Unmarshal(value, &completed); err != nil {
		return err
	}
	return intervals.ParseEach(completed, tasks, add)
}
