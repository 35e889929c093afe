package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// requestID is the ID of the only call on a connection that Request opens.
const requestID = 1

// Request sends one call to a node and waits for the response until the context ends. It serves
// callers outside the cluster, such as operators' commands.
func Request(ctx context.Context, addr string, c Call) (Response, error) {
	dialer := net.Dialer{Timeout: tuning.PeerDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return Response{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	// A deadline in the past makes pending reads and writes fail.
	stopDeadline := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	writer := newLineWriter(conn)
	var senders sync.WaitGroup
	senders.Go(func() { writer.run(ctx) })
	defer func() {
		stopDeadline()
		cancel()
		_ = conn.Close() // nothing more is read from it
		senders.Wait()
	}()
	c.ID = requestID
	if err := writer.write(&message{Call: &c}); err != nil {
		return Response{}, err
	}
	response, err := readResponse(conn)
	if err != nil {
		return Response{}, fmt.Errorf("%w from %s: %w", ErrNoResponse, addr, err)
	}
	return *response, nil
}

// readResponse reads lines until the response to the request arrives.
func readResponse(conn net.Conn) (*Response, error) {
	var response *Response
	err := readLinesUntil(conn, tuning.OperatorTimeout, func(m *message) bool {
		if m.Response != nil && m.Response.ID == requestID {
			response = m.Response
		}
		return response != nil
	})
	switch {
	case response != nil:
		return response, nil
	case err != nil:
		return nil, err
	}
	return nil, net.ErrClosed
}
