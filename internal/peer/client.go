package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// requestID is that of the only call on a connection.
const requestID = 1

// Request sends one call to a node from outside the cluster, such as an operator's command, and
// waits for the answer until the context ends.
func Request(ctx context.Context, addr string, c Call) (Response, error) {
	dialer := net.Dialer{Timeout: tuning.PeerDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return Response{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	// A deadline in the past ends the reading, and the writing.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	out := newLineWriter(conn)
	var sending sync.WaitGroup
	sending.Go(func() { out.run(ctx) })
	defer func() {
		stop()
		cancel()
		_ = conn.Close() // the answer was read, or will not be
		sending.Wait()
	}()
	c.ID = requestID
	if err := out.write(&message{Call: &c}); err != nil {
		return Response{}, err
	}
	answer, err := readAnswer(conn)
	if err != nil {
		return Response{}, fmt.Errorf("%w from %s: %w", ErrNoResponse, addr, err)
	}
	return *answer, nil
}

// readAnswer reads lines until the answer to the request comes.
func readAnswer(conn net.Conn) (*Response, error) {
	var answer *Response
	err := readLinesUntil(conn, tuning.OperatorTimeout, func(m *message) bool {
		if m.Response != nil && m.Response.ID == requestID {
			answer = m.Response
		}
		return answer != nil
	})
	switch {
	case answer != nil:
		return answer, nil
	case err != nil:
		return nil, err
	}
	return nil, net.ErrClosed
}
