package peer

import (
	"context"
	"net"
	"sync"
)

// connection is an open connection to a peer and the goroutines that send on it. It is closed
// when its context ends, which ends the reading too.
type connection struct {
	conn      net.Conn
	out       *lineWriter
	cancel    context.CancelFunc
	stopWatch func() bool
	sending   sync.WaitGroup
}

// newConnection starts the sending of lines, and returns the context of what belongs to the
// connection. It must be closed.
func newConnection(ctx context.Context, conn net.Conn) (context.Context, *connection) {
	ctx, cancel := context.WithCancel(ctx)
	c := &connection{conn: conn, out: newLineWriter(conn), cancel: cancel}
	c.stopWatch = context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends the reading
	c.sending.Go(func() { c.out.run(ctx) })
	return ctx, c
}

// close ends the connection with its context, and waits for what sends on it.
func (c *connection) close() {
	c.stopWatch()
	_ = c.conn.Close() // it may be closed already
	c.cancel()
	c.sending.Wait()
}
