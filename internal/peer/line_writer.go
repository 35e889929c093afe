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

// errTooManyPending says that a peer does not read what it is sent.
var errTooManyPending = fmt.Errorf("%w: too many lines pending", ErrUnreachable)

// lineWriter writes whole lines. Lines that come while a write is under way,
// or shortly after one, go out together: at some hundred heartbeats a second a
// packet and a system call for each would cost more than their content. A
// write that makes no progress ends the connection, and so does a peer that
// reads nothing while lines accumulate.
type lineWriter struct {
	conn net.Conn
	wake chan struct{}

	mu      sync.Mutex
	pending []byte
	failed  error
}

func newLineWriter(conn net.Conn) *lineWriter {
	return &lineWriter{conn: conn, wake: make(chan struct{}, 1)}
}

// write adds a line to those that run sends.
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

// enqueue adds a line, unless the connection has failed; it fails with too many pending.
func (w *lineWriter) enqueue(line []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failed == nil && len(w.pending) > tuning.PeerMaxPending {
		w.failed = errTooManyPending
		_ = w.conn.Close() // the connection has failed, whatever this says
	}
	if w.failed == nil {
		w.pending = append(append(w.pending, line...), '\n')
	}
	return w.failed
}

// run sends the lines until the context ends or the connection fails.
func (w *lineWriter) run(ctx context.Context) {
	var sending []byte
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		w.mu.Lock()
		sending, w.pending = w.pending, sending[:0]
		w.mu.Unlock()
		if len(sending) == 0 {
			continue
		}
		if err := w.send(sending); err != nil {
			return
		}
		if ctxtime.Sleep(ctx, tuning.PeerFlushDelay) != nil {
			return
		}
	}
}

// send writes to the connection, and closes it if that fails.
func (w *lineWriter) send(lines []byte) error {
	_ = w.conn.SetWriteDeadline(time.Now().Add(tuning.PeerTimeout)) // fails only if the write does
	_, err := w.conn.Write(lines)
	if err == nil {
		return nil
	}
	w.mu.Lock()
	w.failed = err
	w.mu.Unlock()
	_ = w.conn.Close() // the connection has failed, whatever this says
	return err
}
