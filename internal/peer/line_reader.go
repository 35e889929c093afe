package peer

import (
	"bufio"
	"net"
	"time"

	"github.com/goccy/go-json"

	"switchshore.example/switchshore/internal/tuning"
)

// idleTimeoutConn is a connection whose reads fail if no data arrives within the timeout.
type idleTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

// Read implements net.Conn.
func (c idleTimeoutConn) Read(b []byte) (int, error) {
	_ = c.SetReadDeadline(time.Now().Add(c.timeout)) // if this fails, so does the read
	return c.Conn.Read(b)
}

// readLines calls handle for every line until the connection ends or no data arrives for
// PeerTimeout.
func readLines(conn net.Conn, handle func(*message)) error {
	return readLinesUntil(conn, tuning.PeerTimeout, func(m *message) bool {
		handle(m)
		return false
	})
}

// readLinesUntil calls handle for every line until handle returns true, the connection ends, or
// no data arrives within the timeout.
func readLinesUntil(conn net.Conn, timeout time.Duration, handle func(*message) (done bool)) error {
	scanner := bufio.NewScanner(idleTimeoutConn{Conn: conn, timeout: timeout})
	scanner.Buffer(make([]byte, 0, tuning.PeerBuffer), tuning.PeerMaxLine)
	for scanner.Scan() {
		var m message
		if err := json.Unmarshal(scanner.Bytes(), &m); err != nil {
			return err
		}
		if handle(&m) {
			return nil
		}
	}
	return scanner.Err()
}
