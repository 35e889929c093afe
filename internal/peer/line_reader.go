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
	_ = c.SetReadDeadline(time.Now().Add(c.timeout)) // if this fails, the read fails too
	return c.Conn.Read(b)
}

// readMessages calls handle for each message until the connection ends, a line is invalid, or no data
// arrives for PeerTimeout.
func readMessages(conn net.Conn, handle func(*message)) error {
	return readMessagesUntil(conn, tuning.PeerTimeout, func(m *message) bool {
		handle(m)
		return false
	})
}

// readMessagesUntil calls handle for each message until handle returns true, the connection ends, a
// line is invalid, or no data arrives within the timeout.
func readMessagesUntil(conn net.Conn, timeout time.Duration, handle func(*message) (done bool)) error {
	scanner := bufio.NewScanner(idleTimeoutConn{Conn: conn, timeout: timeout})
	scanner.Buffer(make([]byte, 0, tuning.PeerReadBufferBytes), tuning.PeerMaxLineBytes)
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
