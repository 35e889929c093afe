package peer

import (
	"context"
	"net"
	"sync"
)

// connection is an open connection to a peer with the goroutines that send on it. When its
// context ends, the network connection is closed, so that reads from it fail.
type connection struct {
	conn        net.Conn
	writer      *lineWriter
	cancel      context.CancelFunc
	stopClosing func() bool
	senders     sync.WaitGroup
}

// newConnection starts a goroutine that sends the written lines. It returns the connection, which
// the caller must close, and the context for other goroutines that use it.
func newConnection(ctx context.Context, conn net.Conn) (context.Context, *connection) {
	ctx, cancel := context.WithCancel(ctx)
	c := &connection{conn: conn, writer: newLineWriter(conn), cancel: cancel}
	c.stopClosing = context.AfterFunc(ctx, func() { _ = conn.Close() }) // makes reads fail
	c.senders.Go(func() { c.writer.run(ctx) })
	return ctx, c
}

// close closes the connection, ends its context and waits for the goroutines that send on it.
func (c *connection) close() {
	c.stopClosing()
	_ = c.conn.Close() // it may be closed already
	c.cancel()
	c.senders.Wait()
}
