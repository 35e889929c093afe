package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// callID is the ID of the only call on a connection that SendCall opens.
const callID = 1

// SendCall opens a connection to a node, sends one call and waits for the response until the context
// ends. It is for callers that are not nodes, such as operators' commands.
func SendCall(ctx context.Context, addr string, c Call) (Response, error) {
	dialer := net.Dialer{Timeout: tuning.PeerDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return Response{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	// A deadline in the past makes pending reads and writes fail.
	stopAfterFunc := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	writer := newLineWriter(conn)
	var senders sync.WaitGroup
	senders.Go(func() { writer.run(ctx) })
	defer func() {
		stopAfterFunc()
		cancel()
		_ = conn.Close() // an error is irrelevant after the last read
		senders.Wait()
	}()
	c.ID = callID
	if err := writer.enqueue(&message{Call: &c}); err != nil {
		return Response{}, err
	}
	response, err := readResponse(conn)
	if err != nil {
		return Response{}, fmt.Errorf("%w from %s: %w", ErrNoResponse, addr, err)
	}
	return *response, nil
}

// readResponse reads messages until the response to the call arrives. It ignores all others.
func readResponse(conn net.Conn) (*Response, error) {
	var response *Response
	err := readMessagesUntil(conn, tuning.OperatorTimeout, func(m *message) bool {
		if m.Response != nil && m.Response.ID == callID {
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
