package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/goccy/go-json"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/tuning"
)

// errTooManyPending means that a peer reads too slowly and its queue of lines is full.
var errTooManyPending = fmt.Errorf("%w: too many lines pending", ErrUnreachable)

// lineWriter writes whole lines to a connection. It batches the lines that are added during a
// write or shortly after one: at several hundred heartbeats per second, a packet and a system
// call for each line would cost more than their content. It closes the connection if a write
// times out, or if too many lines are pending because the peer does not read them.
type lineWriter struct {
	conn net.Conn
	wake chan struct{}

	mu      sync.Mutex
	pending []byte
	failure error
}

func newLineWriter(conn net.Conn) *lineWriter {
	return &lineWriter{conn: conn, wake: make(chan struct{}, 1)}
}

// write queues a message as one line, which run sends.
func (w *lineWriter) write(m *message) error {
	line, err := json.Marshal(m)
	if err != nil {
		return err
	}
	err = w.enqueue(line)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return err
}

// enqueue queues a line. It returns an error if the connection has failed, and closes the
// connection if too much data is pending.
func (w *lineWriter) enqueue(line []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failure == nil && len(w.pending) > tuning.PeerMaxPending {
		w.failure = errTooManyPending
		_ = w.conn.Close() // the connection is unusable, with or without an error
	}
	if w.failure == nil {
		w.pending = append(append(w.pending, line...), '\n')
	}
	return w.failure
}

// run sends the queued lines until the context ends or the connection fails.
func (w *lineWriter) run(ctx context.Context) {
	var batch []byte
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		w.mu.Lock()
		batch, w.pending = w.pending, batch[:0]
		w.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		if err := w.send(batch); err != nil {
			return
		}
		if ctxtime.Sleep(ctx, tuning.PeerFlushDelay) != nil {
			return
		}
	}
}

// send writes a batch of lines to the connection, and closes the connection if that fails.
func (w *lineWriter) send(lines []byte) error {
	_ = w.conn.SetWriteDeadline(time.Now().Add(tuning.PeerTimeout)) // if this fails, so does the write
	_, err := w.conn.Write(lines)
	if err == nil {
		return nil
	}
	w.mu.Lock()
	w.failure = err
	w.mu.Unlock()
	_ = w.conn.Close() // the connection is unusable, with or without an error
	return err
}
