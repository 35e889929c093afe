package simulation

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is a function to be called at a simulated time.
type event struct {
	at       time.Time
	sequence int // orders events of the same time by when they were scheduled
	run      func()
}

// eventQueue is a heap of events with the earliest first.
type eventQueue []*event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// eventLoop orders events by their simulated times and draws all random numbers of a run from one
// seed. A run is reproducible as long as the order of events and of draws does not change.
type eventLoop struct {
	rng      *rand.Rand
	start    time.Time
	now      time.Time
	queue    eventQueue
	sequence int
}

func newEventLoop(seed uint64) *eventLoop {
	start := time.Unix(1_700_000_000, 0)
	return &eventLoop{rng: rand.New(rand.NewPCG(seed, 1)), start: start, now: start}
}

// after schedules a call at a duration from now.
func (l *eventLoop) after(d time.Duration, run func()) {
	l.sequence++
	heap.Push(&l.queue, &event{l.now.Add(d), l.sequence, run})
}

// ScheduleAt schedules a call at a time since the start of the run.
func (l *eventLoop) ScheduleAt(d time.Duration, run func()) { l.after(d-l.elapsed(), run) }

// ScheduleNow schedules a call after the current event.
func (l *eventLoop) ScheduleNow(run func()) { l.after(0, run) }

// next advances the time to the next event and returns it, or nil if no event is left before the
// end.
func (l *eventLoop) next(end time.Time) *event {
	if l.queue.Len() == 0 {
		return nil
	}
	e := heap.Pop(&l.queue).(*event)
	if e.at.After(end) {
		return nil
	}
	l.now = e.at
	return e
}

// elapsed returns the time since the start of the run.
func (l *eventLoop) elapsed() time.Duration { return l.now.Sub(l.start) }

// between draws a random duration; both bounds are in milliseconds and inclusive.
func (l *eventLoop) between(from, to int) time.Duration {
	return time.Duration(from+l.rng.IntN(to-from+1)) * time.Millisecond
}

// chance draws true with the given probability.
func (l *eventLoop) chance(probability float64) bool { return l.rng.Float64() < probability }
