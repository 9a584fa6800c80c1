package node

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// lastRead is how long an idle connection is read once more before it is closed: a request may have arrived that the server has
// not read yet.
const lastRead = 5 * time.Millisecond

// conn is a connection that can be closed while it is idle without a loss of what has arrived on it.
type conn struct {
	net.Conn

	mu sync.Mutex
	// idle says that nothing of another request has been read since the last answer.
	idle bool
	// closing says that the server's read ends, so that it closes the connection.
	closing bool
}

// rest marks the connection as idle.
func (c *conn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
}

// closeIfIdle makes the server close the connection, unless a request has begun.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle {
		return
	}
	c.closing = true
	// The read that waits ends with an error, on which the server closes the connection. The server may set the deadline
	// anew when the connection becomes idle, so this is repeated until the connection is gone.
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// Read reads what has arrived, also when the connection was about to be closed.
func (c *conn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing && errors.Is(err, os.ErrDeadlineExceeded) {
		c.closing = false
		n, err = c.readLast(b)
	}
	if n > 0 {
		c.idle = false
	}
	return n, err
}

func (c *conn) readLast(b []byte) (n int, err error) {
	if err := c.SetReadDeadline(time.Now().Add(lastRead)); err != nil {
		return 0, err
	}
	n, err = c.Conn.Read(b)
	if n == 0 {
		return 0, err
	}
	return n, c.SetReadDeadline(time.Time{})
}
