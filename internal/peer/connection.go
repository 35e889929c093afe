package peer

import (
	"context"
	"net"
	"sync"
)

// connection is an open connection to a peer, with the goroutines that send on it. It closes conn when
// its context ends, because a read from conn would otherwise block.
type connection struct {
	conn        net.Conn
	writer      *lineWriter
	cancel      context.CancelFunc
	stopClosing func() bool // cancels the close at the end of the context
	senders     sync.WaitGroup
}

// newConnection starts a goroutine that sends the enqueued messages. It returns the connection, which
// the caller must close, and the context of the connection, for other goroutines that send on it.
func newConnection(ctx context.Context, conn net.Conn) (context.Context, *connection) {
	ctx, cancel := context.WithCancel(ctx)
	c := &connection{conn: conn, writer: newLineWriter(conn), cancel: cancel}
	c.stopClosing = context.AfterFunc(ctx, func() { _ = conn.Close() }) // pending reads fail
	c.senders.Go(func() { c.writer.run(ctx) })
	return ctx, c
}

// close closes the connection, ends its context and waits for the goroutines that send on it.
func (c *connection) close() {
	c.stopClosing()
	_ = c.conn.Close() // fails if conn is closed already
	c.cancel()
	c.senders.Wait()
}
