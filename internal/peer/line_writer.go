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

// errTooManyPending means that the peer reads too slowly, so that the queue of its lines is full.
var errTooManyPending = fmt.Errorf("%w: too many lines pending", ErrUnreachable)

// lineWriter writes messages to a connection, each as one line. It writes all lines together that are
// queued during a write or within PeerFlushDelay after it: at several hundred heartbeats per second,
// a packet and a system call for each line would cost more than its content. It closes the connection
// if a write fails or times out, or if too much data is queued because the peer reads too slowly.
type lineWriter struct {
	conn net.Conn
	wake chan struct{} // tells run that lines are queued

	mu      sync.Mutex
	pending []byte // the queued lines
	failure error  // why the connection failed, or nil
}

func newLineWriter(conn net.Conn) *lineWriter {
	return &lineWriter{conn: conn, wake: make(chan struct{}, 1)}
}

// enqueue queues a message, which run will send. It returns an error if the connection has failed.
func (w *lineWriter) enqueue(m *message) error {
	line, err := json.Marshal(m)
	if err != nil {
		return err
	}
	err = w.appendLine(line)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return err
}

// appendLine queues a line. If too much data is queued already, it closes the connection. It returns
// the reason if the connection has failed.
func (w *lineWriter) appendLine(line []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failure == nil && len(w.pending) > tuning.PeerMaxPendingBytes {
		w.failure = errTooManyPending
		_ = w.conn.Close() // the connection is unusable even if Close fails
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

// send writes a batch of lines to the connection. If the write fails, it closes the connection.
func (w *lineWriter) send(lines []byte) error {
	_ = w.conn.SetWriteDeadline(time.Now().Add(tuning.PeerTimeout)) // if this fails, the write fails too
	_, err := w.conn.Write(lines)
	if err == nil {
		return nil
	}
	w.mu.Lock()
	w.failure = err
	w.mu.Unlock()
	_ = w.conn.Close() // the connection is unusable even if Close fails
	return err
}
