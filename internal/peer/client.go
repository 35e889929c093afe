package peer

import (
	"context"
	"fmt"
	"net"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// Request sends one call to a node from outside the cluster, such as an operator's command, and
// waits for the answer until the context ends.
func Request(ctx context.Context, addr string, c Call) (Response, error) {
	dialer := net.Dialer{Timeout: tuning.PeerDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return Response{}, err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	out := newLineWriter(conn)
	go out.run(ctx)
	c.ID = 1
	if err := out.write(&message{Call: &c}); err != nil {
		return Response{}, err
	}
	var answer *Response
	err = readLinesWithin(conn, tuning.OperatorTimeout, func(m *message) bool {
		if m.Response != nil && m.Response.ID == c.ID {
			answer = m.Response
		}
		return answer == nil
	})
	if answer == nil {
		return Response{}, fmt.Errorf("no answer from %s: %w", addr, orClosed(err))
	}
	return *answer, nil
}

// orClosed is the error, or one that says that the connection has ended.
func orClosed(err error) error {
	if err == nil {
		return net.ErrClosed
	}
	return err
}
