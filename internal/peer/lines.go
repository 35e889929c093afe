package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/goccy/go-json"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/tuning"
)

// lineWriter writes whole lines. Lines that come while a write is under way,
// or shortly after one, go out together: at some hundred reports a second a
// packet and a system call for each would cost more than their content. A
// write that makes no progress ends the connection, and so does a peer that
// takes nothing while lines pile up.
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

func (w *lineWriter) write(m *message) error {
	data, err := json.Marshal(m)
	if err != nil {
		return err
	}
	w.mu.Lock()
	if w.failed == nil && len(w.pending) > tuning.PeerMaxPending {
		w.failed = ErrUnreachable
		_ = w.conn.Close()
	}
	if err = w.failed; err == nil {
		w.pending = append(append(w.pending, data...), '\n')
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return err
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
		_ = w.conn.SetWriteDeadline(time.Now().Add(tuning.PeerTimeout))
		if _, err := w.conn.Write(sending); err != nil {
			w.mu.Lock()
			w.failed = err
			w.mu.Unlock()
			_ = w.conn.Close()
			return
		}
		if ctxtime.Sleep(ctx, tuning.PeerFlushDelay) != nil {
			return
		}
	}
}

// patientConn is a connection whose reads fail when nothing comes for a while.
type patientConn struct {
	net.Conn
	patience time.Duration
}

func (c patientConn) Read(b []byte) (int, error) {
	_ = c.SetReadDeadline(time.Now().Add(c.patience))
	return c.Conn.Read(b)
}

// readLines calls f for every line until the connection ends or falls silent.
func readLines(conn net.Conn, f func(*message)) error {
	return readLinesWithin(conn, tuning.PeerTimeout, func(m *message) bool {
		f(m)
		return true
	})
}

// readLinesWithin calls f for every line until it returns false, the connection ends, or nothing
// comes for a time.
func readLinesWithin(conn net.Conn, patience time.Duration, f func(*message) bool) error {
	s := bufio.NewScanner(patientConn{conn, patience})
	s.Buffer(make([]byte, 0, tuning.PeerBuffer), tuning.PeerMaxLine)
	for s.Scan() {
		var m message
		if err := json.Unmarshal(s.Bytes(), &m); err != nil {
			return err
		}
		if !f(&m) {
			return nil
		}
	}
	return s.Err()
}
